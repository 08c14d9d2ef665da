//! The dispatcher role: the one queue before each upstream that this node answers for.

mod demand;
mod lane;

use std::time::Duration;

use hgw_config::{Document, ServiceKind, Urgency};
use hgw_dispatch::{Decision, End, Refusal, Report, Taken};
use hgw_types::{AttemptId, NodeId, Time, UpstreamId};
use hgw_wire::peer::{Message, NotStarted, Outcome, RecordedAnswer, Submit, Work};
use hgw_wire::upstream::LoadReport;
use indexmap::{IndexMap, IndexSet};

use crate::context::Context;
use crate::view::View;
use crate::{Action, Ended, Sink};
pub(crate) use demand::DemandCount;
use lane::{Lane, Lanes, Stage, Task, job};

/// Priority given to engines for work that may wait; urgent work has 0.
const DEFERRABLE_PRIORITY: u8 = 10;

/// A queue, as the dump of the state shows it.
#[derive(Debug, serde::Serialize)]
pub(crate) struct QueueState {
    upstream: String,
    load: String,
}

/// All queues at this node.
#[derive(Debug, Default)]
pub(crate) struct Dispatcher {
    lanes: Lanes,
    by_attempt: IndexMap<AttemptId, UpstreamId>,
    /// Upstreams whose own report calls them leaving.
    leaving: IndexSet<UpstreamId>,
    demand: DemandCount,
    stopping: bool,
}

impl Dispatcher {
    /// Work in queues and at upstreams.
    pub(crate) fn open_tasks(&self) -> usize {
        self.lanes.values().map(|l| l.tasks.len()).sum()
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
        let state = |(id, lane): (&UpstreamId, &Lane)| {
            let load = lane.queue.load();
            QueueState { upstream: id.to_string(), load: format!("{load:?}") }
        };
        self.lanes.iter().map(state).collect()
    }

    /// Takes no new work from now on. What is running is finished; what is queued goes back to its
    /// entry nodes unstarted, since it could wait here for long.
    pub(crate) fn stop(&mut self, cx: &mut Context<'_>) {
        self.stopping = true;
        let tasks = self.lanes.values().flat_map(|l| &l.tasks);
        let queued: Vec<AttemptId> =
            tasks.filter(|(_, t)| t.stage == Stage::Queued).map(|(a, _)| *a).collect();
        for attempt in queued {
            let Some(task) = self.remove(attempt) else { continue };
            if let Some(lane) = self.lanes.get_mut(&task.submit.upstream) {
                lane.queue.cancel(cx.now, attempt);
            }
            let reason = NotStarted::NotMine;
            cx.send(&task.from, Message::NotStarted { attempt, reason, delay_us: 0 });
        }
    }

    /// Drops queues of upstreams that are no longer configured, once they are empty.
    pub(crate) fn on_config(&mut self, document: &Document) {
        self.lanes.retain(|id, lane| document.upstreams.contains_key(id) || !lane.tasks.is_empty());
        self.leaving.retain(|id| document.upstreams.contains_key(id));
        for (id, lane) in &mut self.lanes {
            if let Some(upstream) = document.upstreams.get(id) {
                lane.addr = upstream.addr.clone();
            }
        }
    }

    pub(crate) fn on_submit(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        from: &NodeId,
        submit: Submit,
    ) {
        let id = submit.upstream.clone();
        match self.accept(cx, view, from, submit) {
            Ok(()) => self.run_queue(cx, &id),
            Err((submit, reason)) => {
                let delay_us = self.delay_us(cx.now, &id, submit.urgency);
                let attempt = submit.attempt;
                cx.send(from, Message::NotStarted { attempt, reason, delay_us });
            }
        }
    }

