//! The time that a request has left.

use std::time::Duration;

/// Minimum time that a request must have left to be sent; with less, its caller gives up before the
/// engine begins.
pub const MIN_TIME_TO_SEND: Duration = Duration::from_millis(20);

/// The deadline of a request, counted from the arrival of its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// Time that the caller waits, or is kept waiting.
    pub timeout: Duration,
}

impl Deadline {
    /// Time left, given the time elapsed on the monotonic clock and on the clock that includes
    /// suspension. Prevents requests from being sent after the VM was suspended beyond their
    /// deadline.
    pub fn remaining(self, steady: Duration, with_suspension: Duration) -> Duration {
        self.timeout.saturating_sub(steady.max(with_suspension))
    }
}
