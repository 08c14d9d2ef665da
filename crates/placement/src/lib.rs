//! Placement of models in engine memory: ledger, residency floor, demand replicas and weight store
//! shares.
//!
//! A failure domain has one leader, its [`Keeper`], which alone sends orders to the domain's
//! engines. It takes [`KeeperEvent`]s and returns [`KeeperAction`]s and does no I/O. [`floor`]
//! computes the replicas that must stay loaded. [`Ledger`] and [`Shares`] can be used without the
//! leader.

mod api;
mod demand;
mod floor;
mod keeper;
pub mod ledger;
mod shares;

pub use api::{Floor, KeeperAction, KeeperEntry, KeeperEvent, OrderResult};
pub use demand::{DemandPlanner, DemandSettings, EngineView, HeldView, Move};
pub use floor::floor;
pub use keeper::{Keeper, KeeperSettings, SEND_WINDOW};
pub use ledger::{Held, Item, Ledger, Reading, ReserveError};
pub use shares::Shares;
