//! Selects the demand replicas to load and what to evict for them.

use hgw_config::Document;
use hgw_types::{MemSize, ModelId, Time, UpstreamId};
use hgw_wire::peer::Demand;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::capacity::Capacity;
use super::estimate::DemandEstimate;
use super::{DemandSettings, EngineView, PlannedLoad};

/// Plans demand replicas in one failure domain.
///
/// A load is planned only if the urgent requests that it is expected to serve within the horizon
/// outweigh the service's configured move cost. Without unmet demand, or without an engine with
/// free slots, it plans no loads. This prevents urgent refusals while other engines are idle, and
/// also loads and evictions that follow short bursts too late.
#[derive(Debug)]
pub struct DemandPlanner {
    settings: DemandSettings,
    estimate: DemandEstimate,
    /// When each replica was planned or last observed not ready.
    recent_loads: IndexMap<(UpstreamId, ModelId), Time>,
    /// Random factor on the threshold, so that the leaders of several domains do not all react to
    /// the same shortage.
    jitter: f64,
}

/// Properties of a model from the configuration.
struct ModelProperties {
    size: MemSize,
    move_cost: f64,
}

struct Candidate {
    gain: f64,
    served: f64,
    load: PlannedLoad,
}

impl DemandPlanner {
    pub fn new(settings: DemandSettings, seed: u64) -> Self {
        let jitter = (xxh3_64_with_seed(b"jitter", seed) % 1000) as f64 / 1000.0;
        let estimate = DemandEstimate::new(settings.half_life);
        DemandPlanner {
            settings,
            estimate,
            recent_loads: IndexMap::new(),
            jitter: 1.0 + jitter * 0.5,
        }
    }

    /// Adds demand observed by dispatchers and entry nodes of the domain.
    pub fn observe(&mut self, now: Time, demand: &[Demand]) {
        self.estimate.add(now, demand);
    }

    /// Returns the loads to make now, most useful first. Loads that the caller does not carry out
    /// are planned again.
    pub fn plan(
        &mut self,
        now: Time,
        document: &Document,
        engines: &[EngineView],
    ) -> Vec<PlannedLoad> {
        self.estimate.decay(now);
        self.record_loads(now, engines);
        let mut capacity = Capacity::new(engines, &self.estimate, self.settings.max_utilization);
        let mut loads = Vec::new();
        while loads.len() < self.settings.max_planned_loads {
            let Some(best) = self.best_candidate(now, document, engines, &capacity) else { break };
            self.estimate.reduce_unmet(&best.load.model, best.served);
            capacity
                .reserve(&best.load, best.served * self.estimate.service_secs(&best.load.model));
            let replica = (best.load.upstream.clone(), best.load.model.clone());
            self.recent_loads.insert(replica, now);
            loads.push(best.load);
        }
        loads
    }

    fn record_loads(&mut self, now: Time, engines: &[EngineView]) {
        for e in engines {
            for replica in e.models.iter().filter(|h| !h.ready) {
                self.recent_loads.insert((e.upstream.clone(), replica.model.clone()), now);
            }
        }
        let recent = self.settings.cool_down.max(self.settings.load_interval);
        self.recent_loads.retain(|_, at| now.since(*at) < recent);
    }

    fn best_candidate(
        &self,
        now: Time,
        document: &Document,
        engines: &[EngineView],
        capacity: &Capacity,
    ) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for model in
            self.estimate.models_with_unmet_demand().filter(|m| self.is_estimate_current(now, m))
        {
            let Some(model_properties) = model_properties(document, model) else { continue };
            for e in engines.iter().filter(|e| serves(document, &e.upstream, model)) {
                let Some(candidate) = self.candidate(now, e, model, &model_properties, capacity)
                else {
                    continue;
                };
                if best.as_ref().is_none_or(|b| candidate.gain > b.gain) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Whether the demand estimate reflects the earlier loads of the model.
    fn is_estimate_current(&self, now: Time, model: &ModelId) -> bool {
        let mut loads = self.recent_loads.iter().filter(|((_, m), _)| m == model);
        !loads.any(|(_, at)| now.since(*at) < self.settings.load_interval)
    }

    /// Returns the load of the model on the engine, if its gain exceeds its cost.
    fn candidate(
        &self,
        now: Time,
        e: &EngineView,
        model: &ModelId,
        model_properties: &ModelProperties,
        capacity: &Capacity,
    ) -> Option<Candidate> {
        if e.models.iter().any(|h| h.model == *model) || capacity.has_planned_load(&e.upstream) {
            return None;
        }
        let served = self
            .estimate
            .unmet(model)
            .min(capacity.spare(&e.upstream) / self.estimate.service_secs(model));
        let weight =
            if capacity.replica_count(model) == 0 { self.settings.absent_weight } else { 1.0 };
        let (evict, loss) = self.evictions(now, e, model_properties.size, capacity)?;
        let horizon = self.settings.horizon.as_secs_f64();
        let gain = (served * weight - loss) * horizon;
        let cost = model_properties.move_cost * (1 + evict.len()) as f64;
        let load = PlannedLoad { upstream: e.upstream.clone(), model: model.clone(), evict };
        let worth = gain > cost * self.settings.hysteresis * self.jitter;
        worth.then_some(Candidate { gain: gain - cost, served, load })
    }

    /// Returns the least used demand replicas whose eviction frees enough memory, and the urgent
    /// requests per second that would then be unmet.
    fn evictions(
        &self,
        now: Time,
        e: &EngineView,
        size: MemSize,
        capacity: &Capacity,
    ) -> Option<(Vec<ModelId>, f64)> {
        let mut free = e.memory.saturating_sub(e.reserved);
        let mut candidates: Vec<_> = e
            .models
            .iter()
            .filter(|h| h.ready && !h.floor && self.may_evict(now, &e.upstream, &h.model))
            .map(|h| (capacity.unmet_if_evicted(&self.estimate, &e.upstream, &h.model), h))
            .collect();
        candidates.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut evict = Vec::new();
        let mut loss = 0.0;
        for (unmet, replica) in candidates {
            if free >= size {
                break;
            }
            free += replica.size;
            loss += unmet;
            evict.push(replica.model.clone());
        }
        (free >= size).then_some((evict, loss))
    }

    fn may_evict(&self, now: Time, upstream: &UpstreamId, model: &ModelId) -> bool {
        let replica = (upstream.clone(), model.clone());
        self.recent_loads.get(&replica).is_none_or(|at| now.since(*at) >= self.settings.cool_down)
    }
}

/// Returns the model's memory including adapters, and the cost of moving it.
fn model_properties(document: &Document, model: &ModelId) -> Option<ModelProperties> {
    let service = document.services.values().find(|s| s.models.contains_key(model))?;
    let model = &service.models[model];
    let adapters: MemSize = model.adapters.values().map(|a| a.size).sum();
    Some(ModelProperties { size: model.size + adapters, move_cost: service.move_cost })
}

fn serves(document: &Document, upstream: &UpstreamId, model: &ModelId) -> bool {
    let Some(u) = document.upstreams.get(upstream).filter(|u| !u.leaving) else { return false };
    document.services.get(&u.service).is_some_and(|s| s.models.contains_key(model))
}
