//! A node that serves callers from engines it reaches directly.
//!
//! One thread does all of it: a stream has twenty events for each request, and an event that crosses
//! threads pays for two wake-ups. What is decided lives in [`hgw_direct`]; names, formats and calls of a
//! platform come in by the traits of [`dialect`].

mod answer;
mod at_engine;
mod backoff;
mod clock;
pub mod dialect;
mod eras;
mod follow;
mod front;
mod holder;
mod keeper;
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
mod state;
mod stop;
mod turn;

pub use run::{Ended, Signal, run};
pub use settings::Settings;
