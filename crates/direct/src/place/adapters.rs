//! Chooses where adapters are loaded.

use crate::place::free_places;
use crate::{Demand, Engine, EngineId, Millis, Pool, Wanted};

/// How a requested adapter gets loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Load it at this engine, after evicting another adapter if one is given.
    Load {
        engine: EngineId,
        instead_of: Option<Wanted>,
    },
    /// No engine with the model can take an order now.
    Nowhere,
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
    pool: &Pool,
    demand: &Demand,
    wanted: &Wanted,
    domain: &str,
    now: Millis,
) -> AdapterStep {
    let mut best: Option<(f64, AdapterStep)> = None;
    for engine in engines {
        if !engine.holds_model(&wanted.model) || engine.judge.is_left_alone(now) {
            continue;
        }
        let Some((instead_of, loss)) = place(engine, engines, pool, demand, now) else { continue };
        let load = engine.estimate(now) / f64::from(engine.listed.slots.max(1));
        let far = if engine.listed.domain == domain { 0.0 } else { OTHER_DOMAIN };
        let cost = loss + load + far + engine.judge.failing(now) * 3.0;
        if best.as_ref().is_none_or(|(c, _)| cost < *c) {
            let engine = engine.listed.id.clone();
            best = Some((cost, AdapterStep::Load { engine, instead_of }));
        }
    }
    best.map_or(AdapterStep::Nowhere, |(_, step)| step)
}

/// The adapter to evict at this engine, if no slot is free, and the cost.
fn place(
    engine: &Engine,
    engines: &[&Engine],
    pool: &Pool,
    demand: &Demand,
    now: Millis,
) -> Option<(Option<Wanted>, f64)> {
    if free_places(engine, pool) > 0 {
        return Some((None, 0.0));
    }
    let all = engine.listed.held.iter().flat_map(|h| {
        h.adapters.iter().map(|a| Wanted { model: h.model.clone(), adapter: Some(a.clone()) })
    });
    let cost = |w: &Wanted| {
        let elsewhere = engines.iter().filter(|e| e.holds(w)).count() > 1;
        let rate = demand.rate(now, w);
        let in_use = demand.last(w).is_some_and(|at| now.saturating_sub(at) < IN_USE);
        let waits = if in_use { WAITS } else { 0.0 };
        waits + if elsewhere { rate * ELSEWHERE_SHARE } else { rate }
    };
    let victim = all.map(|w| (cost(&w), w)).min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some((Some(victim.1), 0.5 + victim.0))
}

/// The most requested adapter that no engine has loaded and whose model is loaded.
pub fn spread_adapters(engines: &[&Engine], demand: &Demand, now: Millis) -> Option<Wanted> {
    let rates = demand.rates(now);
    let missing = rates.adapters.iter().filter(|(w, _)| {
        let model_held = engines.iter().any(|e| e.holds_model(&w.model));
        model_held && !engines.iter().any(|e| e.holds(w))
    });
    missing.max_by(|a, b| a.1.total_cmp(b.1)).map(|(w, _)| w.clone())
}
