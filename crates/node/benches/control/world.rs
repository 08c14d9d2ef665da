//! Nodes joined by hand, with the time that each of them takes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hgw_node::{Action, CallId, CallerRequest, Ended, Event, Machine, Node, StreamId};
use hgw_node::{OperatorReply, OperatorRequest, Settings};
use hgw_types::{AttemptId, DomainId, MemSize, NodeId, Offset, Time, UpstreamId};
use hgw_wire::peer::{Frame, Outcome, RecordedAnswer};
use hgw_wire::platform::{Vm, VmList};
use indexmap::{IndexMap, IndexSet};

use crate::document::{Size, json};
use crate::engine::Engines;
use crate::log::Log;

const TICK: Duration = Duration::from_millis(10);

/// From a frame that a silent peer does not answer until its connection is closed: the defaults of
/// `hgw_net`, half a second until a ping and a second for its answer.
const PING: Duration = Duration::from_millis(1500);

/// What a node did since the meter was last reset.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meter {
    pub(crate) micros: f64,
    pub(crate) messages: f64,
    pub(crate) bytes: f64,
    pub(crate) reads: f64,
    pub(crate) appends: f64,
}

/// Work that an upstream has.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) node: NodeId,
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: UpstreamId,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) nodes: IndexMap<NodeId, Node>,
    pub(crate) meters: IndexMap<NodeId, Meter>,
    pub(crate) started: Vec<Started>,
    pub(crate) answered: usize,
    pub(crate) state: String,
    engines: Engines,
    log: Log,
    domains: IndexMap<NodeId, DomainId>,
    connected: IndexSet<(NodeId, NodeId)>,
    queue: VecDeque<(NodeId, Event)>,
    streams: u64,
    /// Connections that a node has found silent: when it closes them.
    doubted: IndexMap<(NodeId, NodeId), Time>,
    /// Whether nodes ping silent connections, as the threads around the machine do.
    pub(crate) pings: bool,
}

pub(crate) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

