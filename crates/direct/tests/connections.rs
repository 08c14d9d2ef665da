//! Connections from nodes to engines, and the spread of load, in virtual time.

#![allow(clippy::print_stdout, reason = "the figures are wanted with --nocapture")]

#[expect(dead_code, reason = "shared by several test programs")]
mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::net::SocketAddr;

use hgw_direct::in_flight::InFlightLoad;
use hgw_direct::subset::{IdleConnections, NodeSeed, SubsetParams};
use hgw_direct::{
    ChoiceParams, CostWeights, Engine, Engines, Millis, Prompt, PromptPart, VersionRule,
    choose_engine,
};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{engine_info, model_ref, service};

/// Interval of the nodes' reports of their requests in flight.
const REPORT_INTERVAL: Millis = 40;

/// Reports that are on their way: over the hubs of two domains.
const REPORTS_UNDER_WAY: usize = 2;

/// How long nodes reuse idle connections without the part.
const SHORT_IDLE: Millis = 4_000;

/// How long engines keep idle connections open.
const KEEP_ALIVE: Millis = 15_000;

/// Mean duration of a stream, and of a call of the plain service.
const STREAM_MS: f64 = 1_500.0;
const CALL_MS: f64 = 60.0;

/// Slots of an engine of the model service and of the plain service.
const SLOTS: u32 = 12;
const PLAIN_SLOTS: u32 = 6;

/// Share of the requests that are calls of the plain service.
const PLAIN_SHARE: f64 = 0.32;

/// Share of the slots that are in use in the mean.
const UTILIZATION: f64 = 0.62;

const MAX_REPLICAS: usize = 26;

/// Connections that an engine accepts from all nodes together.
const MAX_CONNS: u32 = 500;

/// Sessions of all callers; a prompt belongs to one of them.
const SESSIONS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct Deployment {
    nodes: usize,
    engines: usize,
    /// Requests per second of a mean node, unless the engines cannot serve them.
    rate: f64,
    seconds: u64,
    has_churn: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    refused: usize,
    new_connections: usize,
    /// Requests sent to another failure domain.
    elsewhere: usize,
    /// Mean over time of the coefficient of variation of the engines' loads.
    variation: f64,
    /// Mean over time of the highest load, in requests per slot.
    mean_max: f64,
    /// The largest number of idle connections at one engine.
    max_idle: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} refused, {} new connections ({:.3}), variation {:.3}, mean max {:.2}, max idle {}, elsewhere {:.2}",
            self.requests,
            self.refused,
            self.new_connections,
            self.new_connections as f64 / self.requests as f64,
            self.variation,
            self.mean_max,
            self.max_idle,
            self.elsewhere as f64 / self.requests as f64
        )
    }
}

/// Engines that have a model; those of the plain service count as one.
#[derive(Debug)]
struct Model {
    prompt_model: Option<String>,
    demand: f64,
    holders: Vec<usize>,
    engines: Engines,
}

#[derive(Debug, Clone)]
struct Node {
    seed: NodeSeed,
    domain: &'static str,
    weight: f64,
    /// Requests in flight by engine.
    own: IndexMap<usize, u32>,
    idle: Idle,
}

/// Idle connections: by address, the times since which they are idle.
#[derive(Debug, Clone, Default)]
struct Idle {
    by_addr: IndexMap<SocketAddr, Vec<Millis>>,
    limit: Millis,
    now: Millis,
}

impl Idle {
    fn take(&mut self, addr: SocketAddr) -> bool {
        let (now, limit) = (self.now, self.limit);
        let Some(conns) = self.by_addr.get_mut(&addr) else { return false };
        conns.retain(|since| now - since < limit);
        conns.pop().is_some()
    }
}

impl IdleConnections for Idle {
    fn has_idle(&self, engine: &Engine) -> bool {
        let conns = self.by_addr.get(&engine.info.addr);
        conns.and_then(|c| c.last()).is_some_and(|since| self.now - since < self.limit)
    }
}

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn engine_addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (engine >> 8) as u8, engine as u8], 80))
}

