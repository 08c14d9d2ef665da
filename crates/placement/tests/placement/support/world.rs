//! Simulation of one failure domain.

use std::collections::VecDeque;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hgw_config::{Document, Fencing};
use hgw_placement::{
    Floor, Item, Leader, LeaderAction, LeaderEntry, LeaderEvent, LeaderSettings, OrderResult, floor,
};
use hgw_types::{Offset, RecordId, Term, Time, UpstreamId};
use hgw_wire::peer::Demand;
use hgw_wire::upstream::Order;
use indexmap::IndexMap;

use super::node::{Fault, Message, Node, Record, demand, format_order, node_name};
use super::{FakeEngine, id};

pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Time until the leader detects the loss of an order.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// Simulation of domain `d1`: nodes, engines, a log, and a network that loses and delays messages.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    pub(crate) engines: IndexMap<UpstreamId, FakeEngine>,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) log_up: bool,
    pub(crate) transcript: String,
    document: Arc<Document>,
    floor: Floor,
    log: Vec<Record>,
    messages: Vec<(Time, Message)>,
}

impl World {
    pub(crate) fn new(document: Arc<Document>, nodes: usize) -> World {
        let engines = document.upstreams.iter().filter(|(_, u)| u.domain.as_str() == "d1");
        let engines = engines
            .map(|(id, u)| (id.clone(), FakeEngine::new(u.fencing == Fencing::Refuses, u.memory)));
        let mut world = World {
            now: Time::from_millis(1000),
            nodes: Vec::new(),
            engines: engines.collect(),
            faults: VecDeque::new(),
            log_up: true,
            transcript: String::new(),
            floor: floor(&document, Offset(1), &[], None),
            document,
            // Offset 0 is not a valid term.
            log: vec![Record::Claim(usize::MAX)],
            messages: Vec::new(),
        };
        for _ in 0..nodes {
            world.add_node();
        }
        world
    }

    /// Starts a new process and returns its index.
    pub(crate) fn add_node(&mut self) -> usize {
        let n = self.nodes.len();
        let settings =
            LeaderSettings { drain_delay: Duration::from_millis(500), ..Default::default() };
        let leader = Leader::new(settings, id("d1"), n as u64 + 1);
        self.nodes.push(Node::new(leader));
        self.send_config(n);
        n
    }

    fn send_config(&mut self, node: usize) {
        let (version, document) = (self.floor.config, Arc::clone(&self.document));
        self.handle(node, LeaderEvent::Config { version, document });
        self.handle(node, LeaderEvent::Floor(self.floor.clone()));
    }

    pub(crate) fn configure(&mut self, document: Arc<Document>) {
        let version = Offset(self.floor.config.0 + 1);
        self.floor = floor(&document, version, &[], Some(&self.floor));
        self.document = document;
        (0..self.nodes.len()).for_each(|n| self.send_config(n));
    }

    pub(crate) fn document(&self) -> Arc<Document> {
        Arc::clone(&self.document)
    }

    /// Floor models of an engine.
    pub(crate) fn floor_of(&self, engine: &str) -> Vec<String> {
        let here = |e: &Vec<UpstreamId>| e.iter().any(|u| u.as_str() == engine);
        let models = self.floor.models.iter().filter(|(_, engines)| here(engines));
        models.map(|(model, _)| model.to_string()).collect()
    }

    pub(crate) fn set_floor(&mut self, change: impl FnOnce(&mut Floor)) {
        change(&mut self.floor);
        let floor = self.floor.clone();
        (0..self.nodes.len()).for_each(|n| self.handle(n, LeaderEvent::Floor(floor.clone())));
    }

    pub(crate) fn claim(&mut self, node: usize) {
        self.log.push(Record::Claim(node));
    }

