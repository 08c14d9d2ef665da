//! Tracks until when the node's configuration is known to have been the newest.
//!
//! Prevents a revoked key from being accepted by a node that is cut off from the store or was
//! suspended: requests with keys are sent only if the configuration was the newest less than a
//! given time ago.

use std::time::Duration;

/// Maximum number of versions that are kept; a node may hear of versions that it has not fetched
/// yet.
const MAX_CHECKS: usize = 4;

/// An observation that no newer version than this one existed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionCheck {
    pub newest: u64,
    /// When the store was asked, on the clock that includes suspension. The response holds for this
    /// time, however late it arrives.
    pub asked_at: Duration,
}

/// Latest observations, by this node or reported by others.
#[derive(Debug, Clone, Default)]
pub struct FreshnessProof {
    checks: Vec<VersionCheck>,
}

impl FreshnessProof {
    pub fn record(&mut self, check: VersionCheck) {
        self.checks.retain(|other| other.newest != check.newest || other.asked_at > check.asked_at);
        if !self.checks.iter().any(|other| other.newest == check.newest) {
            self.checks.push(check);
        }
        if self.checks.len() > MAX_CHECKS {
            self.checks.sort_unstable_by_key(|check| check.newest);
            self.checks.remove(0);
        }
    }

    /// The latest observation that `version` was the newest.
    pub fn latest_check(&self, version: u64) -> Option<VersionCheck> {
        let checks = self.checks.iter().filter(|check| check.newest <= version);
        checks.max_by_key(|check| check.asked_at).copied()
    }

    /// Time since `version` was last known to be the newest.
    pub fn age(&self, version: u64, now: Duration) -> Option<Duration> {
        self.latest_check(version).map(|check| now.saturating_sub(check.asked_at))
    }
}
