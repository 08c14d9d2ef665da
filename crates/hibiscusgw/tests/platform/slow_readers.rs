//! Callers that read their responses slowly.

use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hgw_standins::client::{Caller, Result, Whole};
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, Node, configuration, holds, wait};
use hgw_standins::slow_caller::SlowCaller;
use http::{Method, StatusCode};
use serde_json::Value;

use crate::{Stop, new_fleet};

/// Memory of the node in its settings, of which a share is for responses that callers read slowly.
const MEMORY_MB: usize = 60;

/// What the node's process may take at most beyond what it took before: its share for responses, and what connections hold of
/// their own. Far less than the sum of the responses.
const MAX_GROWTH_KB: usize = 35 << 10;

const SLOW_CALLERS: usize = 200;
const OTHER_CALLERS: usize = 20;

/// Events of a stream, and the bytes of each.
const EVENTS: u64 = 96;
const EVENT_BYTES: usize = 4 << 10;

fn engine(n: usize) -> EngineSettings {
    EngineSettings {
        id: format!("i-{n}"),
        holds: holds(&[("m", &[])]),
        slots: 96,
        pause: Duration::from_millis(30),
        events: EVENTS,
        event_bytes: EVENT_BYTES,
        ..EngineSettings::default()
    }
}

/// The configuration with more time for each request, as hundreds of streams of a test take theirs.
fn patient_configuration() -> Value {
    let mut config = configuration(2);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 60_000.into();
    }
    for service in config["services"].as_array_mut().unwrap() {
        service["maxConns"] = 400.into();
    }
    config
}

/// Starts a node with this memory; its lines go to the file.
fn start_node(fleet: &mut Fleet, memory_mb: usize) -> (usize, PathBuf) {
    fleet.publish(&patient_configuration());
    let (node, lines) = fleet.start_logged("a");
    let (old, new) =
        ("limits.maxFds=1024", format!("limits.maxFds=2048\nlimits.memoryMb={memory_mb}"));
    fleet.nodes[node].set(old, &new);
    wait("the configuration is in force", || {
        metric(&fleet.nodes[node], "hgw_config_version") == Some(2.0)
    });
    wait("the settings are in force", || !fleet.lines(&lines, SETTINGS_CHANGED).is_empty());
    (node, lines)
}

/// The sum of a metric over its labels; none if there is none.
fn metric(node: &Node, name: &str) -> Option<f64> {
    sum_of(node, name, "")
}

/// The sum of a metric over those of its labels that contain a text; none if there is none.
fn sum_of(node: &Node, name: &str, label: &str) -> Option<f64> {
    let caller = Caller::new(node.metrics).unwrap();
    let text = caller.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let values = text.lines().filter_map(|line| {
        let (found, value) = line.rsplit_once(' ')?;
        let is_meant = found.split('{').next() == Some(name) && found.contains(label);
        is_meant.then(|| value.parse::<f64>().ok())?
    });
    values.fold(None, |sum, value| Some(sum.unwrap_or(0.0) + value))
}

/// A figure of the node's process in kilobytes, by its name in `/proc/PID/status`.
fn process_kb(node: &Node, name: &str) -> usize {
    let status = format!("/proc/{}/status", node.pid().as_raw_nonzero());
    let status = std::fs::read_to_string(status).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse().unwrap()
}

fn ask(node: &Node, id: &str) -> SlowCaller {
    let prompt = format!("a1:60,{id}:40");
    let headers = [
        ("host", HOST),
        ("x-request-id", id),
        ("x-deadline-ms", "60000"),
        ("x-model", "m"),
        ("x-tokens", "100,120"),
        ("x-prompt-prefix", &prompt),
    ];
    SlowCaller::send(node.callers, "/ask/", &headers, b"body").unwrap()
}

fn body(events: u64, event_bytes: usize) -> String {
    let padding = "x".repeat(event_bytes);
    (1..=events).map(|n| format!("id: {n}\ndata: piece {n}{padding}\n\n")).collect()
}

/// The response to a request that is sent again as long as the node closes its connection unread: it does that while it
/// runs late, as it may on a busy machine.
fn read_by(send: impl Fn() -> Result<Whole>) -> Whole {
    loop {
        match send() {
            Err(error) if error.to_string().starts_with("client error (SendRequest)") => {
                std::thread::sleep(Duration::from_millis(100));
            }
            response => return response.unwrap(),
        }
    }
}

