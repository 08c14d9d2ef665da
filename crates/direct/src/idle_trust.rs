//! How long idle connections to an engine are reused.
//!
//! A path may fail unnoticed, and an engine may drop an idle connection without notice. A request that is sent on such
//! a connection gets no response and counts as possibly executed.

use std::time::Duration;

use crate::Millis;

/// Idle time up to which any request may be sent on a connection.
pub const SHORT_IDLE: Duration = Duration::from_secs(4);

/// Idle time up to which a connection is kept if its engine keeps it as long. Longer ones save little, as most requests
/// come within seconds.
pub const LONG_IDLE: Duration = Duration::from_secs(60);

/// Time for which a byte from an engine proves the path to it.
const PATH_PROOF_TTL: Duration = Duration::from_secs(3);

/// Time for which the loss of an idle connection counts. The engine may have failed at that moment for another reason.
const LOSS_TTL: Millis = 60_000;

/// Part of the idle time of a lost connection after which others are not reused.
const LOSS_MARGIN: f64 = 0.5;

/// What idle connections to one engine have turned out to be.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleTrust {
    /// Longest idle time after which a connection brought a response.
    answered_after: Duration,
    /// Idle time of a connection that brought none, and when that was seen.
    lost: Option<(Duration, Millis)>,
}

impl IdleTrust {
    /// A connection brought a response after it had been idle for this time.
    pub fn record_response(&mut self, idle: Duration) {
        self.answered_after = self.answered_after.max(idle);
    }

    /// A connection brought no response after it had been idle for this time.
    pub fn record_loss(&mut self, idle: Duration, now: Millis) {
        let known = self.lost_after(now).unwrap_or(idle);
        self.lost = Some((idle.min(known), now));
        self.answered_after = Duration::ZERO;
    }

    /// Idle time up to which a request may be sent on a connection.
    ///
    /// One that may be repeated loses only time on a dead connection. Any other needs proof of the path and of the
    /// engine: a recent byte from it on any connection, and a response on a connection that was idle as long.
    pub fn max_idle(&self, may_repeat: bool, since_heard: Duration, now: Millis) -> Duration {
        let bound = self.lost_after(now).map_or(LONG_IDLE, |idle| idle.mul_f64(LOSS_MARGIN));
        let proven = if may_repeat {
            LONG_IDLE
        } else if since_heard < PATH_PROOF_TTL {
            self.answered_after
        } else {
            Duration::ZERO
        };
        proven.min(bound).max(SHORT_IDLE)
    }

    fn lost_after(&self, now: Millis) -> Option<Duration> {
        let lost = self.lost.filter(|(_, at)| now.saturating_sub(*at) < LOSS_TTL);
        lost.map(|(idle, _)| idle)
    }
}
