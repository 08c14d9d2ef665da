//! Messages between nodes about allowances.

use std::net::SocketAddr;

use hgw_direct::quota::{AllowanceRequest, Grant, QuotaKey};
use hgw_direct::{LimitState, Millis};
use serde::{Deserialize, Serialize};

/// A request for allowances.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct GrantRequest {
    pub(super) from: SocketAddr,
    /// Whether only the issuer may answer, and not a hub.
    #[serde(rename = "of_issuer")]
    pub(super) issuer_only: bool,
    /// Number of nodes that the request covers.
    pub(super) nodes: u32,
    /// For each quota: what is requested of it, and what was used of it without the issuer.
    pub(super) rows: Vec<(QuotaKey, AllowanceRequest, f64)>,
    /// The sender's view of the limits of the engines among the rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) engine_limits: Vec<LimitState>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct GrantResponse {
    /// For each quota: what is granted, and if it is used up, the milliseconds until more
    /// is available.
    pub(super) rows: Vec<(QuotaKey, Vec<Grant>, Option<Millis>)>,
    /// Engines among the rows of the request that have no limit any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) lifted: Vec<LimitState>,
}
