use crate::{Engine, Pool};

/// Megabytes of an unknown model: as much as an engine has, so that nothing is put beside it.
fn weights_mb(pool: &Pool, model: &str) -> f64 {
    pool.models.get(model).map_or(pool.weights_mb, |m| m.weights_mb)
}

/// Megabytes of an engine that its adapters may take: each place may hold the largest one.
pub(super) fn reserved_mb(pool: &Pool) -> f64 {
    let largest = pool.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
    f64::from(pool.adapter_slots) * largest
}

/// Megabytes that are free for models, beside those reserved for adapters.
pub(super) fn free_mb(engine: &Engine, pool: &Pool, reserved: f64) -> f64 {
    let models = engine.listed.held.iter().map(|h| weights_mb(pool, &h.model)).sum::<f64>();
    pool.weights_mb - models - reserved
}

/// Places for adapters that are free.
pub fn free_places(engine: &Engine, pool: &Pool) -> i64 {
    i64::from(pool.adapter_slots) - engine.places_taken() as i64
}
