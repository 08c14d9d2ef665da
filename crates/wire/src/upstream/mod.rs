//! What goes to model engines and comes back, as JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | a [`Generate`]; answered with server-sent events, each one [`Emitted`] |
//! | `POST /cancel` | a [`Cancel`]: ends one attempt |
//! | `POST /orders` | an [`Order`]; answered with an [`OrderAnswer`] when it has taken effect or not |
//! | `GET /state` | an [`EngineState`], exact at the time of the answer |
//! | `GET /load` | a [`LoadReport`], which lags |
//!
//! Plain services get the caller's method, path, query and body, and the header
//! [`ATTEMPT_HEADER`], which they echo.

use hgw_types::{
    AdapterId, AttemptId, Generation, MemSize, ModelId, RecordId, Term, Tokens, VersionId,
};
use serde::{Deserialize, Serialize};

/// Header with the attempt id, on requests to upstreams and echoed on their answers.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header with the order token, on orders to engines that ask for it.
pub const ORDER_TOKEN_HEADER: &str = "x-order-token";

/// A request for generated text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The attempt that this request belongs to.
    pub attempt: AttemptId,
    /// The model to run.
    pub model: ModelId,
    /// The version to run, which must be resident.
    pub version: VersionId,
    /// An adapter of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// The conversation, as the caller sent it.
    pub prompt: String,
    /// Tokens to generate at most, those of `resume` included.
    pub max_tokens: Tokens,
    /// Lower is served first.
    pub priority: u8,
    /// Text of the tokens that earlier attempts have already delivered, one entry a token.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
}

/// One server-sent event of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Emitted {
    /// The next token.
    Token {
        /// The attempt that asked for it.
        attempt: AttemptId,
        /// Position in the whole answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    End {
        /// The attempt that it ends.
        attempt: AttemptId,
        /// Tokens in the whole answer.
        tokens: Tokens,
        /// Tokens of the prompt found in the prefix cache.
        cached: Tokens,
    },
    /// The engine will not go on.
    Failed {
        /// The attempt that it ends.
        attempt: AttemptId,
        /// Why, for the log.
        reason: String,
    },
}

/// Ends an attempt that nobody waits for any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt to end.
    pub attempt: AttemptId,
}

/// An order that changes what an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Names the order; an engine carries an order id out at most once.
    pub id: RecordId,
    /// Fencing number: the term of the keeper that gives the order.
    pub fence: Term,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Raise the fencing number and do nothing else.
    Fence,
    /// Load a version of a model from the weight store.
    Load {
        /// The model.
        model: ModelId,
        /// Its version.
        version: VersionId,
        /// Memory that it takes.
        size: MemSize,
    },
    /// Drop a version of a model and all its adapters.
    Evict {
        /// The model.
        model: ModelId,
        /// Its version.
        version: VersionId,
    },
    /// Load a version of an adapter onto a resident model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
        /// Its version.
        version: VersionId,
        /// Memory that it takes.
        size: MemSize,
    },
    /// Drop a version of an adapter.
    EvictAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
        /// Its version.
        version: VersionId,
    },
    /// Change what the engine works on.
    Role {
        /// The new role.
        role: EngineRole,
    },
}

/// What an engine works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and generation.
    Both,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// Answer to an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The order that this answers.
    pub id: RecordId,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// It has taken effect.
    Done,
    /// It has had no effect: its fencing number is older than this one.
    OldFence {
        /// The engine's fencing number.
        current: Term,
    },
    /// It has had no effect, for another reason.
    Refused {
        /// Why, for the log.
        reason: String,
    },
}

/// What an engine holds now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Changes when the engine restarts with empty memory.
    pub generation: Generation,
    /// Its fencing number.
    pub fence: Term,
    /// Its accelerator memory.
    pub memory: MemSize,
    /// Models resident or loading.
    pub models: Vec<HeldModel>,
    /// Adapters resident or loading.
    pub adapters: Vec<HeldAdapter>,
    /// Whether it will take no new work soon.
    pub leaving: bool,
}

/// A model version in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// Memory that it takes.
    pub size: MemSize,
    /// Whether it can serve, or is still loading.
    pub ready: bool,
    /// Requests for it that the engine works on or has waiting.
    #[serde(default)]
    pub active: u32,
}

/// An adapter version in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: VersionId,
    /// Memory that it takes.
    pub size: MemSize,
    /// Whether it can serve, or is still loading.
    pub ready: bool,
}

/// An upstream's load some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes when the upstream restarts.
    pub generation: Generation,
    /// Requests worked on.
    pub active: u32,
    /// Requests waiting inside the upstream.
    pub waiting: u32,
    /// Time of the last step of the batch, in microseconds; 0 for a plain service.
    pub step_us: u64,
    /// Whether it will take no new work soon.
    pub leaving: bool,
}