    /// Pauses the process with its pending actions.
    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Resumes the process: first its pending actions, then the events received meanwhile.
    pub(crate) fn resume(&mut self, node: usize) {
        self.note(format!("{} resumes", node_name(node)));
        self.nodes[node].paused = false;
        let actions = std::mem::take(&mut self.nodes[node].pending_actions);
        actions.into_iter().for_each(|a| self.execute(node, a));
        let events = std::mem::take(&mut self.nodes[node].pending_events);
        events.into_iter().for_each(|e| self.handle(node, e));
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].dead = true;
    }

    pub(crate) fn set_log(&mut self, up: bool) {
        self.log_up = up;
        (0..self.nodes.len()).for_each(|n| self.handle(n, LeaderEvent::LogUp(up)));
    }

    pub(crate) fn restart(&mut self, engine: &str) {
        self.note(format!("{engine} restarts"));
        self.engine(engine).restart();
    }

    pub(crate) fn engine(&mut self, engine: &str) -> &mut FakeEngine {
        self.engines.get_mut(&id::<UpstreamId>(engine)).expect("an engine of d1")
    }

    pub(crate) fn handle(&mut self, node: usize, event: LeaderEvent) {
        if self.nodes[node].dead {
            return;
        }
        if self.nodes[node].paused {
            self.nodes[node].pending_events.push(event);
            return;
        }
        let mut out = Vec::new();
        self.nodes[node].leader.handle(self.now, event, &mut out);
        out.into_iter().for_each(|a| self.execute(node, a));
    }

    /// Executes an action; a paused node queues it.
    fn execute(&mut self, node: usize, action: LeaderAction) {
        let may_load = |a: &LeaderAction| matches!(a, LeaderAction::Order { order, .. } if Item::loaded_by(&order.kind).is_some());
        if self.nodes[node].pauses_on_load && may_load(&action) {
            self.nodes[node].pauses_on_load = false;
            self.note(format!("{} pauses before sending a load", node_name(node)));
            self.pause(node);
        }
        if self.nodes[node].paused {
            self.nodes[node].pending_actions.push(action);
            return;
        }
        match action {
            LeaderAction::Record { id, entry } => self.append(node, id, entry),
            LeaderAction::ReadState(upstream) => {
                let message = Message::State { node, upstream, asked: self.now };
                self.messages.push((self.now + STEP, message));
            }
            LeaderAction::Order { upstream, order, send_by } => {
                self.note(format!(
                    "{} -> {upstream}: {}",
                    node_name(node),
                    format_order(&order.kind)
                ));
                if self.now > send_by {
                    self.note(format!(
                        "{} -> {upstream}: send window passed, not sent",
                        node_name(node)
                    ));
                    self.send_result(node, order.id, OrderResult::NotSent, STEP);
                    return;
                }
                self.send(node, upstream, order);
            }
            LeaderAction::Placement(changed) => {
                for (upstream, holding) in changed {
                    let models = holding.models.iter().map(|(m, v)| format!("{m}@{v}"));
                    let adapters = holding.adapters.iter().map(|(_, a, v)| format!("+{a}@{v}"));
                    let all: Vec<String> = models.chain(adapters).collect();
                    self.note(format!(
                        "{} placement {upstream}: {}",
                        node_name(node),
                        all.join(" ")
                    ));
                }
            }
            LeaderAction::UnreachableEngines(unreachable) => {
                let unreachable: Vec<&str> = unreachable.iter().map(UpstreamId::as_str).collect();
                self.note(format!("{} unreachable: [{}]", node_name(node), unreachable.join(" ")));
            }
        }
    }

    fn append(&mut self, node: usize, id: RecordId, entry: LeaderEntry) {
        let Some((term, leader)) = self.nodes[node].latest_claim else { return };
        if !self.log_up || leader != node {
            self.queue_event(node, LeaderEvent::Dropped(id));
            return;
        }
        let text = match &entry {
            LeaderEntry::Intent { upstream, kind, .. } => {
                format!("intent {upstream} {}", format_order(kind))
            }
            LeaderEntry::Settled { orders } => format!("settled {}", orders.len()),
        };
        self.note(format!("{} records {text}", node_name(node)));
        self.log.push(Record::Entry { term, id, entry });
    }

    fn queue_event(&mut self, node: usize, event: LeaderEvent) {
        self.nodes[node].pending_events.push(event);
    }

    fn send(&mut self, node: usize, upstream: UpstreamId, order: Order) {
        let may_load = Item::loaded_by(&order.kind).is_some();
        let fault = if may_load { self.faults.pop_front() } else { None };
        let mut order_delay = STEP;
        let (mut answered, mut response_delay) = (true, Duration::ZERO);
        match fault.unwrap_or(Fault::None) {
            Fault::None => {}
            Fault::NotSent => return self.send_result(node, order.id, OrderResult::NotSent, STEP),
            Fault::Lost => return self.send_result(node, order.id, OrderResult::Lost, TIMEOUT),
            Fault::Delayed(by) => (answered, order_delay) = (false, by),
            Fault::ResponseLost => answered = false,
            Fault::ResponseDelayed(by) => response_delay = by,
        }
        if !answered {
            self.send_result(node, order.id, OrderResult::Lost, TIMEOUT);
        }
        let message = Message::Order { node, upstream, order, answered, delay: response_delay };
        self.messages.push((self.now + order_delay, message));
    }

    fn send_result(&mut self, node: usize, order: RecordId, result: OrderResult, after: Duration) {
        self.messages.push((self.now + after, Message::Response { node, order, result }));
    }

    /// Reports callers' requests for an adapter that no engine has.
    pub(crate) fn request_adapter(&mut self, node: usize, model: &str, adapter: &str) {
        let demand = Demand { adapters: vec![id(adapter)], ..demand(model) };
        self.handle(node, LeaderEvent::Demand(vec![demand]));
    }

    /// Reports callers' requests for a model without free replicas.
    pub(crate) fn request_model(&mut self, node: usize, model: &str) {
        let demand = Demand { urgent: 20, unmet: 20, busy_ms: 8000, ..demand(model) };
        self.handle(node, LeaderEvent::Demand(vec![demand]));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn run_secs(&mut self, secs: u64) {
        self.run(Duration::from_secs(secs));
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|(t, _)| *t <= now);
        self.messages = later;
        let due: Vec<(Time, Message)> = due;
        due.into_iter().for_each(|(_, message)| self.deliver(message));
        for node in 0..self.nodes.len() {
            if !self.nodes[node].paused {
                let events = std::mem::take(&mut self.nodes[node].pending_events);
                events.into_iter().for_each(|e| self.handle(node, e));
                self.read_log(node);
                self.handle(node, LeaderEvent::Tick);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Response { node, order, result } => {
                self.handle(node, LeaderEvent::OrderResult { order, result });
            }
            Message::State { node, upstream, asked } => {
                let engine = &self.engines[&upstream];
                let state = engine.up.then(|| engine.state(self.now));
                self.handle(node, LeaderEvent::State { upstream, asked, state });
            }
            Message::Order { node, upstream, order, answered, delay } => {
                let engine = &mut self.engines[&upstream];
                if !engine.up {
                    if answered {
                        self.send_result(node, order.id, OrderResult::Lost, STEP);
                    }
                    return;
                }
                let (outcome, takes) = engine.order(self.now, &order);
                self.note(format!("{upstream} {}: {outcome:?}", format_order(&order.kind)));
                if answered {
                    let result = OrderResult::Answered(outcome);
                    self.send_result(node, order.id, result, takes + delay + STEP);
                }
            }
        }
    }

    fn read_log(&mut self, node: usize) {
        while self.log_up
            && self.nodes[node].reads_log
            && self.nodes[node].next_record < self.log.len()
        {
            let n = &mut self.nodes[node];
            let offset = n.next_record;
            n.next_record += 1;
            let was_leader = n.latest_claim.is_some_and(|(_, leader)| leader == node);
            match self.log[offset].clone() {
                Record::Claim(claimant) => {
                    n.latest_claim = Some((Term(offset as u64), claimant));
                    if was_leader {
                        self.handle(node, LeaderEvent::LeaseLost);
                    }
                    if claimant == node {
                        self.note(format!("{} acquires the lease, term {offset}", node_name(node)));
                        self.handle(node, LeaderEvent::LeaseAcquired(Term(offset as u64)));
                    }
                }
                Record::Entry { term, id, entry } => {
                    if n.latest_claim.is_some_and(|(latest, _)| latest == term) {
                        self.handle(node, LeaderEvent::Apply { id, entry });
                    } else {
                        self.handle(node, LeaderEvent::Dropped(id));
                    }
                }
            }
        }
    }

    fn note(&mut self, line: String) {
        let _ = writeln!(self.transcript, "{} {line}", self.now);
    }

    /// Orders that would have overcommitted an engine or loaded an item twice.
    pub(crate) fn overcommitted(&self) -> Vec<String> {
        let all = self.engines.iter();
        all.flat_map(|(id, e)| e.overcommitted.iter().map(move |o| format!("{id} at {o}")))
            .collect()
    }

    /// Number of open intents in a snapshot of the node's state.
    pub(crate) fn open_intents(&self, node: usize) -> usize {
        self.nodes[node].leader.snapshot().len()
    }

    /// Panics with the transcript if memory was overcommitted or `models` are not reachable.
    pub(crate) fn check(&self, models: &[(&str, &str)]) {
        let transcript = &self.transcript;
        assert_eq!(self.overcommitted(), Vec::<String>::new(), "\n{transcript}");
        for (model, version) in models {
            assert!(
                self.is_reachable(model, version),
                "{model}@{version} not reachable\n{transcript}"
            );
        }
    }

    /// Whether a running engine has the version ready.
    pub(crate) fn is_reachable(&self, model: &str, version: &str) -> bool {
        let item = Item::Model(id(model), id(version));
        let has_ready =
            |e: &FakeEngine| e.up && e.loaded.get(&item).is_some_and(|(_, t)| *t <= self.now);
        self.engines.values().any(has_ready)
    }
}
