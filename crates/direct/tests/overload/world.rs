//! 74 nodes, the engines of one service and their callers, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use hgw_direct::in_flight::InFlightLoad;
use hgw_direct::overload::{
    Admission, AdmissionUpdate, CustomerKey, LoadCounts, OverloadController, RequestClass,
    ServiceReport, ServiceState, is_retried,
};
use hgw_direct::quota::WaiterRank;
use hgw_direct::{
    BeginTimes, ChoiceParams, CostWeights, CustomerId, EngineId, Engines, NoEngine,
    RefusalDuration, VersionRule, choose_engine, max_room_wait, retry_after, retry_time,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{engine_info, engines, service};

pub(crate) const NODES: usize = 74;
pub(crate) const ENGINES: usize = 3;
const SLOTS: u32 = 6;

/// Requests that an engine lets wait.
const ENGINE_QUEUE: usize = 24;

const MAX_CONNS: u32 = 500;
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(150);
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time of a call at an engine, from and to, in milliseconds.
const CALL_MS: (u64, u64) = (20, 40);

/// Start of the simulation in milliseconds; 0 stands for unset times.
pub(crate) const START: u64 = 10_000;

/// Interval between reports of loads, and their age.
const LOADS_EVERY: u64 = 40;
const LOADS_AGE: u64 = 80;

/// Interval between reports of a node, time until the leader has one, and until nodes have a table.
const POLL_EVERY: u64 = 200;
const REPORT_DELAY: u64 = 200;
const TABLE_DELAY: u64 = 200;

const DECIDE_EVERY: u64 = 200;

/// Time until all nodes know that an engine is lost.
const LOSS_DELAY: u64 = 100;

/// Rejections after which a request is refused.
const MAX_REJECTED: u32 = 2;

/// Which parts are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Parts {
    pub(crate) overload_control: bool,
    pub(crate) room_queue: bool,
}

pub(crate) const WITHOUT: Parts = Parts { overload_control: false, room_queue: false };
pub(crate) const WITH: Parts = Parts { overload_control: true, room_queue: true };

/// Arrivals of one customer per second, all of one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Stream {
    pub(crate) customer: u8,
    pub(crate) priority: u8,
    pub(crate) per_second: f64,
}

/// What happens at a time, in milliseconds since the start.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Change {
    Arrivals(Vec<Stream>),
    Lose(usize),
    Return(usize),
    /// The leader ends; another one leads from this time on.
    LoseLeader {
        until: u64,
    },
    /// A node does not reach the leader any more.
    CutOff(usize),
}

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    InTime,
    Late,
    RefusedTwice,
    /// The caller has left.
    Left,
}

#[derive(Debug, Clone)]
pub(crate) struct Ended {
    pub(crate) customer: u8,
    pub(crate) priority: u8,
    /// When its first attempt arrived, in milliseconds since the start.
    pub(crate) at: u64,
    pub(crate) end: End,
}

#[derive(Debug, Clone)]
struct Request {
    customer: u8,
    priority: u8,
    first_at: u64,
    /// Start of this attempt, when it was last sent, and its deadline.
    at: u64,
    sent_at: u64,
    deadline: u64,
    was_refused: bool,
    node: usize,
    tried: Vec<EngineId>,
    rejected: u32,
    wait_until: u64,
    has_ended: bool,
}

#[derive(Debug, Default)]
struct SimEngine {
    is_lost: bool,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    /// Start of the incarnation, in numbers.
    incarnation: u32,
}

