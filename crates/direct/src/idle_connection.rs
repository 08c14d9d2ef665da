//! When a caller's idle connection is closed.
//!
//! A caller may use an idle connection within the limit that it knows. A close that crosses its request leaves it in
//! doubt whether the request has run, so a connection is only closed once the caller has been silent for the limit while
//! this node could hear it.

use crate::Millis;

/// Delay of this node's own look at a connection beyond which it may have missed what the caller sent.
const MAX_DELAY: Millis = 50;

/// Idle time of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleConnection {
    last_active: Millis,
    /// Limit that was in force when the connection was last used, which its caller keeps to.
    limit: Millis,
    /// Time added to the limit, as this node was late.
    extension: Millis,
}

impl IdleConnection {
    /// A new connection.
    pub fn new(now: Millis, limit: Millis) -> IdleConnection {
        IdleConnection { last_active: now, limit, extension: 0 }
    }

    /// Time of the last activity.
    pub fn last_active(&self) -> Millis {
        self.last_active
    }

    /// Records that bytes were received or sent.
    pub fn record_bytes(&mut self, now: Millis) {
        (self.last_active, self.extension) = (now, 0);
    }

    /// Records the end of a response; the limit now in force counts from here on.
    pub fn record_use(&mut self, now: Millis, limit: Millis) {
        *self = IdleConnection::new(now, limit);
    }

    /// When the connection is to be closed. A longer limit counts at once, a shorter one from the next use on.
    pub fn close_at(&self, limit_in_force: Millis) -> Millis {
        self.last_active + self.limit.max(limit_in_force) + self.extension
    }

    /// Whether the connection may be closed now.
    ///
    /// If this node is late, what the caller sent meanwhile may still be on its way: a sender that gets no acknowledgement
    /// for some time repeats within about as long. So the connection is kept once more for as long.
    pub fn may_close(&mut self, now: Millis, limit_in_force: Millis) -> bool {
        let close_at = self.close_at(limit_in_force);
        let Some(delay) = now.checked_sub(close_at) else { return false };
        if delay <= MAX_DELAY || self.extension > 0 {
            return true;
        }
        self.extension = delay + delay.min(self.limit);
        false
    }
}
