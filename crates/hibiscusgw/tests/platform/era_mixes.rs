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

use crate::fleet_of;

/// Faults per run.
const STEPS: u32 = 9;

/// Nodes that run at a time.
const NODES: usize = 3;

macro_rules! mixes {
    ($($name:ident: $seed:literal;)*) => {$(
        /// No two leaders send orders with the same fencing token, no engine receives a lower token after a
        /// higher one, and nodes that know that an engine is draining send nothing to it.
        #[test]
        fn $name() {
            Mix::new($seed).play();
        }
    )*};
}

mixes! {
    mix_1: 1;
    mix_2: 2;
}

/// Runs the seeds of `HGW_MIXES=FROM..TO`, for manual runs.
#[test]
fn mixes_that_were_asked_for() {
    let Ok(asked) = std::env::var("HGW_MIXES") else { return };
    let (from, to) = asked.split_once("..").expect("FROM..TO");
    for seed in from.parse().unwrap()..to.parse().unwrap() {
        Mix::new(seed).play();
    }
}

struct Mix {
    rng: StdRng,
    fleet: Fleet,
    backups: Vec<Backup>,
    /// Nodes that run, and whether each is paused.
    live: Vec<(usize, bool)>,
    story: Vec<String>,
    calls: u32,
}

impl Mix {
    fn new(seed: u64) -> Mix {
        let engine = |id: &str| EngineSettings {
            id: id.into(),
            holds: holds(&[("m", &[]), ("n", &[])]),
            adapters: 2,
            ..EngineSettings::default()
        };
        let mut fleet = fleet_of(vec![engine("i-1"), engine("i-2")]);
        let mut config = configuration(2);
        config["services"][1]["engine"]["adapterSlots"] = 2.into();
        fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
        let backups = vec![fleet.store.backup()];
        let live = (0..NODES).map(|_| (fleet.start("a"), false)).collect();
        let rng = StdRng::seed_from_u64(seed);
        let story = vec![format!("seed {seed}")];
        Mix { rng, fleet, backups, live, story, calls: 0 }
    }

    fn play(mut self) {
        for _ in 0..STEPS {
            self.step();
            self.press();
            self.look_at_orders();
        }
        self.end();
    }

    fn step(&mut self) {
        let at = self.rng.random_range(0..self.live.len());
        let (node, stands) = self.live[at];
        let what = self.rng.random_range(0..6);
        match what {
            0 | 1 => {
                let copy = self.rng.random_range(0..self.backups.len());
                self.story.push(format!("copy {copy}"));
                let away = Faults { down: true, ..Faults::default() };
                self.fleet.store.fault(&away);
                self.fleet.store.come_back(&self.backups[copy]);
                let again = self.rng.random_range(0..12);
                for _ in 0..again {
                    self.fleet.list(self.fleet.engine("desk-2"), "ready");
                }
                self.fleet.store.fault(&Faults::default());
            }
            2 if self.live.len() > 1 => {
                self.story.push(format!("kill {node}"));
                self.fleet.nodes[node].kill();
                self.live.remove(at);
                let new = self.fleet.spawn("a");
                self.live.push((new, false));
            }
            3 => {
                self.story.push(format!("stands {node}: {}", !stands));
                let signal = if stands { Signal::CONT } else { Signal::STOP };
                self.fleet.nodes[node].signal(signal);
                self.live[at].1 = !stands;
            }
            4 => {
                self.story.push(format!("cut {node}"));
                self.fleet.nodes[node].to_store.set(Condition::Cut);
            }
            _ => {
                self.story.push(format!("open {node}"));
                self.fleet.nodes[node].to_store.set(Condition::Open);
                self.backups.push(self.fleet.store.backup());
            }
        }
        let pause = self.rng.random_range(100..1_600);
        std::thread::sleep(Duration::from_millis(pause));
    }

    /// Requests adapters that have to be loaded from all nodes that are not paused.
    fn press(&mut self) {
        for (node, stands) in self.live.clone() {
            if stands {
                continue;
            }
            self.calls += 1;
            let model = format!("{}/a{}", ["m", "n"][self.calls as usize % 2], 1 + self.calls % 4);
            // The result is ignored: the leader may be down.
            let _ = self.fleet.nodes[node].stream("/ask/", &format!("s-{}", self.calls), &model);
        }
    }

    fn look_at_orders(&self) {
        for id in ["i-1", "i-2"] {
            let record = self.fleet.engine(id).record();
            let mut holders: IndexMap<u64, String> = IndexMap::new();
            let mut last = 0;
            for order in &record.orders {
                let mut words = order.split(' ');
                let holder = words.next().unwrap().to_owned();
                let fence: u64 = words.next().unwrap().parse().unwrap();
                assert!(fence >= last, "{:?}: {:?}", self.story, record.orders);
                last = fence;
                let known = holders.entry(fence).or_insert_with(|| holder.clone());
                assert_eq!(*known, holder, "{:?}: {:?}", self.story, record.orders);
            }
            assert_eq!(record.too_much, 0, "{:?}", self.story);
        }
    }

    /// Ends all faults and checks that callers are served and that nodes stop using a draining engine.
    fn end(mut self) {
        for (node, stands) in self.live.clone() {
            if stands {
                self.fleet.nodes[node].signal(Signal::CONT);
            }
            self.fleet.nodes[node].to_store.set(Condition::Open);
        }
        self.fleet.list_all();
        let nodes: Vec<usize> = self.live.iter().map(|(node, _)| *node).collect();
        for node in nodes {
            wait(&format!("adapters are served, {:?}", self.story), || {
                self.calls += 1;
                let (id, model) =
                    (format!("s-{}", self.calls), format!("m/a{}", self.calls % 4 + 1));
                let answer = self.fleet.nodes[node].stream("/ask/", &id, &model);
                answer.is_ok_and(|a| a.status == StatusCode::OK)
            });
        }
        self.look_at_orders();
        self.fleet.list(self.fleet.engine("desk-1"), "draining");
        for (node, _) in &self.live {
            let mut round = 0;
            wait(&format!("nothing goes to the draining engine, {:?}", self.story), || {
                round += 1;
                let before = self.fleet.engine("desk-1").record().runs.len();
                for n in 0..10 {
                    let _ =
                        self.fleet.nodes[*node].plain("/print/", &format!("p-{node}-{round}-{n}"));
                }
                self.fleet.engine("desk-1").record().runs.len() == before
            });
        }
        let (last, backup) = (self.live[0].0, self.backups[0].clone());
        self.fleet.store.come_back(&backup);
        let before = self.fleet.engine("desk-1").record().runs.len();
        for n in 0..40 {
            let _ = self.fleet.nodes[last].plain("/print/", &format!("last-{n}"));
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(self.fleet.engine("desk-1").record().runs.len(), before, "{:?}", self.story);
    }
}
