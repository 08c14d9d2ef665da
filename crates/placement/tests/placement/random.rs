//! Random faults, pauses, restarts and leader changes must never overcommit an engine. After
//! recovery, every model must be reachable.

use std::sync::Arc;

use hgw_config::Document;
use hgw_config::Fencing::{Ignores, Refuses};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::{Fault, STEP, World, document};

const SESSIONS: u32 = 12;

#[derive(Debug, Clone)]
enum Happens {
    Time(u32),
    Fault(Fault),
    Claim(usize),
    Freeze(usize),
    FreezeOnLoad(usize),
    Thaw(usize),
    Reads(usize, bool),
    Replace(usize),
    Restart(usize),
    Engine(usize, bool),
    Log(bool),
    Configure(usize),
    AskModel(usize),
    AskAdapter(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    // Below the configured bound for late orders, 20 s.
    let time = (1..390u32).prop_map(|n| STEP * n);
    prop_oneof![
        Just(Fault::Lost),
        Just(Fault::AnswerLost),
        Just(Fault::NotSent),
        time.clone().prop_map(Fault::Late),
        time.prop_map(Fault::AnswerLate),
    ]
}

fn happens() -> impl Strategy<Value = Happens> {
    let node = 0..3usize;
    prop_oneof![
        8 => (1..120u32).prop_map(Happens::Time),
        4 => fault().prop_map(Happens::Fault),
        2 => node.clone().prop_map(Happens::Claim),
        1 => node.clone().prop_map(Happens::Freeze),
        2 => node.clone().prop_map(Happens::FreezeOnLoad),
        2 => node.clone().prop_map(Happens::Thaw),
        1 => (node.clone(), any::<bool>()).prop_map(|(n, on)| Happens::Reads(n, on)),
        1 => node.prop_map(Happens::Replace),
        1 => (0..3usize).prop_map(Happens::Restart),
        1 => (0..3usize, any::<bool>()).prop_map(|(e, up)| Happens::Engine(e, up)),
        1 => any::<bool>().prop_map(Happens::Log),
        3 => (0..4usize).prop_map(Happens::Configure),
        1 => (0..4usize).prop_map(Happens::AskModel),
        1 => (0..4usize).prop_map(Happens::AskAdapter),
    ]
}

const MODELS: [&str; 4] = ["a", "b", "c", "d"];

/// Four configurations of the same engines: versions, sizes and models differ.
fn configuration(n: usize) -> Arc<Document> {
    let engines =
        [("e1", "d1", 100, Refuses), ("e2", "d1", 100, Ignores), ("e3", "d1", 90, Ignores)];
    document(
        &engines,
        match n {
            0 => &[("a", "1", 40), ("b", "1", 50)],
            1 => &[("a", "2", 45), ("b", "1", 50), ("c", "1", 60)],
            2 => &[("c", "2", 60), ("d", "1", 35)],
            _ => &[("a", "1", 40), ("c", "1", 60), ("d", "2", 70)],
        },
    )
}

/// The processes of the domain's three nodes; a replaced node gets a new process.
struct Session {
    world: World,
    nodes: [usize; 3],
    configuration: usize,
}

impl Session {
    fn new() -> Session {
        let mut world = World::new(configuration(0), 3);
        world.claim(0);
        Session { world, nodes: [0, 1, 2], configuration: 0 }
    }

    fn step(&mut self, happens: Happens) {
        let (world, nodes) = (&mut self.world, &mut self.nodes);
        match happens {
            Happens::Time(steps) => world.run(STEP * steps),
            Happens::Fault(fault) => world.faults.push_back(fault),
            Happens::Claim(n) => world.claim(nodes[n]),
            Happens::Freeze(n) => world.freeze(nodes[n]),
            Happens::FreezeOnLoad(n) => world.nodes[nodes[n]].freezes_on_load = true,
            Happens::Thaw(n) => world.thaw(nodes[n]),
            Happens::Reads(n, on) => world.nodes[nodes[n]].reads = on,
            Happens::Replace(n) => {
                world.kill(nodes[n]);
                nodes[n] = world.add_node();
            }
            Happens::Restart(e) => world.restart(["e1", "e2", "e3"][e]),
            Happens::Engine(e, up) => world.engine(["e1", "e2", "e3"][e]).up = up,
            Happens::Log(up) => world.set_log(up),
            Happens::Configure(n) => {
                self.configuration = n;
                world.configure(configuration(n));
            }
            Happens::AskModel(m) => nodes.iter().for_each(|n| world.ask_model(*n, MODELS[m])),
            Happens::AskAdapter(m) => {
                let adapter = format!("{}-a", MODELS[m]);
                nodes.iter().for_each(|n| world.ask_adapter(*n, MODELS[m], &adapter));
            }
        }
    }

    fn heal(&mut self) {
        let world = &mut self.world;
        world.faults.clear();
        world.set_log(true);
        for n in self.nodes {
            world.nodes[n].freezes_on_load = false;
            world.nodes[n].reads = true;
            world.thaw(n);
        }
        world.engines.values_mut().for_each(|e| e.up = true);
        world.claim(self.nodes[1]);
        world.run_secs(240);
    }

    fn check_memory(&self) -> Result<(), TestCaseError> {
        let over = self.world.overcommitted();
        prop_assert!(over.is_empty(), "{over:?}\n{}", self.world.transcript);
        Ok(())
    }
}

fn session(all: Vec<Happens>) -> Result<(), TestCaseError> {
    let mut session = Session::new();
    for happens in all {
        session.step(happens);
        session.check_memory()?;
    }
    session.heal();
    session.check_memory()?;
    for (model, found) in &configuration(session.configuration).services[0].models {
        let reachable = session.world.is_reachable(model.as_str(), found.version.as_str());
        prop_assert!(reachable, "{model} not reachable\n{}", session.world.transcript);
    }
    Ok(())
}

fn sessions(seed: u8) {
    let config = Config { cases: SESSIONS, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(e) = runner.run(&vec(happens(), 1..60), session) {
        panic!("{e}");
    }
}

/// Two engines that each had the only replica of the other's model blocked each other.
fn engines_hold_each_others_models() -> Vec<Happens> {
    use Happens::{Configure, Time};
    let not_sent = || Happens::Fault(Fault::NotSent);
    vec![Time(2), not_sent(), not_sent(), Time(45), Configure(2), Time(1), Configure(1)]
}

/// The old version and a replica together blocked the load of the new version.
fn old_version_and_replica_in_the_way() -> Vec<Happens> {
    vec![Happens::Configure(2), Happens::Time(2), Happens::Configure(3)]
}

fn replays(all: Vec<Happens>) {
    session(all).expect("memory and reach");
}

cases! {
    found_engines_hold_each_others_models => replays(engines_hold_each_others_models());
    found_old_version_and_replica_in_the_way => replays(old_version_and_replica_in_the_way());
    seed_1 => sessions(1);
    seed_2 => sessions(2);
    seed_3 => sessions(3);
    seed_4 => sessions(4);
    seed_5 => sessions(5);
    seed_6 => sessions(6);
}
