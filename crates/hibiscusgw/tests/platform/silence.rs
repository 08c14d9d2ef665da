//! Sound engines that are silent for a second or so and go on.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hgw_standins::client::{Result, Whole};
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, configuration, holds, wait};
use hgw_standins::link::Condition;
use hgw_standins::{Count, Faults, Late};
use http::StatusCode;
use rustix::process::Signal;
use serde_json::Value;

use crate::{Stop, new_fleet};

/// A silence that a sound engine may have.
const SILENCE: Duration = Duration::from_millis(1_200);

/// An engine whose streams take two seconds.
fn slow_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        pause: Duration::from_millis(100),
        ..EngineSettings::default()
    }
}

fn pause_all(fleet: &Fleet) {
    fleet.to_engines.iter().for_each(|way| way.set(Condition::Paused));
    std::thread::sleep(SILENCE);
    fleet.to_engines.iter().for_each(|way| way.set(Condition::Open));
}

/// Guards against requests that may not be repeated being given up because their engine is silent for a moment,
/// and against a node that then sends what follows elsewhere for long.
#[test]
fn requests_outlast_a_silence_of_their_engines() {
    let mut fleet = new_fleet(vec![slow_engine("i-1"), slow_engine("i-2")]);
    let nodes = ["a", "b"].map(|zone| fleet.start(zone));
    std::thread::sleep(Duration::from_secs(2));
    let fleet = &fleet;
    std::thread::scope(|scope| {
        let streams: Vec<_> = (0..8)
            .map(|n| {
                let route = if n % 2 == 0 { "/once/" } else { "/ask/" };
                let id = format!("s-{n}");
                scope.spawn(move || fleet.nodes[nodes[n % 2]].stream(route, &id, "m"))
            })
            .collect();
        wait("all streams run", || (0..8).all(|n| fleet.runs(&format!("s-{n}")) >= 1));
        let calls: Vec<_> = (0..4)
            .map(|n| {
                let id = format!("c-{n}");
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(300));
                    fleet.nodes[nodes[n % 2]].plain("/print/", &id)
                })
            })
            .collect();
        pause_all(fleet);
        for stream in streams {
            let answer = stream.join().unwrap().unwrap();
            assert_eq!(answer.body, whole_body(20));
        }
        for call in calls {
            assert_eq!(call.join().unwrap().unwrap().status, StatusCode::OK);
        }
    });
    for id in (0..8).step_by(2).map(|n| format!("s-{n}")).chain((0..4).map(|n| format!("c-{n}"))) {
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
    for (node, n) in nodes.iter().flat_map(|node| (0..10).map(move |n| (*node, n))) {
        let answer = fleet.nodes[node].plain("/print/", &format!("after-{node}-{n}")).unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
}

/// What is planned while engines are silent.
#[derive(Debug, Clone, Copy)]
enum Planned {
    Nothing,
    /// A configuration with shorter time-outs comes into force.
    Configuration,
    /// Each node is told that its settings have changed.
    Reload,
}

/// A silence of engines while streams run there.
struct Silence {
    nodes: usize,
    /// Engines, all of which have the model `n`; only the first has the model `m` as well.
    engines: usize,
    /// Those of them that are silent, the first one among them.
    silent: usize,
    millis: u64,
    planned: Planned,
    /// Whether the nodes may send a request a second time.
    retries: bool,
}

/// Callers that a node has more than the one before, by turns of three.
const CALLERS_PER_NODE: usize = 4;

/// Events of their streams.
const EVENTS: u64 = 30;

/// Silences of a play, and the time before each.
const SILENCES: u64 = 3;
const BETWEEN_SILENCES: Duration = Duration::from_millis(1_500);

impl Silence {
    fn start(&self) -> Fleet {
        let engine = |n: usize| EngineSettings {
            id: format!("i-{n}"),
            holds: if n == 0 { holds(&[("m", &[]), ("n", &[])]) } else { holds(&[("n", &[])]) },
            slots: 64,
            pause: Duration::from_millis(50),
            events: EVENTS,
            ..EngineSettings::default()
        };
        let mut fleet = new_fleet((0..self.engines).map(engine).collect());
        fleet.publish(&self.configuration(2));
        fleet.start_with_leader(self.nodes, &["a", "b", "c"]);
        if !self.retries {
            for node in &fleet.nodes {
                node.set(
                    "budgetRatio=0.2\nbounds.budgetSlack=50",
                    "budgetRatio=0\nbounds.budgetSlack=0",
                );
            }
        }
        fleet
    }

    /// A configuration in which no engine has room for another model.
    fn configuration(&self, version: u64) -> Value {
        let mut config = configuration(version);
        config["services"][1]["engine"]["weightsMb"] = 70_000.0.into();
        config["routes"][2]["timeoutMs"] = (8_000 - version).into();
        config
    }

    fn plan(&self, fleet: &Fleet, version: u64) {
        match self.planned {
            Planned::Nothing => {}
            Planned::Configuration => fleet.publish(&self.configuration(version)),
            Planned::Reload => fleet.nodes.iter().for_each(|node| node.signal(Signal::HUP)),
        }
    }

    fn pause(&self, fleet: &Fleet, condition: Condition) {
        let ways = fleet.engines.iter().zip(&fleet.to_engines);
        let of_models = ways.filter(|(engine, _)| engine.id().starts_with("i-"));
        of_models.take(self.silent).for_each(|(_, way)| way.set(condition));
    }

    /// Returns what callers got who neither got a whole response nor were told that nothing had run.
    fn play(&self) -> Vec<String> {
        let (fleet, stop) = (self.start(), AtomicBool::new(false));
        let call = |node: usize, caller: usize, model: &str| {
            let mut ends = Vec::new();
            for n in (0..).take_while(|_| !stop.load(Ordering::Relaxed)) {
                let id = format!("{model}-{node}-{caller}-{n}");
                let answer = fleet.nodes[node].stream_of_new_session("/ask/", &id, model);
                if !is_whole_or_refused(&answer) {
                    ends.push(format!("{id}: {answer:?}"));
                }
            }
            ends
        };
        std::thread::scope(|scope| {
            let (call, stopping) = (&call, Stop(&stop));
            let mut callers = Vec::new();
            for node in 0..self.nodes {
                // Nodes with few requests at an engine wait for it longer than those with many.
                for caller in 0..1 + CALLERS_PER_NODE * (node % 3) {
                    callers.push(scope.spawn(move || call(node, caller, "m")));
                    callers.push(scope.spawn(move || call(node, caller, "n")));
                }
            }
            for n in 0..SILENCES {
                std::thread::sleep(BETWEEN_SILENCES);
                self.plan(&fleet, 3 + n);
                self.pause(&fleet, Condition::Paused);
                std::thread::sleep(Duration::from_millis(self.millis));
                self.pause(&fleet, Condition::Open);
            }
            std::thread::sleep(BETWEEN_SILENCES);
            drop(stopping);
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }
}

/// The body of a stream.
fn whole_body(events: u64) -> String {
    (1..=events).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

/// Whether a stream arrived whole, or was refused as it had not run.
fn is_whole_or_refused(answer: &Result<Whole>) -> bool {
    answer.as_ref().is_ok_and(|answer| match answer.status {
        StatusCode::OK => answer.body == whole_body(EVENTS),
        status => status == StatusCode::SERVICE_UNAVAILABLE,
    })
}

macro_rules! silences {
    ($($name:ident: $nodes:literal nodes, $silent:literal of $engines:literal silent for $millis:literal ms, $planned:ident, retries $retries:literal;)*) => {$(
        /// Guards against streams that are cut as their node gives up a silent engine before another one goes on.
        #[test]
        fn $name() {
            let silence = Silence {
                nodes: $nodes,
                engines: $engines,
                silent: $silent,
                millis: $millis,
                planned: Planned::$planned,
                retries: $retries,
            };
            let cut = silence.play();
            assert!(cut.is_empty(), "{} cut: {cut:#?}", cut.len());
        }
    )*};
}

silences! {
    streams_outlast_a_silence_of_all_engines:
        3 nodes, 2 of 2 silent for 1_200 ms, Nothing, retries true;
    streams_outlast_a_silence_of_all_engines_beside_configurations:
        9 nodes, 3 of 3 silent for 1_200 ms, Configuration, retries true;
    streams_outlast_a_silence_of_all_engines_beside_reloads:
        6 nodes, 2 of 2 silent for 1_500 ms, Reload, retries true;
    streams_outlast_a_silence_without_retries:
        3 nodes, 2 of 3 silent for 1_500 ms, Nothing, retries false;
    streams_outlast_a_silence_behind_hubs:
        14 nodes, 3 of 4 silent for 1_200 ms, Nothing, retries true;
    streams_outlast_a_silence_of_six_engines_in_ten:
        6 nodes, 6 of 10 silent for 1_000 ms, Configuration, retries true;
}

/// Two engines of a service, `first` of which a request runs at, both silent until the first goes on.
struct Pair {
    fleet: Fleet,
    node: usize,
    ids: [&'static str; 2],
}

impl Pair {
    /// The second engine is lost after the request has been sent there as well.
    const LOST_AFTER: Duration = Duration::from_millis(1_400);
    const SILENCE: Duration = Duration::from_millis(2_000);

    /// Answers that take as long as such a silence.
    fn late_answers() -> Faults {
        let ms = Pair::SILENCE.as_millis() as u64;
        Faults { late_answers: Some(Late { ms, requests: Count::default() }), ..Faults::default() }
    }

    fn start(ids: [&'static str; 2]) -> Pair {
        let mut fleet = new_fleet(vec![slow_engine("i-1"), slow_engine("i-2")]);
        let node = fleet.start("a");
        Pair { fleet, node, ids }
    }

    fn set(&self, id: &str, condition: Condition) {
        let engine = self.fleet.engines.iter().position(|e| e.id() == id).unwrap();
        self.fleet.to_engines[engine].set(condition);
    }

    /// Makes both engines silent, unless their answers are late, once the request runs; cuts off the one that it did not
    /// begin at, and lets the other go on.
    fn play(&self, request: &str, pauses: bool) {
        let first = || {
            let runs =
                |id: &&'static str| self.fleet.engine(id).record().runs.contains_key(request);
            self.ids.iter().position(runs)
        };
        wait("the request runs", || first().is_some());
        let (first, second) = (self.ids[first().unwrap()], self.ids[1 - first().unwrap()]);
        if pauses {
            [first, second].iter().for_each(|id| self.set(id, Condition::Paused));
        }
        std::thread::sleep(Pair::LOST_AFTER);
        self.set(second, Condition::Refused);
        std::thread::sleep(Pair::SILENCE - Pair::LOST_AFTER);
        self.set(first, Condition::Open);
    }
}

/// Guards against a stream that is cut as the engine fails by which its silent one was to be replaced.
#[test]
fn stream_goes_on_at_its_silent_engine_if_the_other_one_fails() {
    let pair = Pair::start(["i-1", "i-2"]);
    std::thread::scope(|scope| {
        let node = &pair.fleet.nodes[pair.node];
        let stream = scope.spawn(move || node.stream("/ask/", "s-1", "m"));
        pair.play("s-1", true);
        assert_eq!(stream.join().unwrap().unwrap().body, whole_body(20));
    });
    assert_eq!(pair.fleet.runs("s-1"), 1);
}

/// Guards against a call that fails as the engine fails by which its silent one was to be replaced.
#[test]
fn call_is_answered_by_its_silent_engine_if_the_other_one_fails() {
    let pair = Pair::start(["desk-1", "desk-2"]);
    pair.ids.iter().for_each(|id| pair.fleet.engine(id).fault(&Pair::late_answers()));
    std::thread::scope(|scope| {
        let node = &pair.fleet.nodes[pair.node];
        let call = scope.spawn(move || node.plain("/look/", "c-1"));
        pair.play("c-1", false);
        assert_eq!(call.join().unwrap().unwrap().status, StatusCode::OK);
    });
    assert_eq!(pair.fleet.runs("c-1"), 2);
}

/// Guards against engines that work on after another one has taken their place.
#[test]
fn silent_engine_is_left_once_another_one_has_begun() {
    let pair = Pair::start(["i-1", "i-2"]);
    std::thread::scope(|scope| {
        let node = &pair.fleet.nodes[pair.node];
        let stream = scope.spawn(move || node.stream("/ask/", "s-1", "m"));
        wait("the stream runs", || pair.fleet.runs("s-1") == 1);
        let runs = |id: &&str| pair.fleet.engine(id).record().runs.contains_key("s-1");
        let first = pair.ids.into_iter().find(runs).unwrap();
        pair.set(first, Condition::Paused);
        wait("the other engine runs it as well", || pair.fleet.runs("s-1") == 2);
        pair.set(first, Condition::Open);
        wait("the first engine is left", || pair.fleet.engine(first).is_idle());
        assert_eq!(stream.join().unwrap().unwrap().body, whole_body(20));
    });
}
