use std::time::Duration;

use derive_more::Display;
use hgw_types::{AdapterId, ClassId, IdempotencyKey, ModelId, RequestId, ServiceId, Tokens};
use hgw_wire::peer::{PlainWork, RecordedAnswer};
use std::sync::Arc;

/// A caller's open request at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct StreamId(pub u64);

/// A request as a caller made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id for it, or one made by the entry node.
    pub id: RequestId,
    /// The priority class asked for.
    pub class: Option<ClassId>,
    /// The time within which the caller wants the answer.
    pub deadline: Option<Duration>,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// What is asked for.
    pub work: CallerWork,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerWork {
    /// Text from a model.
    Chat {
        /// The model.
        model: ModelId,
        /// The adapter, if one was asked for.
        adapter: Option<AdapterId>,
        /// The conversation as one text.
        prompt: Arc<str>,
        /// Tokens to generate at most.
        max_tokens: Tokens,
    },
    /// A call of a plain service.
    Plain {
        /// The service.
        service: ServiceId,
        /// The call.
        work: PlainWork,
    },
    /// The list of models.
    Models,
}

/// The last word to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// All chunks have been given: the answer is whole.
    Whole,
    /// A whole answer that did not come in chunks.
    Recorded(RecordedAnswer),
    /// Models that callers may ask for, adapters as `model:adapter`.
    Models(Vec<String>),
    /// No answer, or no more of it.
    Failed(Failure),
}

/// Why a caller gets no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What went wrong, for programs.
    pub code: FailureCode,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, where it makes sense.
    pub retry_after: Option<Duration>,
    /// What went wrong, for people.
    pub message: String,
}

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Ran {
    /// No byte of it reached an upstream.
    #[display("not_run")]
    NotRun,
    /// It may have run, in part or whole.
    #[display("may_have_run")]
    MayHaveRun,
}

/// What went wrong, for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FailureCode {
    /// The request is malformed or over a limit.
    #[display("bad_request")]
    BadRequest,
    /// The request, or a part of it, is larger than allowed.
    #[display("too_large")]
    TooLarge,
    /// No such model, adapter, service or class.
    #[display("not_found")]
    NotFound,
    /// The idempotency key was used with another call.
    #[display("key_reused")]
    KeyReused,
    /// It would be, or was, too late.
    #[display("too_late")]
    TooLate,
    /// The queues are full.
    #[display("overloaded")]
    Overloaded,
    /// Nothing that could serve it can be reached.
    #[display("unavailable")]
    Unavailable,
    /// The upstream failed in the middle.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// This node stops.
    #[display("stopping")]
    Stopping,
}
