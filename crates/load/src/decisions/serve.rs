//! The dispatcher's side: queues, upstreams and what goes between them.

use std::time::Duration;

use hgw_config::Urgency;
use hgw_dispatch::{Decision, End, Job, Refusal};
use hgw_types::{AttemptId, Tokens};

use super::engine::{Emit, Run};
use super::entry::USUAL_RETRY;
use super::policy::Queueing;
use super::requests::SHARED_BLOCKS;
use super::world::{Event, LOCAL, Reply, STEP, World, index};

/// Tokens between two words on progress.
const PROGRESS_EVERY: u32 = 20;
/// What the entry node keeps of the deadline for the way back.
const WAY_BACK: Duration = Duration::from_millis(4);
/// Far enough for a queue to pay no heed to it.
const NO_DEADLINE: Duration = Duration::from_secs(10);
/// Requests that wait inside an upstream before a direct one is turned away.
const INNER_LIMIT: usize = 32;

impl World<'_> {
    /// Work reaches the dispatcher, or under direct dispatch the upstream itself.
    pub(super) fn submit(&mut self, a: usize) {
        let attempt = self.attempts[a].clone();
        let (u, r) = (attempt.upstream, attempt.request);
        if self.states[r].done.is_some() || self.states[r].attempt != Some(a) {
            return;
        }
        if !self.reaches(self.requests[r].domain, u) || !self.upstreams[u].engine.up {
            return self.answer(a, Reply::Ended(End::Failed));
        }
        if let Some(model) = self.requests[r].model {
            self.upstreams[u].used.insert(model, self.now);
            if self.upstreams[u].engine.models.get(&model) != Some(&true) {
                return self.answer(a, Reply::NotHere);
            }
        }
        self.tally.arrived(&self.requests[r], self.upstreams[u].domain);
        if self.policy.queueing != Queueing::Queue {
            if self.upstreams[u].engine.waiting.len() >= INNER_LIMIT {
                return self.answer(a, Reply::NotHere);
            }
            return self.start(a);
        }
        let job = self.job(a);
        let waiting = self.upstreams[u].queue.load().urgent_waiting;
        if job.urgency.is_urgent() && self.policy.urgent_limit.is_some_and(|n| waiting >= n) {
            return self.answer(a, Reply::NotStarted(self.too_many(&job)));
        }
        match self.upstreams[u].queue.submit(self.now, job) {
            Ok(()) => self.decide(u),
            Err(refusal) => self.answer(a, Reply::NotStarted(refusal)),
        }
    }

    fn too_many(&self, job: &Job) -> Refusal {
        if job.may_bounce { Refusal::Bounced } else { Refusal::Full { retry_after: USUAL_RETRY } }
    }

    fn job(&self, a: usize) -> Job {
        let attempt = &self.attempts[a];
        let request = &self.requests[attempt.request];
        Job {
            attempt: AttemptId { boot: 0, seq: a as u64 },
            model: request.model.map(|m| self.deployment.model(m)),
            adapter: None,
            urgency: if request.urgent { Urgency::Urgent } else { Urgency::Deferrable },
            deadline: match self.policy.urgent_limit {
                // Such a queue knows no deadlines; the caller gives up as under direct dispatch.
                Some(_) => request.deadline + NO_DEADLINE,
                None => request.deadline - WAY_BACK,
            },
            prompt: Tokens(request.prompt),
            output: Tokens(request.asked.saturating_sub(attempt.base)),
            prefix: vec![request.prefix(); SHARED_BLOCKS as usize],
            may_bounce: attempt.may_bounce,
        }
    }

    /// Lets the queue decide and carries its decisions out.
    pub(super) fn decide(&mut self, u: usize) {
        let mut decisions = Vec::new();
        self.upstreams[u].queue.poll(self.now, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Start(id) => self.after(LOCAL, Event::Start(index(id))),
                Decision::GiveUp(id, refusal) => self.answer(index(id), Reply::NotStarted(refusal)),
                Decision::Preempt(id) => self.stop(index(id), Reply::Preempted),
                Decision::Abandon(id) => {
                    self.stop(index(id), Reply::Abandoned);
                    self.answer(index(id), Reply::Abandoned);
                }
            }
        }
        let next = self.upstreams[u].queue.next_wake();
        if let Some(at) =
            next.filter(|at| self.upstreams[u].wake.is_none_or(|w| w <= self.now || *at < w))
        {
            self.upstreams[u].wake = Some(at);
            self.put(at.max(self.now), Event::Wake(u));
        }
    }

    pub(super) fn stop(&mut self, a: usize, why: Reply) {
        self.attempts[a].given_up = Some(why);
        self.after(LOCAL, Event::Cancel(a));
    }

    /// Work reaches the upstream.
    pub(super) fn start(&mut self, a: usize) {
        let attempt = &self.attempts[a];
        let (u, request) = (attempt.upstream, &self.requests[attempt.request]);
        if !self.upstreams[u].engine.up {
            return self.after(LOCAL, Event::Ended(a, End::Failed));
        }
        let id = AttemptId { boot: 0, seq: a as u64 };
        let run = Run {
            urgent: request.urgent,
            prefix: (request.prefix(), SHARED_BLOCKS),
            adapter: request.model.filter(|_| request.adapter > 0).map(|m| (m, request.adapter)),
            ..Run::new(id, request.prompt + attempt.base, request.output - attempt.base)
        };
        self.attempts[a].started = Some(self.now);
        let engine = &mut self.upstreams[u].engine;
        engine.submit(run);
        if !engine.stepping {
            engine.stepping = true;
            // Steps of an upstream fall on its own beat.
            let step = STEP.as_micros() as u64;
            let beat = step - self.now.as_micros() % step;
            self.after(Duration::from_micros(beat), Event::Step(u));
        }
    }

    pub(super) fn cancel(&mut self, a: usize) {
        let u = self.attempts[a].upstream;
        if self.upstreams[u].engine.cancel(AttemptId { boot: 0, seq: a as u64 }) {
            self.after(LOCAL, Event::Ended(a, End::Cancelled));
        }
    }

    pub(super) fn step(&mut self, u: usize) {
        let mut emitted = Vec::new();
        let engine = &mut self.upstreams[u].engine;
        if !engine.up || engine.idle() {
            engine.stepping = false;
            return;
        }
        engine.step(&mut emitted);
        if self.upstreams[u].memory.0 > 0 {
            self.tally.slots(&self.upstreams[u].engine, &emitted);
        }
        let engine = &self.upstreams[u].engine;
        let next = STEP * engine.slow;
        for emit in emitted {
            self.emitted(emit);
        }
        self.after(next, Event::Step(u));
    }

    fn emitted(&mut self, emit: Emit) {
        let (id, count, whole) = match emit {
            Emit::Tokens(id, n) => (id, n, false),
            Emit::Whole(id, n) => (id, n, true),
        };
        let a = index(id);
        let (r, u) = (self.attempts[a].request, self.attempts[a].upstream);
        let way = LOCAL + self.way(self.requests[r].domain, u);
        if let Some(done) = self.states[r].done {
            self.tally.held(done, self.now);
        }
        if self.attempts[a].given_up != Some(Reply::Abandoned) {
            let state = &mut self.states[r];
            state.got = self.attempts[a].base + count;
            state.first.get_or_insert(self.now + way);
        }
        if count == 1 || count % PROGRESS_EVERY == 0 {
            self.after(LOCAL, Event::Progress(a, count));
        }
        if whole {
            self.after(LOCAL, Event::Ended(a, End::Whole));
        }
    }

    pub(super) fn progress(&mut self, a: usize, tokens: u32) {
        let u = self.attempts[a].upstream;
        let id = AttemptId { boot: 0, seq: a as u64 };
        self.upstreams[u].queue.progress(self.now, id, tokens);
    }

    /// The upstream's last word on work reaches the dispatcher.
    pub(super) fn ended(&mut self, a: usize, end: End) {
        let attempt = self.attempts[a].clone();
        let u = attempt.upstream;
        if let Some(started) = attempt.started.filter(|_| self.requests[attempt.request].urgent) {
            let domain = self.upstreams[u].domain;
            self.tally.busy(&self.requests[attempt.request], domain, self.now.since(started));
        }
        if self.policy.queueing == Queueing::Queue {
            self.upstreams[u].queue.ended(self.now, AttemptId { boot: 0, seq: a as u64 }, end);
            self.decide(u);
        }
        match (attempt.given_up, end) {
            (Some(Reply::Abandoned), _) => {}
            (Some(reply), End::Cancelled) => self.answer(a, reply),
            _ => self.answer(a, Reply::Ended(end)),
        }
    }

    /// A word to the entry node, with the queue's delay.
    pub(super) fn answer(&mut self, a: usize, reply: Reply) {
        let attempt = &self.attempts[a];
        let request = &self.requests[attempt.request];
        let urgency = if request.urgent { Urgency::Urgent } else { Urgency::Deferrable };
        let delay = self.upstreams[attempt.upstream].queue.delay(self.now, urgency);
        let way = self.way(request.domain, attempt.upstream);
        self.after(way, Event::Reply(a, reply, delay));
    }

    /// Work that crosses a cut is lost to the entry node.
    pub(super) fn drop_crossing(&mut self) {
        for a in 0..self.attempts.len() {
            let attempt = &self.attempts[a];
            let r = attempt.request;
            let live = self.states[r].done.is_none() && self.states[r].attempt == Some(a);
            if live && !self.reaches(self.requests[r].domain, attempt.upstream) {
                self.stop(a, Reply::Abandoned);
                let queue = &mut self.upstreams[self.attempts[a].upstream].queue;
                queue.cancel(self.now, AttemptId { boot: 0, seq: a as u64 });
                self.after(
                    Duration::ZERO,
                    Event::Reply(a, Reply::Ended(End::Failed), Duration::ZERO),
                );
            }
        }
    }
}
