//! Decisions under load: admission, queues, refusal, engine choice and the retry budget.
//!
//! Nothing here knows of sockets, threads or clocks: time is passed in and decisions come out.

mod api;

pub use api::{Ask, Candidate, Decision, End, Job, Refusal, Report, Taken};
