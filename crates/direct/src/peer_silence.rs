//! Whether the peer of a connection is dead.
//!
//! A live peer acknowledges what it is sent, also the probes of a window that it keeps closed as it reads nothing. Only
//! one that acknowledges nothing is dead.

use std::time::Duration;

use crate::Millis;

/// What the kernel tells of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerContact {
    /// Segments and probes that were sent again, or are probes, and have not been acknowledged.
    pub unanswered: u32,
    /// Time since the last acknowledgement.
    pub since_ack: Duration,
}

/// What a connection was like when it was last looked at.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerSilence {
    /// Time of the last look, if the peer was silent then.
    silent_at: Option<Millis>,
}

impl PeerSilence {
    /// Records a look; returns whether the peer is dead: silent for `limit` at this look and the one before, without an
    /// acknowledgement in between.
    ///
    /// One look is not enough: probes of a closed window come at growing intervals, so that the last acknowledgement
    /// may be old while a new probe is under way.
    pub fn record(&mut self, contact: PeerContact, limit: Duration, now: Millis) -> bool {
        let is_silent = contact.unanswered > 0 && contact.since_ack >= limit;
        let acked_at = now.saturating_sub(contact.since_ack.as_millis() as Millis);
        let was_silent = self.silent_at.is_some_and(|looked_at| acked_at < looked_at);
        self.silent_at = is_silent.then_some(now);
        is_silent && was_silent
    }
}
