//! The engines that a node's requests consider.

#![allow(clippy::print_stdout, reason = "the figures are wanted with --nocapture")]

mod support;

use std::net::SocketAddr;

use hgw_direct::in_flight::InFlightLoad;
use hgw_direct::subset::{IdleConnections, NodeSeed, SubsetParams};
use hgw_direct::{
    AttemptOutcome, ChoiceParams, CostWeights, Engine, EngineId, Engines, NoEngine, Prompt,
    PromptPart, VersionRule, choose_engine,
};
use indexmap::{IndexMap, IndexSet};
use support::{engine_info, engines, model_ref, service};

const NOW: u64 = 1_000;

/// Nodes in the deployment of most tests: too many for each to consider all engines.
const NODES: u32 = 79;

const SLOTS: u32 = 12;

/// Addresses with an idle connection.
#[derive(Debug, Default)]
struct Idle(IndexSet<SocketAddr>);

impl IdleConnections for Idle {
    fn has_idle(&self, engine: &Engine) -> bool {
        self.0.contains(&engine.info.addr)
    }
}

/// Engines with this many requests in flight.
fn loaded(count: usize, requests: u32) -> Engines {
    let mut engines = engines(&[]);
    for number in 0..count {
        let mut info = engine_info(&format!("engine-{number}"), "a", &["m"]);
        (info.addr, info.slots) = (addr(number), SLOTS);
        engines.upsert(info);
    }
    for number in 0..count {
        set_load(&mut engines, number, requests);
    }
    engines
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 80))
}

fn id(number: usize) -> EngineId {
    EngineId(format!("engine-{number}"))
}

fn set_load(engines: &mut Engines, number: usize, requests: u32) {
    let engine = engines.get_mut(&id(number)).expect("the engine is listed");
    engine.in_flight_elsewhere = Some(InFlightLoad { requests, ..InFlightLoad::default() });
}

struct Request<'a> {
    node: &'a str,
    idle: &'a Idle,
    nodes: u32,
    session: u64,
    random: f64,
    tried: &'a [EngineId],
}

fn choose(engines: &Engines, request: &Request<'_>) -> Result<EngineId, NoEngine> {
    let service = service();
    let prompt = Prompt {
        model_ref: Some(model_ref("m")),
        prompt_tokens: 500,
        max_output_tokens: 100,
        length_hint: None,
        parts: vec![PromptPart { id: request.session, tokens: 500 }],
    };
    let node = NodeSeed::of(request.node);
    let params = ChoiceParams {
        service: &service,
        versions: VersionRule::Any,
        prompt: Some(&prompt),
        domain: "a",
        excluded: request.tried,
        nodes: request.nodes,
        max_conns: 500,
        has_precedence: false,
        max_event_gap: None,
        speed_needs: None,
        memory: None,
        can_wait: false,
        random: request.random,
        subset: Some(SubsetParams { node, domain: "a", idle: request.idle }),
        weights: CostWeights::default(),
    };
    choose_engine(engines, &params, NOW).map(|choice| choice.engine)
}

/// Engines that a node chooses for requests of one session, from the most frequent one.
fn chosen_by(engines: &Engines, node: &str, idle: &Idle, nodes: u32) -> IndexSet<EngineId> {
    let request =
        |n| Request { node, idle, nodes, session: 5, random: f64::from(n) / 200.0, tried: &[] };
    let mut counts: IndexMap<EngineId, u32> = IndexMap::new();
    for engine in (0..200).filter_map(|n| choose(engines, &request(n)).ok()) {
        *counts.entry(engine).or_default() += 1;
    }
    counts.sort_by(|_, a, _, b| b.cmp(a));
    counts.into_keys().collect()
}

/// Engines that a node is connected to after requests of different sessions, one at a time.
fn connected_by(engines: &Engines, node: &str) -> IndexSet<EngineId> {
    let (mut idle, mut connected) = (Idle::default(), IndexSet::new());
    for n in 0..100 {
        let request = Request {
            node,
            idle: &idle,
            nodes: NODES,
            session: session(node, n),
            random: f64::from(n) / 100.0,
            tried: &[],
        };
        let engine = choose(engines, &request).expect("an engine is free");
        idle.0.insert(engines.get(&engine).expect("it is listed").info.addr);
        connected.insert(engine);
    }
    connected
}

/// A session of a node's callers.
fn session(node: &str, number: u32) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{node}-{number}").as_bytes())
}

/// Guards against a node that opens connections to all engines of a model.
#[test]
fn node_stays_with_few_engines() {
    let engines = loaded(26, 6);
    for node in 0..50 {
        let connected = connected_by(&engines, &format!("node-{node}"));
        assert!(connected.len() <= 6, "{connected:?}");
    }
}

/// Guards against all nodes choosing the same engines.
#[test]
fn nodes_choose_different_engines() {
    let engines = loaded(26, 6);
    let connected: IndexSet<EngineId> =
        (0..50).flat_map(|node| connected_by(&engines, &format!("node-{node}"))).collect();
    assert!(connected.len() >= 20, "{connected:?}");
}

