//! What nodes say of allowances.

use std::net::SocketAddr;

use hgw_direct::quota::{AllowanceRequest, Grant};
use hgw_direct::{CustomerId, Millis};
use serde::{Deserialize, Serialize};

/// Asks for allowances.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Ask {
    pub(super) from: SocketAddr,
    /// Whether the one that is asked is taken for the issuer: then no other answer is of use.
    pub(super) of_issuer: bool,
    /// Nodes for which it asks.
    pub(super) nodes: u32,
    /// What is wanted of each customer's limit, and what was used of it without the issuer.
    pub(super) rows: Vec<(CustomerId, AllowanceRequest, f64)>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Given {
    /// What is given of each customer's limit; and where there is no more, when there will be, in milliseconds.
    pub(super) rows: Vec<(CustomerId, Vec<Grant>, Option<Millis>)>,
}
