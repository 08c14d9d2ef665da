//! Inputs, outputs and log entries of the leader.

use std::sync::Arc;

use hgw_config::Document;
use hgw_types::{Generation, ModelId, Offset, RecordId, Term, Time, UpstreamId};
use hgw_wire::peer::{Demand, Holding};
use hgw_wire::upstream::{EngineState, Order, OrderKind, OrderOutcome};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The residency floor: the replicas that must stay loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// Version of the configuration that the floor was computed from.
    pub config: Offset,
    /// Engines by model, in order of preference.
    pub models: IndexMap<ModelId, Vec<UpstreamId>>,
}

/// An entry that the leader of a failure domain appends to its log stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderEntry {
    /// Recorded before the leader sends an order that can increase memory use to an engine that
    /// ignores fencing tokens.
    Intent {
        upstream: UpstreamId,
        /// Generation of the engine for which the order is meant.
        generation: Generation,
        order: RecordId,
        kind: OrderKind,
        /// The engine's `late_order_ms` when this was recorded. It limits the order also after the
        /// engine has been removed from the configuration. Unlimited in entries without this field.
        #[serde(default = "no_bound")]
        late_order_ms: u64,
    },
    /// Orders that can no longer take effect.
    Settled { orders: Vec<RecordId> },
}

fn no_bound() -> u64 {
    u64::MAX
}

/// Result of sending an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    Answered(OrderOutcome),
    /// No byte of the order was sent to the engine.
    NotSent,
    /// No response: the order may have taken effect or may still do so.
    Lost,
}

/// Input of the leader.
#[derive(Debug, Clone)]
pub enum LeaderEvent {
    Config {
        version: Offset,
        document: Arc<Document>,
    },
    Floor(Floor),
    /// This node became leader; all entries before its claim have been applied.
    LeaseAcquired(Term),
    /// This node is no longer leader and must send no more orders.
    LeaseLost,
    /// A valid log entry, written by this or another leader.
    Apply {
        id: RecordId,
        entry: LeaderEntry,
    },
    /// A snapshot of the open intents, which replaces all entries applied before.
    Restore(Vec<LeaderEntry>),
    /// An entry from this node that will never be applied.
    Dropped(RecordId),
    /// Response to [`LeaderAction::ReadState`].
    State {
        upstream: UpstreamId,
        /// When the state was requested.
        asked: Time,
        /// `None` if the engine did not respond.
        state: Option<EngineState>,
    },
    /// Result of [`LeaderAction::Order`].
    OrderResult {
        order: RecordId,
        result: OrderResult,
    },
    /// Demand in the domain as observed by one dispatcher.
    Demand(Vec<Demand>),
    /// All upstreams that are leaving according to the platform or their own load report.
    Leaving(Vec<UpstreamId>),
    /// Whether the log accepts appends.
    LogUp(bool),
    Tick,
}

/// Output of the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderAction {
    /// Append this entry to the log stream.
    Record { id: RecordId, entry: LeaderEntry },
    Order {
        upstream: UpstreamId,
        order: Order,
        /// The order must not be sent after this time. The sender checks it when it writes the
        /// first byte and reports [`OrderResult::NotSent`] if the time has passed, for example
        /// after a pause of the process.
        send_by: Time,
    },
    /// Read the engine's state.
    ReadState(UpstreamId),
    /// Ready items of the engines for which they changed.
    Placement(IndexMap<UpstreamId, Holding>),
    /// All unreachable engines, sent when the list changes.
    UnreachableEngines(Vec<UpstreamId>),
}
