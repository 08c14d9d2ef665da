//! Stand-ins of the users' platform, in its own dialect: its store, and engines of its services.

pub mod deployment;
pub mod endless;
pub mod engine;
pub mod fixed;
mod proxy;
pub mod store;

pub use deployment::Fleet;
pub use endless::{Endless, EndlessRecord, Part};
pub use engine::{EngineMemory, EngineSettings, FleetRecord, Holds};
pub use fixed::FixedResponse;
pub use store::Store;
