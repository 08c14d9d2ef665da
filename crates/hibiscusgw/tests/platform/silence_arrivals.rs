//! Requests that arrive while all engines are silent for a second or so.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hgw_standins::client::{Result, Whole};
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, Node, configuration, holds, wait};
use hgw_standins::link::{Condition, ProcessCut};
use hgw_standins::slow_caller::SlowCaller;
use http::StatusCode;
use serde_json::Value;

use crate::{Stop, new_fleet};

/// A silence that a sound engine may have.
pub(crate) const SILENCE: Duration = Duration::from_millis(1_200);

/// When requests of each kind arrive at each node, from the beginning of the silence on.
pub(crate) const ARRIVALS: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_100),
];

/// Bytes of an event of the model `w`: its streams are longer than what lies between an engine and a caller that does not
/// read.
const WIDE_EVENT_BYTES: usize = 32 << 10;

/// Callers of such streams at each node who read slowly.
const SLOW_CALLERS: usize = 3;

/// Time after the silence in which requests arrive that find nothing left of it.
const AFTERWARDS: Duration = Duration::from_millis(100);

/// Engines of models, of which only the first two have the model `m`.
const ENGINES: usize = 4;

/// Software versions of these engines, by turns.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Slots of each of them, and connections to each engine: more than there are requests.
const SLOTS: u32 = 500;
const CONNECTIONS: u32 = 1_000;

const EVENTS: u64 = 20;

/// Routes of all kinds: safe and unsafe calls, streams that may be resumed and streams that may not.
pub(crate) const ALL: [&str; 4] = ["look", "print", "ask", "once"];

/// What goes on beside a silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// A configuration comes into force.
    Configuration,
    /// Engines of one software version leave for those of another one.
    Update,
    /// Callers of streams that run read slowly.
    SlowCallers,
    /// The first node is cut off from all engines, since before the silence.
    CutNode(ProcessCut),
}

/// A silence of all engines of all services.
struct Silence {
    nodes: usize,
    beside: Beside,
}

/// A request that arrives at a node.
#[derive(Debug, Clone)]
struct Arrival {
    node: usize,
    route: &'static str,
    model: &'static str,
    id: String,
}

impl Arrival {
    fn may_repeat(&self) -> bool {
        matches!(self.route, "look" | "ask")
    }

    fn is_stream(&self) -> bool {
        matches!(self.route, "ask" | "once")
    }

    fn send(&self, fleet: &Fleet) -> Result<Whole> {
        let (node, path) = (&fleet.nodes[self.node], format!("/{}/", self.route));
        if self.is_stream() {
            node.stream_of_new_session(&path, &self.id, self.model)
        } else {
            node.plain(&path, &self.id)
        }
    }
}

/// Whether a body is that of a whole stream, written by one software version.
fn is_whole_body(body: &str, event_bytes: usize) -> bool {
    VERSIONS.iter().any(|version| body == whole_body(version, event_bytes))
}

/// The body of a stream that this software version writes.
fn whole_body(version: &str, event_bytes: usize) -> String {
    let padding = "x".repeat(event_bytes);
    let event = |n| format!("id: {n}\ndata: piece {n} of {version}{padding}\n\n");
    (1..=EVENTS).map(event).collect()
}

fn start(nodes: usize) -> Fleet {
    let engine = |n: usize| EngineSettings {
        id: format!("i-{n}"),
        // One of each version has all models.
        holds: if n < 2 { holds(&[("m", &[]), ("n", &[])]) } else { holds(&[("n", &[])]) },
        software: VERSIONS[n % 2].into(),
        names_software: true,
        slots: SLOTS,
        pause: Duration::from_millis(20),
        events: EVENTS,
        ..EngineSettings::default()
    };
    let plain = |n: usize| EngineSettings {
        id: format!("desk-{n}"),
        service: "desk".into(),
        slots: SLOTS,
        ..EngineSettings::default()
    };
    let wide = EngineSettings {
        id: "i-wide".into(),
        holds: holds(&[("w", &[])]),
        event_bytes: WIDE_EVENT_BYTES,
        ..engine(0)
    };
    let engines = (0..ENGINES).map(engine).chain((3..=4).map(plain)).chain([wide]);
    let mut fleet = new_fleet(engines.collect());
    fleet.publish(&full_configuration(2));
    fleet.start_with_leader(nodes, &["a", "b", "c"]);
    fleet
}

