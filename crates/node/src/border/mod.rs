//! The border of the state machine.

mod action;
mod caller;
mod event;
mod operator;

use hgw_types::Time;

pub use action::{Action, Sink};
pub use caller::{Answer, CallerRequest, CallerWork, Failure, FailureCode, Ran, StreamId};
pub use event::{Ended, Event, PlatformError, ReadOutcome};
pub use operator::{ApplyOutcome, CallId, MemberStatus, OperatorReply, OperatorRequest};

/// A state machine that the threads of a process drive.
pub trait Machine: Send {
    /// Takes one event at time `now`, which never goes back, and adds the actions that follow to
    /// `out`; they are to be carried out in order.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}
