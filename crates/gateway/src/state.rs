//! A node's view of the configuration, the engines and the demand.

use std::sync::Arc;

use bytes::Bytes;
use hgw_direct::placement::ReportedLoads;
use hgw_direct::{
    Catalog, ChangePosition, Demand, Engines, ListChanges, ListReceiver, ListVersion, Millis,
    ModelRef, RetryBudget, ServiceId,
};
use indexmap::IndexMap;

/// Bounds the memory for unreported demand while there is no leader, as callers can send any name.
const MAX_UNREPORTED_NAMES: usize = 4_096;

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Serialized form, for nodes that cannot read it from the store.
    pub(crate) catalog_text: Bytes,
    /// Whether a complete engine list has been received.
    pub(crate) has_engine_list: bool,
    pub(crate) engines: Engines,
    /// Applies the updates of the engine list that other nodes send.
    pub(crate) list_receiver: ListReceiver,
    /// Position up to which the engine list is known.
    pub(crate) list_version: Option<ListVersion>,
    /// Position in the changes of the node that sent the last update of the engine list.
    pub(crate) list_seen: ChangePosition,
    /// Changes in the engine list, for other nodes.
    pub(crate) list_changes: ListChanges,
    pub(crate) budgets: IndexMap<ServiceId, RetryBudget>,
    /// Demand recorded by this node, which a new leader starts from.
    pub(crate) demand: Demand,
    /// Requests by model and adapter since the last report to the leader.
    pub(crate) unreported_demand: IndexMap<ModelRef, f64>,
    /// Loads from the weight store that the latest leader reported.
    pub(crate) leader_loads: Option<ReportedLoads>,
    /// Number of nodes that share budgets and connections, this one included.
    pub(crate) nodes: u32,
}

impl State {
    /// Version of the engine list, and the position in the changes of the node that sent it, from
    /// which this node needs updates. The defaults request the full list.
    pub(crate) fn list_position(&self) -> (ListVersion, ChangePosition) {
        if self.list_receiver.is_incomplete() {
            return (ListVersion::default(), self.list_seen);
        }
        let needs_full_list = self.engines.has_skipped_removals();
        let version = self.list_version.filter(|_| !needs_full_list);
        version.map_or_else(Default::default, |version| (version, self.list_seen))
    }

    /// Counts requests for a model or an adapter.
    pub(crate) fn record_demand(&mut self, now: Millis, model_ref: &ModelRef, count: f64) {
        self.demand.record(now, model_ref, count);
        if self.unreported_demand.len() < MAX_UNREPORTED_NAMES {
            *self.unreported_demand.entry(model_ref.clone()).or_default() += count;
        }
    }
}
