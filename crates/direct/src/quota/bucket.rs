//! A token bucket.

use crate::Millis;

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) at: Millis,
}

impl Bucket {
    /// Adds the tokens since the last call.
    pub(super) fn fill(&mut self, now: Millis, rate: f64, depth: f64) {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.level = (self.level + rate * passed).min(depth);
        self.at = self.at.max(now);
    }
}
