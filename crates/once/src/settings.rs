use std::time::Duration;

/// Limits of a shard. All nodes must have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How long a key is kept after its call began. A repeat that comes later runs again.
    pub retention: Duration,
    /// Most keys kept. When they are used up, new keys are refused, as forgetting one would let its
    /// call run twice.
    pub keys: usize,
    /// Largest answer kept for repeats, in bytes.
    pub answer_bytes: usize,
    /// Most bytes of answers kept; then the oldest answers go, and their repeats learn only that the
    /// call may have run.
    pub answers_bytes: usize,
    /// Longest wait of a call for its record. A caller is told `not run` rather than held while the
    /// log is slow.
    pub record_bound: Duration,
    /// When a refused caller is told to come back.
    pub retry_after: Duration,
    /// Wait before an end that could not be recorded is proposed again.
    pub repropose: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            retention: Duration::from_secs(24 * 3600),
            keys: 10_000,
            answer_bytes: 16 * 1024,
            answers_bytes: 1024 * 1024,
            record_bound: Duration::from_millis(500),
            retry_after: Duration::from_secs(1),
            repropose: Duration::from_millis(200),
        }
    }
}
