//! Engines that fail once they have to reject more than a few requests a second.

use crate::{Millis, RequestRate};

/// Time for which a brittle engine gets no requests after a rejection unless it reports room: all that it
/// may still have to reject in that second is on its way already.
const CLOSED_TIME: Millis = 1_000;

/// Share of a brittle engine's slots up to which it gets requests, before it has rejected any. What other
/// nodes send at the same moment is not known yet.
const MAX_BRITTLE_SHARE: f64 = 0.85;
const MIN_BRITTLE_SHARE: f64 = 0.3;

/// Part of the slots by which that share falls with a rejection, and rises again in a second: about one
/// rejection in three seconds remains.
const SHARE_PER_REJECTION: f64 = 0.15;
const SHARE_PER_SECOND: f64 = 0.05;

/// Rejections within this time have one cause.
const SAME_REJECTION: Millis = 100;

/// What is known of an engine's rejections.
#[derive(Debug, Clone)]
pub struct Brittleness {
    /// Requests per second that it may have to reject before it fails, if it said that it is brittle.
    pub max_rejections: Option<RequestRate>,
    /// When it last rejected a request of any node while it was brittle.
    rejected_at: Option<Millis>,
    /// Share of its slots up to which it got requests after that.
    share_after_rejection: f64,
}

impl Default for Brittleness {
    fn default() -> Self {
        Brittleness {
            max_rejections: None,
            rejected_at: None,
            share_after_rejection: MAX_BRITTLE_SHARE,
        }
    }
}

impl Brittleness {
    /// Records that the engine rejected a request of any node.
    pub fn record_rejection(&mut self, now: Millis) {
        let is_same = self.rejected_at.is_some_and(|at| now.saturating_sub(at) < SAME_REJECTION);
        if !is_same {
            let share = self.share(now) - SHARE_PER_REJECTION;
            self.share_after_rejection = share.max(MIN_BRITTLE_SHARE);
        }
        self.rejected_at = Some(now);
    }

    /// Share of its slots up to which it gets requests while it is brittle.
    pub(crate) fn share(&self, now: Millis) -> f64 {
        let Some(rejected_at) = self.rejected_at else { return MAX_BRITTLE_SHARE };
        let seconds = now.saturating_sub(rejected_at) as f64 / 1_000.0;
        (self.share_after_rejection + SHARE_PER_SECOND * seconds).min(MAX_BRITTLE_SHARE)
    }

    /// Whether it has rejected a request and not reported room since.
    pub(crate) fn is_closed(&self, reported_room_at: Option<Millis>, now: Millis) -> bool {
        let Some(rejected_at) = self.rejected_at else { return false };
        let has_room = reported_room_at.is_some_and(|at| at > rejected_at);
        now.saturating_sub(rejected_at) < CLOSED_TIME && !has_room
    }
}
