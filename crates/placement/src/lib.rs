//! Decisions on memory: the ledger, the floor, demand replicas and weight store shares.
//!
//! The [`KeeperEvent`]s and [`KeeperAction`]s are the border of the [`Keeper`] of one failure domain:
//! the only sender of orders to the engines of its domain. [`floor`] is the planner's decision. The
//! [`Ledger`] and the [`Shares`] stand alone and can be embedded without the keeper.

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
