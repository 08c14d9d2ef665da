//! What nodes say to each other, as CBOR over one WebSocket a pair.
//!
//! [`Frame::Chunk`] and [`Frame::Credit`] pass from task to task without the control thread; all
//! other frames are messages to it. Durations instead of times, since clocks differ.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hgw_config::Urgency;
use hgw_types::{
    AdapterId, AttemptId, DomainId, IdempotencyKey, ModelId, NodeId, Offset, RequestId, ServiceId,
    Term, Tokens, UpstreamId, VersionId,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Version of the protocol between nodes; the first message of a connection carries it.
pub const PROTOCOL: u32 = 2;

/// One WebSocket message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First message in each direction.
    Hello(Hello),
    /// Answered by [`Frame::Pong`] with the same number.
    Ping(u64),
    /// Answer to a [`Frame::Ping`].
    Pong(u64),
    /// A piece of an answer, for the caller's task.
    Chunk(AttemptId, Chunk),
    /// The receiver of an answer has room for this many more chunks.
    Credit(AttemptId, u32),
    /// Anything for the control thread.
    Message(Box<Message>),
}

/// First message in each direction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u32,
    /// Who sends.
    pub node: NodeId,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// `IP:PORT` of the sender's listener for peers.
    pub addr: String,
    /// Random bytes that the receiver's proof must cover.
    pub nonce: Bytes,
    /// Digest of the shared secret and the nonce received; empty in the opening message.
    pub proof: Bytes,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chunk {
    /// Status and headers of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers that go on to the caller.
        headers: Vec<(String, String)>,
    },
    /// Bytes of a plain service's answer.
    Body(Bytes),
    /// A token of a model's answer.
    Token {
        /// Position in the whole answer, from 0.
        index: u32,
        /// Its text.
        text: Arc<str>,
    },
}

/// Anything for a node's control thread.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Work for the receiver's queue before an upstream.
    Submit(Submit),
    /// The work was not started and will not be.
    NotStarted {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotStarted,
        /// Estimated delay of a new request at that queue.
        delay_us: u64,
    },
    /// The upstream has the work; from now on it may have run.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Estimated delay of a new request at that queue.
        delay_us: u64,
    },
    /// The work has ended; all its chunks were sent before this message.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// The whole answer, where [`Submit::collect`] asked for it.
        answer: Option<RecordedAnswer>,
        /// Estimated delay of a new request at that queue.
        delay_us: u64,
    },
    /// Nobody waits for the work any more.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A keyed call, for the owner of its key's shard.
    Keyed(Keyed),
    /// Answer to a [`Message::Keyed`].
    KeyedAnswer {
        /// The attempt named by the call.
        attempt: AttemptId,
        /// What the caller is to be told.
        answer: KeyedAnswer,
    },
    /// Sign of life, with what the sender knows of others. Names on the wire are short here and in what wraps it, as
    /// heartbeats are most of what an idle node sends.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Placement of the sender's failure domain, from its keeper.
    Placement(Placement),
    /// The receiver, a keeper, is to send its whole placement.
    AskPlacement,
    /// Arrivals and unmet demand since the last message, to the keeper.
    Demand(Vec<Demand>),
    /// Engines of the sender's failure domain that it has lost, whole list, to the planner.
    LostEngines(DomainId, Vec<UpstreamId>),
    /// The receiver is to send configuration newer than this version, if it has it.
    AskConfig {
        /// The version that the sender has.
        have: Offset,
    },
    /// A whole accepted configuration.
    Config {
        /// Its version.
        version: Offset,
        /// The document as JSON.
        document: Bytes,
    },
    /// The sender stops as planned and takes no new work.
    Leaving,
}

/// Work for an upstream's queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    /// Names this try.
    pub attempt: AttemptId,
    /// The caller's request, for the logs.
    pub request: RequestId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The service.
    pub service: ServiceId,
    /// Whether late answers count as missed.
    pub urgency: Urgency,
    /// Time left until the deadline, in microseconds.
    pub left_us: u64,
    /// Whether the work may be given to another dispatcher when this one is over its limit.
    pub may_bounce: bool,
    /// Whether the answer is to come whole with [`Message::Ended`], and not in chunks.
    pub collect: bool,
    /// What is to be done.
    pub work: Work,
}

/// What an upstream is to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Text from a model.
    Model(ModelWork),
    /// A plain service's call.
    Plain(PlainWork),
}

