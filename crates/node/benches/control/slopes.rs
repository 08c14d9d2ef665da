//! Time, messages and bytes against size.

use std::hint::black_box;
use std::time::Instant;

use hgw_types::{ModelId, NodeId, Offset, RecordId};
use indexmap::IndexMap;

use crate::document::{Size, chat, json, keyed};
use crate::fit::{line, median};
use crate::say;
use crate::world::{Meter, World, name};

/// Virtual seconds over which steady figures are taken.
const SECONDS: usize = 20;

/// The median over all nodes and seconds that `keep` lets through.
fn usual(
    seconds: &[IndexMap<NodeId, Meter>],
    keep: impl Fn(&NodeId) -> bool,
    of: impl Fn(&Meter) -> f64,
) -> f64 {
    let meters = seconds.iter().flatten().filter(|(n, _)| keep(n));
    median(meters.map(|(_, m)| of(m)).collect())
}

/// The mean over all nodes and seconds: for what comes in bursts.
fn mean(seconds: &[IndexMap<NodeId, Meter>], of: impl Fn(&Meter) -> f64) -> f64 {
    let all: Vec<f64> = seconds.iter().flatten().map(|(_, m)| of(m)).collect();
    all.iter().sum::<f64>() / all.len() as f64
}

/// A node that nobody calls, by the number of its peers.
pub(crate) fn idle() {
    for domains in [1, 6] {
        let mut points: [Vec<(f64, f64)>; 5] = Default::default();
        for nodes in [3, 9, 33, 65, 129, 400] {
            let before = resident();
            let mut world = World::start(nodes, Size { domains, models: 1, engines: domains });
            let seconds = world.seconds(SECONDS);
            let kib = resident().saturating_sub(before) as f64 / 1024.0 / nodes as f64;
            let peers = (nodes - 1) as f64;
            let figures = [
                usual(&seconds, |_| true, |m| m.micros),
                mean(&seconds, |m| m.bytes),
                mean(&seconds, |m| m.messages),
                mean(&seconds, |m| m.reads),
                world.list_bytes() as f64,
            ];
            points.iter_mut().zip(figures).for_each(|(p, y)| p.push((peers, y)));
            let appends = mean(&seconds, |m| m.appends) * nodes as f64;
            say(&format!(
                "idle, {domains} domains, {peers} peers: {appends:.2} appends/s in all, {kib:.0} KiB a node"
            ));
        }
        let units = ["us/s", "bytes/s sent", "messages/s", "log reads/s", "bytes of the VM list"];
        for (points, unit) in points.iter().zip(units) {
            say(&line(&format!("idle, {domains} domains, by peers"), points, unit));
        }
    }
}

/// Keeper and dispatcher of a domain of nine nodes, by its engines. The keeper's figure is what its
/// node takes more than the others.
pub(crate) fn roles() {
    let (mut keeper, mut bytes, mut lanes) = (Vec::new(), Vec::new(), Vec::new());
    for engines in [10, 25, 50, 100] {
        let mut world = World::start(9, Size { domains: 1, models: engines * 10, engines });
        world.run(30_000);
        let holder = holder(&mut world, |s| !s["keeper"].is_null()).unwrap();
        let seconds = world.seconds(SECONDS);
        let others = usual(&seconds, |n| *n != holder, |m| m.micros);
        let own = usual(&seconds, |n| *n == holder, |m| m.micros);
        let x = engines as f64;
        keeper.push((x, own - others));
        lanes.push((x / 9.0, others));
        bytes.push((x, mean(&seconds, |m| m.bytes)));
    }
    say(&line("keeper, by engines", &keeper, "us/s"));
    say(&line("node that does not keep, by its queues", &lanes, "us/s"));
    say(&line("bytes, by engines of the domain", &bytes, "bytes/s sent a node"));
}

/// A model request from call to answer, by the engines of the domain, ten models on each.
pub(crate) fn requests() {
    for nodes in [1, 2] {
        let (mut micros, mut bytes) = (Vec::new(), Vec::new());
        for engines in [1, 10, 25, 50, 100] {
            let mut world = World::start(nodes, Size { domains: 1, models: engines * 10, engines });
            world.run(10_000);
            let model: ModelId = name("m0");
            world.call(&name("n0"), chat(&model));
            let entry = if nodes == 1 { name("n0") } else { other(&world.started[0].node) };
            world.end_all();
            let served = world.answered;
            let mut figures = Vec::new();
            for _ in 0..400 {
                world.meters.clear();
                world.call(&entry, chat(&model));
                world.end_all();
                figures.push(world.micros());
                let sent = world.meters.values().map(|m| m.bytes).sum::<f64>();
                bytes.push((engines as f64, sent));
            }
            assert_eq!(world.answered - served, 400, "a request was not answered");
            micros.push((engines as f64, median(figures)));
        }
        say(&line(&format!("request through {nodes} nodes, by engines"), &micros, "us"));
        let sent = median(bytes.iter().map(|b| b.1).collect());
        say(&format!("request through {nodes} nodes: {sent:.0} bytes between nodes"));
    }
}