fn listed(engine: usize, model: Option<&str>, slots: u32) -> hgw_direct::EngineInfo {
    let models: Vec<&str> = model.into_iter().collect();
    let mut info = engine_info(&format!("engine-{engine}"), DOMAINS[engine % 3], &models);
    (info.addr, info.slots) = (engine_addr(engine), slots);
    info
}

/// Requests at each engine, and each node's own part.
#[derive(Debug)]
struct Report {
    loads: Vec<u32>,
    own: Vec<IndexMap<usize, u32>>,
}

struct Simulation {
    deployment: Deployment,
    with_part: bool,
    rng: StdRng,
    models: Vec<Model>,
    nodes: Vec<Node>,
    /// Requests at each engine.
    load: Vec<u32>,
    slots: Vec<u32>,
    is_up: Vec<bool>,
    /// Loads on their way to the nodes: by engine the sum, and by node its own part.
    reports: Vec<Report>,
    /// Ends of requests: time, node, its incarnation, engine.
    ends: BinaryHeap<Reverse<(Millis, usize, NodeName, usize)>>,
    names: Vec<NodeName>,
    outcome: Outcome,
    samples: u32,
}

type NodeName = u32;

impl Simulation {
    fn new(deployment: Deployment, with_part: bool) -> Simulation {
        let mut rng = StdRng::seed_from_u64(11);
        let plain_engines = (deployment.engines * 4).div_ceil(90);
        let engines = deployment.engines + plain_engines;
        let models = models(deployment.engines, plain_engines, &mut rng);
        let slots: Vec<u32> = (0..engines)
            .map(|e| if e < deployment.engines { SLOTS } else { PLAIN_SLOTS })
            .collect();
        let limit = if with_part { KEEP_ALIVE } else { SHORT_IDLE };
        let node = |number: usize, rng: &mut StdRng| Node {
            seed: NodeSeed::of(&format!("node-{number}")),
            domain: DOMAINS[number % 3],
            weight: rng.random_range(0.5..1.5),
            own: IndexMap::new(),
            idle: Idle { limit, ..Idle::default() },
        };
        let nodes: Vec<Node> = (0..deployment.nodes).map(|n| node(n, &mut rng)).collect();
        Simulation {
            deployment,
            with_part,
            rng,
            models,
            reports: Vec::new(),
            load: vec![0; engines],
            slots,
            is_up: vec![true; engines],
            ends: BinaryHeap::new(),
            names: (0..deployment.nodes as u32).collect(),
            nodes,
            outcome: Outcome::default(),
            samples: 0,
        }
    }

    /// Requests per millisecond of all nodes.
    fn rate(&self) -> f64 {
        let slots = (self.deployment.engines as u32 * SLOTS) as f64;
        let possible = UTILIZATION * slots / STREAM_MS / (1.0 - PLAIN_SHARE);
        possible.min(self.deployment.rate * self.deployment.nodes as f64 / 1_000.0)
    }

    fn run(mut self) -> Outcome {
        let until = self.deployment.seconds * 1_000;
        let rate = self.rate();
        let mut next = 0.0;
        for now in 0..until {
            while let Some(Reverse((at, node, name, engine))) = self.ends.peek().copied()
                && at <= now
            {
                self.ends.pop();
                self.end(node, name, engine, at);
            }
            if now % REPORT_INTERVAL == 0 {
                self.report();
            }
            if self.deployment.has_churn {
                self.churn(now, until);
            }
            if now >= until / 4 && now % 100 == 0 {
                self.sample(now);
            }
            while next <= now as f64 {
                self.request(now);
                next += -self.rng.random::<f64>().max(1e-9).ln() / rate;
            }
        }
        self.outcome.variation /= f64::from(self.samples);
        self.outcome.mean_max /= f64::from(self.samples);
        self.outcome
    }

