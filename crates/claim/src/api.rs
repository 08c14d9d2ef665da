//! Inputs and outputs of the lease state machine.

use bytes::Bytes;
use hgw_types::{NodeId, Offset, RecordId, Term};

/// The node that has the lease of a scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// The node of the latest claim.
    pub node: NodeId,
    /// The offset of that claim.
    pub term: Term,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was stored at this offset.
    Stored(Offset),
    /// The log rejected it; it will not be stored later.
    NotStored,
    /// No response: the record may have been stored, or may be stored later.
    Unknown,
}

/// Input of a [`Claim`](crate::Claim).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The next record of the scope's stream.
    Read {
        offset: Offset,
        data: Bytes,
    },
    /// The records before `first` were trimmed; reading continues at `first`.
    Trimmed {
        first: Offset,
    },
    /// All records that existed when the read was made have been passed.
    CaughtUp,
    ReadFailed,
    /// Result of an [`Action::Append`].
    Appended {
        id: RecordId,
        outcome: AppendOutcome,
    },
    /// Whether this node should be leader, and whether the current leader is alive, according to
    /// membership. Affects only when to claim, not safety. Must be sent again after each
    /// [`Action::LeaderChanged`], which discards the previous values.
    Membership {
        /// This node is first in the order of live nodes for this scope.
        preferred: bool,
        /// The current leader, if any, is alive.
        leader_alive: bool,
    },
    Tick,
}

/// Output of a [`Claim`](crate::Claim).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append this record to the scope's stream.
    Append {
        /// The record's id, which `data` contains too.
        id: RecordId,
        data: Bytes,
    },
    /// The leader changed; `None` after a release.
    LeaderChanged(Option<Leader>),
    /// This node acquired the lease, has read all records before its claim, and may propose
    /// entries.
    LeaseAcquired(Term),
    /// This node no longer has the lease.
    LeaseLost(Term),
    /// A valid entry of any leader, in order; passed once.
    Apply {
        offset: Offset,
        /// The term in which it was written.
        term: Term,
        id: RecordId,
        data: Bytes,
    },
    /// A valid snapshot that replaces all entries applied before; passed only if entries before it
    /// could not be read.
    Restore { offset: Offset, data: Bytes },
    /// A proposed entry is void or was rejected: it will never be applied.
    Dropped { id: RecordId },
    /// The leader should write a snapshot before the last one expires.
    SnapshotDue,
    /// The start of the stream was trimmed and no snapshot was found: the state is unknown.
    NoSnapshot,
}
