//! Free memory and adapter slots of engines.

use crate::{Engine, ModelPool};

/// Size of a model. An unknown model counts as filling the engine, so that nothing is loaded beside
/// it.
fn weights_mb(pool: &ModelPool, model: &str) -> f64 {
    pool.models.get(model).map_or(pool.weights_mb, |m| m.weights_mb)
}

/// Memory reserved for adapters: each slot may hold the largest one.
pub(super) fn reserved_mb(pool: &ModelPool) -> f64 {
    let largest = pool.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
    f64::from(pool.adapter_slots) * largest
}

/// Memory free for models.
pub(super) fn free_mb(engine: &Engine, pool: &ModelPool, reserved: f64) -> f64 {
    let models = engine.info.loaded.iter().map(|h| weights_mb(pool, &h.model)).sum::<f64>();
    pool.weights_mb - models - reserved
}

pub fn free_adapter_slots(engine: &Engine, pool: &ModelPool) -> i64 {
    i64::from(pool.adapter_slots) - engine.adapter_slots_used() as i64
}
