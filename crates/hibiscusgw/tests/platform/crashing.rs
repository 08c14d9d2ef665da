//! Requests that crash each engine that begins to run them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use hgw_standins::link::Condition;
use http::StatusCode;

use crate::new_fleet;

/// Time after the third crash within which every node must know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Engines that such a request may still reach after that time.
const MAX_RUNS_LEFT: usize = 3;

/// Time after which an engine that has crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(700);

fn model_fleet(engines: usize) -> Fleet {
    let engine = |n| EngineSettings {
        id: format!("i-{n}"),
        holds: holds(&[("m", &[])]),
        ..EngineSettings::default()
    };
    new_fleet((0..engines).map(engine).collect())
}

/// An engine that ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Run {
    engine: String,
    id: String,
}

/// Crashes each engine that begins to run a request whose id begins with `crash`, and starts it again after
/// a while, until `stop` is set. Returns the runs.
fn crash_engines(fleet: &Fleet, stop: &AtomicBool) -> Vec<Run> {
    let mut runs = Vec::new();
    let mut down: BTreeMap<usize, Instant> = BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if down.get(&index).is_some_and(|since| since.elapsed() > BACK_AFTER) {
                down.remove(&index);
                engine.start_anew();
                engine.hold(holds(&[("m", &[])]));
                fleet.to_engines[index].set(Condition::Open);
                fleet.list(engine, "ready");
            }
            for id in engine.record().runs.keys().filter(|id| id.starts_with("crash")) {
                let run = Run { engine: engine.id().to_owned(), id: id.clone() };
                if !runs.contains(&run) {
                    runs.push(run);
                    fleet.to_engines[index].set(Condition::Refused);
                    down.insert(index, Instant::now());
                }
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    runs
}

/// Runs `play` while engines crash under some requests. Returns the runs of these.
fn while_engines_crash(fleet: &Fleet, play: impl FnOnce()) -> Vec<Run> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let crashing = scope.spawn(|| crash_engines(fleet, &stop));
        play();
        // What is under way ends.
        std::thread::sleep(Duration::from_millis(300));
        stop.store(true, Ordering::Relaxed);
        crashing.join().unwrap()
    })
}

/// Sends the request that crashes engines to a node. Returns the status, if there is a whole response.
fn send_crashing(fleet: &Fleet, node: usize, id: &str) -> Option<StatusCode> {
    fleet.nodes[node].stream("/ask/crashes/", &format!("crash-{id}"), "m").ok().map(|a| a.status)
}

/// A request that has crashed three engines must reach hardly any more, through whichever node it comes
/// again; otherwise one caller that repeats it takes all engines from everybody.
#[test]
fn request_that_crashes_engines_is_soon_sent_to_none() {
    let mut fleet = model_fleet(8);
    let nodes: Vec<usize> = (0..3).map(|_| fleet.start("a")).collect();
    let runs = while_engines_crash(&fleet, || {
        for round in 0..4 {
            send_crashing(&fleet, nodes[round % 3], &format!("early-{round}"));
        }
        std::thread::sleep(KNOWN_WITHIN);
        for round in 0..12 {
            send_crashing(&fleet, nodes[round % 3], &format!("late-{round}"));
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    let late = runs.iter().filter(|run| run.id.starts_with("crash-late")).count();
    assert!(runs.len() >= 3, "{runs:?}");
    assert!(late <= MAX_RUNS_LEFT, "{late} of {runs:?}");
    wait("other requests are served", || {
        let served = fleet.nodes[nodes[0]].stream("/ask/", "s-1", "m");
        served.is_ok_and(|a| a.status == StatusCode::OK)
    });
}