/// A model request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The model.
    pub model: ModelId,
    /// The version that the entry node's configuration names.
    pub version: VersionId,
    /// The adapter, if one was asked for.
    pub adapter: Option<AdapterId>,
    /// The conversation as one text.
    pub prompt: Arc<str>,
    /// Tokens to generate at most, the resumed ones included.
    pub max_tokens: Tokens,
    /// Tokens that the caller has already.
    pub resume: Vec<Arc<str>>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainWork {
    /// HTTP method.
    pub method: String,
    /// Path and query below the service's path, with the leading slash.
    pub path: String,
    /// Headers that go on to the upstream.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// Why work was not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStarted {
    /// The receiver is not the dispatcher of the upstream.
    NotMine,
    /// The upstream does not hold the model, or its version, or the adapter.
    NotHere,
    /// The upstream is leaving or gone.
    Leaving,
    /// Over the queue's limit; another replica may do.
    Bounced,
    /// It would end after its deadline.
    TooLate {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The queue is full.
    Full {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// It waited past its deadline.
    Expired {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The upstream could not be reached; no byte of the request got there.
    Unreachable,
}

/// How started work has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer is whole: this many tokens, or chunks for a plain service.
    Whole(u32),
    /// Put off in favour of urgent work; to be submitted again and resumed.
    Preempted,
    /// The upstream refused or failed before it began the work; no effect.
    NotRun(String),
    /// The answer broke off, or none came; the work may have run.
    Broken(String),
}

/// A keyed call, for the owner of its key's shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Keyed {
    /// Names the call.
    pub attempt: AttemptId,
    /// The caller's request, for the logs.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The caller's key, unique within the service.
    pub key: IdempotencyKey,
    /// Whether late answers count as missed.
    pub urgency: Urgency,
    /// Time left until the deadline, in microseconds.
    pub left_us: u64,
    /// The call.
    pub work: PlainWork,
}

/// What the caller of a keyed call is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyedAnswer {
    /// The one answer, now or as recorded.
    Answer(RecordedAnswer),
    /// The call may have run; its answer is not known.
    MayHaveRun,
    /// The call has not run.
    NotRun {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The key was used with another call.
    KeyReused,
    /// The receiver does not own the shard; the owner it knows, if any.
    NotOwner(Option<NodeId>),
}

/// The answer of a keyed call, as kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that go on to the caller.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// Unit of the ages in [`Heartbeat::pulses`].
pub const PULSE_UNIT: Duration = Duration::from_millis(50);

/// Sign of life, with what the sender knows of others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Some members, the sender itself first.
    #[serde(rename = "m")]
    pub members: Vec<MemberBeat>,
    /// When more members were last known to live: a hash of the node id, and the time since then in
    /// units of [`PULSE_UNIT`], rounded up.
    #[serde(rename = "p")]
    pub pulses: IndexMap<u32, u16>,
    /// Whether the receiver is to answer with one.
    #[serde(rename = "k")]
    pub ask: bool,
    /// Version of the sender's configuration.
    #[serde(rename = "c")]
    pub config: Offset,
}

/// One member as somebody knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// The member.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: DomainId,
    /// `IP:PORT` of its listener for peers.
    #[serde(rename = "a")]
    pub addr: String,
    /// Counts up while it lives.
    #[serde(rename = "b")]
    pub beat: u64,
    /// Whether it stops as planned.
    #[serde(rename = "l")]
    pub leaving: bool,
}

/// A failure domain's placement, from its keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The domain.
    pub domain: DomainId,
    /// The keeper's term.
    pub term: Term,
    /// Counts up by one a message within a term.
    pub number: u64,
    /// Whether `engines` is the whole domain, or only what changed.
    pub whole: bool,
    /// What each engine holds ready.
    pub engines: IndexMap<UpstreamId, Holding>,
}

/// What an engine holds ready and may be given work for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Versions of models.
    pub models: Vec<(ModelId, VersionId)>,
    /// Versions of adapters.
    pub adapters: Vec<(ModelId, AdapterId, VersionId)>,
}

/// Demand for a model since the last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// Urgent requests that came.
    pub urgent: u32,
    /// Other requests that came.
    pub deferrable: u32,
    /// Urgent requests of the sender's own callers refused in the end for want of a replica with
    /// room; not those that another replica or domain has answered.
    pub unmet: u32,
    /// Slot time that the urgent requests took, in milliseconds.
    pub busy_ms: u64,
    /// Adapters asked for that no engine of the domain holds.
    pub adapters: Vec<AdapterId>,
}
