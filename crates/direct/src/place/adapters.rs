use crate::place::free_places;
use crate::{Demand, Engine, EngineId, Millis, Pool, Wanted};

/// What to do so that an adapter is held somewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Load it there, after dropping another where one is named.
    Load {
        /// The engine.
        engine: EngineId,
        /// What makes way.
        instead_of: Option<Wanted>,
    },
    /// No engine with the model takes an order now.
    Nowhere,
}

/// What an engine in another failure domain than the caller's costs, against a load as a share of slots.
const OTHER_DOMAIN: f64 = 0.3;

/// Time after a request for an adapter for which it is probably in use.
const IN_USE: Millis = 800;

/// What waiting for an adapter's requests to end costs, in requests a second.
const WAITS: f64 = 2.0;

/// What dropping one of two places of an adapter costs, against dropping its only one.
const ELSEWHERE_SHARE: f64 = 0.2;

/// Where an adapter that is wanted now should be loaded: at an engine that holds its model, with a free
/// place if there is one, else in place of the adapter that was longest not asked for.
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

/// A place at an engine, the adapter that makes way for it, and the demand that this costs.
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

/// The next adapter that is asked for, is nowhere, and for which a place is free, or taken by one that
/// nobody asks for.
pub fn spread_adapters(engines: &[&Engine], demand: &Demand, now: Millis) -> Option<Wanted> {
    let rates = demand.rates(now);
    let missing = rates.adapters.iter().filter(|(w, _)| {
        let model_held = engines.iter().any(|e| e.holds_model(&w.model));
        model_held && !engines.iter().any(|e| e.holds(w))
    });
    missing.max_by(|a, b| a.1.total_cmp(b.1)).map(|(w, _)| w.clone())
}
