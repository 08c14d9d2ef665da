//! Small stand-ins for upstreams and the platform, the demo and the load tool.
//!
//! Each stand-in is one HTTP server on a thread of its own and speaks what `hgw-wire` documents.
//! Besides that each one answers
//!
//! | call | meaning |
//! |---|---|
//! | `POST /faults` | a [`Faults`]: the faults to show from now on, in place of the earlier ones |
//! | `GET /record` | what the stand-in has seen, for tests to judge by |
//!
//! They serve tests, the demo and measurements. They are not shipped.

pub mod client;
pub mod cluster;
pub mod command;
pub mod demo;
pub mod deployment;
pub mod engine;
mod faults;
pub mod fleet;
pub mod kept_caller;
pub mod link;
pub mod log;
pub mod plain;
pub mod platform;
mod process;
mod server;
pub mod slow_caller;
mod socket_owner;
pub mod vms;
pub mod weights;

pub use faults::{Count, Faults, Late, StreamFault};
pub use process::{Place, fleet_engine};
pub use server::Running;
