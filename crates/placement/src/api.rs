use std::sync::Arc;

use hgw_config::Document;
use hgw_types::{Generation, ModelId, Offset, RecordId, Term, Time, UpstreamId};
use hgw_wire::peer::{Demand, Holding};
use hgw_wire::upstream::{EngineState, Order, OrderKind, OrderOutcome};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Which engines must keep which model: the planner's record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The configuration that it was made from.
    pub config: Offset,
    /// Engines by model, the one to prefer first.
    pub models: IndexMap<ModelId, Vec<UpstreamId>>,
}

/// What the keeper of a failure domain records in its stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperEntry {
    /// An order that can grow the memory of an engine that ignores fencing numbers, before it is sent.
    Intent {
        /// The engine.
        upstream: UpstreamId,
        /// The start of the engine that the order is meant for.
        generation: Generation,
        /// The order's id.
        order: RecordId,
        /// The order.
        kind: OrderKind,
        /// The engine's bound for late orders when this was recorded, in milliseconds: it bounds the
        /// order also where the engine has left the configuration. Without end where it is not given.
        #[serde(default = "no_bound")]
        late_order_ms: u64,
    },
    /// Orders that can have no effect any more, seen done or refused by the engine itself.
    Settled {
        /// The orders.
        orders: Vec<RecordId>,
    },
}

fn no_bound() -> u64 {
    u64::MAX
}

/// Answer to an order, or its loss.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine answered.
    Answered(OrderOutcome),
    /// No byte of the order can have reached the engine.
    NotSent,
    /// No answer: the order may have taken effect, or may yet.
    Lost,
}

/// What a keeper is told.
#[derive(Debug, Clone)]
pub enum KeeperEvent {
    /// The configuration in force.
    Config {
        /// Its version.
        version: Offset,
        /// The document.
        document: Arc<Document>,
    },
    /// The floor in force.
    Floor(Floor),
    /// This node holds the keeper's scope; all entries before the claim have been applied.
    Gained(Term),
    /// This node holds the scope no longer: nothing may be sent from now on.
    Lost,
    /// A valid entry of the scope's stream, by whichever keeper.
    Apply {
        /// Its record id.
        id: RecordId,
        /// The entry.
        entry: KeeperEntry,
    },
    /// A snapshot that replaces all that was applied before: the open intents.
    Restore(Vec<KeeperEntry>),
    /// An entry that this keeper recorded will never be applied.
    Dropped(RecordId),
    /// Answer to [`KeeperAction::AskState`].
    State {
        /// The engine.
        upstream: UpstreamId,
        /// When it was asked.
        asked: Time,
        /// What it holds, or nothing where it did not answer.
        state: Option<EngineState>,
    },
    /// Answer to [`KeeperAction::Order`].
    Answer {
        /// The order.
        order: RecordId,
        /// What became of it.
        result: OrderResult,
    },
    /// Demand in the domain, from one dispatcher.
    Demand(Vec<Demand>),
    /// Upstreams that the platform, or their own load report, calls leaving; whole list.
    Leaving(Vec<UpstreamId>),
    /// Whether the log can be appended to.
    LogUp(bool),
    /// Time has passed.
    Tick,
}

/// What a keeper asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum KeeperAction {
    /// Record this entry.
    Record {
        /// Its record id.
        id: RecordId,
        /// The entry.
        entry: KeeperEntry,
    },
    /// Send this order.
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        order: Order,
        /// Never to be sent after this time, which is checked when the first byte is written: a
        /// process that stood still with the order in hand answers [`OrderResult::NotSent`] instead.
        send_by: Time,
    },
    /// Ask an engine what it holds.
    AskState(UpstreamId),
    /// What these engines hold ready and may be given work for has changed.
    Placement(IndexMap<UpstreamId, Holding>),
    /// Engines that do not answer, whole list, when it changes.
    LostEngines(Vec<UpstreamId>),
}
