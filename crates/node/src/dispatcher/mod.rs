//! The dispatcher role: the one queue before each upstream that this node answers for.

mod admit;
mod demand;
mod upstream_queue;
mod watch;

use std::time::Duration;

use hgw_config::{Document, Urgency};
use hgw_dispatch::{Decision, End, Refusal, Taken};
use hgw_types::{AttemptId, NodeId, Time, UpstreamId};
use hgw_wire::peer::{Message, NotStarted, Outcome, RecordedAnswer, Work};
use indexmap::{IndexMap, IndexSet};

use crate::context::Context;
use crate::handover::micros;
use crate::{Action, Ended, Sink};
use admit::not_started;
pub(crate) use demand::DemandCount;
use upstream_queue::{Stage, Task, UpstreamQueue, UpstreamQueues};

/// Priority given to engines for work that may wait; urgent work has 0.
const DEFERRABLE_PRIORITY: u8 = 10;

/// A queue, as the dump of the state shows it.
#[derive(Debug, serde::Serialize)]
pub(crate) struct QueueState {
    upstream: String,
    urgent_waiting: usize,
    deferrable_waiting: usize,
    running: usize,
    /// Time of a token, in microseconds.
    step_us: u128,
    leaving: bool,
}

/// All queues at this node.
#[derive(Debug, Default)]
pub(crate) struct Dispatcher {
    queues: UpstreamQueues,
    by_attempt: IndexMap<AttemptId, UpstreamId>,
    /// Upstreams whose own report calls them leaving.
    leaving: IndexSet<UpstreamId>,
    demand: DemandCount,
    stopping: bool,
}

impl Dispatcher {
    /// Work in queues and at upstreams.
    pub(crate) fn open_tasks(&self) -> usize {
        self.queues.values().map(|q| q.tasks.len()).sum()
    }

    /// Upstreams whose own report calls them leaving.
    pub(crate) fn leaving(&self) -> &IndexSet<UpstreamId> {
        &self.leaving
    }

    pub(crate) fn demand(&mut self) -> &mut DemandCount {
        &mut self.demand
    }

    /// The queues, for the dump of the state.
    pub(crate) fn state(&self) -> Vec<QueueState> {
        let state = |(id, q): (&UpstreamId, &UpstreamQueue)| {
            let load = q.queue.load();
            QueueState {
                upstream: id.to_string(),
                urgent_waiting: load.urgent_waiting,
                deferrable_waiting: load.deferrable_waiting,
                running: load.running,
                step_us: load.step.as_micros(),
                leaving: load.leaving,
            }
        };
        self.queues.iter().map(state).collect()
    }

    /// Takes no new work from now on. What is running is finished; what is queued goes back to its
    /// entry nodes unstarted, since it could wait here for long.
    pub(crate) fn stop(&mut self, cx: &mut Context<'_>) {
        self.stopping = true;
        let tasks = self.queues.values().flat_map(|q| &q.tasks);
        let queued: Vec<AttemptId> =
            tasks.filter(|(_, t)| t.stage == Stage::Queued).map(|(a, _)| *a).collect();
        for attempt in queued {
            let Some(task) = self.remove(attempt) else { continue };
            if let Some(q) = self.queues.get_mut(&task.submit.upstream) {
                q.queue.cancel(cx.now, attempt);
            }
            let reason = NotStarted::NotMine;
            cx.send(&task.from, Message::NotStarted { attempt, reason, delay_us: 0 });
        }
    }

    /// Drops queues of upstreams that are no longer configured, once they are empty.
    pub(crate) fn on_config(&mut self, document: &Document) {
        self.queues.retain(|id, q| document.upstreams.contains_key(id) || !q.tasks.is_empty());
        self.leaving.retain(|id| document.upstreams.contains_key(id));
        for (id, q) in &mut self.queues {
            if let Some(upstream) = document.upstreams.get(id) {
                q.addr = upstream.addr.clone();
                q.queue.set_slots(upstream.slots);
            }
        }
    }

    fn delay_us(&self, now: Time, upstream: &UpstreamId, urgency: Urgency) -> u64 {
        let q = self.queues.get(upstream);
        let delay = q.map_or(Duration::ZERO, |q| q.queue.delay(now, urgency));
        micros(delay)
    }

