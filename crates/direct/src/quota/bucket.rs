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
        let elapsed_s = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.level = (self.level + rate * elapsed_s).min(depth);
        self.at = self.at.max(now);
    }

    /// The same for a rate that is a small part of one token per second: a whole token is kept for
    /// `turn_time` milliseconds, and the next one follows when it would have without.
    pub(super) fn fill_in_turn(&mut self, now: Millis, rate: f64, turn_time: Millis) {
        self.fill(now, rate, f64::INFINITY);
        let most = 1.0 + rate * turn_time as f64 / 1_000.0;
        self.level -= (self.level - most).max(0.0).ceil();
    }
}
