//! A call that this node has taken on.

use bytes::Bytes;
use hgw_types::{AttemptId, RecordId, Time};

use crate::record::{Body, Key};
use crate::{Action, Call, Reply};

#[derive(Debug)]
pub(crate) struct Run {
    /// The record that begins it.
    pub(crate) begin: RecordId,
    pub(crate) fingerprint: u64,
    /// Calls to be answered when it ends, with their deadlines.
    waiters: Vec<(AttemptId, Time)>,
    pub(crate) state: State,
}

#[derive(Debug)]
pub(crate) enum State {
    /// Its `Begin` was proposed at that time and has not been read back.
    Recording { since: Time },
    /// It was dispatched as this attempt.
    Running(AttemptId),
    /// It has ended, and the record of that has not been read back.
    Closing(Closing),
}

#[derive(Debug)]
pub(crate) struct Closing {
    /// The proposal in flight, or when to make the next one.
    pub(crate) proposal: Proposal,
    pub(crate) end: End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Proposal {
    Sent(RecordId),
    Due(Time),
}

#[derive(Debug, Clone)]
pub(crate) enum End {
    Ran(Bytes),
    NotRun,
}

impl Run {
    pub(crate) fn new(now: Time, begin: RecordId, call: &Call) -> Run {
        Run {
            begin,
            fingerprint: call.fingerprint,
            waiters: vec![(call.attempt, call.deadline)],
            state: State::Recording { since: now },
        }
    }

    pub(crate) fn wait(&mut self, call: &Call) {
        self.waiters.push((call.attempt, call.deadline));
    }

    /// The call that is dispatched: one whose caller still waits.
    pub(crate) fn first_waiter(&self) -> Option<AttemptId> {
        self.waiters.first().map(|(attempt, _)| *attempt)
    }

    pub(crate) fn is_abandoned(&self) -> bool {
        self.waiters.is_empty() && matches!(self.state, State::Recording { .. })
    }

    pub(crate) fn reply_all(&mut self, reply: &Reply, out: &mut Vec<Action>) {
        for (attempt, _) in self.waiters.drain(..) {
            out.push(Action::Reply { attempt, reply: reply.clone() });
        }
    }

    pub(crate) fn reply_late(&mut self, now: Time, reply: &Reply, out: &mut Vec<Action>) {
        self.waiters.retain(|(attempt, deadline)| {
            let late = now >= *deadline;
            if late {
                out.push(Action::Reply { attempt: *attempt, reply: reply.clone() });
            }
            !late
        });
    }

    /// The record of how it ended.
    pub(crate) fn end_record(&self, end: &End, answer_bytes: usize) -> Body {
        let begin = self.begin;
        match end {
            End::Ran(answer) => {
                let answer = Some(answer.clone()).filter(|answer| answer.len() <= answer_bytes);
                Body::Done { begin, answer }
            }
            End::NotRun => Body::NotRun { begin },
        }
    }
}

impl From<&Call> for Key {
    fn from(call: &Call) -> Key {
        Key { service: call.service.clone(), key: call.key.clone() }
    }
}
