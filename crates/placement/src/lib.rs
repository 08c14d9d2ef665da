//! Decisions on memory: the ledger, the floor, demand replicas and weight store shares.
//!
//! The [`KeeperEvent`]s and [`KeeperAction`]s are the border of the keeper of one failure domain: the
//! only sender of orders to the engines of its domain.

mod api;
mod demand;

pub use api::{Floor, KeeperAction, KeeperEntry, KeeperEvent, OrderResult};
pub use demand::{DemandPlanner, DemandSettings, EngineView, HeldView, Move};