/// Guards against a node whose memory grows with all that its callers do not read, against callers that suffer from
/// others, and against lost or repeated events.
#[test]
fn memory_is_bounded_while_hundreds_do_not_read() {
    let mut fleet = new_fleet((0..6).map(engine).collect());
    let (node, _) = start_node(&mut fleet, MEMORY_MB);
    let before = process_kb(&fleet.nodes[node], "VmRSS");
    let (whole, stop) = (body(EVENTS, EVENT_BYTES), AtomicBool::new(false));
    std::thread::scope(|scope| {
        let stopping = Stop(&stop);
        let (fleet, stop) = (&fleet, &stop);
        let read = move |n: usize| {
            let mut caller = ask(&fleet.nodes[node], &format!("{n:x}"));
            caller.trickle(stop)?;
            caller.rest()
        };
        let readers: Vec<_> = (0..SLOW_CALLERS).map(|n| scope.spawn(move || read(n))).collect();
        wait("all streams run", || {
            fleet.engines.iter().map(|e| e.record().runs.len()).sum::<usize>() >= SLOW_CALLERS
        });
        let others = (0..OTHER_CALLERS).map(|n| {
            scope.spawn(move || {
                let node = &fleet.nodes[node];
                let call = read_by(|| node.plain("/look/", &format!("call-{n}")));
                assert_eq!(call.status, StatusCode::OK);
                read_by(|| node.stream_of_new_session("/ask/", &format!("s-{n}"), "m")).body
            })
        });
        for other in others.collect::<Vec<_>>() {
            assert!(other.join().unwrap() == whole, "another caller's stream");
        }
        let peak = process_kb(&fleet.nodes[node], "VmHWM");
        let held = metric(&fleet.nodes[node], "hgw_held_bytes");
        assert!(held.unwrap() < MAX_GROWTH_KB as f64 * 1024.0, "{held:?} bytes are held");
        assert!(peak - before < MAX_GROWTH_KB, "{before} kB before, {peak} kB at the most");
        drop(stopping);
        for reader in readers {
            assert!(reader.join().unwrap().unwrap() == whole, "a stream is not as it was sent");
        }
        wait("nothing is held", || metric(&fleet.nodes[node], "hgw_held_bytes") == Some(0.0));
    });
}

/// How long a caller reads nothing: longer than a caller that acknowledges nothing is served.
const UNREAD: Duration = Duration::from_secs(8);

/// Guards against callers that are taken for dead since they read nothing for some seconds, although their kernels
/// acknowledge every probe.
#[test]
fn caller_that_reads_nothing_for_seconds_gets_its_whole_stream() {
    let mut fleet = new_fleet(vec![engine(1)]);
    let (node, _) = start_node(&mut fleet, MEMORY_MB);
    let mut caller = ask(&fleet.nodes[node], "1");
    caller.read_until("piece 1").unwrap();
    std::thread::sleep(UNREAD);
    assert!(caller.rest().unwrap() == body(EVENTS, EVENT_BYTES), "a stream is not as it was sent");
    assert_eq!(fleet.runs("1"), 1);
}

/// What a caller does until its machine loses power.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Until {
    /// It waits for a response.
    Waiting,
    /// It reads what comes.
    Reading,
    /// It reads nothing, so that its window is closed.
    Unread,
}

fn engine_is_left_by_a_caller_that_lost_power(until: Until) {
    let reading =
        if until == Until::Waiting { Duration::from_secs(60) } else { Duration::default() };
    let endless = EngineSettings { events: 100_000, reading, ..engine(1) };
    let mut fleet = new_fleet(vec![endless]);
    let (node, _) = start_node(&mut fleet, MEMORY_MB);
    let mut caller = ask(&fleet.nodes[node], "1");
    wait("the engine works", || fleet.runs("1") == 1);
    match until {
        Until::Waiting => {}
        Until::Reading => caller.read_until("piece 40").unwrap(),
        Until::Unread => std::thread::sleep(Duration::from_secs(2)),
    }
    caller.fall_silent().unwrap();
    wait("the caller counts as gone", || callers_that_left(&fleet.nodes[node]) == 1.0);
    wait("the request has ended", || {
        metric(&fleet.nodes[node], "hgw_requests_open") == Some(0.0)
            && metric(&fleet.nodes[node], "hgw_held_bytes") == Some(0.0)
    });
    // The stand-in does not notice a caller that leaves before the response.
    if until != Until::Waiting {
        wait("the engine has ended it", || fleet.engine("i-1").is_idle());
    }
}

