//! Tracks until when the node's configuration is known to have been the newest.
//!
//! Prevents a revoked key from being accepted by a node that is cut off from the store or was
//! suspended: requests with keys are sent only if the configuration was the newest less than a
//! given time ago.

use std::time::Duration;

/// Maximum number of versions that are kept; a node may hear of versions that it has not fetched
/// yet.
const MOST_KEPT: usize = 4;

/// An observation that no newer version than this one existed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionCheck {
    pub newest: u64,
    /// When the store was asked, on the clock that includes suspension. The answer holds for this
    /// time, however late it arrives.
    pub asked_at: Duration,
}

/// Latest observations, by this node or reported by others.
#[derive(Debug, Clone, Default)]
pub struct FreshnessProof {
    seen: Vec<VersionCheck>,
}

impl FreshnessProof {
    pub fn record(&mut self, seen: VersionCheck) {
        self.seen.retain(|known| known.newest != seen.newest || known.asked_at > seen.asked_at);
        if !self.seen.iter().any(|known| known.newest == seen.newest) {
            self.seen.push(seen);
        }
        if self.seen.len() > MOST_KEPT {
            self.seen.sort_unstable_by_key(|seen| seen.newest);
            self.seen.remove(0);
        }
    }

    /// The latest observation that `version` was the newest.
    pub fn latest_check(&self, version: u64) -> Option<VersionCheck> {
        let known = self.seen.iter().filter(|seen| seen.newest <= version);
        known.max_by_key(|seen| seen.asked_at).copied()
    }

    /// Time since `version` was last known to be the newest.
    pub fn age(&self, version: u64, now: Duration) -> Option<Duration> {
        self.latest_check(version).map(|seen| now.saturating_sub(seen.asked_at))
    }
}
