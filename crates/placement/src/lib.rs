//! Placement of models in engine memory: ledger, residency floor, demand replicas and weight store
//! shares.
//!
//! A failure domain has one leader, its [`Leader`], which alone sends orders to the domain's
//! engines. It takes [`LeaderEvent`]s and returns [`LeaderAction`]s and does no I/O. [`floor`]
//! computes the replicas that must stay loaded. [`Ledger`] and [`WeightStoreShare`] can be used
//! without the leader.

mod api;
mod demand;
mod floor;
mod leader;
pub mod ledger;
mod weight_store;

pub use api::{Floor, LeaderAction, LeaderEntry, LeaderEvent, OrderResult};
pub use demand::{DemandPlanner, DemandSettings, EngineView, PlannedLoad, ReplicaView};
pub use floor::floor;
pub use leader::{Leader, LeaderSettings, SEND_WINDOW};
pub use ledger::{Item, Ledger, LoadedItem, ReserveError, StateOutcome};
pub use weight_store::WeightStoreShare;