struct SimNode {
    engines: Engines,
    counts: LoadCounts,
    admission: Admission,
    begin_times: BeginTimes,
    waiting: BTreeSet<(WaiterRank, usize)>,
    is_cut_off: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NextArrival { stream: usize, round: usize },
    Attempt(usize),
    WaitEnds(usize),
    AtEngine { request: usize, engine: usize },
    Done { request: usize, engine: usize, incarnation: u32 },
    Answer { request: usize, engine: usize, outcome: Outcome },
    Loads,
    Poll(usize),
    Decide,
    Table(u64),
    Change(usize),
    EngineKnown { engine: usize, is_lost: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Served { is_full: bool },
    Rejected,
    Failed,
}

pub(crate) struct World {
    parts: Parts,
    rng: StdRng,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    changes: Vec<(u64, Change)>,
    arrivals: Vec<Stream>,
    /// Number of changes of the arrivals.
    round: usize,
    requests: Vec<Request>,
    engines: Vec<SimEngine>,
    known_lost: [bool; ENGINES],
    nodes: Vec<SimNode>,
    /// Loads by engine and node, by time.
    loads: VecDeque<(u64, Vec<Vec<u32>>)>,
    reports: Vec<(u64, ServiceReport)>,
    controller: OverloadController,
    published: Admission,
    leaderless_until: u64,
    pub(crate) ended: Vec<Ended>,
    /// Bytes of reports and tables.
    pub(crate) bytes_up: usize,
    pub(crate) bytes_down: usize,
    /// Requests that engines rejected.
    pub(crate) rejections: usize,
}

fn engine_id(engine: usize) -> EngineId {
    EngineId(format!("e{engine}"))
}

fn customer_key(customer: u8) -> CustomerKey {
    CustomerKey::of(Some(&CustomerId(format!("customer-{customer}"))))
}

impl World {
    pub(crate) fn new(parts: Parts, seed: u64, changes: Vec<(u64, Change)>) -> World {
        let nodes = (0..NODES).map(|_| SimNode::new()).collect();
        let mut world = World {
            parts,
            rng: StdRng::seed_from_u64(seed),
            now: START,
            order: 0,
            events: BinaryHeap::new(),
            changes,
            arrivals: Vec::new(),
            round: 0,
            requests: Vec::new(),
            engines: (0..ENGINES).map(|_| SimEngine::default()).collect(),
            known_lost: [false; ENGINES],
            nodes,
            loads: VecDeque::new(),
            reports: Vec::new(),
            controller: OverloadController::default(),
            published: Admission::default(),
            leaderless_until: 0,
            ended: Vec::new(),
            bytes_up: 0,
            bytes_down: 0,
            rejections: 0,
        };
        for index in 0..world.changes.len() {
            world.at(START + world.changes[index].0, Event::Change(index));
        }
        world.at(START, Event::Loads);
        world.at(START, Event::Decide);
        for node in 0..NODES {
            let phase = world.rng.random_range(0..POLL_EVERY);
            world.at(START + phase, Event::Poll(node));
        }
        world
    }

    /// Plays so many milliseconds.
    pub(crate) fn run(mut self, duration: u64) -> World {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > START + duration {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextArrival { stream, round } => self.arrive(stream, round),
            Event::Attempt(request) => self.attempt(request),
            Event::WaitEnds(request) => self.end_wait(request),
            Event::AtEngine { request, engine } => self.reach_engine(request, engine),
            Event::Done { request, engine, incarnation } => self.done(request, engine, incarnation),
            Event::Answer { request, engine, outcome } => self.answer(request, engine, outcome),
            Event::Loads => self.exchange_loads(),
            Event::Poll(node) => self.poll(node),
            Event::Decide => self.decide(),
            Event::Table(published_at) => self.receive_table(published_at),
            Event::Change(index) => self.change(index),
            Event::EngineKnown { engine, is_lost } => self.learn_of_engine(engine, is_lost),
        }
    }

    fn change(&mut self, index: usize) {
        match self.changes[index].1.clone() {
            Change::Arrivals(arrivals) => {
                self.arrivals = arrivals;
                self.round += 1;
                for stream in 0..self.arrivals.len() {
                    self.schedule_arrival(stream);
                }
            }
            Change::Lose(engine) => {
                let lost = &mut self.engines[engine];
                lost.is_lost = true;
                lost.incarnation += 1;
                let (running, waiting) =
                    (std::mem::take(&mut lost.running), std::mem::take(&mut lost.waiting));
                for request in running.into_iter().chain(waiting) {
                    self.at(
                        self.now + 1,
                        Event::Answer { request, engine, outcome: Outcome::Failed },
                    );
                }
                self.at(self.now + LOSS_DELAY, Event::EngineKnown { engine, is_lost: true });
            }
            Change::Return(engine) => {
                self.engines[engine].is_lost = false;
                self.at(self.now + LOSS_DELAY, Event::EngineKnown { engine, is_lost: false });
            }
            Change::LoseLeader { until } => {
                self.leaderless_until = START + until;
                self.controller = OverloadController::default();
                self.published = Admission::default();
                self.reports.clear();
            }
            Change::CutOff(node) => self.nodes[node].is_cut_off = true,
        }
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let rate = self.arrivals[stream].per_second;
        if rate > 0.0 {
            let gap_ms = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / rate;
            let event = Event::NextArrival { stream, round: self.round };
            self.at(self.now + gap_ms.round().max(1.0) as u64, event);
        }
    }

