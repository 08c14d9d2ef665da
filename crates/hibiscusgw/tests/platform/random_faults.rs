//! Random sequences, from a seed, of store restores and of killed, paused and disconnected nodes.

use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::fleet::deployment::{configuration, holds, wait};
use hgw_standins::fleet::store::Backup;
use hgw_standins::fleet::{EngineSettings, Fleet};
use hgw_standins::link::Condition;
use http::StatusCode;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::new_fleet;

/// Faults per run.
const FAULTS: u32 = 9;

/// Nodes that run at a time.
const NODES: usize = 3;

seeds! {
    Scenario::play, mixes_that_were_asked_for, "No two leaders send orders with the same fencing token, no engine receives a lower token after a higher one, and nodes that know that an engine is draining send nothing to it.";
    mix_1: 1;
    mix_2: 2;
}

struct Scenario {
    rng: StdRng,
    fleet: Fleet,
    backups: Vec<Backup>,
    /// Nodes that run, and whether each is paused.
    running: Vec<(usize, bool)>,
    history: Vec<String>,
    calls: u32,
}

impl Scenario {
    fn play(seed: u64) {
        Scenario::new(seed).run();
    }

    fn new(seed: u64) -> Scenario {
        let engine = |id: &str| EngineSettings {
            id: id.into(),
            holds: holds(&[("m", &[]), ("n", &[])]),
            adapters: 2,
            ..EngineSettings::default()
        };
        let mut fleet = new_fleet(vec![engine("i-1"), engine("i-2")]);
        let mut config = configuration(2);
        config["services"][1]["engine"]["adapterSlots"] = 2.into();
        fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
        let backups = vec![fleet.store.backup()];
        let running = (0..NODES).map(|_| (fleet.start("a"), false)).collect();
        let rng = StdRng::seed_from_u64(seed);
        let history = vec![format!("seed {seed}")];
        Scenario { rng, fleet, backups, running, history, calls: 0 }
    }

    fn run(mut self) {
        for _ in 0..FAULTS {
            self.inject_fault();
            self.send_requests();
            self.check_orders();
        }
        self.finish();
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.running.len());
        let (node, paused) = self.running[index];
        let kind = self.rng.random_range(0..6);
        match kind {
            0 | 1 => {
                let backup_index = self.rng.random_range(0..self.backups.len());
                self.history.push(format!("restore backup {backup_index}"));
                let outage = Faults { down: true, ..Faults::default() };
                self.fleet.store.fault(&outage);
                self.fleet.store.come_back(&self.backups[backup_index]);
                let heartbeats = self.rng.random_range(0..12);
                for _ in 0..heartbeats {
                    self.fleet.list(self.fleet.engine("desk-2"), "ready");
                }
                self.fleet.store.fault(&Faults::default());
            }
            2 if self.running.len() > 1 => {
                self.history.push(format!("kill {node}"));
                self.fleet.nodes[node].kill();
                self.running.remove(index);
                let new = self.fleet.spawn("a");
                self.running.push((new, false));
            }
            3 => {
                self.history.push(format!("pause {node}: {}", !paused));
                let signal = if paused { Signal::CONT } else { Signal::STOP };
                self.fleet.nodes[node].signal(signal);
                self.running[index].1 = !paused;
            }
            4 => {
                self.history.push(format!("cut {node}"));
                self.fleet.nodes[node].to_store.set(Condition::Cut);
            }
            _ => {
                self.history.push(format!("open {node}"));
                self.fleet.nodes[node].to_store.set(Condition::Open);
                self.backups.push(self.fleet.store.backup());
            }
        }
        let pause = self.rng.random_range(100..1_600);
        std::thread::sleep(Duration::from_millis(pause));
    }

    /// Requests adapters that have to be loaded from all nodes that are not paused.
    fn send_requests(&mut self) {
        for (node, paused) in self.running.clone() {
            if paused {
                continue;
            }
            self.calls += 1;
            let model = format!("{}/a{}", ["m", "n"][self.calls as usize % 2], 1 + self.calls % 4);
            // The result is ignored: the leader may be down.
            let _ = self.fleet.nodes[node].stream("/ask/", &format!("s-{}", self.calls), &model);
        }
    }

    fn check_orders(&self) {
        for id in ["i-1", "i-2"] {
            let record = self.fleet.engine(id).record();
            let mut senders: IndexMap<u64, String> = IndexMap::new();
            let mut max_fence = 0;
            for order in &record.orders {
                let mut words = order.split(' ');
                let sender = words.next().unwrap().to_owned();
                let fence: u64 = words.next().unwrap().parse().unwrap();
                assert!(fence >= max_fence, "{:?}: {:?}", self.history, record.orders);
                max_fence = fence;
                let first_sender = senders.entry(fence).or_insert_with(|| sender.clone());
                assert_eq!(*first_sender, sender, "{:?}: {:?}", self.history, record.orders);
            }
            assert_eq!(record.too_much, 0, "{:?}", self.history);
        }
    }

    /// Ends all faults and checks that callers are served and that nodes stop using a draining engine.
    fn finish(mut self) {
        for (node, paused) in self.running.clone() {
            if paused {
                self.fleet.nodes[node].signal(Signal::CONT);
            }
            self.fleet.nodes[node].to_store.set(Condition::Open);
        }
        self.fleet.list_all();
        let nodes: Vec<usize> = self.running.iter().map(|(node, _)| *node).collect();
        for node in nodes {
            wait(&format!("adapters are served, {:?}", self.history), || {
                self.calls += 1;
                let (id, model) =
                    (format!("s-{}", self.calls), format!("m/a{}", self.calls % 4 + 1));
                let response = self.fleet.nodes[node].stream("/ask/", &id, &model);
                response.is_ok_and(|a| a.status == StatusCode::OK)
            });
        }
        self.check_orders();
        self.fleet.list(self.fleet.engine("desk-1"), "draining");
        for (node, _) in &self.running {
            let mut round = 0;
            wait(&format!("nothing goes to the draining engine, {:?}", self.history), || {
                round += 1;
                let before = self.fleet.engine("desk-1").record().runs.len();
                for n in 0..10 {
                    let _ =
                        self.fleet.nodes[*node].plain("/print/", &format!("p-{node}-{round}-{n}"));
                }
                self.fleet.engine("desk-1").record().runs.len() == before
            });
        }
        let (last, backup) = (self.running[0].0, self.backups[0].clone());
        self.fleet.store.come_back(&backup);
        let before = self.fleet.engine("desk-1").record().runs.len();
        for n in 0..40 {
            let _ = self.fleet.nodes[last].plain("/print/", &format!("last-{n}"));
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(self.fleet.engine("desk-1").record().runs.len(), before, "{:?}", self.history);
    }
}