/// A configuration in which no engine has room for another model.
fn full_configuration(version: u64) -> Value {
    let mut config = configuration(version);
    config["services"][1]["engine"]["weightsMb"] = 70_000.0.into();
    config["services"][1]["engine"]["slots"] = SLOTS.into();
    let models = config["services"][1]["engine"]["models"].as_array_mut().unwrap();
    let mut wide = models[0].clone();
    wide["name"] = "w".into();
    models.push(wide);
    for service in 0..2 {
        config["services"][service]["maxConns"] = CONNECTIONS.into();
    }
    config["routes"][2]["timeoutMs"] = (8_000 - version).into();
    config
}

/// Requests of all kinds, one each at each of these nodes.
fn arrivals(nodes: &[usize], name: &str) -> Vec<Arrival> {
    let arrival = |node: usize, route: &'static str| Arrival {
        node,
        route,
        model: if node.is_multiple_of(2) { "m" } else { "n" },
        id: format!("{name}-{node}-{route}"),
    };
    nodes.iter().flat_map(|node| ALL.map(|route| arrival(*node, route))).collect()
}

impl Silence {
    /// What is wrong with an answer, or with how often its request ran. A node that is cut off may refuse it unrun, as no
    /// other node reaches engines in the silence.
    fn fault(&self, fleet: &Fleet, arrival: &Arrival, answer: &Result<Whole>) -> Option<String> {
        let may_be_refused = matches!(self.beside, Beside::CutNode(_)) && arrival.node == 0;
        let runs = fleet.runs(&arrival.id);
        let is_right = answer.as_ref().is_ok_and(|answer| match answer.status {
            StatusCode::OK => {
                let is_whole = !arrival.is_stream() || is_whole_body(&answer.body, 0);
                is_whole && (arrival.may_repeat() || runs == 1)
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                may_be_refused && runs == 0 && answer.headers.contains_key("retry-after")
            }
            _ => false,
        });
        (!is_right).then(|| format!("{arrival:?}, {runs} runs: {answer:?}"))
    }

    /// Cuts the first node off, if it is to be, and lets it find out.
    fn prepare(&self, fleet: &Fleet) {
        let Beside::CutNode(cut) = self.beside else { return };
        fleet.cut_from_engines(&[0], Some(cut));
        std::thread::scope(|scope| {
            for arrival in arrivals(&[0], "first").into_iter().filter(Arrival::may_repeat) {
                scope.spawn(move || arrival.send(fleet));
            }
        });
    }

    /// Does what goes on beside the silence, as it begins.
    fn begin(&self, fleet: &Fleet) {
        match self.beside {
            Beside::Nothing | Beside::SlowCallers | Beside::CutNode(_) => {}
            Beside::Configuration => fleet.publish(&full_configuration(3)),
            Beside::Update => {
                let models = fleet.engines.iter().filter(|engine| engine.id().starts_with("i-"));
                let old = models.filter(|engine| engine.entry("ready")["version"] == VERSIONS[0]);
                old.for_each(|engine| fleet.list(engine, "draining"));
            }
        }
    }