impl World {
    /// Starts nodes, spread over the failure domains, with a configuration in force.
    pub(crate) fn start(nodes: usize, size: Size) -> World {
        let mut world = World {
            now: Time::ZERO,
            nodes: IndexMap::new(),
            meters: IndexMap::new(),
            started: Vec::new(),
            answered: 0,
            state: String::new(),
            engines: Engines::default(),
            log: Log::default(),
            domains: IndexMap::new(),
            connected: IndexSet::new(),
            queue: VecDeque::new(),
            streams: 0,
            doubted: IndexMap::new(),
            pings: false,
        };
        for i in 0..nodes {
            let (id, domain) = (name(&format!("n{i}")), name(&format!("d{}", i % size.domains)));
            let addr = format!("10.2.{}.{}:7001", i / 250, i % 250);
            world.domains.insert(NodeId::clone(&id), DomainId::clone(&domain));
            let settings = Settings::new(id.clone(), domain, addr, 1000 + i as u64);
            world.nodes.insert(id, Node::new(settings));
        }
        let text = json(size);
        let document = hgw_config::parse(text.as_bytes()).unwrap();
        for (id, upstream) in document.upstreams.iter().filter(|(_, u)| u.memory > MemSize(0)) {
            world.engines.add(id, upstream.memory);
        }
        world.run(3000);
        let apply =
            OperatorRequest::Apply { id: None, base: Offset(0), document: Bytes::from(text) };
        world.operate(&name("n0"), apply);
        world.run(8000);
        world
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            let nodes: Vec<NodeId> = self.nodes.keys().cloned().collect();
            for node in nodes {
                self.give(&node, Event::Tick);
            }
            self.queue.extend(self.log.late(self.now));
            self.close_doubted();
            self.settle();
        }
    }

    /// What each node did in each of some virtual seconds.
    pub(crate) fn seconds(&mut self, seconds: usize) -> Vec<IndexMap<NodeId, Meter>> {
        (0..seconds)
            .map(|_| {
                self.meters.clear();
                self.run(1000);
                std::mem::take(&mut self.meters)
            })
            .collect()
    }

    /// All time taken by all nodes since the meters were last cleared, in microseconds.
    pub(crate) fn micros(&self) -> f64 {
        self.meters.values().map(|m| m.micros).sum()
    }

    pub(crate) fn appends(&self) -> f64 {
        self.meters.values().map(|m| m.appends).sum()
    }

    pub(crate) fn call(&mut self, node: &NodeId, request: CallerRequest) {
        self.streams += 1;
        let stream = StreamId(self.streams);
        self.give(node, Event::CallerRequest { stream, request: Box::new(request) });
        self.settle();
    }

    /// All work at upstreams makes progress once, and ends.
    pub(crate) fn end_all(&mut self) {
        for Started { node, attempt, upstream } in std::mem::take(&mut self.started) {
            let plain = upstream.as_str().starts_with('p');
            let answer = plain.then(|| RecordedAnswer {
                status: 200,
                headers: Vec::new(),
                body: Bytes::from_static(b"ok"),
            });
            self.give(&node, Event::Progress { attempt, tokens: 1 });
            let outcome = Outcome::Whole(if plain { 0 } else { 8 });
            self.give(&node, Event::Ended(Ended { attempt, outcome, answer }));
            self.settle();
        }
    }

    /// The dump of a node's state, with its own time left out of the meters.
    pub(crate) fn state_of(&mut self, node: &NodeId) -> serde_json::Value {
        let meters = self.meters.clone();
        self.operate(node, OperatorRequest::State);
        self.meters = meters;
        serde_json::from_str(&self.state).unwrap()
    }

    /// A node ends. Its connections break at once, or stay silent where the VM went with it.
    pub(crate) fn kill(&mut self, node: &NodeId, silent: bool) {
        self.nodes.shift_remove(node);
        self.started.retain(|s| s.node != *node);
        let touches = |(a, b): &&(NodeId, NodeId)| a == node || b == node;
        let lost: Vec<_> = self.connected.iter().filter(touches).cloned().collect();
        for (a, b) in lost.into_iter().filter(|_| !silent) {
            self.connected.swap_remove(&(a.clone(), b.clone()));
            self.queue.push_back((a, Event::PeerDown { peer: b }));
        }
        self.settle();
    }

    /// Bytes of the platform's list of VMs as JSON.
    pub(crate) fn list_bytes(&self) -> usize {
        serde_json::to_vec(&self.vms()).unwrap().len()
    }

    fn operate(&mut self, node: &NodeId, request: OperatorRequest) {
        self.give(node, Event::Operator { call: CallId(0), request });
        self.settle();
    }

    fn give(&mut self, node: &NodeId, event: Event) {
        let Some(machine) = self.nodes.get_mut(node) else { return };
        let mut out = Vec::new();
        let start = Instant::now();
        machine.handle(self.now, event, &mut out);
        let micros = start.elapsed().as_secs_f64() * 1e6;
        self.meters.entry(node.clone()).or_default().micros += micros;
        for action in out {
            self.carry_out(node, action);
        }
    }

    fn settle(&mut self) {
        while let Some((node, event)) = self.queue.pop_front() {
            self.give(&node, event);
        }
    }

    fn carry_out(&mut self, node: &NodeId, action: Action) {
        let meter = self.meters.entry(node.clone()).or_default();
        let event = match action {
            Action::Connect { peer, .. } => return self.connect(node, peer),
            Action::Send { to, message } => {
                let frame = Frame::Message(message);
                let mut buf = Vec::new();
                ciborium::into_writer(&frame, &mut buf).unwrap();
                meter.messages += 1.0;
                meter.bytes += buf.len() as f64;
                let Frame::Message(message) = frame else { unreachable!() };
                if self.connected.contains(&(node.clone(), to.clone())) {
                    if self.pings && !self.nodes.contains_key(&to) {
                        let closes = self.now + PING;
                        self.doubted.entry((node.clone(), to.clone())).or_insert(closes);
                    }
                    let event = Event::Message { from: node.clone(), message };
                    return self.queue.push_back((to, event));
                }
                Event::PeerDown { peer: to }
            }
            Action::Read { stream, from } => {
                meter.reads += 1.0;
                let events = self.log.read(self.now, node, stream, from);
                return self.queue.extend(events);
            }
            Action::Append { stream, id, data } => {
                meter.appends += 1.0;
                let events = self.log.append(node, stream, id, data);
                return self.queue.extend(events);
            }
            Action::Seal { stream } => Event::Sealed { stream, tokens: Vec::new(), begun: false },
            Action::Start { attempt, upstream, .. } => {
                return self.started.push(Started { node: node.clone(), attempt, upstream });
            }
            Action::Order { upstream, order, .. } => {
                let Some(result) = self.engines.order(&upstream, &order) else { return };
                Event::OrderAnswer { upstream, order: order.id, result }
            }
            Action::AskState { upstream, .. } => {
                let state = self.engines.state(&upstream);
                Event::State { upstream, asked: self.now, state }
            }
            Action::AskLoad { upstream, .. } => {
                let report = self.engines.load(&upstream);
                Event::Load { upstream, report }
            }
            Action::AskVms => Event::Vms(Some(self.vms())),
            Action::Reply { reply: OperatorReply::State(state), .. } => {
                self.state = state;
                return;
            }
            Action::Answer { .. } => {
                self.answered += 1;
                return;
            }
            Action::Attach { .. }
            | Action::Disconnect { .. }
            | Action::Cancel { .. }
            | Action::Reply { .. }
            | Action::Ready(_)
            | Action::Exit => return,
        };
        self.queue.push_back((node.clone(), event));
    }

    fn close_doubted(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .doubted
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(pair, _)| pair.clone())
            .collect();
        for (a, b) in due {
            self.doubted.swap_remove(&(a.clone(), b.clone()));
            self.connected.swap_remove(&(a.clone(), b.clone()));
            self.queue.push_back((a, Event::PeerDown { peer: b }));
        }
    }

    fn connect(&mut self, node: &NodeId, peer: NodeId) {
        if *node == peer || self.connected.contains(&(node.clone(), peer.clone())) {
            return;
        }
        if !self.nodes.contains_key(&peer) {
            return self.queue.push_back((node.clone(), Event::PeerDown { peer }));
        }
        for (a, b) in [(node, &peer), (&peer, node)] {
            self.connected.insert((a.clone(), b.clone()));
            let (domain, addr) = (self.domains[b].clone(), format!("{b}:1"));
            self.queue.push_back((a.clone(), Event::PeerUp { peer: b.clone(), domain, addr }));
        }
    }

    fn vms(&self) -> VmList {
        let vm = |(node, domain): (&NodeId, &DomainId)| Vm {
            node: node.clone(),
            domain: domain.clone(),
            addr: format!("{node}:1"),
            leaving: false,
        };
        VmList { vms: self.domains.iter().map(vm).collect(), leaving_upstreams: Vec::new() }
    }
}
