//! Which engine is to hold which model and adapter, decided by the one node that gives orders.
//!
//! Load: demand moves to other models within seconds while a load takes as long; the weight store takes
//! few loads at a time; an engine that is given more than it holds crashes.

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
