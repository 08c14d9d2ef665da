//! Random faults, pauses, restarts and leader changes must never overcommit an engine. After
//! recovery, every model must be reachable.

use std::sync::Arc;

use hgw_config::Document;
use hgw_config::Fencing::{Ignores, Refuses};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::{Fault, STEP, World, document};

const CASES: u32 = 12;

#[derive(Debug, Clone)]
enum Step {
    Advance(u32),
    Fault(Fault),
    Claim(usize),
    Pause(usize),
    PauseOnLoad(usize),
    Resume(usize),
    ReadLog(usize, bool),
    ReplaceNode(usize),
    RestartEngine(usize),
    SetEngineUp(usize, bool),
    SetLogUp(bool),
    Configure(usize),
    RequestModel(usize),
    RequestAdapter(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    // Below the configured bound for late orders, 20 s.
    let time = (1..390u32).prop_map(|n| STEP * n);
    prop_oneof![
        Just(Fault::Lost),
        Just(Fault::ResponseLost),
        Just(Fault::NotSent),
        time.clone().prop_map(Fault::Delayed),
        time.prop_map(Fault::ResponseDelayed),
    ]
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let node = 0..3usize;
    prop_oneof![
        8 => (1..120u32).prop_map(Step::Advance),
        4 => fault().prop_map(Step::Fault),
        2 => node.clone().prop_map(Step::Claim),
        1 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::PauseOnLoad),
        2 => node.clone().prop_map(Step::Resume),
        1 => (node.clone(), any::<bool>()).prop_map(|(n, on)| Step::ReadLog(n, on)),
        1 => node.prop_map(Step::ReplaceNode),
        1 => (0..3usize).prop_map(Step::RestartEngine),
        1 => (0..3usize, any::<bool>()).prop_map(|(e, up)| Step::SetEngineUp(e, up)),
        1 => any::<bool>().prop_map(Step::SetLogUp),
        3 => (0..4usize).prop_map(Step::Configure),
        1 => (0..4usize).prop_map(Step::RequestModel),
        1 => (0..4usize).prop_map(Step::RequestAdapter),
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

    fn step(&mut self, step: Step) {
        let (world, nodes) = (&mut self.world, &mut self.nodes);
        match step {
            Step::Advance(steps) => world.run(STEP * steps),
            Step::Fault(fault) => world.faults.push_back(fault),
            Step::Claim(n) => world.claim(nodes[n]),
            Step::Pause(n) => world.pause(nodes[n]),
            Step::PauseOnLoad(n) => world.nodes[nodes[n]].pauses_on_load = true,
            Step::Resume(n) => world.resume(nodes[n]),
            Step::ReadLog(n, on) => world.nodes[nodes[n]].reads_log = on,
            Step::ReplaceNode(n) => {
                world.kill(nodes[n]);
                nodes[n] = world.add_node();
            }
            Step::RestartEngine(e) => world.restart(["e1", "e2", "e3"][e]),
            Step::SetEngineUp(e, up) => world.engine(["e1", "e2", "e3"][e]).up = up,
            Step::SetLogUp(up) => world.set_log(up),
            Step::Configure(n) => {
                self.configuration = n;
                world.configure(configuration(n));
            }
            Step::RequestModel(m) => nodes.iter().for_each(|n| world.request_model(*n, MODELS[m])),
            Step::RequestAdapter(m) => {
                let adapter = format!("{}-a", MODELS[m]);
                nodes.iter().for_each(|n| world.request_adapter(*n, MODELS[m], &adapter));
            }
        }
    }

    fn recover(&mut self) {
        let world = &mut self.world;
        world.faults.clear();
        world.set_log(true);
        for n in self.nodes {
            world.nodes[n].pauses_on_load = false;
            world.nodes[n].reads_log = true;
            world.resume(n);
        }
        world.engines.values_mut().for_each(|e| e.up = true);
        world.claim(self.nodes[1]);
        world.run_secs(240);
    }

    fn check_memory(&self) -> Result<(), TestCaseError> {
        let overcommitted = self.world.overcommitted();
        prop_assert!(overcommitted.is_empty(), "{overcommitted:?}\n{}", self.world.transcript);
        Ok(())
    }
}

fn run_session(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut session = Session::new();
    for step in steps {
        session.step(step);
        session.check_memory()?;
    }
    session.recover();
    session.check_memory()?;
    for (model, found) in &configuration(session.configuration).services[0].models {
        let reachable = session.world.is_reachable(model.as_str(), found.version.as_str());
        prop_assert!(reachable, "{model} not reachable\n{}", session.world.transcript);
    }
    Ok(())
}

fn run_sessions(seed: u8) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(e) = runner.run(&vec(step_strategy(), 1..60), run_session) {
        panic!("{e}");
    }
}

/// Two engines that each had the only replica of the other's model blocked each other.
fn engines_hold_each_others_models() -> Vec<Step> {
    use Step::{Advance, Configure};
    let not_sent = || Step::Fault(Fault::NotSent);
    vec![Advance(2), not_sent(), not_sent(), Advance(45), Configure(2), Advance(1), Configure(1)]
}

/// The old version and a replica together blocked the load of the new version.
fn old_version_and_replica_in_the_way() -> Vec<Step> {
    vec![Step::Configure(2), Step::Advance(2), Step::Configure(3)]
}

fn replay(steps: Vec<Step>) {
    run_session(steps).expect("no overcommitted memory, and every model reachable");
}

cases! {
    found_engines_hold_each_others_models => replay(engines_hold_each_others_models());
    found_old_version_and_replica_in_the_way => replay(old_version_and_replica_in_the_way());
    seed_1 => run_sessions(1);
    seed_2 => run_sessions(2);
    seed_3 => run_sessions(3);
    seed_4 => run_sessions(4);
    seed_5 => run_sessions(5);
    seed_6 => run_sessions(6);
}
