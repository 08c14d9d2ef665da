//! Decisions under load: admission, queues, refusal, engine choice and the retry budget.
//!
//! Nothing here knows of sockets, threads or clocks: time is passed in and decisions come out.

mod api;
mod chooser;
mod prefix;
mod queue;
mod retry;

pub use api::{Ask, Candidate, Decision, End, Job, Refusal, Report, Taken};
pub use chooser::{Chooser, ChooserSettings};
pub use prefix::{PREFIX_BLOCK, prefix_hashes};
pub use queue::{Load, Queue, QueueSettings};
pub use retry::{RetryBudget, RetrySettings};
