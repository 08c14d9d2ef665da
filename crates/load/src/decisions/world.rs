//! The run: a queue of timed events between the decisions and the fake upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use hgw_config::Document;
use hgw_dispatch::{Chooser, Queue, QueueSettings, RetryBudget};
use hgw_placement::{DemandPlanner, Floor};
use hgw_types::{AttemptId, DomainId, MemSize, Time, UpstreamId};

use super::deployment::Deployment;
use super::engine::{Engine, Inner};
use super::place::Store;
use super::policy::{Policy, Queueing};
use super::requests::{Request, draw};
use super::scenario::{Fault, FaultKind, Scenario};
use super::{Outcome, Tally};

/// One way inside a failure domain, and between two.
pub(super) const LOCAL: Duration = Duration::from_micros(300);
pub(super) const REMOTE: Duration = Duration::from_micros(1500);
pub(super) const STEP: Duration = Duration::from_millis(5);
const REPORT_EVERY: Duration = Duration::from_millis(500);
const REPORT_LATE: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_secs(1);
/// After the last arrival, time for what is in hand to end.
const TAIL: Duration = Duration::from_secs(5);

pub(super) enum Event {
    Arrive(usize),
    /// Work reaches the dispatcher, or the upstream itself.
    Submit(usize),
    /// The dispatcher's order reaches the upstream.
    Start(usize),
    Cancel(usize),
    Step(usize),
    /// The upstream's word reaches the dispatcher.
    Progress(usize, u32),
    Ended(usize, hgw_dispatch::End),
    /// The dispatcher's word reaches the entry node.
    Reply(usize, Reply, Duration),
    Wake(usize),
    TakeReport(usize),
    Report(usize, hgw_dispatch::Report),
    /// A caller of direct dispatch has waited long enough.
    Timeout(usize),
    Loaded(usize, usize),
    Tick,
    Fault(Fault, bool),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    NotStarted(hgw_dispatch::Refusal),
    /// The upstream does not hold the model.
    NotHere,
    Ended(hgw_dispatch::End),
    Preempted,
    Abandoned,
}

/// An upstream with its dispatcher's queue.
pub(super) struct Upstream {
    pub(super) id: UpstreamId,
    pub(super) domain: usize,
    pub(super) memory: MemSize,
    pub(super) engine: Engine,
    pub(super) queue: Queue,
    pub(super) wake: Option<Time>,
    /// Gone for good, and whether that is not known yet.
    pub(super) lost: bool,
    pub(super) listed: bool,
    /// Load by the last report, and requests sent since by each domain's entry nodes.
    pub(super) reported: u32,
    pub(super) sent: [u32; 4],
    /// When each model was last asked for; for the policy by recency.
    pub(super) used: BTreeMap<usize, Time>,
}

/// A request under way.
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    pub(super) got: u32,
    pub(super) first: Option<Time>,
    /// When the caller had its last word.
    pub(super) done: Option<Time>,
    pub(super) tried: Vec<usize>,
    pub(super) attempt: Option<usize>,
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) upstream: usize,
    pub(super) may_bounce: bool,
    /// Tokens that the caller had before.
    pub(super) base: u32,
    pub(super) started: Option<Time>,
    pub(super) given_up: Option<Reply>,
}

pub(super) struct World<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) policy: &'a Policy,
    pub(super) document: Document,
    pub(super) domains: Vec<DomainId>,
    pub(super) floor: Floor,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) choosers: Vec<Chooser>,
    pub(super) budgets: Vec<RetryBudget>,
    pub(super) planners: Vec<DemandPlanner>,
    pub(super) store: Store,
    pub(super) requests: Vec<Request>,
    pub(super) states: Vec<State>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tally: Tally,
    pub(super) now: Time,
    pub(super) cut: Option<usize>,
    pub(super) log_down: bool,
    pub(super) draws: u64,
    events: BTreeMap<(Time, u64), Event>,
    seq: u64,
    end: Time,
}

