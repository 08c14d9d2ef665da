//! Room at engines for models and adapters: slots and memory, by the figures of the service that an engine belongs to.

use crate::{Engine, ModelPool, ModelRef};

/// Size of a model. An unknown model counts as filling the engine, so that nothing is loaded beside
/// it.
pub(super) fn weights_mb(pool: &ModelPool, model: &str) -> f64 {
    pool.known_model(model).map_or(pool.weights_mb, |m| m.weights_mb)
}

/// Memory reserved for adapters: each slot may hold the largest one.
pub(super) fn reserved_mb(pool: &ModelPool) -> f64 {
    let largest_mb = pool.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
    f64::from(pool.adapter_slots) * largest_mb
}

/// Memory free for models.
pub(super) fn free_mb(engine: &Engine, pool: &ModelPool, reserved_mb: f64) -> f64 {
    let models_mb = engine.info.loaded.iter().map(|h| weights_mb(pool, &h.model)).sum::<f64>();
    pool.weights_mb - models_mb - reserved_mb
}

/// Whether a model fits at an engine beside the others and the adapters that may come.
pub fn model_fits(engine: &Engine, pool: &ModelPool, model: &str) -> bool {
    free_mb(engine, pool, reserved_mb(pool)) >= weights_mb(pool, model)
}

pub fn free_adapter_slots(engine: &Engine, pool: &ModelPool) -> i64 {
    i64::from(pool.adapter_slots) - engine.adapter_slots_used() as i64
}

/// Size of an adapter of a model. One of an unknown model takes no memory beside it, as the model fills the engine.
fn adapter_mb(pool: &ModelPool, model: &str) -> f64 {
    pool.known_model(model).map_or(0.0, |m| m.adapter_mb)
}

/// Whether an adapter fits at an engine that has its model, once `evict` have been evicted there.
pub(super) fn adapter_fits(
    engine: &Engine,
    pool: &ModelPool,
    adapter: &ModelRef,
    evict: &[ModelRef],
) -> bool {
    let is_kept = |model: &str, name: &str| {
        !evict.iter().any(|e| e.model == model && e.adapter.as_deref() == Some(name))
    };
    let kept = engine.adapters().filter(|(model, name)| is_kept(model, name));
    let (slots, adapters_mb) =
        kept.fold((0, 0.0), |(slots, mb), (model, _)| (slots + 1, mb + adapter_mb(pool, model)));
    slots < pool.adapter_slots
        && adapters_mb + adapter_mb(pool, &adapter.model) <= free_mb(engine, pool, 0.0)
}

/// Whether an adapter would fit at an engine that has its model and no other adapter.
pub(super) fn could_hold_adapter(engine: &Engine, pool: &ModelPool, adapter: &ModelRef) -> bool {
    pool.adapter_slots > 0 && adapter_mb(pool, &adapter.model) <= free_mb(engine, pool, 0.0)
}

/// The part of `planned` that has to be evicted so that an adapter fits; none if it does not fit even so. Adapters that
/// are not loaded any more make no room.
pub fn needed_evictions(
    engine: &Engine,
    pool: &ModelPool,
    adapter: &ModelRef,
    planned: Vec<ModelRef>,
) -> Option<Vec<ModelRef>> {
    let mut evict: Vec<ModelRef> =
        planned.into_iter().filter(|planned| engine.has_loaded(planned)).collect();
    if !adapter_fits(engine, pool, adapter, &evict) {
        return None;
    }
    let mut index = 0;
    while index < evict.len() {
        let candidate = evict.remove(index);
        if !adapter_fits(engine, pool, adapter, &evict) {
            evict.insert(index, candidate);
            index += 1;
        }
    }
    Some(evict)
}
