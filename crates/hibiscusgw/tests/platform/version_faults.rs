//! Random sequences, from a seed, of faults under streams of several software versions, which their callers take up.

use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::fleet::deployment::{Fleet, wait};
use hgw_standins::fleet::store::Backup;
use hgw_standins::link::{Condition, ProcessCut};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::new_fleet;
use crate::versions::{Attempt, End, Held, engine};

/// Rounds of streams in a run, each with a fault.
const ROUNDS: u32 = 6;

const STREAMS: usize = 10;

/// Attempts to take up a stream.
const ATTEMPTS: u32 = 3;

/// Nodes that run at a time.
const NODES: usize = 4;

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

seeds! {
    Scenario::play, version_mixes_that_were_asked_for, "No stream holds events of two versions or misses one, what is refused has not run, and of the streams that a kill of some nodes breaks half go on.";
    version_mix_1: 1;
    version_mix_2: 2;
}

struct Scenario {
    rng: StdRng,
    fleet: Fleet,
    backups: Vec<Backup>,
    /// Nodes that run.
    running: Vec<usize>,
    /// Versions whose engines are listed.
    listed: Vec<&'static str>,
    history: Vec<String>,
    attempts: u32,
    /// Nodes that were not killed in this round.
    alive: Vec<usize>,
    /// Streams that some nodes were killed under while others lived, and how many of these go on.
    broken: usize,
    gone_on: usize,
}

impl Scenario {
    fn play(seed: u64) {
        Scenario::new(seed).run();
    }

    fn new(seed: u64) -> Scenario {
        let models = VERSIONS
            .iter()
            .flat_map(|version| (1..=2).map(move |n| engine(&format!("i-{version}-{n}"), version)));
        let mut fleet = new_fleet(models.collect());
        let mut rng = StdRng::seed_from_u64(seed);
        let listed = VERSIONS[..rng.random_range(1..=2)].to_vec();
        VERSIONS.iter().for_each(|v| list(&fleet, v, listed.contains(v)));
        let running: Vec<usize> = (0..NODES).map(|n| fleet.spawn(["a", "b"][n % 2])).collect();
        for node in &running {
            wait("the node is ready", || fleet.nodes[*node].is_ready());
        }
        let backups = vec![fleet.store.backup()];
        let history = vec![format!("seed {seed}: {listed:?}")];
        Scenario {
            rng,
            fleet,
            backups,
            running,
            listed,
            history,
            attempts: 0,
            alive: Vec::new(),
            broken: 0,
            gone_on: 0,
        }
    }

    fn run(mut self) {
        for _ in 0..ROUNDS {
            self.alive.clone_from(&self.running);
            let streams = self.begin_streams();
            self.inject_fault();
            let ends = finish_all(streams);
            self.judge_and_take_up(ends);
            self.heal();
        }
        assert!(
            self.gone_on * 2 >= self.broken,
            "{} of {} go on: {:?}",
            self.gone_on,
            self.broken,
            self.history
        );
    }

    fn id(&mut self, what: &str) -> String {
        self.attempts += 1;
        format!("{what}-{}", self.attempts)
    }

    fn begin_streams(&mut self) -> Vec<Attempt> {
        let mut streams = Vec::new();
        for _ in 0..STREAMS {
            let id = self.id("s");
            let node = *self.running.choose(&mut self.rng).unwrap();
            let node = &self.fleet.nodes[node];
            let begun = Attempt::begin(node, &id, &Held::default(), None);
            streams.extend(begun.filter(Attempt::is_accepted));
        }
        // Some engines send their first event only after the fault.
        std::thread::sleep(Duration::from_millis(self.rng.random_range(0..300)));
        streams
    }

