//! A node that serves callers from engines it reaches directly.
//!
//! One thread does all of it: a stream has twenty events for each request, and an event that crosses
//! threads pays for two wake-ups. What is decided lives in [`hgw_direct`]; names, formats and calls of a
//! platform come in by the traits of [`protocol`].

mod attempt_guard;
mod backoff;
mod caller_listener;
mod clock;
mod eras;
mod follow;
mod freshness;
mod holder;
mod keeper;
mod listen;
mod members;
mod meter;
mod peers;
mod pool;
mod prefill_queue;
pub mod protocol;
mod quotas;
mod relay;
mod response;
mod run;
mod settings;
mod shared;
mod state;
mod stop;

pub use run::{Ended, Signal, run};
pub use settings::Settings;
