//! Messages between nodes about allowances.

use std::net::SocketAddr;

use hgw_direct::quota::{AllowanceRequest, Grant};
use hgw_direct::{CustomerId, Millis};
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
    /// For each customer: what is requested of its limit, and what was used of it without the
    /// issuer.
    pub(super) rows: Vec<(CustomerId, AllowanceRequest, f64)>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct GrantResponse {
    /// For each customer: what is granted, and if the limit is used up, the milliseconds until more
    /// is available.
    pub(super) rows: Vec<(CustomerId, Vec<Grant>, Option<Millis>)>,
}
