//! Decides which engine loads which model and adapter. Only the leader does this.

mod adapters;
mod balance;
mod capacity;
mod load_distribution;
mod load_rate;
mod models;
mod targets;

pub use adapters::{AdapterAction, any_could_hold, next_missing_adapter, place_adapter};
pub use capacity::{free_adapter_slots, model_fits, needed_evictions};
pub use load_rate::{LoadRateLimiter, LoadRateLimits, ReportedLoads};
pub use models::{
    AllowedActions, ModelLoad, PendingLoads, WeightSource, count_evicting, next_model_load,
};
