//! `load decisions`: the decision code in virtual time, beside baselines.
//!
//! Every scenario runs for both deployments under each policy, with the same requests. Faults enter
//! as what the decisions are told; there are no nodes, links or clocks here, only one entry side a
//! failure domain, the queues, and a fake upstream each.

pub mod deployment;
mod engine;
mod entry;
mod outcome;
mod place;
pub mod policy;
mod report;
mod requests;
pub mod scenario;
mod serve;
mod tally;
mod world;

pub use outcome::Outcome;
pub use report::{Args, run};
pub use world::play;

use tally::Tally;
