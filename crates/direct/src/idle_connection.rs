//! When a caller's idle connection is closed.
//!
//! A caller may use an idle connection within the limit that it knows. A close that crosses its request leaves it in
//! doubt whether the request has run, so the time in which this node looked late doesn't count as the caller's silence.

use crate::Millis;

/// Delay of a check beyond which this node may have missed what the caller sent.
const MAX_CHECK_DELAY: Millis = 50;

/// Limits in force for connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Longest time without a request.
    pub idle: Millis,
    /// Longest time for a request's head, from its first byte.
    pub head: Millis,
}

/// Idle time of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleConnection {
    last_active: Millis,
    /// Idle limit that was in force when the connection was last used, which its caller keeps to.
    idle_limit: Millis,
    /// Since when a part of a head has been there.
    head_since: Option<Millis>,
    /// Time added to the limit, as a check was late.
    extension: Millis,
}

impl IdleConnection {
    /// A new connection, or one whose response has ended: the limits now in force count from here on.
    pub fn new(now: Millis, limits: ConnectionLimits) -> IdleConnection {
        IdleConnection { last_active: now, idle_limit: limits.idle, head_since: None, extension: 0 }
    }

    /// Time of the last activity.
    pub fn last_active(&self) -> Millis {
        self.last_active
    }

    /// Whether a part of a head has been received.
    pub fn has_partial_head(&self) -> bool {
        self.head_since.is_some()
    }

    /// Records activity of an open request.
    pub fn record_activity(&mut self, now: Millis) {
        (self.last_active, self.extension) = (now, 0);
    }

    /// Records bytes that were received between two requests.
    pub fn record_head_bytes(&mut self, now: Millis) {
        self.head_since.get_or_insert(now);
        self.record_activity(now);
    }

    /// Records that a head is complete.
    pub fn begin_request(&mut self) {
        self.head_since = None;
    }

    /// When the connection is to be closed. A longer idle limit counts at once, a shorter one from the next use on.
    pub fn close_at(&self, limits: ConnectionLimits) -> Millis {
        let at = match self.head_since {
            Some(since) => since + limits.head,
            None => self.last_active + self.idle_limit.max(limits.idle),
        };
        at + self.extension
    }

    /// Returns whether the connection is to be closed now, at a check that was planned for `planned`.
    ///
    /// After a late check, what the caller sent meanwhile may still be on its way: a sender without an acknowledgement
    /// repeats within about as long. So the connection is kept once more, for the delay or the limit, whichever is shorter.
    pub fn close_or_extend(
        &mut self,
        now: Millis,
        planned: Millis,
        limits: ConnectionLimits,
    ) -> bool {
        let close_at = self.close_at(limits);
        if now < close_at {
            return false;
        }
        let delay = now.saturating_sub(close_at.max(planned));
        if delay <= MAX_CHECK_DELAY || self.extension > 0 {
            return true;
        }
        // From now on.
        self.extension = now - close_at + delay.min(self.idle_limit);
        false
    }
}