    fn accept(
        &mut self,
        cx: &Context<'_>,
        view: &View<'_>,
        from: &NodeId,
        mut submit: Submit,
    ) -> Result<(), (Box<Submit>, NotStarted)> {
        if let Err(reason) = self.check(view, &mut submit) {
            return Err((Box::new(submit), reason));
        }
        let job = job(cx.now, &submit);
        let lane = self.lane(view, &submit);
        if let Err(refusal) = lane.queue.submit(cx.now, job) {
            if refusal != Refusal::Bounced {
                self.demand.refused(&submit);
            }
            return Err((Box::new(submit), not_started(refusal)));
        }
        let attempt = submit.attempt;
        let upstream = submit.upstream.clone();
        self.demand.arrived(&submit);
        let task = Task { from: from.clone(), submit, stage: Stage::Queued, started: None };
        self.lanes[&upstream].tasks.insert(attempt, task);
        self.by_attempt.insert(attempt, upstream);
        Ok(())
    }

    /// Whether this node may start the work at its upstream. Fills in the version that is there.
    fn check(&self, view: &View<'_>, submit: &mut Submit) -> Result<(), NotStarted> {
        let id = &submit.upstream;
        let upstream = view.document.upstreams.get(id).ok_or(NotStarted::NotMine)?;
        if self.stopping || upstream.domain != *view.domain {
            return Err(NotStarted::NotMine);
        }
        if upstream.leaving || view.routes.is_leaving(id) || self.leaving.contains(id) {
            return Err(NotStarted::Leaving);
        }
        let Work::Model(work) = &mut submit.work else { return Ok(()) };
        let held = view.routes.version_at(view.domain, id, &work.model, &work.version);
        work.version = held.ok_or(NotStarted::NotHere)?;
        let lacks = |a| !view.routes.has_adapter(view.domain, id, &work.model, a);
        if work.adapter.as_ref().is_some_and(lacks) {
            return Err(NotStarted::NotHere);
        }
        Ok(())
    }

    fn lane(&mut self, view: &View<'_>, submit: &Submit) -> &mut Lane {
        let service = view.document.services.get(&submit.service);
        let plain = service.is_some_and(|s| s.kind == ServiceKind::Plain);
        let upstream = &view.document.upstreams[&submit.upstream];
        self.lanes.entry(submit.upstream.clone()).or_insert_with(|| Lane::new(upstream, plain))
    }

    fn delay_us(&self, now: Time, upstream: &UpstreamId, urgency: Urgency) -> u64 {
        let lane = self.lanes.get(upstream);
        let delay = lane.map_or(Duration::ZERO, |l| l.queue.delay(now, urgency));
        u64::try_from(delay.as_micros()).unwrap_or(u64::MAX)
    }

    /// Carries out what a queue decides now.
    fn run_queue(&mut self, cx: &mut Context<'_>, id: &UpstreamId) {
        let Some(lane) = self.lanes.get_mut(id) else { return };
        let mut decisions = Vec::new();
        lane.queue.poll(cx.now, &mut decisions);
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
        let Some(lane) = self.lanes.get_mut(id) else { return };
        let Some(task) = lane.tasks.get_mut(&attempt) else { return };
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
            addr: lane.addr.clone(),
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
        self.demand.refused(&task.submit);
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
        let task = self.lanes.get_mut(id).and_then(|l| l.tasks.get_mut(&attempt));
        if let Some(task) = task {
            task.stage = stage;
            cx.act(Action::Cancel { attempt });
        }
    }

    /// Leaves a plain service's call to end by itself, so that it does not stop half done.
    fn forget(&mut self, id: &UpstreamId, attempt: AttemptId) {
        if let Some(task) = self.lanes.get_mut(id).and_then(|l| l.tasks.get_mut(&attempt)) {
            task.stage = Stage::Forgotten;
        }
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Task> {
        let id = self.by_attempt.swap_remove(&attempt)?;
        self.lanes.get_mut(&id)?.tasks.swap_remove(&attempt)
    }

    pub(crate) fn on_progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(id) = self.by_attempt.get(&attempt) else { return };
        if let Some(lane) = self.lanes.get_mut(id) {
            lane.queue.progress(now, attempt, tokens);
        }
    }

