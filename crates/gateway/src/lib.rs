//! A node that serves callers from engines it connects to directly.
//!
//! All tasks run on one thread, because passing the many events of a stream between threads would
//! cost two wake-ups each. Decisions are made in [`hgw_direct`]; the names, formats and calls of a
//! platform are defined by the traits of [`dialect`].

mod answer;
mod at_engine;
mod backoff;
mod clock;
pub mod dialect;
mod election;
mod eras;
mod follow;
mod front;
mod leader;
mod listen;
mod members;
mod meter;
mod peers;
mod pool;
mod proof;
mod quotas;
mod relay;
mod run;
mod settings;
mod shared;
mod shutdown;
mod state;
mod turn;

pub use run::{Ended, Signal, run};
pub use settings::Settings;