    fn end(&mut self, node: usize, name: NodeName, engine: usize, at: Millis) {
        if !self.is_up[engine] {
            return;
        }
        self.load[engine] = self.load[engine].saturating_sub(1);
        if self.names[node] != name {
            return;
        }
        let node = &mut self.nodes[node];
        if let Some(own) = node.own.get_mut(&engine) {
            *own -= 1;
            if *own == 0 {
                node.own.swap_remove(&engine);
            }
        }
        node.idle.by_addr.entry(engine_addr(engine)).or_default().push(at);
    }

    /// Sends a report of all nodes, and applies the one that arrives.
    fn report(&mut self) {
        let own = self.nodes.iter().map(|n| n.own.clone()).collect();
        self.reports.push(Report { loads: self.load.clone(), own });
        if self.reports.len() > REPORTS_UNDER_WAY {
            self.reports.remove(0);
        }
        let loads = &self.reports[0].loads;
        for model in &mut self.models {
            for engine in &model.holders {
                let known = model.engines.get_mut(&format!("engine-{engine}").as_str().into());
                let Some(known) = known else { continue };
                known.in_flight_elsewhere =
                    Some(InFlightLoad { requests: loads[*engine], prompts: 0, tokens: 0, held: 0 });
            }
        }
    }

    fn request(&mut self, now: Millis) {
        let node = self.random_node();
        let model = self.random_model();
        let is_plain = self.models[model].prompt_model.is_none();
        self.outcome.requests += 1;
        let Some(engine) = self.choose(node, model, now) else {
            self.outcome.refused += 1;
            return;
        };
        let node_state = &mut self.nodes[node];
        self.outcome.elsewhere += usize::from(DOMAINS[engine % 3] != node_state.domain);
        node_state.idle.now = now;
        if !node_state.idle.take(engine_addr(engine)) {
            self.outcome.new_connections += 1;
        }
        *node_state.own.entry(engine).or_default() += 1;
        self.load[engine] += 1;
        let mean = if is_plain { CALL_MS } else { STREAM_MS };
        let took = mean * (0.25 - 0.75 * self.rng.random::<f64>().max(1e-9).ln());
        let end = now + 1 + took as Millis;
        self.ends.push(Reverse((end, node, self.names[node], engine)));
    }

