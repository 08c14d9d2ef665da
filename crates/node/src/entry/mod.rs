//! The entry role: takes callers' requests, finds a dispatcher for each, and goes on elsewhere when
//! one fails.

mod admit;
mod failure;
mod open;
mod submit;

use std::time::Duration;

use hgw_dispatch::{Chooser, RetryBudget};
use hgw_events::{Event as LogEvent, emit};
use hgw_types::{AttemptId, NodeId, Time};
use hgw_wire::peer::{KeyedAnswer, NotStarted, Outcome};
use indexmap::IndexMap;

use crate::context::Context;
use crate::handover::GRACE;
use crate::view::View;
use crate::{Action, Answer, CallerRequest, Failure, FailureCode, Ran, StreamId};
use open::{Open, Phase, Task};

/// Pause before another upstream is looked for where none was found.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Times that a request goes on elsewhere after it broke off with something new delivered. More than
/// this and it is more likely that the request itself breaks upstreams.
const MAX_MOVES: u8 = 5;

/// All requests of callers at this node.
#[derive(Debug)]
pub(crate) struct Entry {
    open: IndexMap<StreamId, Open>,
    by_attempt: IndexMap<AttemptId, StreamId>,
    chooser: Chooser,
    budget: RetryBudget,
    unmet: Unmet,
}

/// Requests that found no replica with room, by model, since last told to the keeper.
pub(crate) type Unmet = IndexMap<hgw_types::ModelId, UnmetDemand>;

/// What was missing for a model.
#[derive(Debug, Default)]
pub(crate) struct UnmetDemand {
    pub(crate) requests: u32,
    pub(crate) adapters: Vec<hgw_types::AdapterId>,
}

impl Entry {
    pub(crate) fn new(chooser: Chooser, budget: RetryBudget) -> Self {
        Entry {
            open: IndexMap::new(),
            by_attempt: IndexMap::new(),
            chooser,
            budget,
            unmet: Unmet::new(),
        }
    }

    /// Number of requests without an answer.
    pub(crate) fn open_requests(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn take_unmet(&mut self) -> Unmet {
        std::mem::take(&mut self.unmet)
    }

    pub(crate) fn on_request(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        stream: StreamId,
        request: CallerRequest,
    ) {
        match admit::admit(cx.now, view, request) {
            Ok(admit::Admitted::Models(names)) => {
                cx.act(Action::Answer { stream, answer: Answer::Models(names) });
            }
            Ok(admit::Admitted::Request(open)) => {
                self.budget.first(cx.now);
                let keyed = matches!(&open.task, Task::Plain { key: Some(_), .. });
                self.open.insert(stream, *open);
                if keyed {
                    self.submit_keyed(cx, view, stream, None);
                } else {
                    self.submit(cx, view, stream);
                }
            }
            Err(failure) => cx.act(Action::Answer { stream, answer: Answer::Failed(failure) }),
        }
    }

    pub(crate) fn on_caller_gone(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let Some(open) = self.remove(stream) else { return };
        cancel(cx, &open);
    }

    /// The dispatcher has not started the work: nothing has run by this attempt.
    pub(crate) fn on_not_started(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        reason: &NotStarted,
        delay: Duration,
    ) {
        let Some(stream) = self.by_attempt.swap_remove(&attempt) else { return };
        let Some(open) = self.open.get_mut(&stream) else { return };
        let Phase::Submitted(current) = &open.phase else { return };
        let upstream = current.upstream.clone();
        match reason {
            NotStarted::Unreachable => self.chooser.failed(cx.now, &upstream),
            _ => self.chooser.observe(cx.now, &upstream, delay),
        }
        if let Some(failure) = failure::refusal(reason, ran(open)) {
            // A replica for work that may wait would take memory from urgent work.
            if open.urgency.is_urgent() {
                self.note_unmet(stream);
            }
            self.fail(cx, stream, failure);
            return;
        }
        open.hops += 1;
        if *reason == NotStarted::NotMine {
            // The nodes see different members for a moment; asking again at once would only repeat it.
            open.phase = Phase::Looking { next: cx.now + LOOK_PAUSE };
            return;
        }
        open.tried.insert(upstream);
        self.submit(cx, view, stream);
    }

    pub(crate) fn on_started(&mut self, now: Time, attempt: AttemptId, delay: Duration) {
        let Some(open) = self.by_attempt.get(&attempt).and_then(|s| self.open.get_mut(s)) else {
            return;
        };
        if let Phase::Submitted(current) = &mut open.phase {
            current.started = true;
            self.chooser.observe(now, &current.upstream, delay);
        }
    }

    pub(crate) fn on_ended(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        outcome: Outcome,
        delay: Duration,
    ) {
        let Some(stream) = self.by_attempt.swap_remove(&attempt) else { return };
        let Some(open) = self.open.get_mut(&stream) else { return };
        let Phase::Submitted(current) = &open.phase else { return };
        let upstream = current.upstream.clone();
        self.chooser.observe(cx.now, &upstream, delay);
        self.chooser.finished(cx.now, &upstream);
        match outcome {
            Outcome::Whole(_) => self.finish(cx, stream, Answer::Whole),
            Outcome::Preempted => {
                open.may_have_run = true;
                self.seal(cx, stream, true);
            }
            Outcome::NotRun(_) => {
                self.chooser.failed(cx.now, &upstream);
                open.tried.insert(upstream);
                // A stream that its caller is reading would be cut; `look_until` bounds its tries.
                if open.has_begun() || self.budget.allow(cx.now) {
                    self.submit(cx, view, stream);
                } else {
                    self.fail_unavailable(cx, stream);
                }
            }
            Outcome::Broken(_) => {
                self.chooser.failed(cx.now, &upstream);
                open.tried.insert(upstream);
                open.may_have_run = true;
                self.on_broken(cx, stream, false);
            }
        }
    }

    /// A peer is gone: what it worked on for callers of this node goes on elsewhere, or is answered.
    pub(crate) fn on_peer_down(&mut self, cx: &mut Context<'_>, peer: &NodeId) {
        let lost: Vec<StreamId> =
            self.open.iter().filter(|(_, o)| o.worker() == Some(peer)).map(|(s, _)| *s).collect();
        for stream in lost {
            self.lose(cx, stream);
        }
    }

    fn lose(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        if let Some(attempt) = open.attempt() {
            self.by_attempt.swap_remove(&attempt);
        }
        // The message that would have said so may be lost with the peer.
        open.may_have_run = true;
        self.on_broken(cx, stream, true);
    }

    /// The answer broke off. Idempotent work goes on from what the caller has; other work may have
    /// run, and a second run would double it, so its caller is told at once.
    fn on_broken(&mut self, cx: &mut Context<'_>, stream: StreamId, free: bool) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        if open.is_idempotent() && open.moves < MAX_MOVES {
            self.seal(cx, stream, free);
        } else {
            self.fail(cx, stream, failure::broken(Ran::MayHaveRun));
        }
    }