/// The other one of two nodes.
fn other(node: &NodeId) -> NodeId {
    if node.as_str() == "n0" { name("n1") } else { name("n0") }
}

/// Keyed calls through one node that owns all shards, by the calls made at once.
pub(crate) fn keys() {
    let (mut micros, mut appends) = (Vec::new(), Vec::new());
    for at_once in [1, 3, 10, 30, 100] {
        let mut world = World::start(1, Size { domains: 1, models: 1, engines: 1 });
        let mut figures = Vec::new();
        let mut count = 0.0;
        let rounds = 20;
        let idle =
            median(world.seconds(5).iter().map(|s| s.values().map(|m| m.micros).sum()).collect());
        let answered = world.answered;
        for round in 0..rounds {
            world.meters.clear();
            for i in 0..at_once {
                world.call(&name("n0"), keyed(&format!("k{round}x{i}")));
            }
            for _ in 0..10 {
                world.run(10);
                world.end_all();
            }
            // A tenth of a second has passed: what the node takes anyway is not the calls'.
            figures.push((world.micros() - idle / 10.0) / f64::from(at_once));
            count += world.appends();
        }
        let calls = f64::from(at_once * rounds);
        let done = (world.answered - answered) as f64;
        say(&format!("keyed calls, {at_once} at once: {done} of {calls} answered"));
        micros.push((f64::from(at_once), median(figures) * f64::from(at_once)));
        appends.push((f64::from(at_once), count / f64::from(rounds)));
    }
    say(&line("keyed calls, by calls at once", &micros, "us for all"));
    say(&line("keyed calls, by calls at once", &appends, "appends for all"));
}

/// Configurations and floors, by models.
pub(crate) fn documents() {
    let (mut bytes, mut taken) = (Vec::new(), Vec::new());
    for models in [100, 400, 800, 1500] {
        let text = json(Size { domains: 6, models, engines: 600 });
        let micros = timed(20, || {
            let document = hgw_config::parse(text.as_bytes()).unwrap();
            hgw_config::check(&document).unwrap();
            let change =
                hgw_config::Change { id: RecordId { boot: 1, seq: 1 }, base: Offset(0), document };
            let data = change.encode();
            let mut fold = hgw_config::Fold::new();
            black_box(fold.apply(Offset(1), &data));
            assert_eq!(fold.version(), Offset(1), "the change is in force");
        });
        bytes.push((models as f64, text.len() as f64));
        taken.push((models as f64, micros));
    }
    say(&line("configuration with 600 engines, by models", &bytes, "bytes"));
    say(&line("configuration with 600 engines, by models", &taken, "us to parse, check, fold"));
    let (mut first, mut again) = (Vec::new(), Vec::new());
    for (models, engines) in [(100, 40), (400, 160), (800, 320), (1500, 600)] {
        let text = json(Size { domains: 6, models, engines });
        let document = hgw_config::parse(text.as_bytes()).unwrap();
        let floor = |previous| hgw_placement::floor(&document, Offset(1), &[], previous);
        let previous = floor(None);
        first.push((models as f64, timed(3, || drop(black_box(floor(None))))));
        again.push((models as f64, timed(3, || drop(black_box(floor(Some(&previous)))))));
    }
    say(&line("first floor, by models, 0.4 engines each", &first, "us"));
    say(&line("floor after another, by models, 0.4 engines each", &again, "us"));
}

/// Median time of some runs, in microseconds.
fn timed(runs: usize, mut f: impl FnMut()) -> f64 {
    let run = |_| {
        let start = Instant::now();
        f();
        start.elapsed().as_secs_f64() * 1e6
    };
    median((0..runs).map(run).collect())
}

/// The first node whose state shows something.
pub(crate) fn holder(
    world: &mut World,
    shows: impl Fn(&serde_json::Value) -> bool,
) -> Option<NodeId> {
    let nodes: Vec<NodeId> = world.nodes.keys().cloned().collect();
    nodes.into_iter().find(|n| shows(&world.state_of(n)))
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}
