//! At-most-once execution of keyed requests.
//!
//! The owner of a key shard records `Begin` before it dispatches a call, and `Done` with the answer
//! after it. A call is dispatched only by the term that recorded its `Begin` and has read it back;
//! any other owner finds the `Begin` and answers that the call may have run.

mod api;
mod record;
mod run;
mod settings;
mod shard;
mod table;

pub use api::{Action, Call, Event, Reply, RunOutcome};
pub use settings::Settings;
pub use shard::{Shard, shard_of};