    fn inject_fault(&mut self) {
        let kind = self.rng.random_range(0..9);
        match kind {
            0..=2 => {
                let killed = self.rng.random_range(1..=NODES);
                self.running.shuffle(&mut self.rng);
                let killed = self.running[..killed].to_vec();
                self.history.push(format!("kill {killed:?}"));
                self.alive.retain(|node| !killed.contains(node));
                for node in killed {
                    self.fleet.nodes[node].kill();
                    self.fleet.start_again(node);
                }
            }
            3 | 4 => {
                let engine = format!("i-{}-1", self.listed.choose(&mut self.rng).unwrap());
                self.history.push(format!("engine {engine} is down"));
                self.fleet.engine(&engine).fault(&Faults { down: true, ..Faults::default() });
            }
            5 => {
                let version = *VERSIONS.choose(&mut self.rng).unwrap();
                let is_listed = !self.listed.contains(&version) || self.listed.len() == 1;
                self.history.push(format!("{version} is listed: {is_listed}"));
                self.listed.retain(|v| *v != version);
                self.listed.extend(is_listed.then_some(version));
                list(&self.fleet, version, is_listed);
            }
            6 => {
                let backup = self.rng.random_range(0..self.backups.len());
                self.history.push(format!("the store comes back from backup {backup}"));
                self.fleet.store.come_back(&self.backups[backup]);
                for version in VERSIONS {
                    list(&self.fleet, version, self.listed.contains(&version));
                }
            }
            7 => {
                let node = *self.running.choose(&mut self.rng).unwrap();
                self.history.push(format!("{node} is cut from all engines"));
                self.fleet.cut_from_engines(&[node], Some(ProcessCut::Reset));
            }
            _ => {
                let node = *self.running.choose(&mut self.rng).unwrap();
                self.history.push(format!("{node} is cut from the store"));
                self.fleet.nodes[node].to_store.set(Condition::Cut);
            }
        }
    }

    fn judge_and_take_up(&mut self, ends: Vec<(Held, End)>) {
        let mut left: Vec<Held> = self.judge(ends);
        let some_were_killed = !self.alive.is_empty() && self.alive.len() < NODES;
        if some_were_killed {
            self.broken += left.len();
        }
        let nodes = if self.alive.is_empty() { self.running.clone() } else { self.alive.clone() };
        for _ in 0..ATTEMPTS {
            let mut again = Vec::new();
            for held in std::mem::take(&mut left) {
                let id = self.id("again");
                let node = &self.fleet.nodes[*nodes.choose(&mut self.rng).unwrap()];
                let names_first = held.last > 0 && self.rng.random_bool(0.85);
                let first = Some(held.first_attempt.as_str()).filter(|_| names_first);
                // A caller with no event begins anew.
                let held = if held.last == 0 { Held::default() } else { held.clone() };
                match Attempt::begin(node, &id, &held, first) {
                    Some(attempt) => again.push((id, attempt)),
                    None => left.push(held),
                }
            }
            let (ids, attempts): (Vec<String>, Vec<Attempt>) = again.into_iter().unzip();
            let ends = finish_all(attempts);
            for (id, (held, end)) in ids.iter().zip(&ends) {
                let is_unrun = self.fleet.runs(id) == 0;
                let was_refused = matches!(end, End::Refused(..));
                assert!(!was_refused || is_unrun, "{id} {held:?} ran: {:?}", self.history);
            }
            if some_were_killed {
                self.gone_on += ends.iter().filter(|(_, end)| *end == End::Whole).count();
            }
            left.extend(self.judge(ends));
        }
    }

    /// Checks what callers hold, and returns what is not whole.
    fn judge(&self, ends: Vec<(Held, End)>) -> Vec<Held> {
        for (held, end) in &ends {
            let is_sound = !held.is_joined() && held.gaps == 0;
            assert!(is_sound, "{held:?} {end:?}: {:?}", self.history);
        }
        let broken = ends.into_iter().filter(|(_, end)| *end != End::Whole);
        broken.map(|(held, _)| held).collect()
    }

    fn heal(&mut self) {
        self.backups.push(self.fleet.store.backup());
        self.fleet.engines.iter().for_each(|engine| engine.fault(&Faults::default()));
        self.fleet.cut_from_engines(&self.running, None);
        for node in &self.running {
            self.fleet.nodes[*node].to_store.set(Condition::Open);
        }
        for node in &self.running {
            wait("the node is ready again", || self.fleet.nodes[*node].is_ready());
        }
    }
}

/// Writes the entries of a version's engines, or removes them.
fn list(fleet: &Fleet, version: &str, is_listed: bool) {
    for n in 1..=2 {
        let id = format!("i-{version}-{n}");
        if is_listed {
            fleet.list(fleet.engine(&id), "ready");
        } else {
            fleet.store.put("keyed.servers", &id, b"");
        }
    }
}

fn finish_all(attempts: Vec<Attempt>) -> Vec<(Held, End)> {
    std::thread::scope(|scope| {
        let ends: Vec<_> =
            attempts.into_iter().map(|attempt| scope.spawn(move || attempt.finish())).collect();
        ends.into_iter().map(|end| end.join().unwrap()).collect()
    })
}
