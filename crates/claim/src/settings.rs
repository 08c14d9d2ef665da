//! Delays and limits of the lease state machine.

use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How long this node must have been preferred, with the leader dead, before it claims.
    /// Prevents two nodes with briefly different membership views from taking the lease from each
    /// other in turns.
    pub preferred_delay: Duration,
    /// Maximum random jitter added to `preferred_delay`, so that two nodes seldom claim at once.
    pub jitter: Duration,
    /// How long the scope must have been without a live leader before a node that is not preferred
    /// claims; random jitter of up to the same length is added.
    pub backup_delay: Duration,
    /// Minimum time between appends. Proposals within it share one append, since the log accepts
    /// only a few hundred appends per second over all streams.
    pub batch_gap: Duration,
    /// Maximum number of proposals in one append.
    pub batch_entries: usize,
    /// Maximum bytes of proposals in one append.
    pub batch_bytes: usize,
    /// Maximum number of queued proposals; further ones are dropped.
    pub queue_entries: usize,
    /// Maximum time in the queue; then the proposal is dropped, so that callers get an error soon
    /// while the log is down.
    pub queue_age: Duration,
    /// Delay before a rejected or unanswered append is sent again.
    pub retry: Duration,
    /// Timeout of an append.
    pub append_timeout: Duration,
    /// Maximum number of entries between snapshots.
    pub snapshot_entries: u64,
    /// Maximum age of a snapshot: at most a quarter of the log's retention, so that a reader finds
    /// one even if three in a row were lost.
    pub snapshot_age: Duration,
    /// Delay before a new leader's first snapshot: short, as the last one may be old, but not
    /// before the first entries.
    pub first_snapshot: Duration,
    /// Maximum number of records that a reader buffers while it looks for a snapshot.
    pub buffered_records: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            preferred_delay: Duration::from_millis(300),
            jitter: Duration::from_millis(100),
            backup_delay: Duration::from_secs(3),
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
