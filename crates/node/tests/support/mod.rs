//! Nodes joined by hand: no sockets, no threads, one clock. The platform, the engines and the callers
//! are a few lines each; a test says what happens and the transcript says what followed.

mod caller;
pub(crate) mod document;
mod engine;
mod log;

use std::collections::VecDeque;
use std::time::Duration;

use hgw_node::{
    Action, Ended, Event, Machine, Node, OperatorReply, OperatorRequest, Settings, StreamId,
};
use hgw_types::{AttemptId, NodeId, Time, UpstreamId};
use hgw_wire::peer::Outcome;
use hgw_wire::platform::{Vm, VmList};
use indexmap::{IndexMap, IndexSet};

use caller::Callers;
use engine::Engines;
use log::Log;

const TICK: Duration = Duration::from_millis(10);

/// An attempt that an upstream works on.
pub(crate) struct Running {
    pub(crate) node: NodeId,
    pub(crate) upstream: UpstreamId,
    /// Tokens that were given with the request.
    pub(crate) resumed: u32,
}

/// Nodes, their surroundings, and what happened.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) nodes: IndexMap<NodeId, Node>,
    pub(crate) log: Log,
    pub(crate) engines: Engines,
    pub(crate) callers: Callers,
    pub(crate) running: IndexMap<AttemptId, Running>,
    pub(crate) leaving_upstreams: Vec<UpstreamId>,
    pub(crate) transcript: Vec<String>,
    pub(crate) replies: Vec<OperatorReply>,
    /// Nodes that are given nothing until they are thawed.
    pub(crate) frozen: IndexSet<NodeId>,
    domains: IndexMap<NodeId, hgw_types::DomainId>,
    connected: IndexSet<(NodeId, NodeId)>,
    queue: VecDeque<(NodeId, Event)>,
    streams: u64,
    names: IndexMap<AttemptId, usize>,
}

pub(crate) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

impl World {
    /// Starts nodes, given as `node@domain`.
    pub(crate) fn start(nodes: &[&str]) -> World {
        let mut world = World {
            now: Time::ZERO,
            nodes: IndexMap::new(),
            log: Log::default(),
            engines: Engines::default(),
            callers: Callers::default(),
            running: IndexMap::new(),
            leaving_upstreams: Vec::new(),
            transcript: Vec::new(),
            replies: Vec::new(),
            frozen: IndexSet::new(),
            domains: IndexMap::new(),
            connected: IndexSet::new(),
            queue: VecDeque::new(),
            streams: 0,
            names: IndexMap::new(),
        };
        nodes.iter().for_each(|node| world.add(node));
        world
    }

