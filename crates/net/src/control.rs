//! The control thread: feeds events to the state machine and carries its actions out in order.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hgw_node::{Action, Ended, Event, Machine, PlatformError, ReadOutcome};
use hgw_placement::OrderResult;
use hgw_types::{NodeId, Time};
use hgw_wire::peer::Outcome;
use tokio::sync::mpsc;

use crate::attempts::Attempts;
use crate::inbox::Events;
use crate::lifecycle::{Lifecycle, Phase};
use crate::operator_port::Calls;
use crate::peers::{self, PeerTable};
use crate::platform;
use crate::streams::Streams;
use crate::upstreams::{self, GivenOrder, Start};
use crate::{meter, streams};

/// Events handled before the end of the process is looked at.
const BATCH: usize = 256;

/// Longest wait for an event, so that the thread sees the end of the process.
const WAIT: Duration = Duration::from_millis(50);

/// Everything that the control thread reaches.
pub(crate) struct Control {
    pub(crate) machine: Box<dyn Machine>,
    pub(crate) start: Instant,
    pub(crate) streams: Arc<Streams>,
    pub(crate) attempts: Arc<Attempts>,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) calls: Arc<Calls>,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) to_upstreams: mpsc::Sender<upstreams::Command>,
    pub(crate) to_peers: mpsc::Sender<peers::Command>,
    pub(crate) to_platform: mpsc::Sender<platform::Command>,
}

impl Control {
    /// Runs until the machine has finished or the process ends.
    pub(crate) fn run(mut self, events: &Events) {
        let _guard = self.lifecycle.guard();
        let mut batch = Vec::with_capacity(BATCH);
        let mut round = Round::default();
        while self.lifecycle.phase() == Phase::Running {
            events.drain(WAIT, BATCH, &mut batch);
            for event in batch.drain(..) {
                round.answers.push_back(event);
                self.settle(&mut round);
            }
        }
        self.calls.abandon();
    }

    /// Feeds one event, and what follows from its actions at once.
    fn settle(&mut self, round: &mut Round) {
        while let Some(event) = round.answers.pop_front() {
            let now = Time::from_micros(self.start.elapsed().as_micros() as u64);
            self.machine.handle(now, event, &mut round.actions);
            let mut actions = std::mem::take(&mut round.actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, &mut round.answers);
            }
            round.actions = actions;
        }
    }

    /// Carries one action out; an answer that is known at once goes to `answers`.
    fn carry_out(&mut self, now: Time, action: Action, answers: &mut VecDeque<Event>) {
        match action {
            Action::Attach { stream, attempt } => self.streams.attach(stream, attempt),
            Action::Seal { stream } => {
                let streams::Taken { tokens, begun } = self.streams.seal(stream);
                answers.push_back(Event::Sealed { stream, tokens, begun });
            }
            Action::Answer { stream, answer } => self.streams.answer(stream, answer),
            Action::Connect { peer, addr } => self.connect(peer, addr, answers),
            Action::Disconnect { peer } => self.peers.close(&peer),
            Action::Send { to, message } => {
                if self.peers.send(&to, message).is_err() {
                    answers.push_back(Event::PeerDown { peer: to });
                }
            }
            Action::Start { attempt, addr, work, priority, silence, sink, .. } => {
                let attempt = self.attempts.begin(attempt);
                let start = Start { attempt, addr, work, priority, silence, sink };
                self.to_upstreams(upstreams::Command::Start(Box::new(start)), answers);
            }
            Action::Cancel { attempt } => self.attempts.cancel(attempt),
            Action::Order { upstream, addr, order, token, send_by, timeout } => {
                let given = GivenOrder { upstream, addr, order, token, send_by, timeout };
                self.to_upstreams(upstreams::Command::Order(Box::new(given)), answers);
            }
            Action::AskState { upstream, addr } => {
                let ask = upstreams::Command::AskState { upstream, addr, asked: now };
                self.to_upstreams(ask, answers);
            }
            Action::AskLoad { upstream, addr } => {
                self.to_upstreams(upstreams::Command::AskLoad { upstream, addr }, answers);
            }
            Action::Read { stream, from } => {
                self.to_platform(platform::Command::Read { stream, from }, answers);
            }
            Action::Append { stream, id, data } => {
                self.to_platform(platform::Command::Append { stream, id, data }, answers);
            }
            Action::AskVms => self.to_platform(platform::Command::AskVms, answers),
            Action::Reply { call, reply } => self.calls.reply(call, reply),
            Action::Ready(ready) => self.ready.store(ready, Ordering::Release),
            Action::Exit => self.lifecycle.advance(Phase::Draining),
        }
    }

    fn connect(&self, peer: NodeId, addr: String, answers: &mut VecDeque<Event>) {
        let Some(link) = self.peers.begin(&peer) else { return };
        let command = peers::Command::Connect(Arc::clone(&link), addr);
        if self.to_peers.try_send(command).is_err() {
            meter::ring_full("peers");
            self.peers.remove(&link);
            answers.push_back(Event::PeerDown { peer });
        }
    }

    /// Hands a command over, or answers it at once where the ring is full.
    fn to_upstreams(&self, command: upstreams::Command, answers: &mut VecDeque<Event>) {
        use upstreams::Command;
        let Err(e) = self.to_upstreams.try_send(command) else { return };
        meter::ring_full("upstreams");
        answers.push_back(match e.into_inner() {
            Command::Start(start) => {
                let attempt = start.attempt.id;
                self.attempts.end(attempt);
                let outcome = Outcome::NotRun("the ring of the upstreams' thread is full".into());
                Event::Ended(Ended { attempt, outcome, answer: None })
            }
            Command::Order(given) => {
                let GivenOrder { upstream, order, .. } = *given;
                Event::OrderAnswer { upstream, order: order.id, result: OrderResult::NotSent }
            }
            Command::AskState { upstream, asked, .. } => {
                Event::State { upstream, asked, state: None }
            }
            Command::AskLoad { upstream, .. } => Event::Load { upstream, report: None },
        });
    }

    /// Hands a command over, or answers it at once where the ring is full.
    fn to_platform(&self, command: platform::Command, answers: &mut VecDeque<Event>) {
        use platform::Command;
        let Err(e) = self.to_platform.try_send(command) else { return };
        meter::ring_full("platform");
        answers.push_back(match e.into_inner() {
            Command::Read { stream, from } => {
                Event::Read { stream, from, outcome: ReadOutcome::Failed }
            }
            Command::Append { stream, id, .. } => {
                Event::Appended { stream, id, outcome: Err(PlatformError::NotSent) }
            }
            Command::AskVms => Event::Vms(None),
        });
    }
}

/// Buffers of the control loop.
#[derive(Default)]
struct Round {
    answers: VecDeque<Event>,
    actions: Vec<Action>,
}
