//! Heartbeats, the live view and rendezvous hashing.
//!
//! Liveness is local and soft: nodes send small heartbeats to random peers of their failure domain,
//! with the counters of some other members. It decides who should act, never what is safe.
//!
//! A node knows all members of its own domain, and a few representatives of each other one.

mod api;
mod known;
mod membership;
pub mod rank;
mod settings;
mod short;

pub use api::{Action, Beat, Event, Member, Pulse};
pub use membership::Membership;
pub use settings::Settings;
pub use short::short;
