//! What a stand-in engine has seen.

use hgw_types::{MemSize, RecordId, Term};
use hgw_wire::upstream::{OrderKind, OrderOutcome};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::memory::Overcommit;

/// Attempts and orders that are remembered at most; under load the rest is only counted.
pub(super) const MAX_REMEMBERED: usize = 100_000;

/// Answer to `GET /record`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// How often each attempt got a slot, by attempt id.
    pub runs: IndexMap<String, u32>,
    /// Answers that were given whole.
    pub whole: u64,
    /// Requests whose caller went away.
    pub abandoned: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests refused before they ran, for something that is not resident.
    pub refused: u64,
    /// Streams broken off by a fault.
    pub failed: u64,
    /// Resumed streams whose tokens so far were not the ones that an engine gives.
    pub wrong_resumes: u64,
    /// Requests that came while the engine said that it was leaving, and the time after it first
    /// did so at which the last of them came, in milliseconds.
    pub after_leaving: u64,
    /// See `after_leaving`.
    pub last_after_leaving_ms: u64,
    /// Requests cut off by the eviction of their model.
    pub evicted_in_use: u64,
    /// Orders that came without the order token.
    pub unauthorized: u64,
    /// Orders as they came.
    pub orders: Vec<SeenOrder>,
    /// Most memory that was ever asked for at once.
    pub high_water: MemSize,
    /// Moments at which more was asked for than there is.
    pub overcommits: Vec<Overcommit>,
}

/// An order as it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeenOrder {
    /// Its id.
    pub id: RecordId,
    /// Its fencing number.
    pub fence: Term,
    /// What it asked for.
    pub kind: OrderKind,
    /// Whether an order of this id had come before.
    pub repeated: bool,
    /// What became of it, once that is known.
    pub outcome: Option<OrderOutcome>,
}
