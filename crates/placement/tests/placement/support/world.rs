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

use super::node::{Fault, Node, Record, Wire, demand, name, show};
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
    wires: Vec<(Time, Wire)>,
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
            wires: Vec::new(),
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
        let keeper = Leader::new(settings, id("d1"), n as u64 + 1);
        self.nodes.push(Node::new(keeper));
        self.tell_config(n);
        n
    }

    fn tell_config(&mut self, node: usize) {
        let (version, document) = (self.floor.config, Arc::clone(&self.document));
        self.tell(node, LeaderEvent::Config { version, document });
        self.tell(node, LeaderEvent::Floor(self.floor.clone()));
    }

    pub(crate) fn configure(&mut self, document: Arc<Document>) {
        let version = Offset(self.floor.config.0 + 1);
        self.floor = floor(&document, version, &[], Some(&self.floor));
        self.document = document;
        (0..self.nodes.len()).for_each(|n| self.tell_config(n));
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
        (0..self.nodes.len()).for_each(|n| self.tell(n, LeaderEvent::Floor(floor.clone())));
    }

    pub(crate) fn claim(&mut self, node: usize) {
        self.log.push(Record::Claim(node));
    }

    /// Pauses the process with its pending actions.
    pub(crate) fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// Resumes the process: first its pending actions, then the events received meanwhile.
    pub(crate) fn thaw(&mut self, node: usize) {
        self.note(format!("{} goes on", name(node)));
        self.nodes[node].frozen = false;
        let hand = std::mem::take(&mut self.nodes[node].hand);
        hand.into_iter().for_each(|a| self.act(node, a));
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        inbox.into_iter().for_each(|e| self.tell(node, e));
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].dead = true;
    }

    pub(crate) fn set_log(&mut self, up: bool) {
        self.log_up = up;
        (0..self.nodes.len()).for_each(|n| self.tell(n, LeaderEvent::LogUp(up)));
    }

    pub(crate) fn restart(&mut self, engine: &str) {
        self.note(format!("{engine} restarts"));
        self.engine(engine).restart();
    }

    pub(crate) fn engine(&mut self, engine: &str) -> &mut FakeEngine {
        self.engines.get_mut(&id::<UpstreamId>(engine)).expect("an engine of d1")
    }

    pub(crate) fn tell(&mut self, node: usize, event: LeaderEvent) {
        if self.nodes[node].dead {
            return;
        }
        if self.nodes[node].frozen {
            self.nodes[node].inbox.push(event);
            return;
        }
        let mut out = Vec::new();
        self.nodes[node].keeper.handle(self.now, event, &mut out);
        out.into_iter().for_each(|a| self.act(node, a));
    }

    /// Executes an action; a paused node queues it.
    fn act(&mut self, node: usize, action: LeaderAction) {
        let grows = |a: &LeaderAction| matches!(a, LeaderAction::Order { order, .. } if Item::loaded_by(&order.kind).is_some());
        if self.nodes[node].freezes_on_load && grows(&action) {
            self.nodes[node].freezes_on_load = false;
            self.note(format!("{} stands still with a load in hand", name(node)));
            self.freeze(node);
        }
        if self.nodes[node].frozen {
            self.nodes[node].hand.push(action);
            return;
        }
        match action {
            LeaderAction::Record { id, entry } => self.append(node, id, entry),
            LeaderAction::ReadState(upstream) => {
                let wire = Wire::State { node, upstream, asked: self.now };
                self.wires.push((self.now + STEP, wire));
            }
            LeaderAction::Order { upstream, order, send_by } => {
                self.note(format!("{} -> {upstream}: {}", name(node), show(&order.kind)));
                if self.now > send_by {
                    self.note(format!("{} -> {upstream}: too late, not sent", name(node)));
                    self.tell_later(node, order.id, OrderResult::NotSent, STEP);
                    return;
                }
                self.send(node, upstream, order);
            }
            LeaderAction::Placement(changed) => {
                for (upstream, holding) in changed {
                    let models = holding.models.iter().map(|(m, v)| format!("{m}@{v}"));
                    let adapters = holding.adapters.iter().map(|(_, a, v)| format!("+{a}@{v}"));
                    let all: Vec<String> = models.chain(adapters).collect();
                    self.note(format!("{} placement {upstream}: {}", name(node), all.join(" ")));
                }
            }
            LeaderAction::UnreachableEngines(lost) => {
                let lost: Vec<&str> = lost.iter().map(UpstreamId::as_str).collect();
                self.note(format!("{} lost: [{}]", name(node), lost.join(" ")));
            }
        }
    }

    fn append(&mut self, node: usize, id: RecordId, entry: LeaderEntry) {
        let Some((term, holder)) = self.nodes[node].latest else { return };
        if !self.log_up || holder != node {
            self.tell_later_event(node, LeaderEvent::Dropped(id));
            return;
        }
        let text = match &entry {
            LeaderEntry::Intent { upstream, kind, .. } => {
                format!("intent {upstream} {}", show(kind))
            }
            LeaderEntry::Settled { orders } => format!("settled {}", orders.len()),
        };
        self.note(format!("{} records {text}", name(node)));
        self.log.push(Record::Entry { term, id, entry });
    }

    fn tell_later_event(&mut self, node: usize, event: LeaderEvent) {
        self.nodes[node].inbox.push(event);
    }

    fn send(&mut self, node: usize, upstream: UpstreamId, order: Order) {
        let grows = Item::loaded_by(&order.kind).is_some();
        let fault = if grows { self.faults.pop_front() } else { None };
        let mut late = STEP;
        let (mut answered, mut delay) = (true, Duration::ZERO);
        match fault.unwrap_or(Fault::None) {
            Fault::None => {}
            Fault::NotSent => return self.tell_later(node, order.id, OrderResult::NotSent, STEP),
            Fault::Lost => return self.tell_later(node, order.id, OrderResult::Lost, TIMEOUT),
            Fault::Late(by) => (answered, late) = (false, by),
            Fault::AnswerLost => answered = false,
            Fault::AnswerLate(by) => delay = by,
        }
        if !answered {
            self.tell_later(node, order.id, OrderResult::Lost, TIMEOUT);
        }
        let wire = Wire::Order { node, upstream, order, answered, late: delay };
        self.wires.push((self.now + late, wire));
    }

    fn tell_later(&mut self, node: usize, order: RecordId, result: OrderResult, after: Duration) {
        self.wires.push((self.now + after, Wire::Answer { node, order, result }));
    }

    /// Reports callers' requests for an adapter that no engine has.
    pub(crate) fn ask_adapter(&mut self, node: usize, model: &str, adapter: &str) {
        let demand = Demand { adapters: vec![id(adapter)], ..demand(model) };
        self.tell(node, LeaderEvent::Demand(vec![demand]));
    }

    /// Reports callers' requests for a model without free replicas.
    pub(crate) fn ask_model(&mut self, node: usize, model: &str) {
        let demand = Demand { urgent: 20, unmet: 20, busy_ms: 8000, ..demand(model) };
        self.tell(node, LeaderEvent::Demand(vec![demand]));
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
            std::mem::take(&mut self.wires).into_iter().partition(|(t, _)| *t <= now);
        self.wires = later;
        let due: Vec<(Time, Wire)> = due;
        due.into_iter().for_each(|(_, wire)| self.deliver(wire));
        for node in 0..self.nodes.len() {
            if !self.nodes[node].frozen {
                let inbox = std::mem::take(&mut self.nodes[node].inbox);
                inbox.into_iter().for_each(|e| self.tell(node, e));
                self.read_log(node);
                self.tell(node, LeaderEvent::Tick);
            }
        }
    }

    fn deliver(&mut self, wire: Wire) {
        match wire {
            Wire::Answer { node, order, result } => {
                self.tell(node, LeaderEvent::Answer { order, result });
            }
            Wire::State { node, upstream, asked } => {
                let engine = &self.engines[&upstream];
                let state = engine.up.then(|| engine.state(self.now));
                self.tell(node, LeaderEvent::State { upstream, asked, state });
            }
            Wire::Order { node, upstream, order, answered, late } => {
                let engine = &mut self.engines[&upstream];
                if !engine.up {
                    if answered {
                        self.tell_later(node, order.id, OrderResult::Lost, STEP);
                    }
                    return;
                }
                let (outcome, takes) = engine.order(self.now, &order);
                self.note(format!("{upstream} {}: {outcome:?}", show(&order.kind)));
                if answered {
                    let result = OrderResult::Answered(outcome);
                    self.tell_later(node, order.id, result, takes + late + STEP);
                }
            }
        }
    }

    fn read_log(&mut self, node: usize) {
        while self.log_up && self.nodes[node].reads && self.nodes[node].read < self.log.len() {
            let n = &mut self.nodes[node];
            let offset = n.read;
            n.read += 1;
            let held = n.latest.is_some_and(|(_, holder)| holder == node);
            match self.log[offset].clone() {
                Record::Claim(claimer) => {
                    n.latest = Some((Term(offset as u64), claimer));
                    if held {
                        self.tell(node, LeaderEvent::LeaseLost);
                    }
                    if claimer == node {
                        self.note(format!("{} gains term {offset}", name(node)));
                        self.tell(node, LeaderEvent::LeaseAcquired(Term(offset as u64)));
                    }
                }
                Record::Entry { term, id, entry } => {
                    if n.latest.is_some_and(|(latest, _)| latest == term) {
                        self.tell(node, LeaderEvent::Apply { id, entry });
                    } else {
                        self.tell(node, LeaderEvent::Dropped(id));
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
        self.nodes[node].keeper.snapshot().len()
    }

    /// Panics with the transcript if memory was overcommitted or `models` are not reachable.
    pub(crate) fn check(&self, models: &[(&str, &str)]) {
        let session = &self.transcript;
        assert_eq!(self.overcommitted(), Vec::<String>::new(), "\n{session}");
        for (model, version) in models {
            assert!(
                self.is_reachable(model, version),
                "{model}@{version} not reachable\n{session}"
            );
        }
    }

    /// Whether a running engine has the version ready.
    pub(crate) fn is_reachable(&self, model: &str, version: &str) -> bool {
        let item = Item::Model(id(model), id(version));
        let holds = |e: &FakeEngine| e.up && e.held.get(&item).is_some_and(|(_, t)| *t <= self.now);
        self.engines.values().any(holds)
    }
}