    fn arrive(&mut self, stream: usize, round: usize) {
        if round != self.round {
            return;
        }
        self.schedule_arrival(stream);
        let Stream { customer, priority, .. } = self.arrivals[stream];
        let node = self.rng.random_range(0..NODES);
        self.requests.push(Request {
            customer,
            priority,
            first_at: self.now,
            at: self.now,
            sent_at: self.now,
            deadline: self.now + TIMEOUT.as_millis() as u64,
            was_refused: false,
            node,
            tried: Vec::new(),
            rejected: 0,
            wait_until: 0,
            has_ended: false,
        });
        self.attempt(self.requests.len() - 1);
    }

    /// A caller's request arrives at its node.
    fn attempt(&mut self, request: usize) {
        let now = self.now;
        let req = &mut self.requests[request];
        (req.at, req.tried, req.rejected) = (now, Vec::new(), 0);
        let deadline = Duration::from_millis(req.deadline - now);
        let service = service();
        let class = RequestClass {
            service: &service,
            priority: req.priority,
            customer: customer_key(req.customer),
            is_retried: is_retried(Some(deadline), TIMEOUT),
        };
        let node = &mut self.nodes[req.node];
        if self.parts.overload_control {
            let RequestClass { priority, customer, is_retried, .. } = class;
            node.counts.record_arrival(&service, priority, customer, is_retried, now);
            if !node.admission.admits(&class, self.rng.random(), now) {
                node.counts.record_pressure(&service, now);
                return self.refuse(request);
            }
        }
        if self.parts.room_queue {
            let begin_time = node.begin_times.expected(&service, OBJECTIVE);
            let wait = max_room_wait(OBJECTIVE, begin_time, Duration::ZERO, deadline);
            self.requests[request].wait_until = now + wait.as_millis() as u64;
            self.at(now + wait.as_millis() as u64, Event::WaitEnds(request));
        }
        self.try_to_send(request);
    }

    fn try_to_send(&mut self, request: usize) -> bool {
        let req = &self.requests[request];
        let (node, rank) =
            (req.node, WaiterRank { priority: req.priority, deadline: req.deadline });
        let service = service();
        let params = ChoiceParams {
            service: &service,
            versions: VersionRule::Any,
            prompt: None,
            domain: "a",
            excluded: &req.tried,
            nodes: NODES as u32,
            max_conns: MAX_CONNS,
            has_precedence: self.arrivals.iter().any(|s| s.priority > req.priority),
            max_event_gap: None,
            speed_needs: None,
            memory: None,
            subset: None,
            can_wait: false,
            random: self.rng.random(),
            weights: if self.parts.overload_control {
                CostWeights::for_outdated_loads()
            } else {
                CostWeights::default()
            },
        };
        let choice = choose_engine(&self.nodes[node].engines, &params, self.now);
        match choice {
            Ok(choice) => {
                self.nodes[node].waiting.remove(&(rank, request));
                let engine: usize = choice.engine.0[1..].parse().unwrap();
                self.requests[request].sent_at = self.now;
                self.requests[request].tried.push(choice.engine.clone());
                self.nodes[node].engines.get_mut(&choice.engine).unwrap().own_requests += 1;
                self.at(self.now + 1, Event::AtEngine { request, engine });
                true
            }
            Err(no_engine) => {
                if matches!(no_engine, NoEngine::Full(_)) {
                    self.nodes[node].counts.record_pressure(&service, self.now);
                }
                let req = &self.requests[request];
                if req.wait_until > self.now && req.tried.is_empty() {
                    self.nodes[node].waiting.insert((rank, request));
                } else {
                    self.nodes[node].waiting.remove(&(rank, request));
                    self.refuse(request);
                }
                false
            }
        }
    }

    fn end_wait(&mut self, request: usize) {
        let req = &self.requests[request];
        let rank = WaiterRank { priority: req.priority, deadline: req.deadline };
        if self.nodes[req.node].waiting.contains(&(rank, request)) && req.wait_until <= self.now {
            self.try_to_send(request);
        }
    }

    /// There may be room for requests that wait at a node.
    fn notify_room(&mut self, node: usize) {
        while let Some((_, request)) = self.nodes[node].waiting.first().copied() {
            if !self.try_to_send(request) {
                break;
            }
        }
    }

