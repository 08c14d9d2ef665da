use crate::{Engine, Pool};

/// What an engine's memory holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// Megabytes that are free.
    pub free_mb: f64,
    /// Places for adapters that are free.
    pub free_places: i64,
}

/// Megabytes of an unknown model: as much as an engine has, so that nothing is put beside it.
fn weights_mb(pool: &Pool, model: &str) -> f64 {
    pool.models.get(model).map_or(pool.weights_mb, |m| m.weights_mb)
}

/// The room that is left at an engine, where room for each adapter place is kept for the largest adapter.
pub fn room(engine: &Engine, pool: &Pool) -> Room {
    let models = engine.listed.held.iter().map(|h| weights_mb(pool, &h.model)).sum::<f64>();
    let largest = pool.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
    let places = f64::from(pool.adapter_slots) * largest;
    Room {
        free_mb: pool.weights_mb - models - places,
        free_places: i64::from(pool.adapter_slots) - engine.places_taken() as i64,
    }
}
