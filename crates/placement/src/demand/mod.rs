//! Demand replicas: which model to load where, beyond the floor, and what to evict for it.

mod api;
mod planner;
mod room;
mod seen;

pub use api::{DemandSettings, EngineView, HeldView, Move};
pub use planner::DemandPlanner;
