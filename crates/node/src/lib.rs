//! The node as one state machine: events in, actions out.
//!
//! Every input of the process is an [`Event`] and every effect an [`Action`]. Nothing here reads a
//! clock, opens a socket or starts a thread, so that tests and simulators drive a node by hand.

mod border;
mod codec;
mod configuration;
mod context;
mod dispatcher;
mod entry;
mod handover;
mod keeper;
mod keys;
mod machine;
mod members;
mod planner;
mod routes;
mod scope;
mod settings;
mod timer;
mod view;

pub use border::{
    Action, Answer, ApplyOutcome, CallId, CallerRequest, CallerWork, Ended, Event, Failure,
    FailureCode, Machine, MemberStatus, OperatorReply, OperatorRequest, PlatformError, Ran,
    ReadOutcome, Sink, StreamId,
};
pub use machine::Node;
pub use settings::Settings;
