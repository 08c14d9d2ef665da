//! Requests that arrive while all engines are silent for a second or so.

use std::time::Duration;

use hgw_standins::client::{Result, Whole};
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, configuration, holds, wait};
use hgw_standins::link::Condition;
use http::StatusCode;
use serde_json::Value;

use crate::new_fleet;

/// A silence that a sound engine may have.
const SILENCE: Duration = Duration::from_millis(1_200);

/// When requests of each kind arrive at each node, from the beginning of the silence on.
const ARRIVALS: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_100),
];

/// Time after the silence in which requests arrive that find nothing left of it.
const AFTERWARDS: Duration = Duration::from_millis(100);

/// Engines of models, of which only the first has the model `m`.
const ENGINES: usize = 3;

/// Slots of each of them, and connections to each engine: more than there are requests.
const SLOTS: u32 = 500;
const CONNECTIONS: u32 = 1_000;

const EVENTS: u64 = 20;

/// Routes of all kinds: safe and unsafe calls, streams that may be resumed and streams that may not.
const ALL: [&str; 4] = ["look", "print", "ask", "once"];

/// A silence of all engines of all services.
struct Silence {
    nodes: usize,
    /// Whether a configuration comes into force with it.
    beside_configuration: bool,
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

    /// What is wrong with its answer, or with how often it ran.
    fn fault(&self, fleet: &Fleet, answer: &Result<Whole>) -> Option<String> {
        let is_served = answer.as_ref().is_ok_and(|answer| {
            let is_whole = !self.is_stream() || answer.body == whole_body();
            answer.status == StatusCode::OK && is_whole
        });
        let (runs, may_repeat) = (fleet.runs(&self.id), matches!(self.route, "look" | "ask"));
        let is_right = is_served && (may_repeat || runs == 1);
        (!is_right).then(|| format!("{self:?}, {runs} runs: {answer:?}"))
    }
}

fn whole_body() -> String {
    (1..=EVENTS).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

fn start(nodes: usize) -> Fleet {
    let engine = |n: usize| EngineSettings {
        id: format!("i-{n}"),
        holds: if n == 0 { holds(&[("m", &[]), ("n", &[])]) } else { holds(&[("n", &[])]) },
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
    let engines = (0..ENGINES).map(engine).chain((3..=4).map(plain));
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
    /// Returns what was wrong with the answers to requests that arrived in the silence or right after it.
    fn play(&self) -> Vec<String> {
        let fleet = start(self.nodes);
        let nodes: Vec<usize> = (0..self.nodes).collect();
        let fleet = &fleet;
        std::thread::scope(|scope| {
            let send = |arrivals: Vec<Arrival>| {
                let start = |arrival: Arrival| {
                    scope.spawn(move || arrival.fault(fleet, &arrival.send(fleet)))
                };
                arrivals.into_iter().map(start).collect::<Vec<_>>()
            };
            let mut requests = send(arrivals(&nodes, "before"));
            wait("the streams run", || {
                let streams = arrivals(&nodes, "before").into_iter().filter(Arrival::is_stream);
                streams.map(|arrival| fleet.runs(&arrival.id)).all(|runs| runs > 0)
            });
            if self.beside_configuration {
                fleet.publish(&full_configuration(3));
            }
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
            requests.extend(send(arrivals(&nodes, "after")));
            requests.into_iter().filter_map(|request| request.join().unwrap()).collect()
        })
    }
}

macro_rules! silences {
    ($($name:ident: $nodes:literal nodes, configuration $beside_configuration:literal;)*) => {$(
        /// Guards against requests that are refused, or fail, as all engines are silent for a moment as they arrive.
        #[test]
        fn $name() {
            let silence = Silence { nodes: $nodes, beside_configuration: $beside_configuration };
            let faults = silence.play();
            assert!(faults.is_empty(), "{} not served: {faults:#?}", faults.len());
        }
    )*};
}

silences! {
    arrivals_are_served_after_a_silence: 3 nodes, configuration false;
    arrivals_are_served_after_a_silence_beside_a_configuration: 9 nodes, configuration true;
    arrivals_are_served_after_a_silence_behind_hubs: 14 nodes, configuration true;
}
