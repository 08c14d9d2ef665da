//! Tracks for how long a node has known of a newer configuration than its own.
//!
//! Prevents a node that cannot get the newer one from running requests as only the older one allows.

use std::time::Duration;

use derive_more::Display;

use crate::Millis;

/// Share of the time for changes after which a node that lacks a newer configuration sends its callers to others. Not
/// earlier, as with a long one on slow links most nodes lack it for a while.
const UNREADY_AFTER: f64 = 0.5;

/// Share after which it refuses requests. The rest is for the time in which it had not been told yet.
const REFUSE_AFTER: f64 = 0.6;

/// Share for which what another node reported counts. A node that hears from nobody any more may be the last that serves, and
/// the version may be lost with the node that had it.
const REPORT_COUNTS_FOR: f64 = 1.25;

/// What a node knows of newer configurations than its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CatalogLag {
    /// Newest version that was reported.
    reported: u64,
    /// When it, or a newer one, was last reported.
    reported_at: Millis,
    /// Newest version whose text cannot be used here.
    rejected: u64,
    /// Since when a newer one than the own has been known.
    since: Option<Millis>,
}

/// What a node does for callers meanwhile.
#[derive(Debug, Clone, Copy, Default, Display, PartialEq, Eq)]
pub enum LagEffect {
    /// It serves them.
    #[default]
    #[display("served")]
    Serve,
    /// It serves those that come, and says that it is not ready.
    #[display("sent elsewhere")]
    Unready,
    /// It refuses them.
    #[display("refused")]
    Refuse,
}

impl CatalogLag {
    /// Records the version that another node reports, and the own one. An older one than was reported changes nothing while
    /// that counts: nodes that lack the newest version report theirs all the time.
    pub fn record_report(&mut self, now: Millis, reported: u64, own: u64, apply_within: Duration) {
        if reported < self.reported && self.counts(now, apply_within) {
            return;
        }
        (self.reported, self.reported_at) = (reported, now);
        self.update(now, own);
    }

    /// Records that this version is in force here.
    pub fn record_adopted(&mut self, now: Millis, own: u64) {
        self.update(now, own);
    }

    /// Records that the text of the reported version cannot be used here: what is in force stays so.
    pub fn record_rejected(&mut self) {
        (self.rejected, self.since) = (self.rejected.max(self.reported), None);
    }

    /// Newest version that was reported.
    pub fn reported(&self) -> u64 {
        self.reported
    }

    /// Newest version whose text cannot be used here.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn counts(&self, now: Millis, apply_within: Duration) -> bool {
        let age = Duration::from_millis(now.saturating_sub(self.reported_at));
        age < apply_within.mul_f64(REPORT_COUNTS_FOR)
    }

    fn update(&mut self, now: Millis, own: u64) {
        let is_behind = self.reported > own && self.reported > self.rejected;
        self.since = is_behind.then(|| self.since.unwrap_or(now));
    }

    /// What the node does for callers, where changes must be in force within so long.
    pub fn effect(&self, now: Millis, apply_within: Duration) -> LagEffect {
        let Some(since) = self.since else { return LagEffect::Serve };
        if !self.counts(now, apply_within) {
            return LagEffect::Serve;
        }
        let behind_for = Duration::from_millis(now.saturating_sub(since));
        if behind_for >= apply_within.mul_f64(REFUSE_AFTER) {
            LagEffect::Refuse
        } else if behind_for >= apply_within.mul_f64(UNREADY_AFTER) {
            LagEffect::Unready
        } else {
            LagEffect::Serve
        }
    }
}