    pub(crate) fn on_ended(&mut self, cx: &mut Context<'_>, ended: Ended) {
        let Ended { attempt, outcome, answer } = ended;
        let Some(task) = self.remove(attempt) else { return };
        let id = task.submit.upstream.clone();
        let (end, outcome) = conclude(task.stage, outcome);
        if let Some(lane) = self.lanes.get_mut(&id) {
            lane.queue.ended(cx.now, attempt, end);
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
        let Some(lane) = self.lanes.get_mut(&id) else { return };
        let plain =
            lane.tasks.get(&attempt).is_some_and(|t| matches!(t.submit.work, Work::Plain(_)));
        match lane.queue.cancel(cx.now, attempt) {
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
        let tasks = self.lanes.values().flat_map(|l| &l.tasks);
        let lost: Vec<AttemptId> =
            tasks.filter(|(_, t)| t.from == *peer).map(|(a, _)| *a).collect();
        for attempt in lost {
            self.on_cancel(cx, attempt);
        }
    }

    pub(crate) fn on_load(
        &mut self,
        cx: &mut Context<'_>,
        id: &UpstreamId,
        report: Option<LoadReport>,
    ) {
        let Some(report) = report else { return };
        if report.leaving {
            self.leaving.insert(id.clone());
        } else {
            self.leaving.swap_remove(id);
        }
        if let Some(lane) = self.lanes.get_mut(id) {
            lane.queue.report(cx.now, &queue_report(&report));
            self.run_queue(cx, id);
        }
    }

    /// Asks for load reports that are due, and lets queues act on the time that has passed.
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let leaving = |id: &UpstreamId| {
            self.leaving.contains(id)
                || view.routes.is_leaving(id)
                || view.document.upstreams.get(id).is_none_or(|u| u.leaving)
        };
        let mut due = Vec::new();
        for (id, lane) in &mut self.lanes {
            lane.queue.set_leaving(leaving(id));
            if lane.next_report <= cx.now {
                lane.next_report = cx.now + cx.settings.load_period;
                cx.out.push(Action::AskLoad { upstream: id.clone(), addr: lane.addr.clone() });
            }
            if lane.queue.next_wake().is_some_and(|at| at <= cx.now) {
                due.push(id.clone());
            }
        }
        for id in due {
            self.run_queue(cx, &id);
        }
    }

    /// Opens the queues that this node answers for, so that it knows their load and whether they leave
    /// before the first request comes, and closes those that another node answers for now.
    ///
    /// A queue that stays asks its upstream for load reports for ever: as VMs come and go, each node
    /// would end up asking every upstream of its domain.
    pub(crate) fn review(&mut self, view: &View<'_>) {
        self.lanes.retain(|id, lane| {
            !lane.tasks.is_empty() || view.dispatcher_of(id).as_ref() == Some(view.me)
        });
        self.leaving.retain(|id| self.lanes.contains_key(id));
        for (id, upstream) in &view.document.upstreams {
            let at_home = upstream.domain == *view.domain && !self.lanes.contains_key(id);
            if !at_home || view.dispatcher_of(id).as_ref() != Some(view.me) {
                continue;
            }
            let service = view.document.services.get(&upstream.service);
            let plain = service.is_some_and(|s| s.kind == ServiceKind::Plain);
            self.lanes.insert(id.clone(), Lane::new(upstream, plain));
        }
    }
}

fn not_started(refusal: Refusal) -> NotStarted {
    let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    match refusal {
        Refusal::TooLate { retry_after } => {
            NotStarted::TooLate { retry_after_ms: millis(retry_after) }
        }
        Refusal::Full { retry_after } => NotStarted::Full { retry_after_ms: millis(retry_after) },
        Refusal::Expired { retry_after } => {
            NotStarted::Expired { retry_after_ms: millis(retry_after) }
        }
        Refusal::Bounced => NotStarted::Bounced,
        Refusal::Leaving => NotStarted::Leaving,
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

fn queue_report(report: &LoadReport) -> Report {
    Report {
        active: report.active,
        waiting: report.waiting,
        step: Duration::from_micros(report.step_us),
        leaving: report.leaving,
    }
}
