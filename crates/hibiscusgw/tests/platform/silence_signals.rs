//! Engines whose processes are stopped by a signal for a second or so, and go on.

use std::path::{Path, PathBuf};
use std::time::Duration;

use hgw_standins::client::{Caller, Result, Whole};
use hgw_standins::fleet::deployment::{Fleet, wait};
use hgw_standins::fleet::{EngineSettings, FleetRecord};
use hgw_standins::{Running, fleet_engine};
use http::StatusCode;
use rustix::process::{Signal, kill_process};

use crate::new_fleet;
use crate::silence_arrivals::{ALL, ARRIVALS, SILENCE};

const NODES: usize = 3;

/// Engines of each service.
const ENGINES: usize = 2;

/// The binary of the stand-ins, which a test run of the whole workspace builds.
fn standin_binary() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusgw")).with_file_name("standin");
    assert!(program.exists(), "first run `cargo build -p hgw-standins --bin standin`");
    program
}

/// A fleet all of whose engines that take requests are processes of their own.
struct Processes {
    fleet: Fleet,
    engines: Vec<Running>,
}

impl Processes {
    fn start() -> Processes {
        let mut fleet = new_fleet(Vec::<EngineSettings>::new());
        let engines = ["desk", "models"].iter().flat_map(|service| {
            let fleet = &fleet;
            (0..ENGINES).map(move |n| start_engine(fleet, service, &format!("{service}-p{n}")))
        });
        let engines = engines.collect();
        fleet.engines.iter().for_each(|engine| fleet.list(engine, "draining"));
        fleet.start_with_leader(NODES, &["a", "b", "c"]);
        Processes { fleet, engines }
    }

    fn signal(&self, signal: Signal) {
        for engine in &self.engines {
            kill_process(engine.pid().unwrap(), signal).unwrap();
        }
    }

    /// How often a request ran.
    fn runs(&self, id: &str) -> u32 {
        let runs = |engine: &Running| {
            let record: FleetRecord = Caller::new(engine.addr()).unwrap().record().unwrap();
            record.runs.get(id).copied().unwrap_or_default()
        };
        self.engines.iter().map(runs).sum()
    }

    fn send(&self, node: usize, route: &str, id: &str) -> Result<Whole> {
        let (node, path) = (&self.fleet.nodes[node], format!("/{route}/"));
        if is_stream(route) {
            node.stream_of_new_session(&path, id, "m")
        } else {
            node.plain(&path, id)
        }
    }
}

fn is_stream(route: &str) -> bool {
    matches!(route, "ask" | "once")
}

/// Starts an engine and lists it.
fn start_engine(fleet: &Fleet, service: &str, id: &str) -> Running {
    let mut options = vec!["--service", service, "--id", id, "--slots", "64", "--pause-ms", "50"];
    if service == "models" {
        options.extend(["--model", "m", "--model", "n"]);
    }
    let engine = fleet_engine(&standin_binary(), &options).unwrap();
    let mut entry = fleet.engines[0].entry("ready");
    entry["service"] = service.into();
    entry["addr"] = engine.addr().to_string().into();
    entry["slots"] = 64.into();
    if service == "models" {
        let model = |name: &str| serde_json::json!({ "name": name, "version": 1, "adapters": [] });
        entry["models"] = [model("m"), model("n")].into_iter().collect();
    }
    fleet.store.put("keyed.servers", id, entry.to_string().as_bytes());
    engine
}

/// Guards against requests that are cut, refused or run twice as the processes of all engines are stopped for a moment: their
/// kernel goes on taking connections and bytes.
#[test]
fn requests_outlast_engines_that_are_stopped_and_go_on() {
    let processes = &Processes::start();
    let fault = |node: usize, route: &str, id: &str| {
        let answer = processes.send(node, route, id);
        let is_whole = answer.as_ref().is_ok_and(|answer| {
            let has_end = !is_stream(route) || answer.body.contains("data: piece 20\n");
            answer.status == StatusCode::OK && has_end
        });
        (!is_whole).then(|| format!("{id}: {answer:?}"))
    };
    let mut once = Vec::new();
    let faults: Vec<String> = std::thread::scope(|scope| {
        let mut send = |name: &str| {
            let pairs = (0..NODES).flat_map(|node| ALL.map(|route| (node, route)));
            let start = |(node, route): (usize, &'static str)| {
                let id = format!("{name}-{node}-{route}");
                if matches!(route, "print" | "once") {
                    once.push(id.clone());
                }
                scope.spawn(move || fault(node, route, &id))
            };
            pairs.map(start).collect::<Vec<_>>()
        };
        let mut requests = send("before");
        wait("the streams run", || {
            (0..NODES).all(|node| processes.runs(&format!("before-{node}-once")) > 0)
        });
        processes.signal(Signal::STOP);
        let mut passed = Duration::ZERO;
        for (n, at) in ARRIVALS.into_iter().enumerate() {
            std::thread::sleep(at - passed);
            passed = at;
            requests.extend(send(&format!("at-{n}")));
        }
        std::thread::sleep(SILENCE - passed);
        processes.signal(Signal::CONT);
        requests.extend(send("after"));
        requests.into_iter().filter_map(|request| request.join().unwrap()).collect()
    });
    assert!(faults.is_empty(), "{} not served: {faults:#?}", faults.len());
    for id in once {
        assert_eq!(processes.runs(&id), 1, "{id}");
    }
}
