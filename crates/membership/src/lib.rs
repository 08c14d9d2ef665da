//! Heartbeats, the live view and rendezvous hashing.
//!
//! Liveness is local and soft: nodes send small heartbeats to random peers of their failure domain,
//! with the counters of some other members. It decides who should act, never what is safe.

mod api;

pub use api::{Action, Beat, Event, Member};