    /// Returns what was wrong with the answers to requests that arrived in the silence or right after it.
    fn play(&self, fleet: &Fleet) -> Vec<String> {
        let nodes: Vec<usize> = (0..self.nodes).collect();
        self.prepare(fleet);
        let is_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let (is_over, _stopping) = (&is_over, Stop(&is_over));
            let send = |arrivals: Vec<Arrival>| {
                let start = |arrival: Arrival| {
                    scope.spawn(move || self.fault(fleet, &arrival, &arrival.send(fleet)))
                };
                arrivals.into_iter().map(start).collect::<Vec<_>>()
            };
            let slow = if self.beside == Beside::SlowCallers { SLOW_CALLERS } else { 0 };
            let callers = fleet.nodes.iter().flat_map(|node| (0..slow).map(move |n| (node, n)));
            let read = |(node, n)| scope.spawn(move || read_slowly(node, n, is_over));
            let slow_callers: Vec<_> = callers.map(read).collect();
            let mut requests = send(arrivals(&nodes, "before"));
            wait("the streams run", || {
                let streams = arrivals(&nodes, "before").into_iter().filter(Arrival::is_stream);
                streams.map(|arrival| fleet.runs(&arrival.id)).all(|runs| runs > 0)
            });
            self.begin(fleet);
            fleet.to_engines.iter().for_each(|way| way.set(Condition::Paused));
            let mut passed = Duration::ZERO;
            for (n, at) in ARRIVALS.into_iter().enumerate() {
                std::thread::sleep(at - passed);
                passed = at;
                requests.extend(send(arrivals(&nodes, &format!("at-{n}"))));
            }
            std::thread::sleep(SILENCE - passed);
            fleet.to_engines.iter().for_each(|way| way.set(Condition::Open));
            std::thread::sleep(AFTERWARDS);
            is_over.store(true, Ordering::Relaxed);
            requests.extend(send(arrivals(&nodes, "after")));
            let faults = requests.into_iter().filter_map(|request| request.join().unwrap());
            faults
                .chain(slow_callers.into_iter().filter_map(|caller| caller.join().unwrap()))
                .collect()
        })
    }
}

/// Reads a stream slowly until the silence is over, and then the rest. Returns what is wrong with it.
fn read_slowly(node: &Node, n: usize, is_over: &AtomicBool) -> Option<String> {
    let (id, prompt) = (format!("{}-{n}", node.name), format!("a1:60,{n:x}:40"));
    let headers = [
        ("host", HOST),
        ("x-request-id", &id),
        ("x-deadline-ms", "8000"),
        ("x-model", "w"),
        ("x-tokens", "100,120"),
        ("x-prompt-prefix", &prompt),
    ];
    let mut caller = SlowCaller::send(node.callers, "/once/", &headers, b"body").unwrap();
    let body = caller.trickle(is_over).and_then(|()| caller.rest());
    let is_whole = body.as_ref().is_ok_and(|body| is_whole_body(body, WIDE_EVENT_BYTES));
    (!is_whole).then(|| format!("slow caller {id}: {:?}", body.map(|body| body.len())))
}

macro_rules! silences {
    ($($name:ident: $nodes:literal nodes, $beside:expr;)*) => {$(
        /// Guards against requests that are refused, or fail, as all engines are silent for a moment as they arrive.
        #[test]
        fn $name() {
            let silence = Silence { nodes: $nodes, beside: $beside };
            let faults = silence.play(&start(silence.nodes));
            assert!(faults.is_empty(), "{} not served: {faults:#?}", faults.len());
        }
    )*};
}

silences! {
    arrivals_are_served_after_a_silence: 3 nodes, Beside::Nothing;
    arrivals_are_served_after_a_silence_beside_a_configuration: 9 nodes, Beside::Configuration;
    arrivals_are_served_after_a_silence_behind_hubs: 14 nodes, Beside::Configuration;
    arrivals_are_served_after_a_silence_beside_an_update_of_engines: 3 nodes, Beside::Update;
    arrivals_are_served_after_a_silence_beside_slow_callers: 3 nodes, Beside::SlowCallers;
    arrivals_are_served_after_a_silence_beside_a_node_whose_connections_hang:
        3 nodes, Beside::CutNode(ProcessCut::Silent);
    arrivals_are_served_after_a_silence_beside_a_node_whose_connections_are_reset:
        3 nodes, Beside::CutNode(ProcessCut::Reset);
}

/// Guards against a leader that makes way for another node, which reaches no more engines, in each silence.
#[test]
fn leader_does_not_release_its_lease_in_a_silence() {
    let silence = Silence { nodes: 3, beside: Beside::Nothing };
    let fleet = start(silence.nodes);
    silence.play(&fleet);
    let records = fleet.store.records("hgw-claims");
    let kinds = records.iter().map(|record| serde_json::from_slice::<Value>(record).unwrap());
    let kinds: Vec<Value> = kinds.map(|record| record["kind"].clone()).collect();
    assert!(kinds.iter().any(|kind| kind == "Renewal"), "{kinds:?}");
    assert!(!kinds.iter().any(|kind| kind == "Release"), "{kinds:?}");
}