/// Requests that ended since their callers were gone, not those that reached their deadlines.
fn callers_that_left(node: &Node) -> f64 {
    sum_of(node, "hgw_requests_total", "outcome=\"left\"").unwrap_or(0.0)
}

macro_rules! lost_power {
    ($($name:ident: $until:ident;)*) => {$(
        /// Guards against an engine that works until the deadline for a caller whose machine has lost power.
        #[test]
        fn $name() {
            engine_is_left_by_a_caller_that_lost_power(Until::$until);
        }
    )*};
}

lost_power! {
    engine_does_not_work_on_for_a_caller_that_lost_power_before_the_response: Waiting;
    engine_does_not_work_on_for_a_caller_that_lost_power_as_it_read: Reading;
    engine_does_not_work_on_for_a_caller_that_lost_power_unread: Unread;
}

/// Event of settings that have changed.
const SETTINGS_CHANGED: u64 = 1009;

/// Event of an engine whose health changed.
const ENGINE_JUDGED: u64 = 4007;

/// Guards against an engine that counts as failing since a caller did not read, and against a stream that is lost by
/// that.
#[test]
fn stream_that_was_cut_off_unread_goes_on_and_blames_nobody() {
    let limit = Some(Duration::from_millis(1_500));
    let large = EngineSettings {
        events: 400,
        event_bytes: 64 << 10,
        pause: Duration::ZERO,
        unread_limit: limit,
        ..engine(1)
    };
    let mut fleet = new_fleet(vec![large]);
    let (node, lines) = start_node(&mut fleet, 16);
    let mut caller = ask(&fleet.nodes[node], "1");
    caller.read_until("piece 1").unwrap();
    let retries_left = metric(&fleet.nodes[node], "hgw_second_tries_left").unwrap();
    wait("the engine cuts the stream off", || fleet.engine("i-1").record().cut_unread == 1);
    let response = caller.rest().expect("the stream goes on");
    assert!(response == body(400, 64 << 10), "events are missing or repeated");
    assert_eq!(fleet.runs("1"), 2);
    let left = metric(&fleet.nodes[node], "hgw_second_tries_left").unwrap();
    assert!(left > retries_left - 0.5, "{left} of {retries_left} retries are left");
    assert_eq!(fleet.lines(&lines, ENGINE_JUDGED), Vec::<Value>::new());
}

/// Guards against an engine that goes on working for a caller that has left, while the node reads ahead of it.
#[test]
fn engine_does_not_work_on_for_a_caller_that_has_left() {
    let endless = EngineSettings { events: 100_000, event_bytes: 16 << 10, ..engine(1) };
    let mut fleet = new_fleet(vec![endless]);
    let (node, _) = start_node(&mut fleet, MEMORY_MB);
    let mut caller = ask(&fleet.nodes[node], "1");
    caller.read_until("piece 1").unwrap();
    drop(caller);
    wait("the request has ended", || {
        metric(&fleet.nodes[node], "hgw_requests_open") == Some(0.0)
            && metric(&fleet.nodes[node], "hgw_held_bytes") == Some(0.0)
    });
    wait("the engine has ended it", || fleet.engine("i-1").is_idle());
}

/// Guards against a large body that is taken although the node has no memory for it, and against small calls that
/// suffer from that.
#[test]
fn call_without_memory_for_it_is_refused_unrun() {
    let mut fleet = new_fleet(Vec::new());
    let (node, _) = start_node(&mut fleet, 0);
    let headers = [("host", HOST), ("x-request-id", "large"), ("x-deadline-ms", "5000")];
    let send = |body: &[u8]| {
        let caller = Caller::new(fleet.nodes[node].callers).unwrap();
        caller.call(Method::POST, "/look/", &headers, body.to_vec()).unwrap()
    };
    let response = send(&[b'x'; 40 << 10]);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"), "{response:?}");
    assert_eq!(fleet.runs("large"), 0);
    assert_eq!(send(b"small").status, StatusCode::OK);
}
