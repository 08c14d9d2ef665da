use std::time::Duration;

/// Least time that a request must have left to be sent to an engine. With less, its caller has left before the engine
/// begins, which then works for nobody.
pub const LEAST_TO_SEND: Duration = Duration::from_millis(20);

/// The time that a request has from when its head came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// How long its caller waits, or is to be kept waiting.
    pub longest: Duration,
}

impl Deadline {
    /// What is left, after so much time by the steady clock and by the one that also counts what the machine was
    /// suspended for.
    ///
    /// Load: a machine is suspended for seconds while requests wait on it for an engine. By the steady clock they still
    /// have time when it goes on; their callers have left, and the engines would run them all the same.
    pub fn left(self, steady: Duration, with_suspension: Duration) -> Duration {
        self.longest.saturating_sub(steady.max(with_suspension))
    }
}