    /// Carries out what a queue decides now.
    fn run_queue(&mut self, cx: &mut Context<'_>, id: &UpstreamId) {
        let Some(q) = self.queues.get_mut(id) else { return };
        let mut decisions = Vec::new();
        q.queue.poll(cx.now, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Start(attempt) => self.start(cx, id, attempt),
                Decision::GiveUp(attempt, refusal) => self.give_up(cx, id, attempt, refusal),
                Decision::Preempt(attempt) => self.stop_running(cx, id, attempt, Stage::Preempting),
                Decision::Abandon(attempt) => self.stop_running(cx, id, attempt, Stage::Abandoning),
            }
        }
    }

    fn start(&mut self, cx: &mut Context<'_>, id: &UpstreamId, attempt: AttemptId) {
        let Some(q) = self.queues.get_mut(id) else { return };
        let Some(task) = q.tasks.get_mut(&attempt) else { return };
        task.stage = Stage::Running;
        task.started = Some(cx.now);
        let sink = if task.submit.collect {
            Sink::Collect
        } else if task.from == cx.settings.node {
            Sink::Caller
        } else {
            Sink::Peer(task.from.clone())
        };
        let priority = if task.submit.urgency.is_urgent() { 0 } else { DEFERRABLE_PRIORITY };
        let start = Action::Start {
            attempt,
            upstream: id.clone(),
            addr: q.addr.clone(),
            work: task.submit.work.clone(),
            priority,
            silence: cx.settings.upstream_silence,
            sink,
        };
        let (from, urgency) = (task.from.clone(), task.submit.urgency);
        let delay_us = self.delay_us(cx.now, id, urgency);
        // Said before the work is sent: an entry node that hears nothing more must assume that it ran.
        cx.send(&from, Message::Started { attempt, delay_us });
        cx.act(start);
    }

    fn give_up(
        &mut self,
        cx: &mut Context<'_>,
        id: &UpstreamId,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        let Some(task) = self.remove(attempt) else { return };
        let delay_us = self.delay_us(cx.now, id, task.submit.urgency);
        cx.send(
            &task.from,
            Message::NotStarted { attempt, reason: not_started(refusal), delay_us },
        );
    }

    fn stop_running(
        &mut self,
        cx: &mut Context<'_>,
        id: &UpstreamId,
        attempt: AttemptId,
        stage: Stage,
    ) {
        let task = self.queues.get_mut(id).and_then(|q| q.tasks.get_mut(&attempt));
        if let Some(task) = task {
            task.stage = stage;
            cx.act(Action::Cancel { attempt });
        }
    }

    /// Leaves a plain service's call to end by itself, so that it does not stop half done.
    fn forget(&mut self, id: &UpstreamId, attempt: AttemptId) {
        if let Some(task) = self.queues.get_mut(id).and_then(|q| q.tasks.get_mut(&attempt)) {
            task.stage = Stage::Forgotten;
        }
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Task> {
        let id = self.by_attempt.swap_remove(&attempt)?;
        self.queues.get_mut(&id)?.tasks.swap_remove(&attempt)
    }

    pub(crate) fn on_progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(id) = self.by_attempt.get(&attempt) else { return };
        if let Some(q) = self.queues.get_mut(id) {
            q.queue.progress(now, attempt, tokens);
        }
    }

    pub(crate) fn on_ended(&mut self, cx: &mut Context<'_>, ended: Ended) {
        let Ended { attempt, outcome, answer } = ended;
        let Some(task) = self.remove(attempt) else { return };
        let id = task.submit.upstream.clone();
        let (end, outcome) = conclude(task.stage, outcome);
        if let Some(q) = self.queues.get_mut(&id) {
            q.queue.ended(cx.now, attempt, end);
        }
        if let Some(started) = task.started {
            self.demand.ran(&task.submit, cx.now.since(started));
        }
        if task.stage != Stage::Forgotten {
            self.tell_ended(cx, &task, outcome, answer);
        }
        self.run_queue(cx, &id);
    }

    fn tell_ended(
        &self,
        cx: &mut Context<'_>,
        task: &Task,
        outcome: Outcome,
        answer: Option<RecordedAnswer>,
    ) {
        let attempt = task.submit.attempt;
        let delay_us = self.delay_us(cx.now, &task.submit.upstream, task.submit.urgency);
        cx.send(&task.from, Message::Ended { attempt, outcome, answer, delay_us });
    }

    /// Nobody waits for the work any more.
    pub(crate) fn on_cancel(&mut self, cx: &mut Context<'_>, attempt: AttemptId) {
        let Some(id) = self.by_attempt.get(&attempt).cloned() else { return };
        let Some(q) = self.queues.get_mut(&id) else { return };
        let plain = q.tasks.get(&attempt).is_some_and(|t| matches!(t.submit.work, Work::Plain(_)));
        match q.queue.cancel(cx.now, attempt) {
            Some(Taken::Running) if plain => self.forget(&id, attempt),
            Some(Taken::Running) => self.stop_running(cx, &id, attempt, Stage::Forgotten),
            Some(Taken::Queued) | None => {
                self.remove(attempt);
            }
        }
        self.run_queue(cx, &id);
    }

    /// An entry node is gone: its callers are gone with it, or it has sent their work elsewhere.
    pub(crate) fn on_peer_down(&mut self, cx: &mut Context<'_>, peer: &NodeId) {
        let tasks = self.queues.values().flat_map(|q| &q.tasks);
        let lost: Vec<AttemptId> =
            tasks.filter(|(_, t)| t.from == *peer).map(|(a, _)| *a).collect();
        for attempt in lost {
            self.on_cancel(cx, attempt);
        }
    }
}

/// What the queue and the entry node are told of work that has ended. Work that was being cancelled
/// may still have come to its end first.
fn conclude(stage: Stage, outcome: Outcome) -> (End, Outcome) {
    match (stage, outcome) {
        (_, Outcome::Whole(n)) => (End::Whole, Outcome::Whole(n)),
        (Stage::Preempting, _) => (End::Cancelled, Outcome::Preempted),
        (Stage::Abandoning, _) => {
            (End::Cancelled, Outcome::Broken("its deadline has passed".to_owned()))
        }
        (Stage::Forgotten, outcome) => (End::Cancelled, outcome),
        (Stage::Queued | Stage::Running, outcome) => (End::Failed, outcome),
    }
}
