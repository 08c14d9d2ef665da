//! Demand replicas: which models to load beyond the residency floor, on which engines, and what to
//! evict for them.

mod api;
mod capacity;
mod estimate;
mod planner;

pub use api::{DemandSettings, EngineView, PlannedLoad, ReplicaView};
pub use planner::DemandPlanner;