/// Guards against new connections of all nodes when one engine comes or goes.
#[test]
fn order_of_engines_changes_little_as_engines_come_and_go() {
    let first = |seed: NodeSeed, engines: std::ops::Range<usize>| -> IndexSet<EngineId> {
        let mut ids: Vec<EngineId> = engines.map(id).collect();
        ids.sort_by(|a, b| seed.rank(a).total_cmp(&seed.rank(b)));
        ids.into_iter().take(6).collect()
    };
    let moved = (0..200).map(|node| {
        let seed = NodeSeed::of(&format!("node-{node}"));
        let (before, after) = (first(seed, 0..26), first(seed, 0..25));
        let moved = before.difference(&after).count();
        assert!(moved <= 1);
        moved
    });
    // Only the nodes with the engine in their subset are concerned: 6 of 26.
    assert!(moved.sum::<usize>() < 70);
}

/// Guards against engines that are in far more subsets than others. What is left of it evens out as nodes widen their
/// subsets by load.
#[test]
fn engines_are_in_about_as_many_subsets() {
    for (nodes, max_variation) in [(79, 0.35), (330, 0.18), (986, 0.1)] {
        for engines in [8, 13, 26, 90] {
            let mut counts: IndexMap<EngineId, u32> =
                (0..engines).map(|engine| (id(engine), 0)).collect();
            for node in 0..nodes {
                let seed = NodeSeed::of(&format!("node-{node}"));
                let mut ids: Vec<EngineId> = (0..engines).map(id).collect();
                ids.sort_by(|a, b| seed.rank(a).total_cmp(&seed.rank(b)));
                ids.into_iter().take(6).for_each(|id| *counts.entry(id).or_default() += 1);
            }
            let mean = f64::from(nodes) * 6.0 / engines as f64;
            let squares = counts.values().map(|count| (f64::from(*count) - mean).powi(2));
            let variation = (squares.sum::<f64>() / engines as f64).sqrt() / mean;
            println!("{nodes} nodes, {engines} engines: mean {mean:.1}, variation {variation:.3}");
            let limit = if engines > 26 { 2.0 * max_variation } else { max_variation };
            assert!(variation < limit);
        }
    }
}

/// Guards against a node that keeps filling its subset while engines outside are idle.
#[test]
fn subset_widens_while_its_engines_are_fuller_than_others() {
    let idle = Idle::default();
    let usual = chosen_by(&loaded(26, 6), "node-1", &idle, NODES);
    let mut engines = loaded(26, 3);
    let seed = NodeSeed::of("node-1");
    let mut order: Vec<usize> = (0..26).collect();
    order.sort_by(|a, b| seed.rank(&id(*a)).total_cmp(&seed.rank(&id(*b))));
    let subset: IndexSet<EngineId> = order[..6].iter().map(|number| id(*number)).collect();
    for number in &order[..6] {
        set_load(&mut engines, *number, 11);
    }
    let chosen = chosen_by(&engines, "node-1", &idle, NODES);
    assert!(chosen.is_disjoint(&subset), "{usual:?} {chosen:?}");
    for number in &order[..6] {
        let engine = engines.get_mut(&id(*number)).unwrap();
        engine.in_flight_elsewhere = Some(InFlightLoad { requests: 3, ..InFlightLoad::default() });
        engine.health.record(NOW - 10, AttemptOutcome::Unreachable);
    }
    let chosen = chosen_by(&engines, "node-1", &idle, NODES);
    assert!(chosen.is_disjoint(&subset), "{chosen:?}");
}

/// Guards against hiding the only replica of a model, also from a node that has tried or missed others.
#[test]
fn last_engine_is_never_hidden() {
    let mut engines = loaded(9, 3);
    let tried: Vec<EngineId> = (0..8).map(id).collect();
    engines.get_mut(&id(8)).unwrap().health.record(NOW - 10, AttemptOutcome::Failed);
    for node in 0..30 {
        let (node, idle) = (format!("node-{node}"), Idle::default());
        let request = Request {
            node: &node,
            idle: &idle,
            nodes: NODES,
            session: 5,
            random: 0.5,
            tried: &tried,
        };
        assert_eq!(choose(&engines, &request), Ok(id(8)));
    }
}

/// Guards against prompts of a session that go where their prefix is not cached.
#[test]
fn engine_of_the_session_is_considered_outside_the_subset() {
    let engines = loaded(26, 6);
    let preferred = chosen_by(&engines, "node-1", &Idle::default(), 5)[0].clone();
    for node in 0..50 {
        let chosen = chosen_by(&engines, &format!("node-{node}"), &Idle::default(), NODES);
        assert_eq!(chosen[0], preferred);
    }
}

/// Guards against new connections while there is an idle one, and against overloading an engine for its sake.
#[test]
fn idle_connection_outweighs_a_request_but_not_a_nearly_full_engine() {
    let idle = Idle([addr(3)].into_iter().collect());
    let mut engines = loaded(4, 6);
    let is_used = |engines: &Engines| {
        let chosen = chosen_by(engines, "node-1", &idle, NODES);
        chosen.iter().eq([&id(3)])
    };
    set_load(&mut engines, 3, 6);
    let at_mean = is_used(&engines);
    set_load(&mut engines, 3, 7);
    let above = is_used(&engines);
    set_load(&mut engines, 3, 11);
    assert_eq!((at_mean, above, is_used(&engines)), (true, true, false));
}

/// Guards against other choices in small deployments.
#[test]
fn small_deployment_ignores_connections() {
    let engines = loaded(26, 6);
    let idle = Idle([addr(3)].into_iter().collect());
    let with = chosen_by(&engines, "node-1", &idle, 12);
    assert_eq!(with, chosen_by(&engines, "node-2", &Idle::default(), 12));
}