/// Runs one scenario under one policy.
pub fn play(deployment: &Deployment, scenario: &Scenario, policy: &Policy, seed: u64) -> Outcome {
    let mut world = World::new(deployment, scenario, policy, seed);
    while let Some(((at, _), event)) = world.events.pop_first() {
        if at > world.end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.outcome()
}

impl<'a> World<'a> {
    fn new(deployment: &'a Deployment, scenario: &Scenario, policy: &'a Policy, seed: u64) -> Self {
        let document = deployment.document();
        let domains: Vec<DomainId> = document.domains.keys().cloned().collect();
        let upstreams = document.upstreams.iter().map(|(id, u)| {
            let plain = u.memory == MemSize(0);
            let inner =
                if policy.queueing == Queueing::Fifo { Inner::Fifo } else { Inner::UrgentFirst };
            let settings = QueueSettings { slots: u.slots, plain, ..policy.queue.clone() };
            Upstream {
                id: id.clone(),
                domain: domains.iter().position(|d| *d == u.domain).unwrap_or(0),
                memory: u.memory,
                engine: Engine::new(u.slots, inner),
                queue: Queue::new(settings),
                wake: None,
                lost: false,
                listed: true,
                reported: 0,
                sent: [0; 4],
                used: BTreeMap::new(),
            }
        });
        let upstreams = upstreams.collect();
        let requests = draw(deployment, scenario, seed);
        let count = domains.len() as u64;
        let mut world = World {
            deployment,
            policy,
            upstreams,
            choosers: (0..count).map(|i| Chooser::new(policy.chooser.clone(), seed + i)).collect(),
            budgets: (0..count).map(|_| RetryBudget::default()).collect(),
            planners: (0..count)
                .map(|i| DemandPlanner::new(policy.demand.clone(), seed + i))
                .collect(),
            store: Store::new(&document),
            states: vec![State::default(); requests.len()],
            requests,
            attempts: Vec::new(),
            tally: Tally::new(domains.len()),
            now: Time::ZERO,
            cut: None,
            log_down: false,
            draws: seed,
            events: BTreeMap::new(),
            seq: 0,
            end: Time::from_millis(scenario.seconds * 1000) + TAIL,
            floor: Floor::default(),
            document,
            domains,
        };
        world.tally.outcome.seconds = scenario.seconds;
        world.hold_floor();
        world.schedule(scenario);
        world
    }

    fn schedule(&mut self, scenario: &Scenario) {
        for i in 0..self.requests.len() {
            self.put(self.requests[i].at, Event::Arrive(i));
        }
        for u in 0..self.upstreams.len() {
            // Reports of different upstreams do not come together.
            let phase = REPORT_EVERY * u as u32 / self.upstreams.len() as u32;
            self.put(Time::ZERO + phase, Event::TakeReport(u));
        }
        for fault in scenario.faults {
            let time = |s: f64| Time::from_micros((s * 1e6) as u64);
            self.put(time(fault.from), Event::Fault(*fault, true));
            self.put(time(fault.to), Event::Fault(*fault, false));
        }
        self.put(Time::ZERO + TICK, Event::Tick);
    }

    pub(super) fn put(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    pub(super) fn after(&mut self, d: Duration, event: Event) {
        self.put(self.now + d, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(r) => self.arrive(r),
            Event::Submit(a) => self.submit(a),
            Event::Start(a) => self.start(a),
            Event::Cancel(a) => self.cancel(a),
            Event::Step(u) => self.step(u),
            Event::Progress(a, tokens) => self.progress(a, tokens),
            Event::Ended(a, end) => self.ended(a, end),
            Event::Reply(a, reply, delay) => self.reply(a, reply, delay),
            Event::Wake(u) => self.decide(u),
            Event::TakeReport(u) => self.take_report(u),
            Event::Report(u, report) => self.report(u, &report),
            Event::Timeout(r) => self.timeout(r),
            Event::Loaded(u, model) => self.loaded(u, model),
            Event::Tick => {
                self.place();
                self.after(TICK, Event::Tick);
            }
            Event::Fault(fault, begins) => self.fault(fault, begins),
        }
    }

    fn outcome(mut self) -> Outcome {
        let outcome = &mut self.tally.outcome;
        outcome.urgent = self.requests.iter().filter(|r| r.urgent).count() as u32;
        outcome.long.0 = self.requests.iter().filter(|r| r.is_long()).count() as u32;
        outcome.deferrable.0 = self.requests.len() as u32 - outcome.urgent;
        outcome.engines = super::deployment::ENGINES.0 as u32;
        self.tally.outcome
    }

    fn take_report(&mut self, u: usize) {
        let engine = &self.upstreams[u].engine;
        let report = hgw_dispatch::Report {
            active: engine.batch.len() as u32,
            waiting: engine.waiting.len() as u32,
            step: STEP * engine.slow,
            leaving: false,
        };
        if engine.up {
            self.after(REPORT_LATE, Event::Report(u, report));
        }
        self.after(REPORT_EVERY, Event::TakeReport(u));
    }

    fn report(&mut self, u: usize, report: &hgw_dispatch::Report) {
        let upstream = &mut self.upstreams[u];
        upstream.queue.report(self.now, report);
        upstream.reported = report.active + report.waiting;
        upstream.sent = [0; 4];
    }

    fn fault(&mut self, fault: Fault, begins: bool) {
        match fault.kind {
            FaultKind::Slow(u, factor) => {
                self.upstreams[u].engine.slow = if begins { factor } else { 1 };
            }
            FaultKind::LogDown => self.log_down = begins,
            FaultKind::DomainCut(domain) => {
                self.cut = begins.then_some(domain);
                self.drop_crossing();
            }
            FaultKind::EngineLost(u) if begins => {
                self.upstreams[u].lost = true;
                self.down(u);
            }
            FaultKind::EngineLost(_) => {}
            FaultKind::Outage => {
                for u in 0..self.upstreams.len() {
                    if begins {
                        self.down(u);
                    } else {
                        self.upstreams[u].engine.up = true;
                    }
                }
            }
        }
    }

    /// All work at the upstream breaks off.
    fn down(&mut self, u: usize) {
        let engine = &mut self.upstreams[u].engine;
        engine.up = false;
        let runs: Vec<_> = engine.batch.drain(..).chain(engine.waiting.drain(..)).collect();
        for run in runs {
            self.after(LOCAL, Event::Ended(index(run.attempt), hgw_dispatch::End::Failed));
        }
    }

    /// Whether the entry nodes of a domain reach an upstream.
    pub(super) fn reaches(&self, domain: usize, u: usize) -> bool {
        let other = self.upstreams[u].domain;
        domain == other || (self.cut != Some(domain) && self.cut != Some(other))
    }

    pub(super) fn way(&self, domain: usize, u: usize) -> Duration {
        if self.upstreams[u].domain == domain { LOCAL } else { REMOTE }
    }
}

/// The place of an attempt, by its id.
pub(super) fn index(attempt: AttemptId) -> usize {
    attempt.seq as usize
}