    fn refuse(&mut self, request: usize) {
        let now = self.now;
        let req = &mut self.requests[request];
        if req.was_refused {
            return self.end(request, End::RefusedTwice);
        }
        req.was_refused = true;
        let left = Duration::from_millis(req.deadline.saturating_sub(now));
        let random = self.rng.random();
        let delay = if self.parts == WITHOUT {
            retry_after(Duration::from_millis(250), random).min(left / 3)
        } else {
            retry_time(RefusalDuration::Passing, left, random)
        };
        req.node = self.rng.random_range(0..NODES);
        if req.deadline <= now + delay.as_millis() as u64 {
            return self.end(request, End::Left);
        }
        self.at(now + delay.as_millis() as u64, Event::Attempt(request));
    }

    fn end(&mut self, request: usize, end: End) {
        let req = &mut self.requests[request];
        if std::mem::replace(&mut req.has_ended, true) {
            return;
        }
        let Request { customer, priority, first_at, .. } = *req;
        self.ended.push(Ended { customer, priority, at: first_at - START, end });
    }

    fn reach_engine(&mut self, request: usize, engine: usize) {
        let at = &mut self.engines[engine];
        let outcome = if at.is_lost {
            Outcome::Failed
        } else if at.running.len() < SLOTS as usize {
            return self.start(request, engine);
        } else if at.waiting.len() < ENGINE_QUEUE {
            at.waiting.push_back(request);
            return;
        } else {
            self.rejections += 1;
            Outcome::Rejected
        };
        self.at(self.now + 1, Event::Answer { request, engine, outcome });
    }

    fn start(&mut self, request: usize, engine: usize) {
        let took = self.rng.random_range(CALL_MS.0..=CALL_MS.1);
        self.engines[engine].running.push(request);
        let incarnation = self.engines[engine].incarnation;
        self.at(self.now + took, Event::Done { request, engine, incarnation });
    }

    fn done(&mut self, request: usize, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let at = &mut self.engines[engine];
        at.running.retain(|running| *running != request);
        let is_full = at.running.len() + 1 >= SLOTS as usize;
        // Callers that have left take their requests with them.
        let (now, requests) = (self.now, &self.requests);
        at.waiting.retain(|waiting| requests[*waiting].deadline > now);
        let next = (0..at.waiting.len()).min_by_key(|i| (requests[at.waiting[*i]].priority, *i));
        if let Some(next) = next.and_then(|next| at.waiting.remove(next)) {
            self.start(next, engine);
        }
        let outcome = Outcome::Served { is_full };
        self.at(self.now + 1, Event::Answer { request, engine, outcome });
    }

    fn answer(&mut self, request: usize, engine: usize, outcome: Outcome) {
        let (now, service) = (self.now, service());
        let req = &mut self.requests[request];
        let (node, took) = (req.node, now - req.at);
        let at_engine = now - req.sent_at;
        let known = self.nodes[node].engines.get_mut(&engine_id(engine)).unwrap();
        known.own_requests = known.own_requests.saturating_sub(1);
        match outcome {
            Outcome::Served { is_full } => {
                let took_there = Duration::from_millis(at_engine);
                let counts = &mut self.nodes[node].counts;
                counts.record_completion(&service, took_there, is_full, now);
                if !is_full {
                    self.nodes[node].begin_times.record(&service, at_engine);
                }
                let end = match took {
                    took if Duration::from_millis(took) <= OBJECTIVE => End::InTime,
                    _ if now <= req.deadline => End::Late,
                    _ => End::Left,
                };
                self.end(request, end);
            }
            Outcome::Rejected => {
                req.rejected += 1;
                self.nodes[node].counts.record_pressure(&service, now);
                if req.rejected > MAX_REJECTED {
                    self.refuse(request);
                } else {
                    self.try_to_send(request);
                }
            }
            Outcome::Failed => {
                self.try_to_send(request);
            }
        }
        self.notify_room(node);
    }

    fn exchange_loads(&mut self) {
        let ids: Vec<EngineId> = (0..ENGINES).map(engine_id).collect();
        let own = |node: &SimNode| {
            ids.iter().map(|id| node.engines.get(id).unwrap().own_requests).collect::<Vec<u32>>()
        };
        let by_node: Vec<Vec<u32>> = self.nodes.iter().map(own).collect();
        self.loads.push_back((self.now, by_node));
        while self.loads.len() > 1 && self.loads[1].0 + LOADS_AGE <= self.now {
            self.loads.pop_front();
        }
        let known = &self.loads[0].1;
        for (engine, id) in ids.iter().enumerate() {
            let sum: u32 = known.iter().map(|loads| loads[engine]).sum();
            for (node, loads) in self.nodes.iter_mut().zip(known) {
                let elsewhere =
                    InFlightLoad { requests: sum - loads[engine], ..Default::default() };
                node.engines.get_mut(id).unwrap().in_flight_elsewhere = Some(elsewhere);
            }
        }
        (0..NODES).for_each(|node| self.notify_room(node));
        self.at(self.now + LOADS_EVERY, Event::Loads);
    }

