//! Decides which engine loads which model and adapter. Only the leader does this.

mod adapters;
mod ceiling;
mod even;
mod models;
mod room;
mod spread;
mod targets;

pub use adapters::{AdapterStep, place_adapter, spread_adapters};
pub use ceiling::{Ceiling, CeilingLimits};
pub use models::{Allowed, ModelStep, Pending, Source, making_room, next_model_step};
pub use room::free_places;
