use hgw_config::Document;
use hgw_types::{MemSize, ModelId, Time, UpstreamId};
use hgw_wire::peer::Demand;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::capacity::Capacity;
use super::estimate::DemandEstimate;
use super::{DemandSettings, EngineView, Move};

/// Plans demand replicas in one failure domain.
///
/// A move is planned only if the urgent requests that it is expected to serve within the horizon
/// outweigh the service's configured move cost. Without unmet demand, or without an engine with
/// free slots, it plans no moves. This prevents urgent refusals while other engines are idle, and
/// also loads and evictions that follow short bursts too late.
#[derive(Debug)]
pub struct DemandPlanner {
    settings: DemandSettings,
    seen: DemandEstimate,
    /// When each replica was planned or last observed not ready.
    loaded: IndexMap<(UpstreamId, ModelId), Time>,
    /// Random factor on the threshold, so that the leaders of several domains do not all react to
    /// the same shortage.
    jitter: f64,
}

/// Properties of a model from the configuration.
struct Wanted {
    size: MemSize,
    move_cost: f64,
}

struct Candidate {
    gain: f64,
    served: f64,
    order: Move,
}

impl DemandPlanner {
    pub fn new(settings: DemandSettings, seed: u64) -> Self {
        let jitter = (xxh3_64_with_seed(b"jitter", seed) % 1000) as f64 / 1000.0;
        let seen = DemandEstimate::new(settings.half_life);
        DemandPlanner { settings, seen, loaded: IndexMap::new(), jitter: 1.0 + jitter * 0.5 }
    }

    /// Adds demand observed by dispatchers and entry nodes of the domain.
    pub fn observe(&mut self, now: Time, demand: &[Demand]) {
        self.seen.add(now, demand);
    }

    /// Returns the moves to make now, most useful first. Moves that the caller does not carry out
    /// are planned again.
    pub fn plan(&mut self, now: Time, document: &Document, engines: &[EngineView]) -> Vec<Move> {
        self.seen.decay(now);
        self.note_loads(now, engines);
        let mut room = Capacity::new(engines, &self.seen, self.settings.fill);
        let mut moves = Vec::new();
        while moves.len() < self.settings.moves_at_once {
            let Some(best) = self.best(now, document, engines, &room) else { break };
            self.seen.answered(&best.order.load, best.served);
            room.take(&best.order, best.served * self.seen.service(&best.order.load));
            let replica = (best.order.upstream.clone(), best.order.load.clone());
            self.loaded.insert(replica, now);
            moves.push(best.order);
        }
        moves
    }

    fn note_loads(&mut self, now: Time, engines: &[EngineView]) {
        for e in engines {
            for held in e.models.iter().filter(|h| !h.ready) {
                self.loaded.insert((e.upstream.clone(), held.model.clone()), now);
            }
        }
        let recent = self.settings.cool_down.max(self.settings.settle);
        self.loaded.retain(|_, at| now.since(*at) < recent);
    }

    fn best(
        &self,
        now: Time,
        document: &Document,
        engines: &[EngineView],
        room: &Capacity,
    ) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for model in self.seen.models_with_unmet_demand().filter(|m| self.settled(now, m)) {
            let Some(wanted) = wanted(document, model) else { continue };
            for e in engines.iter().filter(|e| serves(document, &e.upstream, model)) {
                let Some(option) = self.option(now, e, model, &wanted, room) else { continue };
                if best.as_ref().is_none_or(|b| option.gain > b.gain) {
                    best = Some(option);
                }
            }
        }
        best
    }

    /// Whether the demand estimate reflects the earlier loads of the model.
    fn settled(&self, now: Time, model: &ModelId) -> bool {
        let mut loads = self.loaded.iter().filter(|((_, m), _)| m == model);
        !loads.any(|(_, at)| now.since(*at) < self.settings.settle)
    }

    /// Returns the load of the model on the engine, if its gain exceeds its cost.
    fn option(
        &self,
        now: Time,
        e: &EngineView,
        model: &ModelId,
        wanted: &Wanted,
        room: &Capacity,
    ) -> Option<Candidate> {
        if e.models.iter().any(|h| h.model == *model) || room.has_move(&e.upstream) {
            return None;
        }
        let served = self.seen.unmet(model).min(room.spare(&e.upstream) / self.seen.service(model));
        let weight = if room.replica_count(model) == 0 { self.settings.absent_weight } else { 1.0 };
        let (evict, loss) = self.evictions(now, e, wanted.size, room)?;
        let horizon = self.settings.horizon.as_secs_f64();
        let gain = (served * weight - loss) * horizon;
        let cost = wanted.move_cost * (1 + evict.len()) as f64;
        let order = Move { upstream: e.upstream.clone(), load: model.clone(), evict };
        let worth = gain > cost * self.settings.hysteresis * self.jitter;
        worth.then_some(Candidate { gain: gain - cost, served, order })
    }

    /// Returns the least used demand replicas whose eviction frees enough memory, and the urgent
    /// requests per second that would then be unmet.
    fn evictions(
        &self,
        now: Time,
        e: &EngineView,
        size: MemSize,
        room: &Capacity,
    ) -> Option<(Vec<ModelId>, f64)> {
        let mut free = e.memory.saturating_sub(e.reserved);
        let mut can_go: Vec<_> = e
            .models
            .iter()
            .filter(|h| h.ready && !h.floor && self.may_evict(now, &e.upstream, &h.model))
            .map(|h| (room.loss(&self.seen, &e.upstream, &h.model), h))
            .collect();
        can_go.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut evict = Vec::new();
        let mut loss = 0.0;
        for (lost, held) in can_go {
            if free >= size {
                break;
            }
            free += held.size;
            loss += lost;
            evict.push(held.model.clone());
        }
        (free >= size).then_some((evict, loss))
    }

    fn may_evict(&self, now: Time, upstream: &UpstreamId, model: &ModelId) -> bool {
        let replica = (upstream.clone(), model.clone());
        self.loaded.get(&replica).is_none_or(|at| now.since(*at) >= self.settings.cool_down)
    }
}

/// Returns the model's memory including adapters, and the cost of moving it.
fn wanted(document: &Document, model: &ModelId) -> Option<Wanted> {
    let service = document.services.values().find(|s| s.models.contains_key(model))?;
    let found = &service.models[model];
    let adapters: MemSize = found.adapters.values().map(|a| a.size).sum();
    Some(Wanted { size: found.size + adapters, move_cost: service.move_cost })
}

fn serves(document: &Document, upstream: &UpstreamId, model: &ModelId) -> bool {
    let Some(u) = document.upstreams.get(upstream).filter(|u| !u.leaving) else { return false };
    document.services.get(&u.service).is_some_and(|s| s.models.contains_key(model))
}