    /// Finds out what the caller has; from then on no chunk of an earlier attempt can reach it.
    fn seal(&mut self, cx: &mut Context<'_>, stream: StreamId, free: bool) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        open.phase = Phase::Sealing { free };
        cx.act(Action::Seal { stream });
    }

    /// Goes on from what the caller has.
    ///
    /// Retries take from a budget, so that an outage does not multiply load. A stream that its caller
    /// is reading takes nothing: it would be cut, and going on does no work a second time. Nor does
    /// what a lost peer worked on: there is no more of it than was in progress, each moves a bounded
    /// number of times, and the budget could not cover a node's whole work at once.
    pub(crate) fn on_sealed(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        stream: StreamId,
        tokens: Vec<std::sync::Arc<str>>,
        begun: bool,
    ) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        let Phase::Sealing { free } = open.phase else { return };
        let mut has_moved_on = false;
        match &mut open.task {
            Task::Model { delivered, max_tokens, .. } => {
                has_moved_on = tokens.len() > delivered.len();
                *delivered = tokens;
                if delivered.len() >= max_tokens.0 as usize {
                    self.finish(cx, stream, Answer::Whole);
                    return;
                }
            }
            Task::Plain { .. } if begun => {
                self.fail(cx, stream, failure::broken(Ran::MayHaveRun));
                return;
            }
            Task::Plain { .. } => {}
        }
        if !free && !open.has_begun() && !self.budget.allow(cx.now) {
            self.fail(cx, stream, failure::broken(Ran::MayHaveRun));
            return;
        }
        open.hops = 0;
        log_resumed(cx, open);
        // A try that brought nothing new is bounded by the time since the last that did: the engine may
        // be dead, and its keeper needs longer than a few tries to find out.
        if has_moved_on || open.look_until.is_none() {
            open.moves += u8::from(has_moved_on);
            let left = open.deadline.since(cx.now);
            let patience = if open.has_begun() { left.max(cx.settings.resume_wait) } else { left };
            open.look_until = Some(cx.now + patience);
        }
        self.submit(cx, view, stream);
    }

    pub(crate) fn on_keyed_answer(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        answer: KeyedAnswer,
    ) {
        let Some(stream) = self.by_attempt.swap_remove(&attempt) else { return };
        let Some(open) = self.open.get(&stream) else { return };
        let Phase::Keyed { redirected, .. } = open.phase else { return };
        let reply = match answer {
            KeyedAnswer::Answer(answer) => Answer::Recorded(answer),
            KeyedAnswer::MayHaveRun => Answer::Failed(failure::broken(Ran::MayHaveRun)),
            KeyedAnswer::NotRun { retry_after_ms } => {
                let later = Some(Duration::from_millis(retry_after_ms));
                let message = "the call cannot be recorded, or its upstream reached, at present";
                let code = FailureCode::Unavailable;
                Answer::Failed(failure::failure(code, Ran::NotRun, later, message))
            }
            KeyedAnswer::KeyReused => {
                let message = "the idempotency key was used with another call";
                Answer::Failed(failure::failure(FailureCode::KeyReused, Ran::NotRun, None, message))
            }
            KeyedAnswer::NotOwner(Some(owner)) if !redirected => {
                self.submit_keyed(cx, view, stream, Some(owner));
                return;
            }
            KeyedAnswer::NotOwner(_) => Answer::Failed(failure::unavailable(Ran::NotRun)),
        };
        self.finish(cx, stream, reply);
    }

    /// Goes on with requests that wait for an upstream, and gives up those past their time.
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let now = cx.now;
        let due = |open: &Open| match &open.phase {
            Phase::Looking { next } => *next <= now,
            Phase::Submitted(current) => !current.started && open.due() + GRACE <= now,
            Phase::Keyed { .. } => open.due() + GRACE <= now,
            Phase::Sealing { .. } => false,
        };
        let streams: Vec<StreamId> =
            self.open.iter().filter(|(_, o)| due(o)).map(|(s, _)| *s).collect();
        for stream in streams {
            let Some(open) = self.open.get(&stream) else { continue };
            if matches!(open.phase, Phase::Looking { .. }) {
                self.submit(cx, view, stream);
            } else {
                // The dispatcher or owner was told of the request and has said nothing since.
                cancel(cx, open);
                self.fail(cx, stream, failure::too_late(Ran::MayHaveRun, failure::TAKEOVER));
            }
        }
    }

    /// Counts a request that found no room, for the keeper at home.
    fn note_unmet(&mut self, stream: StreamId) {
        let Some(open) = self.open.get(&stream) else { return };
        let Task::Model { model, adapter, .. } = &open.task else { return };
        let unmet = self.unmet.entry(model.clone()).or_default();
        unmet.requests += 1;
        unmet.adapters.extend(adapter.iter().cloned());
        unmet.adapters.sort();
        unmet.adapters.dedup();
    }

    fn fail_unavailable(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let Some(open) = self.open.get(&stream) else { return };
        let failure = failure::unavailable(ran(open));
        self.note_unmet(stream);
        self.fail(cx, stream, failure);
    }

    fn fail(&mut self, cx: &mut Context<'_>, stream: StreamId, failure: Failure) {
        self.finish(cx, stream, Answer::Failed(failure));
    }

    fn finish(&mut self, cx: &mut Context<'_>, stream: StreamId, answer: Answer) {
        self.remove(stream);
        cx.act(Action::Answer { stream, answer });
    }

    fn remove(&mut self, stream: StreamId) -> Option<Open> {
        let open = self.open.swap_remove(&stream)?;
        if let Some(attempt) = open.attempt() {
            self.by_attempt.swap_remove(&attempt);
        }
        Some(open)
    }
}

/// Tells the node that works on a request that nobody waits for it any more.
fn cancel(cx: &mut Context<'_>, open: &Open) {
    if let Phase::Submitted(current) = &open.phase {
        let message = hgw_wire::peer::Message::Cancel { attempt: current.attempt };
        cx.send(&current.dispatcher, message);
    }
}

/// What a caller is told that comes while the node stops.
pub(crate) fn stopping_answer() -> Answer {
    Answer::Failed(failure::stopping())
}

fn ran(open: &Open) -> Ran {
    if open.may_have_run { Ran::MayHaveRun } else { Ran::NotRun }
}

fn log_resumed(cx: &Context<'_>, open: &Open) {
    let tokens = open.delivered();
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("node", &cx.settings.node), ("request", &open.request), ("tokens", &tokens)];
    emit(LogEvent::RequestResumed, &fields);
}
