//! A node's request for an allowance.

use serde::{Deserialize, Serialize};

/// A request for an allowance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// Maximum amount.
    #[serde(rename = "most")]
    pub max: f64,
    /// Amount that requests wait for; the rest is requested in advance.
    pub needed: f64,
    /// Minimum useful amount: what one request lacks.
    #[serde(rename = "least")]
    pub min: f64,
    /// Cost of one further request.
    #[serde(rename = "step")]
    pub unit_cost: f64,
    /// New demand since the last request, whether it was met or not.
    #[serde(rename = "new")]
    pub new_demand: f64,
}

impl AllowanceRequest {
    /// The amount to grant if this much is available, in multiples of whole requests, as smaller
    /// amounts would expire unused.
    pub fn grantable(&self, there: f64) -> f64 {
        if there >= self.max {
            return self.max;
        }
        if there < self.min || self.unit_cost <= 0.0 {
            return 0.0;
        }
        self.min + ((there - self.min) / self.unit_cost).floor() * self.unit_cost
    }
}
