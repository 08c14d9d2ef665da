//! Tracks since when the leader has not renewed its lease.

use crate::{Cursor, Millis};

/// What a node knows about the leader's liveness.
///
/// A node that does not read the lease log itself counts from the last renewal that the leader
/// reported, so that the lease of a failed leader does not expire late.
#[derive(Debug, Clone, Default)]
pub struct LeaderLiveness {
    /// End of the log after the leader's last renewal, and when that was sent.
    renewed: Option<(Cursor, Millis)>,
    /// Whether the leader does not respond.
    silent: bool,
}

impl LeaderLiveness {
    /// The leader responds and reports its last renewal.
    pub fn record_response(&mut self, renewed: Option<(Cursor, Millis)>) {
        *self = LeaderLiveness { renewed, silent: false };
    }

    /// End of the log after the last renewal, and how many milliseconds ago that was sent.
    pub fn last_renewal(&self, now: Millis) -> Option<(Cursor, u64)> {
        self.renewed.map(|(end, sent)| (end, now.saturating_sub(sent)))
    }

    /// The leader does not respond.
    pub fn mark_unresponsive(&mut self) {
        self.silent = true;
    }

    /// Time since which the lease was not renewed, if the log was read now and ends at `end`.
    ///
    /// Only a leader that does not respond counts as silent: during a store outage it responds but
    /// cannot renew, and must keep its lease.
    pub fn unrenewed_since(&self, end: Cursor, now: Millis) -> Millis {
        let told = self.renewed.filter(|(at, _)| self.silent && *at == end);
        told.map_or(now, |(_, sent)| sent.min(now))
    }
}