    fn random_node(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.nodes.len());
            if self.rng.random_range(0.0..1.5) < self.nodes[node].weight {
                return node;
            }
        }
    }

    fn random_model(&mut self) -> usize {
        let mut left = self.rng.random::<f64>();
        for (index, model) in self.models.iter().enumerate() {
            left -= model.demand;
            if left <= 0.0 {
                return index;
            }
        }
        0
    }

    /// Chooses an engine by what the node knows.
    fn choose(&mut self, node: usize, model: usize, now: Millis) -> Option<usize> {
        self.nodes[node].idle.now = now;
        let random = self.rng.random();
        let session = self.rng.random_range(0..SESSIONS);
        let state = &self.nodes[node];
        let reported_own = self.reports.first().map(|report| &report.own[node]);
        let model = &mut self.models[model];
        let known = state.own.keys().chain(reported_own.into_iter().flat_map(IndexMap::keys));
        let known: IndexSet<usize> =
            known.copied().filter(|engine| model.holders.contains(engine)).collect();
        let mut before = Vec::new();
        for engine in &known {
            let id = format!("engine-{engine}").as_str().into();
            let Some(listed) = model.engines.get_mut(&id) else { continue };
            before.push((id, listed.in_flight_elsewhere));
            let reported = reported_own.and_then(|own| own.get(engine)).copied().unwrap_or(0);
            if let Some(others) = &mut listed.in_flight_elsewhere {
                others.requests = others.requests.saturating_sub(reported);
            }
            listed.own_requests = state.own.get(engine).copied().unwrap_or(0);
        }
        let prompt = model.prompt_model.as_ref().map(|name| Prompt {
            model_ref: Some(model_ref(name)),
            prompt_tokens: 500,
            max_output_tokens: 100,
            length_hint: None,
            parts: vec![PromptPart { id: session, tokens: 500 }],
        });
        let service = service();
        let params = ChoiceParams {
            service: &service,
            versions: VersionRule::Any,
            prompt: prompt.as_ref(),
            domain: state.domain,
            excluded: &[],
            nodes: self.deployment.nodes as u32,
            max_conns: MAX_CONNS,
            has_precedence: false,
            max_event_gap: None,
            speed_needs: None,
            memory: None,
            can_wait: false,
            random,
            subset: self.with_part.then_some(SubsetParams {
                node: state.seed,
                domain: state.domain,
                idle: &state.idle,
            }),
            weights: CostWeights::default(),
        };
        let choice = choose_engine(&model.engines, &params, now).ok();
        for (id, in_flight) in before.into_iter().rev() {
            let listed = model.engines.get_mut(&id).expect("it was listed");
            (listed.own_requests, listed.in_flight_elsewhere) = (0, in_flight);
        }
        let id = choice?.engine.0;
        id.strip_prefix("engine-").and_then(|number| number.parse().ok())
    }

    /// Engines end and come back, and nodes are replaced.
    fn churn(&mut self, now: Millis, until: Millis) {
        if now == until / 3 || now == until * 2 / 3 {
            let is_up = now != until / 3;
            for engine in (0..self.deployment.engines).step_by(12) {
                self.is_up[engine] = is_up;
                self.load[engine] = 0;
                for node in &mut self.nodes {
                    node.own.swap_remove(&engine);
                    node.idle.by_addr.swap_remove(&engine_addr(engine));
                }
                self.list(engine, is_up);
            }
            // Requests of the earlier incarnation have ended with it.
            let up = &self.is_up;
            let ended = |e: usize| e < self.deployment.engines && e.is_multiple_of(12);
            self.ends.retain(|Reverse((_, _, _, engine))| up[*engine] && !ended(*engine));
        }
        if now == until / 2 {
            for number in (0..self.nodes.len()).step_by(20) {
                self.names[number] += 10_000;
                let node = &mut self.nodes[number];
                node.seed = NodeSeed::of(&format!("node-{}", self.names[number]));
                node.own.clear();
                node.idle.by_addr.clear();
            }
        }
    }

    fn list(&mut self, engine: usize, is_up: bool) {
        for model in self.models.iter_mut().filter(|m| m.holders.contains(&engine)) {
            let slots = self.slots[engine];
            let mut info = listed(engine, model.prompt_model.as_deref(), slots);
            info.state = if is_up {
                hgw_direct::EngineState::Ready
            } else {
                hgw_direct::EngineState::Unreadable
            };
            model.engines.upsert(info);
        }
    }

    fn sample(&mut self, now: Millis) {
        let loads: Vec<f64> = (0..self.deployment.engines)
            .filter(|e| self.is_up[*e])
            .map(|e| f64::from(self.load[e]) / f64::from(self.slots[e]))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let variance =
            loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>() / loads.len() as f64;
        self.outcome.variation += variance.sqrt() / mean.max(1e-9);
        self.outcome.mean_max += loads.iter().copied().fold(0.0, f64::max);
        self.samples += 1;
        if now.is_multiple_of(1_000) {
            self.sample_idle(now);
        }
    }

    fn sample_idle(&mut self, now: Millis) {
        for engine in 0..self.load.len() {
            let addr = engine_addr(engine);
            let idle = self.nodes.iter().filter_map(|n| n.idle.by_addr.get(&addr));
            let limit = self.nodes[0].idle.limit;
            let idle: usize =
                idle.map(|c| c.iter().filter(|since| now - **since < limit).count()).sum();
            self.outcome.max_idle = self.outcome.max_idle.max(idle);
        }
    }
}

