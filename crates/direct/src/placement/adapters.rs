//! Chooses where adapters are loaded.

use crate::{Demand, Engine, EngineId, Millis, ModelPool, ModelRef};

use super::capacity::{adapter_fits, could_hold_adapter, needed_evictions};

/// How a requested adapter gets loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterAction {
    /// Load it at this engine, after evicting these adapters.
    Load { engine: EngineId, evict: Vec<ModelRef> },
    /// No engine with the model can take an order now, or has room.
    NotPossible,
}

/// Cost of an engine outside the caller's failure domain, relative to a fully loaded engine.
const OTHER_DOMAIN_COST: f64 = 0.3;

/// Time after a request for an adapter for which it is probably in use.
const IN_USE_TIME: Millis = 800;

/// Cost of waiting for the requests of an adapter to end, in requests per second.
const IN_USE_COST: f64 = 2.0;

/// Cost of an eviction, in requests per second: an order, and the time until it is done.
const EVICTION_COST: f64 = 0.5;

/// Cost of evicting an adapter that another engine has too, relative to evicting the only copy.
const OTHER_COPY_FACTOR: f64 = 0.2;

/// Chooses an engine for a requested adapter: one that has its model, preferably with room. Otherwise the adapters whose
/// eviction costs least are evicted.
pub fn place_adapter(
    engines: &[&Engine],
    pool: &ModelPool,
    demand: &Demand,
    model_ref: &ModelRef,
    domain: &str,
    now: Millis,
) -> AdapterAction {
    let mut best: Option<((bool, f64), AdapterAction)> = None;
    for engine in engines {
        if !engine.has_model(&model_ref.model) || engine.health.is_ejected(now) {
            continue;
        }
        let Some((evict, loss)) = room_at(engine, engines, pool, demand, model_ref, now) else {
            continue;
        };
        let load = engine.estimate(now) / f64::from(engine.info.slots.max(1));
        let other_domain = if engine.info.domain == domain { 0.0 } else { OTHER_DOMAIN_COST };
        let cost = loss + load + other_domain + engine.health.failure_rate(now) * 3.0;
        // An engine in need is the last resort.
        let cost = (engine.rate_limit.is_some(), cost);
        if best.as_ref().is_none_or(|(c, _)| cost < *c) {
            let engine = engine.info.id.clone();
            best = Some((cost, AdapterAction::Load { engine, evict }));
        }
    }
    best.map_or(AdapterAction::NotPossible, |(_, action)| action)
}

/// The adapters to evict at this engine so that `model_ref` fits, and the cost; none if it does not fit.
fn room_at(
    engine: &Engine,
    engines: &[&Engine],
    pool: &ModelPool,
    demand: &Demand,
    model_ref: &ModelRef,
    now: Millis,
) -> Option<(Vec<ModelRef>, f64)> {
    if adapter_fits(engine, pool, model_ref, &[]) {
        return Some((Vec::new(), 0.0));
    }
    let loaded = engine.info.loaded.iter().flat_map(|h| {
        h.adapters.iter().map(|a| ModelRef { model: h.model.clone(), adapter: Some(a.clone()) })
    });
    let cost = |adapter: &ModelRef| {
        let has_other_copy = engines.iter().filter(|e| e.has_loaded(adapter)).count() > 1;
        let rate = demand.rate(now, adapter);
        let in_use =
            demand.last_requested(adapter).is_some_and(|at| now.saturating_sub(at) < IN_USE_TIME);
        let in_use_cost = if in_use { IN_USE_COST } else { 0.0 };
        in_use_cost + if has_other_copy { rate * OTHER_COPY_FACTOR } else { rate }
    };
    let mut by_cost: Vec<(f64, ModelRef)> = loaded.map(|m| (cost(&m), m)).collect();
    by_cost.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut evict = Vec::new();
    for (_, adapter) in &by_cost {
        evict.push(adapter.clone());
        if adapter_fits(engine, pool, model_ref, &evict) {
            break;
        }
    }
    let evict = needed_evictions(engine, pool, model_ref, evict)?;
    let evicted = by_cost.iter().filter(|(_, adapter)| evict.contains(adapter));
    let loss = evicted.map(|(cost, _)| EVICTION_COST + cost).sum();
    Some((evict, loss))
}

/// Whether an engine that has the adapter's model could hold it if it had no other adapter.
pub fn any_could_hold(engines: &[&Engine], pool: &ModelPool, model_ref: &ModelRef) -> bool {
    let mut with_model = engines.iter().filter(|e| e.has_model(&model_ref.model));
    with_model.any(|e| could_hold_adapter(e, pool, model_ref))
}

/// The most requested adapter that no engine has loaded, and that one with its model could hold.
pub fn next_missing_adapter(
    engines: &[&Engine],
    pool: &ModelPool,
    demand: &Demand,
    now: Millis,
) -> Option<ModelRef> {
    let rates = demand.rates(now);
    let missing = rates.adapters.iter().filter(|(model_ref, _)| {
        any_could_hold(engines, pool, model_ref) && !engines.iter().any(|e| e.has_loaded(model_ref))
    });
    missing.max_by(|a, b| a.1.total_cmp(b.1)).map(|(model_ref, _)| model_ref.clone())
}
