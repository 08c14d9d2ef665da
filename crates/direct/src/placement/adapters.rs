//! Chooses where adapters are loaded.

use crate::placement::free_adapter_slots;
use crate::{Demand, Engine, EngineId, Millis, ModelPool, ModelRef};

/// How a requested adapter gets loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterAction {
    /// Load it at this engine, after evicting another adapter if one is given.
    Load { engine: EngineId, evict: Option<ModelRef> },
    /// No engine with the model can take an order now.
    NotPossible,
}

/// Cost of an engine outside the caller's failure domain, relative to a fully loaded engine.
const OTHER_DOMAIN: f64 = 0.3;

/// Time after a request for an adapter for which it is probably in use.
const IN_USE: Millis = 800;

/// Cost of waiting for the requests of an adapter to end, in requests per second.
const WAITS: f64 = 2.0;

/// Cost of evicting an adapter that another engine has too, relative to evicting the only copy.
const ELSEWHERE_SHARE: f64 = 0.2;

/// Chooses an engine for a requested adapter: one that has its model, preferably with a free slot.
/// Otherwise the adapter whose eviction costs least is evicted.
pub fn place_adapter(
    engines: &[&Engine],
    pool: &ModelPool,
    demand: &Demand,
    wanted: &ModelRef,
    domain: &str,
    now: Millis,
) -> AdapterAction {
    let mut best: Option<(f64, AdapterAction)> = None;
    for engine in engines {
        if !engine.has_model(&wanted.model) || engine.health.is_ejected(now) {
            continue;
        }
        let Some((instead_of, loss)) = place(engine, engines, pool, demand, now) else { continue };
        let load = engine.estimate(now) / f64::from(engine.info.slots.max(1));
        let far = if engine.info.domain == domain { 0.0 } else { OTHER_DOMAIN };
        let cost = loss + load + far + engine.health.failure_rate(now) * 3.0;
        if best.as_ref().is_none_or(|(c, _)| cost < *c) {
            let engine = engine.info.id.clone();
            best = Some((cost, AdapterAction::Load { engine, evict: instead_of }));
        }
    }
    best.map_or(AdapterAction::NotPossible, |(_, step)| step)
}

/// The adapter to evict at this engine, if no slot is free, and the cost.
fn place(
    engine: &Engine,
    engines: &[&Engine],
    pool: &ModelPool,
    demand: &Demand,
    now: Millis,
) -> Option<(Option<ModelRef>, f64)> {
    if free_adapter_slots(engine, pool) > 0 {
        return Some((None, 0.0));
    }
    let all = engine.info.loaded.iter().flat_map(|h| {
        h.adapters.iter().map(|a| ModelRef { model: h.model.clone(), adapter: Some(a.clone()) })
    });
    let cost = |w: &ModelRef| {
        let elsewhere = engines.iter().filter(|e| e.has_loaded(w)).count() > 1;
        let rate = demand.rate(now, w);
        let in_use = demand.last_requested(w).is_some_and(|at| now.saturating_sub(at) < IN_USE);
        let waits = if in_use { WAITS } else { 0.0 };
        waits + if elsewhere { rate * ELSEWHERE_SHARE } else { rate }
    };
    let victim = all.map(|w| (cost(&w), w)).min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some((Some(victim.1), 0.5 + victim.0))
}

/// The most requested adapter that no engine has loaded and whose model is loaded.
pub fn next_missing_adapter(engines: &[&Engine], demand: &Demand, now: Millis) -> Option<ModelRef> {
    let rates = demand.rates(now);
    let missing = rates.adapters.iter().filter(|(w, _)| {
        let model_held = engines.iter().any(|e| e.has_model(&w.model));
        model_held && !engines.iter().any(|e| e.has_loaded(w))
    });
    missing.max_by(|a, b| a.1.total_cmp(b.1)).map(|(w, _)| w.clone())
}
