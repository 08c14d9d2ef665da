use bytes::Bytes;
use hgw_types::{NodeId, Offset, RecordId, Term};

/// Who holds a scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The node of the latest claim.
    pub node: NodeId,
    /// The offset of that claim.
    pub term: Term,
}

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record stands at this offset.
    Stored(Offset),
    /// The log refused it; it does not stand and will not.
    NotStored,
    /// No answer: it may stand, or may come to stand later.
    Unknown,
}

/// What a claim is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The next record of the scope's stream.
    Read {
        /// Where it stands.
        offset: Offset,
        /// Its bytes.
        data: Bytes,
    },
    /// The records before `first` are gone, and reading goes on there.
    Trimmed {
        /// The oldest record kept.
        first: Offset,
    },
    /// All records that stood when the read was made have been given.
    CaughtUp,
    /// The log could not be read.
    ReadFailed,
    /// Answer to an [`Action::Append`].
    Appended {
        /// The record.
        id: RecordId,
        /// What became of it.
        outcome: AppendOutcome,
    },
    /// Whether this node is the one that should hold the scope, and whether its holder is alive,
    /// as membership sees it. Decides only when to claim, never what is safe. To be told again after
    /// each [`Action::HolderChanged`], which voids what was said about the last holder.
    Standing {
        /// This node comes first among the live nodes for this scope.
        preferred: bool,
        /// The present holder, if any, is alive.
        holder_alive: bool,
    },
    /// Time has passed.
    Tick,
}

/// What a claim asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append these bytes to the scope's stream.
    Append {
        /// The record's id, which is also inside the bytes.
        id: RecordId,
        /// The record.
        data: Bytes,
    },
    /// Another holder, or none after a release.
    HolderChanged(Option<Holder>),
    /// This node holds the scope, has read all before its claim, and may propose entries.
    Gained(Term),
    /// This node held the scope and does no longer.
    Lost(Term),
    /// A valid entry, in order, by whichever holder; given once.
    Apply {
        /// Where it stands.
        offset: Offset,
        /// The term that it was written under.
        term: Term,
        /// The proposer's id for it.
        id: RecordId,
        /// What was proposed.
        data: Bytes,
    },
    /// A valid snapshot that replaces all that was applied before; given only where entries before
    /// it could not be read.
    Restore {
        /// Where it stands.
        offset: Offset,
        /// The snapshot.
        data: Bytes,
    },
    /// A proposed entry is void or was refused: it will never be applied.
    Dropped {
        /// The entry.
        id: RecordId,
    },
    /// The holder should write a snapshot before the last one expires.
    SnapshotDue,
    /// The start of the stream is gone and no snapshot was found: the state is not known.
    NoSnapshot,
}
