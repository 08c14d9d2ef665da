//! Free slots of engines and the effect of evictions on demand.

use hgw_types::{ModelId, UpstreamId};
use indexmap::{IndexMap, IndexSet};

use super::estimate::DemandEstimate;
use super::{EngineView, PlannedLoad};

/// Free slots of each engine after urgent demand for its models.
///
/// Assumes that demand for a model is spread evenly over its replicas.
#[derive(Debug)]
pub(super) struct Capacity {
    spare: IndexMap<UpstreamId, f64>,
    engines_by_model: IndexMap<ModelId, Vec<UpstreamId>>,
    /// Engines that already have a load in this plan.
    engines_with_load: IndexSet<UpstreamId>,
}

impl Capacity {
    pub(super) fn new(
        engines: &[EngineView],
        estimate: &DemandEstimate,
        max_utilization: f64,
    ) -> Self {
        let mut engines_by_model: IndexMap<ModelId, Vec<UpstreamId>> = IndexMap::new();
        for e in engines {
            for replica in &e.models {
                engines_by_model.entry(replica.model.clone()).or_default().push(e.upstream.clone());
            }
        }
        let spare = |e: &EngineView| {
            // Includes unmet requests, since `busy` counts only requests that were served.
            let needed =
                |m: &ModelId| estimate.busy_slots(m) + estimate.unmet(m) * estimate.service_secs(m);
            let share = |m: &ModelId| needed(m) / engines_by_model[m].len() as f64;
            let used: f64 = e.models.iter().map(|h| share(&h.model)).sum();
            (e.upstream.clone(), (f64::from(e.slots) * max_utilization - used).max(0.0))
        };
        let spare = engines.iter().map(spare).collect();
        Capacity { spare, engines_by_model, engines_with_load: IndexSet::new() }
    }

    pub(super) fn spare(&self, upstream: &UpstreamId) -> f64 {
        self.spare.get(upstream).copied().unwrap_or(0.0)
    }

    pub(super) fn replica_count(&self, model: &ModelId) -> usize {
        self.engines_by_model.get(model).map_or(0, Vec::len)
    }

    /// Urgent requests per second that would be unmet if this replica were evicted.
    pub(super) fn unmet_if_evicted(
        &self,
        estimate: &DemandEstimate,
        upstream: &UpstreamId,
        model: &ModelId,
    ) -> f64 {
        let replicas = self.replica_count(model).max(1) as f64;
        let share = estimate.busy_slots(model) / replicas;
        let others =
            self.engines_by_model.get(model).into_iter().flatten().filter(|u| *u != upstream);
        let spare: f64 = others.map(|u| self.spare(u)).sum();
        let short = estimate.unmet(model) > 0.0;
        let unserved = if short { share } else { (share - spare).max(0.0) };
        unserved / estimate.service_secs(model)
    }

    pub(super) fn has_planned_load(&self, upstream: &UpstreamId) -> bool {
        self.engines_with_load.contains(upstream)
    }

    /// Records a load and the slots that it will use.
    pub(super) fn reserve(&mut self, load: &PlannedLoad, slots: f64) {
        self.engines_with_load.insert(load.upstream.clone());
        if let Some(spare) = self.spare.get_mut(&load.upstream) {
            *spare = (*spare - slots).max(0.0);
        }
    }
}
