use std::sync::Arc;

use bytes::Bytes;
use hgw_placement::OrderResult;
use hgw_types::{AttemptId, DomainId, NodeId, Offset, RecordId, StreamName, Time, UpstreamId};
use hgw_wire::peer::{Message, Outcome, RecordedAnswer};
use hgw_wire::platform::VmList;
use hgw_wire::upstream::{EngineState, LoadReport};

use super::{CallId, CallerRequest, OperatorRequest, StreamId};

/// Everything that a node can be told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request has been read whole.
    CallerRequest {
        /// Names it from now on.
        stream: StreamId,
        /// The request.
        request: Box<CallerRequest>,
    },
    /// The caller has gone; nothing can be delivered any more.
    CallerGone {
        /// The request.
        stream: StreamId,
    },
    /// Answer to [`super::Action::Seal`]: what the caller has been given, which is final.
    Sealed {
        /// The request.
        stream: StreamId,
        /// Tokens given, from the first.
        tokens: Vec<Arc<str>>,
        /// Whether a status, headers or bytes of a plain service's answer were given.
        begun: bool,
    },
    /// A peer's connection stands and both sides have proved the secret.
    PeerUp {
        /// The peer.
        peer: NodeId,
        /// Its failure domain.
        domain: DomainId,
        /// `IP:PORT` of its listener for peers.
        addr: String,
    },
    /// A peer's connection is gone, or an attempt to connect to it failed.
    PeerDown {
        /// The peer.
        peer: NodeId,
    },
    /// A peer said something.
    Message {
        /// The peer.
        from: NodeId,
        /// What it said.
        message: Box<Message>,
    },
    /// The first chunk of an attempt came, or more tokens did; at a bounded rate.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens so far, the resumed ones included; 0 for a plain service.
        tokens: u32,
    },
    /// An attempt ended; its chunks were handed on before.
    Ended(Ended),
    /// Answer to [`super::Action::Order`].
    OrderAnswer {
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        order: RecordId,
        /// What became of it.
        result: OrderResult,
    },
    /// Answer to [`super::Action::AskState`].
    State {
        /// The engine.
        upstream: UpstreamId,
        /// When it was asked.
        asked: Time,
        /// What it holds, or nothing where it did not answer.
        state: Option<EngineState>,
    },
    /// Answer to [`super::Action::AskLoad`].
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// Its report, or nothing where it did not answer.
        report: Option<LoadReport>,
    },
    /// Answer to [`super::Action::Read`].
    Read {
        /// The stream.
        stream: StreamName,
        /// Where it was read from.
        from: Offset,
        /// What was read.
        outcome: ReadOutcome,
    },
    /// Answer to [`super::Action::Append`].
    Appended {
        /// The stream.
        stream: StreamName,
        /// The record.
        id: RecordId,
        /// Where it stands, or why that is not known.
        outcome: Result<Offset, PlatformError>,
    },
    /// Answer to [`super::Action::AskVms`].
    Vms(Option<VmList>),
    /// An operator's call.
    Operator {
        /// Names it from now on.
        call: CallId,
        /// What is asked.
        request: OperatorRequest,
    },
    /// Some milliseconds have passed.
    Tick,
    /// The process is to stop as planned.
    Stop,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// How.
    pub outcome: Outcome,
    /// The whole answer, where [`super::Sink::Collect`] asked for it.
    pub answer: Option<RecordedAnswer>,
}

/// What a read of the log gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records in order, possibly none.
    Records {
        /// Offset and bytes of each.
        records: Vec<(Offset, Bytes)>,
        /// Where to read on.
        next: Offset,
    },
    /// The start asked for is gone.
    Trimmed {
        /// The oldest record kept.
        first: Offset,
    },
    /// The log did not answer.
    Failed,
}

/// Why the platform did not do what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// It refused, and nothing was done.
    Refused,
    /// It cannot be reached, and nothing was sent.
    NotSent,
    /// No answer: it may have been done, or may yet be.
    Unknown,
}
