use hgw_types::{ModelId, UpstreamId};
use indexmap::{IndexMap, IndexSet};

use super::estimate::DemandEstimate;
use super::{EngineView, Move};

/// Free slots of each engine after urgent demand for its models.
///
/// Assumes that demand for a model is spread evenly over its replicas.
#[derive(Debug)]
pub(super) struct Capacity {
    spare: IndexMap<UpstreamId, f64>,
    engines_by_model: IndexMap<ModelId, Vec<UpstreamId>>,
    /// Engines that already have a move in this plan.
    engines_with_move: IndexSet<UpstreamId>,
}

impl Capacity {
    pub(super) fn new(engines: &[EngineView], seen: &DemandEstimate, fill: f64) -> Self {
        let mut engines_by_model: IndexMap<ModelId, Vec<UpstreamId>> = IndexMap::new();
        for e in engines {
            for held in &e.models {
                engines_by_model.entry(held.model.clone()).or_default().push(e.upstream.clone());
            }
        }
        let spare = |e: &EngineView| {
            // Includes unmet requests, since `busy` counts only requests that were served.
            let wanted = |m: &ModelId| seen.load(m) + seen.unmet(m) * seen.service(m);
            let share = |m: &ModelId| wanted(m) / engines_by_model[m].len() as f64;
            let used: f64 = e.models.iter().map(|h| share(&h.model)).sum();
            (e.upstream.clone(), (f64::from(e.slots) * fill - used).max(0.0))
        };
        let spare = engines.iter().map(spare).collect();
        Capacity { spare, engines_by_model, engines_with_move: IndexSet::new() }
    }

    pub(super) fn spare(&self, upstream: &UpstreamId) -> f64 {
        self.spare.get(upstream).copied().unwrap_or(0.0)
    }

    pub(super) fn replica_count(&self, model: &ModelId) -> usize {
        self.engines_by_model.get(model).map_or(0, Vec::len)
    }

    /// Urgent requests per second that would be unmet if this replica were evicted.
    pub(super) fn loss(
        &self,
        seen: &DemandEstimate,
        upstream: &UpstreamId,
        model: &ModelId,
    ) -> f64 {
        let copies = self.replica_count(model).max(1) as f64;
        let share = seen.load(model) / copies;
        let others =
            self.engines_by_model.get(model).into_iter().flatten().filter(|u| *u != upstream);
        let room: f64 = others.map(|u| self.spare(u)).sum();
        let short = seen.unmet(model) > 0.0;
        let homeless = if short { share } else { (share - room).max(0.0) };
        homeless / seen.service(model)
    }

    pub(super) fn has_move(&self, upstream: &UpstreamId) -> bool {
        self.engines_with_move.contains(upstream)
    }

    /// Records a move and the slots that it will use.
    pub(super) fn take(&mut self, order: &Move, slots: f64) {
        self.engines_with_move.insert(order.upstream.clone());
        if let Some(spare) = self.spare.get_mut(&order.upstream) {
            *spare = (*spare - slots).max(0.0);
        }
    }
}