    fn learn_of_engine(&mut self, engine: usize, is_lost: bool) {
        self.known_lost[engine] = is_lost;
        for node in &mut self.nodes {
            let known = node.engines.get_mut(&engine_id(engine)).unwrap();
            if is_lost {
                known.health.report_unreachable(u64::MAX);
            } else {
                known.health.report_reachable();
            }
        }
    }

    fn service_state(&self) -> ServiceState {
        let usable = (0..ENGINES).filter(|engine| !self.known_lost[*engine]);
        let known = self.loads.front().map(|(_, loads)| loads);
        let in_flight = usable.clone().map(|engine| {
            known.map_or(0, |loads| loads.iter().map(|node| node[engine]).sum::<u32>())
        });
        let (engines, in_flight) = (usable.count() as u32, in_flight.sum::<u32>());
        ServiceState {
            service: service(),
            engines,
            slots: engines * SLOTS,
            in_flight: f64::from(in_flight),
            objective: OBJECTIVE,
        }
    }

    fn poll(&mut self, index: usize) {
        let (now, state) = (self.now, self.service_state());
        self.at(now + POLL_EVERY, Event::Poll(index));
        let node = &mut self.nodes[index];
        if !self.parts.overload_control {
            return;
        }
        if LoadCounts::is_pressure(state.in_flight, state.slots) {
            node.counts.record_pressure(&state.service, now);
        }
        let limited: Vec<_> = node.admission.overloaded(now).cloned().collect();
        limited.iter().for_each(|service| node.counts.record_pressure(service, now));
        for report in node.counts.take_due(now) {
            self.bytes_up += serde_json::to_vec(&report).unwrap().len();
            if !node.is_cut_off && now >= self.leaderless_until {
                self.reports.push((now + REPORT_DELAY, report));
            }
        }
    }

    fn decide(&mut self) {
        self.at(self.now + DECIDE_EVERY, Event::Decide);
        if !self.parts.overload_control || self.now < self.leaderless_until {
            return;
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(at, _)| *at <= now);
        self.reports = later;
        due.iter().for_each(|(_, report)| self.controller.record(report, now));
        let table = self.controller.decide(&[self.service_state()], now);
        if self.published.publish(table, now) {
            self.at(now + TABLE_DELAY, Event::Table(now));
        }
    }

    /// All nodes receive what the leader has published.
    fn receive_table(&mut self, published_at: u64) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| !node.is_cut_off) {
            let digest = node.admission.digest(now);
            let Some(update) = self.published.update_for(digest, published_at) else { continue };
            self.bytes_down += serde_json::to_vec(&update).unwrap().len();
            node.admission.apply(AdmissionUpdate { age_ms: now - published_at, ..update }, now);
        }
    }

    /// Requests that arrived first from `from` to `to`, in milliseconds since the start.
    pub(crate) fn share(
        &self,
        from: u64,
        to: u64,
        which: impl Fn(&Ended) -> bool,
        end: End,
    ) -> f64 {
        let all: Vec<&Ended> =
            self.ended.iter().filter(|e| (from..to).contains(&e.at) && which(e)).collect();
        let matching = all.iter().filter(|e| e.end == end).count();
        matching as f64 / all.len().max(1) as f64
    }

    /// Whether a node limits what it admits now.
    pub(crate) fn limits(&self, node: usize) -> bool {
        self.nodes[node].admission.overloaded(self.now).next().is_some()
    }
}

impl SimNode {
    fn new() -> SimNode {
        let mut engines = engines(&[]);
        for engine in 0..ENGINES {
            let mut info = engine_info(&engine_id(engine).0, "a", &[]);
            info.slots = SLOTS;
            engines.upsert(info);
        }
        SimNode {
            engines,
            counts: LoadCounts::default(),
            admission: Admission::default(),
            begin_times: BeginTimes::default(),
            waiting: BTreeSet::new(),
            is_cut_off: false,
        }
    }
}
