//! A node that serves callers from engines it connects to directly.
//!
//! All tasks run on one thread, because passing the many events of a stream between threads would
//! cost two wake-ups each. Decisions are made in [`hgw_direct`]; the names, formats and calls of a
//! platform are defined by the traits of [`protocol`].

mod attempt_grants;
mod attempt_guard;
mod backoff;
mod brittle;
mod caller_activity;
mod caller_connection;
mod caller_listener;
mod caller_stream;
mod catalog_reads;
mod clock;
mod connection_gate;
mod crashes;
mod dead_peer;
mod election;
mod engine_limits;
mod engine_notices;
mod engine_path;
mod engine_speed;
mod eras;
mod features;
mod follow;
mod freshness;
mod held_bytes;

mod leader;
mod listen;
mod members;
mod meter;
mod overload;
mod packed_text;
mod peers;
mod pool;
pub mod protocol;
mod quotas;
mod relay;
mod response;
mod room_queue;
mod run;
mod settings;
mod shared;
mod shutdown;
mod state;
mod tcp_diagnostics;
mod token_reservation;
mod versions;

pub use features::{Features, UnknownFeature};
pub use run::{ExitReason, Signal, run};
pub use settings::Settings;
