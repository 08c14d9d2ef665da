//! Demand replicas: which model to load where, beyond the floor, and what to evict for it.

mod api;

pub use api::{DemandSettings, EngineView, HeldView, Move};
