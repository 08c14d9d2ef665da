//! A node's request for an allowance.

use serde::{Deserialize, Serialize};

/// A request for an allowance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Maximum amount.
    pub most: f64,
    /// Amount that requests wait for; the rest is requested in advance.
    pub needed: f64,
    /// Minimum useful amount: what one request lacks.
    pub least: f64,
    /// Cost of one further request.
    pub step: f64,
    /// New demand since the last request, whether it was met or not.
    pub new: f64,
}

impl Want {
    /// The amount to grant if this much is available, in multiples of whole requests, as smaller
    /// amounts would expire unused.
    pub fn of(&self, there: f64) -> f64 {
        if there >= self.most {
            return self.most;
        }
        if there < self.least || self.step <= 0.0 {
            return 0.0;
        }
        self.least + ((there - self.least) / self.step).floor() * self.step
    }
}
