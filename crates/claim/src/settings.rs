use std::time::Duration;

/// Delays and limits of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How long this node must have come first, with the holder dead, before it claims. Two nodes
    /// that see different members for a moment do not take the scope from each other in turns.
    pub settle: Duration,
    /// Up to this much is added to `settle`, at random, so that two nodes seldom claim at once.
    pub jitter: Duration,
    /// How long the scope must have been without a live holder before a node claims that does not
    /// come first; up to as much again is added at random.
    pub backup: Duration,
    /// Least time between two appends. Proposals of this time share one append, since the log takes
    /// only some hundred appends a second for all streams together.
    pub batch_gap: Duration,
    /// Most proposals in one append.
    pub batch_entries: usize,
    /// Most bytes of proposals in one append.
    pub batch_bytes: usize,
    /// Most proposals that wait; one more is dropped at once.
    pub queue_entries: usize,
    /// Longest wait of a proposal that was not sent; then it is dropped. While the log is down a
    /// caller learns soon that nothing was done.
    pub queue_age: Duration,
    /// Wait before a refused or unanswered append is sent again.
    pub retry: Duration,
    /// Wait for the answer to an append, after which it counts as unanswered.
    pub append_timeout: Duration,
    /// A snapshot is due after this many entries.
    pub snapshot_entries: u64,
    /// A snapshot is due after this time: at most a quarter of the time that the log keeps records,
    /// so that a reader finds one also when three in a row were lost.
    pub snapshot_age: Duration,
    /// A new holder's first snapshot is due after this time: soon, as the last one may be old, but
    /// not before the first entries.
    pub first_snapshot: Duration,
    /// Most records that a reader without a snapshot keeps while it looks for one.
    pub buffered_records: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            settle: Duration::from_millis(300),
            jitter: Duration::from_millis(100),
            backup: Duration::from_secs(3),
            batch_gap: Duration::from_millis(5),
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            queue_entries: 4096,
            queue_age: Duration::from_millis(500),
            retry: Duration::from_millis(100),
            append_timeout: Duration::from_secs(5),
            snapshot_entries: 2000,
            snapshot_age: Duration::from_secs(600),
            first_snapshot: Duration::from_secs(1),
            buffered_records: 20_000,
        }
    }
}