/// Models with 1 to `MAX_REPLICAS` replicas by their demand, each on the engines with the least demand, and the plain
/// service.
fn models(engines: usize, plain_engines: usize, rng: &mut StdRng) -> Vec<Model> {
    let replicas = engines * 2;
    let mut weights: Vec<f64> = Vec::new();
    let mut total = 0;
    while total < replicas {
        // Replica counts repeat in a skewed series: few models have many.
        let count = (MAX_REPLICAS as f64 / (1.0 + weights.len() as f64 % 20.0)).max(1.0) as usize;
        weights.push(count as f64 * rng.random_range(0.85..1.15));
        total += count;
    }
    let sum: f64 = weights.iter().sum();
    let mut expected = vec![0.0_f64; engines];
    let mut models = Vec::new();
    for (index, weight) in weights.iter().enumerate() {
        let count = (MAX_REPLICAS as f64 / (1.0 + index as f64 % 20.0)).max(1.0) as usize;
        let name = format!("m{index}");
        let mut by_demand: Vec<usize> = (0..engines).collect();
        by_demand.sort_by(|a, b| expected[*a].total_cmp(&expected[*b]));
        let holders = by_demand[..count].to_vec();
        let mut list = Engines::default();
        for engine in &holders {
            expected[*engine] += weight / count as f64;
            list.upsert(listed(*engine, Some(&name), SLOTS));
        }
        let demand = (1.0 - PLAIN_SHARE) * weight / sum;
        models.push(Model { prompt_model: Some(name), demand, holders, engines: list });
    }
    let holders: Vec<usize> = (engines..engines + plain_engines).collect();
    let mut list = Engines::default();
    for engine in &holders {
        list.upsert(listed(*engine, None, PLAIN_SLOTS));
    }
    models.push(Model { prompt_model: None, demand: PLAIN_SHARE, holders, engines: list });
    models
}

/// Difference in the spread of load that is due to chance: with other seeds the same choice varies by this share.
const CHANCE: f64 = 0.02;

/// Compares with and without the part: fewer connections, and load at least as even.
fn compare(deployment: Deployment, max_new_share: f64) {
    let without = Simulation::new(deployment, false).run();
    let with = Simulation::new(deployment, true).run();
    println!("{deployment:?}\n  without: {without}\n  with:    {with}");
    let new_share = with.new_connections as f64 / with.requests as f64;
    assert!(new_share < max_new_share, "{new_share}");
    assert!(with.refused <= without.refused);
    assert!(with.variation <= without.variation * (1.0 + CHANCE));
    assert!(with.mean_max <= without.mean_max * (1.0 + CHANCE));
    assert!(with.max_idle < MAX_CONNS as usize);
}

/// Guards against a connection for each request, and against subsets that load engines unevenly.
#[test]
fn nodes_reuse_connections() {
    let deployment =
        Deployment { nodes: 79, engines: 90, rate: 8.0, seconds: 32, has_churn: false };
    compare(deployment, 0.25);
}

/// The same once each node has connections to the engines that it uses.
#[test]
fn nodes_that_run_for_longer_open_few_connections() {
    let deployment =
        Deployment { nodes: 79, engines: 90, rate: 8.0, seconds: 128, has_churn: false };
    compare(deployment, 0.15);
}

#[test]
fn many_nodes_share_engines_evenly() {
    let deployment =
        Deployment { nodes: 330, engines: 90, rate: 8.0, seconds: 32, has_churn: false };
    compare(deployment, 0.5);
    compare(Deployment { nodes: 986, ..deployment }, 0.7);
}

#[test]
fn nodes_share_many_engines_evenly() {
    let deployment =
        Deployment { nodes: 79, engines: 600, rate: 8.0, seconds: 32, has_churn: false };
    compare(deployment, 0.5);
    compare(Deployment { nodes: 330, seconds: 10, ..deployment }, 0.7);
}

#[test]
fn many_nodes_share_many_engines_evenly() {
    let deployment =
        Deployment { nodes: 986, engines: 600, rate: 8.0, seconds: 8, has_churn: false };
    compare(deployment, 0.8);
}

/// Guards against load that piles up at engines that come back, or at those that are left.
#[test]
fn engines_and_nodes_come_and_go() {
    let deployment = Deployment { nodes: 79, engines: 90, rate: 8.0, seconds: 32, has_churn: true };
    compare(deployment, 0.25);
    compare(Deployment { nodes: 330, ..deployment }, 0.5);
}
