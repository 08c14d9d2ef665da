use std::time::Duration;

use bytes::Bytes;
use hgw_types::{AttemptId, IdempotencyKey, Offset, RecordId, ServiceId, Term, Time};

/// A keyed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Names this call; two calls may carry the same key.
    pub attempt: AttemptId,
    /// The service.
    pub service: ServiceId,
    /// The caller's key, unique within the service.
    pub key: IdempotencyKey,
    /// Hash of method, path and body: the same key with another one is refused.
    pub fingerprint: u64,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// How a dispatched call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran, with this answer in the owner's own encoding.
    Ran(Bytes),
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a shard is told. Claim events of its scope come as the claim gives them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A call came.
    Call(Call),
    /// This node owns the shard under this term.
    Gained(Term),
    /// This node owns the shard no longer.
    Lost,
    /// A valid entry of the shard's stream.
    Apply {
        /// Where it stands.
        offset: Offset,
        /// The term that it was written under.
        term: Term,
        /// Its record id.
        id: RecordId,
        /// The entry.
        data: Bytes,
    },
    /// A snapshot that replaces all that was applied before.
    Restore(Bytes),
    /// An entry that this node proposed will never be applied.
    Dropped(RecordId),
    /// The shard should give a snapshot.
    SnapshotDue,
    /// A dispatched call ended.
    Ended {
        /// The call.
        attempt: AttemptId,
        /// How.
        outcome: RunOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What a shard asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Propose this entry to the claim of the shard.
    Propose {
        /// Its record id.
        id: RecordId,
        /// The entry.
        data: Bytes,
    },
    /// Give this snapshot to the claim of the shard.
    Snapshot(Bytes),
    /// Dispatch this call, once.
    Dispatch(AttemptId),
    /// Answer this call.
    Reply {
        /// The call.
        attempt: AttemptId,
        /// What its caller is told.
        reply: Reply,
    },
}

/// What the caller of a keyed call is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The one answer, now or as recorded.
    Answer(Bytes),
    /// The call may have run; its answer is not known.
    MayHaveRun,
    /// This call has not run and will not. An owner that is cut off from the log cannot know of an
    /// earlier call with the same key that its successor let run; it says so of this call only.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The key was used with another call.
    KeyReused,
    /// This node does not own the shard; the call has not run here and will not.
    NotOwner,
}
