use std::sync::Arc;

use bytes::Bytes;
use hgw_direct::{
    Catalog, Demand, Engines, ListChanges, ListVersion, Millis, ModelRef, RetryBudget, ServiceId,
};
use indexmap::IndexMap;

/// Models and adapters that are told to the keeper at a time.
const MOST_ASKED: usize = 4_096;

/// What the node believes.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Its text, for nodes that the store turns away.
    pub(crate) catalog_text: Bytes,
    /// Whether a whole list of engines has been read.
    pub(crate) listed: bool,
    pub(crate) engines: Engines,
    /// How far the list goes.
    pub(crate) list_at: Option<ListVersion>,
    /// What changed in it, for other nodes.
    pub(crate) listing: ListChanges,
    pub(crate) budgets: IndexMap<ServiceId, RetryBudget>,
    /// What this node has been asked for, for a keeper that is new.
    pub(crate) demand: Demand,
    /// Requests by model since the keeper was told.
    pub(crate) asked: IndexMap<ModelRef, f64>,
    /// When loads from the weight store began, as the holder of this claim told.
    pub(crate) begun: Option<(u64, Vec<Millis>)>,
    /// Nodes that share budgets and connections; at least this one.
    pub(crate) nodes: u32,
}

impl State {
    /// Requests came for something. While no keeper takes them, as many names are kept as callers can make up.
    pub(crate) fn asked_for(&mut self, now: Millis, wanted: &ModelRef, count: f64) {
        self.demand.record(now, wanted, count);
        if self.asked.len() < MOST_ASKED {
            *self.asked.entry(wanted.clone()).or_default() += count;
        }
    }
}