    /// Starts one more node, given as `node@domain`.
    pub(crate) fn add(&mut self, node: &str) {
        let (id, domain) = node.split_once('@').unwrap();
        let boot = 1000 + self.domains.len() as u64;
        let settings = Settings::new(name(id), name(domain), format!("{id}:1"), boot);
        self.domains.insert(name(id), name(domain));
        self.nodes.insert(name(id), Node::new(settings));
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            let awake: Vec<NodeId> = self.nodes.keys().cloned().collect();
            for node in awake {
                self.give(&node, Event::Tick);
            }
            for (node, event) in self.log.late(self.now) {
                self.queue.push_back((node, event));
            }
            self.settle();
        }
    }

    /// Runs until something holds, for at most a minute of virtual time.
    pub(crate) fn run_until(&mut self, what: &str, holds: impl Fn(&World) -> bool) {
        for _ in 0..6000 {
            if holds(self) {
                return;
            }
            self.run(10);
        }
        panic!("not reached: {what}\n{}", self.transcript.join("\n"));
    }

    /// The node ends at once; its peers learn it from their connections.
    pub(crate) fn kill(&mut self, node: &str) {
        let node: NodeId = name(node);
        self.say(format!("{node} is killed"));
        self.nodes.shift_remove(&node);
        self.running.retain(|_, r| r.node != node);
        self.cut(&node);
    }

    /// All connections of a node break.
    pub(crate) fn cut(&mut self, node: &NodeId) {
        let lost: Vec<_> =
            self.connected.iter().filter(|(a, b)| a == node || b == node).cloned().collect();
        for (a, b) in lost {
            self.connected.swap_remove(&(a.clone(), b.clone()));
            if self.nodes.contains_key(&a) {
                self.queue.push_back((a, Event::PeerDown { peer: b }));
            }
        }
        self.settle();
    }

    /// A caller sends a request through a node.
    pub(crate) fn call(&mut self, node: &str, request: hgw_node::CallerRequest) -> StreamId {
        self.streams += 1;
        let stream = StreamId(self.streams);
        self.say(format!("caller {stream} asks {node}"));
        self.callers.open(stream);
        self.give(&name(node), Event::CallerRequest { stream, request: Box::new(request) });
        self.settle();
        stream
    }

    pub(crate) fn operate(&mut self, node: &str, request: OperatorRequest) {
        let call = hgw_node::CallId(self.replies.len() as u64);
        self.give(&name(node), Event::Operator { call, request });
        self.settle();
    }

    pub(crate) fn stop(&mut self, node: &str) {
        self.say(format!("{node} is told to stop"));
        self.give(&name(node), Event::Stop);
        self.settle();
    }

    /// The upstream emits tokens for every attempt that it works on.
    pub(crate) fn emit(&mut self, tokens: u32) {
        let attempts: Vec<AttemptId> = self.running.keys().copied().collect();
        for attempt in attempts {
            let (node, from) =
                (self.running[&attempt].node.clone(), self.running[&attempt].resumed);
            self.running[&attempt].resumed += tokens;
            for index in from..from + tokens {
                self.callers.token(attempt, index);
            }
            self.give(&node, Event::Progress { attempt, tokens: from + tokens });
        }
        self.settle();
    }

    /// Every attempt ends with `outcome`.
    pub(crate) fn end_all(&mut self, outcome: &Outcome) {
        let attempts: Vec<AttemptId> = self.running.keys().copied().collect();
        for attempt in attempts {
            self.end(attempt, outcome.clone(), None);
        }
    }

    pub(crate) fn end(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<hgw_wire::peer::RecordedAnswer>,
    ) {
        let Some(running) = self.running.swap_remove(&attempt) else { return };
        self.give(&running.node, Event::Ended(Ended { attempt, outcome, answer }));
        self.settle();
    }

    pub(crate) fn say(&mut self, line: String) {
        self.transcript.push(line);
    }

    /// Gives an event to a node, unless it is frozen or gone.
    pub(crate) fn give(&mut self, node: &NodeId, event: Event) {
        if self.frozen.contains(node) {
            if !matches!(event, Event::Tick) {
                self.queue.push_back((node.clone(), event));
            }
            return;
        }
        let Some(machine) = self.nodes.get_mut(node) else { return };
        let mut out = Vec::new();
        machine.handle(self.now, event, &mut out);
        for action in out {
            self.carry_out(node, action);
        }
    }

    fn settle(&mut self) {
        let mut held = VecDeque::new();
        while let Some((node, event)) = self.queue.pop_front() {
            if self.frozen.contains(&node) {
                held.push_back((node, event));
            } else {
                self.give(&node, event);
            }
        }
        self.queue = held;
    }

    fn carry_out(&mut self, node: &NodeId, action: Action) {
        let answer = |world: &mut World, event| world.queue.push_back((node.clone(), event));
        match action {
            Action::Connect { peer, .. } => self.connect(node, peer),
            Action::Disconnect { .. } => {}
            Action::Send { to, message } => {
                if self.connected.contains(&(node.clone(), to.clone())) {
                    self.queue.push_back((to, Event::Message { from: node.clone(), message }));
                } else {
                    answer(self, Event::PeerDown { peer: to });
                }
            }
            Action::Attach { stream, attempt } => self.callers.attach(stream, attempt),
            Action::Seal { stream } => {
                let tokens = self.callers.seal(stream);
                answer(self, Event::Sealed { stream, tokens, begun: false });
            }
            Action::Answer { stream, answer } => {
                let line = self.callers.answer(stream, answer);
                self.say(line);
            }
            Action::Start { attempt, upstream, work, .. } => {
                let resumed = engine::resumed(&work);
                let number = self.number(attempt);
                self.say(format!(
                    "{node} starts attempt {number} at {upstream}, from token {resumed}"
                ));
                self.running.insert(attempt, Running { node: node.clone(), upstream, resumed });
            }
            Action::Cancel { attempt } => {
                let number = self.number(attempt);
                self.say(format!("{node} cancels attempt {number}"));
                if self.running.swap_remove(&attempt).is_some() {
                    let outcome = Outcome::Broken("cancelled".to_owned());
                    answer(self, Event::Ended(Ended { attempt, outcome, answer: None }));
                }
            }
            Action::Order { upstream, order, .. } => {
                self.say(format!("{node} orders {upstream}: {}", engine::describe(&order.kind)));
                if let Some(result) = self.engines.order(&upstream, &order) {
                    answer(self, Event::OrderAnswer { upstream, order: order.id, result });
                }
            }
            Action::AskState { upstream, .. } => {
                let state = self.engines.state(&upstream);
                answer(self, Event::State { upstream, asked: self.now, state });
            }
            Action::AskLoad { upstream, .. } => {
                let report = self.engines.load(&upstream);
                answer(self, Event::Load { upstream, report });
            }
            Action::Read { stream, from } => {
                let read = self.log.read(self.now, node, stream, from);
                self.queue.extend(read);
            }
            Action::Append { stream, id, data } => {
                let events = self.log.append(node, stream, id, data);
                self.queue.extend(events);
            }
            Action::AskVms => {
                let list = self.vms();
                answer(self, Event::Vms(Some(list)));
            }
            Action::Reply { reply, .. } => {
                let shown = match &reply {
                    OperatorReply::Apply { outcome, .. } => format!("{outcome:?}"),
                    other => format!("{other:?}"),
                };
                self.say(format!("{node} tells its operator {shown}"));
                self.replies.push(reply);
            }
            Action::Ready(ready) => self.say(format!("{node} ready: {ready}")),
            Action::Exit => {
                self.say(format!("{node} exits"));
                self.nodes.shift_remove(node);
                self.cut(&node.clone());
            }
        }
    }

    fn number(&mut self, attempt: AttemptId) -> usize {
        let next = self.names.len() + 1;
        *self.names.entry(attempt).or_insert(next)
    }

    fn connect(&mut self, node: &NodeId, peer: NodeId) {
        if *node == peer || self.connected.contains(&(node.clone(), peer.clone())) {
            return;
        }
        if !self.nodes.contains_key(&peer) || self.frozen.contains(&peer) {
            self.queue.push_back((node.clone(), Event::PeerDown { peer }));
            return;
        }
        for (a, b) in [(node, &peer), (&peer, node)] {
            self.connected.insert((a.clone(), b.clone()));
            let (domain, addr) = (self.domains[b].clone(), format!("{b}:1"));
            self.queue.push_back((a.clone(), Event::PeerUp { peer: b.clone(), domain, addr }));
        }
    }

    fn vms(&self) -> VmList {
        let vm = |(node, domain): (&NodeId, &hgw_types::DomainId)| Vm {
            node: node.clone(),
            domain: domain.clone(),
            addr: format!("{node}:1"),
            leaving: false,
        };
        VmList {
            vms: self.domains.iter().map(vm).collect(),
            leaving_upstreams: self.leaving_upstreams.clone(),
        }
    }
}
