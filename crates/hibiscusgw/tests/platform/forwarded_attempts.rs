//! A request runs on no more engines than its route allows, whichever nodes send it there.

use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, wait};
use hgw_standins::link::ProcessCut;
use http::Method;
use rustix::process::Signal;
use serde_json::json;

use crate::forwarding::{model_engine, start_cut};

/// Engines to which the routes of these tests send one attempt of a caller.
const MAX_ATTEMPTS: u32 = 2;

const ENGINES: usize = 6;

/// Domains of nodes, of which the first reaches no engine.
const ZONES: [&str; 4] = ["a", "a", "a", "b"];

/// Forwarders that are killed, of its own domain, which it prefers.
const KILLED: [usize; 2] = [1, 2];

/// Streams at the node that reaches no engine.
const STREAMS: usize = 8;

/// Callers at each other node, so that it hears all engines.
const OTHER_CALLERS: usize = 12;

/// Time without a response: longer than callers wait.
const HANG: Duration = Duration::from_secs(9);

/// An engine whose streams take eight seconds.
fn engine(n: usize) -> EngineSettings {
    EngineSettings {
        slots: 64,
        pause: Duration::from_millis(200),
        events: 40,
        ..model_engine(&format!("i-{n}"))
    }
}

fn engines() -> Vec<EngineSettings> {
    (1..=ENGINES).map(engine).collect()
}

fn stream_ids() -> Vec<String> {
    (0..STREAMS).map(|n| format!("s-{n}")).collect()
}

fn runs(fleet: &Fleet) -> Vec<u32> {
    stream_ids().iter().map(|id| fleet.runs(id)).collect()
}

fn assert_within_attempts(runs: &[u32]) {
    assert!(runs.iter().all(|runs| *runs <= MAX_ATTEMPTS), "{runs:?}");
}

fn kill_forwarders(fleet: &Fleet) {
    KILLED.iter().for_each(|node| fleet.nodes[*node].signal(Signal::KILL));
}

/// Sends streams to the first node, and does this while they run.
fn while_streaming(fleet: &Fleet, play: impl FnOnce()) {
    std::thread::scope(|scope| {
        for id in stream_ids() {
            scope.spawn(move || fleet.nodes[0].stream_of_new_session("/ask/", &id, "m"));
        }
        play();
    });
}

/// Lets all engines begin no response while `play` runs. Streams that began before tell the nodes that the engines live;
/// the first of several nodes reaches none.
fn while_engines_hang(fleet: &Fleet, play: impl FnOnce()) {
    let first = usize::from(fleet.nodes.len() > 1);
    std::thread::scope(|scope| {
        for (node, n) in
            (first..fleet.nodes.len()).flat_map(|n| (0..OTHER_CALLERS).map(move |c| (n, c)))
        {
            scope.spawn(move || {
                // Each begins a little later than the one before, so that engines are heard all the time.
                std::thread::sleep(Duration::from_millis(20) * n as u32);
                let id = format!("other-{node}-{n}");
                fleet.nodes[node].stream_of_new_session("/once/", &id, "m")
            });
        }
        std::thread::sleep(Duration::from_millis(500));
        fleet.engines.iter().for_each(|engine| engine.read_for(HANG));
        play();
    });
}

/// Guards against a node that counts the runs of a silent forwarder as one and has another node run the request again.
#[test]
fn silent_forwarder_and_the_next_one_stay_within_the_attempts() {
    let fleet = start_cut(engines(), &ZONES, 1);
    while_engines_hang(&fleet, || while_streaming(&fleet, || ()));
    let runs = runs(&fleet);
    assert_within_attempts(&runs);
    assert!(runs.contains(&MAX_ATTEMPTS), "no second engine was asked: {runs:?}");
}

/// Guards against counting the runs of a forwarder whose connection breaks as one.
#[test]
fn killed_forwarders_and_the_next_one_stay_within_the_attempts() {
    let mut fleet = start_cut(engines(), &ZONES, 1);
    while_engines_hang(&fleet, || {
        while_streaming(&fleet, || {
            wait("forwarders have sent all requests twice", || {
                runs(&fleet).iter().all(|runs| *runs >= MAX_ATTEMPTS)
            });
            kill_forwarders(&fleet);
        });
    });
    assert_within_attempts(&runs(&fleet));
    KILLED.iter().for_each(|node| fleet.nodes[*node].kill());
}

/// Guards against a count that stays as the forwarder said with the head of its response, though it has sent the request
/// to another engine since.
#[test]
fn forwarders_that_resumed_streams_and_the_next_one_stay_within_the_attempts() {
    let mut fleet = start_cut(engines(), &ZONES, 1);
    while_streaming(&fleet, || {
        wait("all streams run", || runs(&fleet).iter().all(|runs| *runs >= 1));
        std::thread::sleep(Duration::from_millis(500));
        for node in KILLED {
            let forwarder = fleet.nodes[node].pid().as_raw_nonzero().get() as u32;
            let ways = fleet.to_engines.iter().zip(&fleet.engines);
            let to_models = ways.filter(|(_, engine)| engine.id().starts_with("i-"));
            let lost = to_models.take(ENGINES / 2);
            lost.for_each(|(way, _)| way.cut_process(forwarder, Some(ProcessCut::Reset)));
        }
        wait("a stream has been resumed", || runs(&fleet).contains(&MAX_ATTEMPTS));
        std::thread::sleep(Duration::from_millis(300));
        kill_forwarders(&fleet);
    });
    assert_within_attempts(&runs(&fleet));
    KILLED.iter().for_each(|node| fleet.nodes[*node].kill());
}

/// Guards against a count that is too low while nodes are updated: a node of the release before counts one run of a silent
/// forwarder and grants none.
#[test]
fn request_of_a_node_that_grants_nothing_is_sent_to_one_engine() {
    let fleet = start_cut(engines(), &["a"], 0);
    let forwarded = json!({
        "age_ms": 0, "service": "models", "executions": 0, "rejected": 0, "tried_engines": [],
        "last_event": null,
    });
    let forwarded = forwarded.to_string();
    while_engines_hang(&fleet, || {
        let caller = Caller::new(fleet.nodes[0].peers).unwrap();
        let headers = [
            ("host", HOST),
            ("hgw-forwarded", &*forwarded),
            ("x-request-id", "s-0"),
            ("x-deadline-ms", "4000"),
            ("x-model", "m"),
            ("x-tokens", "100,120"),
        ];
        let _ = caller.call(Method::POST, "/ask/", &headers, "body");
    });
    assert_eq!(fleet.runs("s-0"), 1);
}
