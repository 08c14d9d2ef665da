//! Engines in need that name how many requests they take from all nodes together.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hgw_direct::StartTime;
use hgw_direct::in_flight::EngineKey;
use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, Node, holds, wait};
use hgw_standins::link::Condition;
use hgw_standins::{Faults, StreamFault};
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;

use crate::{Stop, new_fleet};

fn model_engine(id: &str) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(&[("m", &[])]), ..EngineSettings::default() }
}

fn stream(fleet: &Fleet, node: usize, id: &str) -> StatusCode {
    fleet.nodes[node].stream("/ask/", id, "m").map_or(StatusCode::BAD_GATEWAY, |a| a.status)
}

/// What engines say of their limits must be found in the lines, once for each change.
#[test]
fn limit_of_an_engine_is_logged_when_it_changes() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let (node, lines) = fleet.start_logged("a");
    let mut sent = 0;
    for (text, logged) in [(Some("50"), "50"), (None, "none")] {
        fleet.engine("i-1").limit(text);
        wait("the change is logged", || {
            sent += 1;
            stream(&fleet, node, &format!("s-{sent}"));
            fleet.lines(&lines, 4012).last().is_some_and(|line| line["limit"] == logged)
        });
    }
    let changes = fleet.lines(&lines, 4012);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(changes[0]["upstream"], "i-1");
}

/// A limit that cannot be parsed must be logged once, change nothing, and end no process.
#[test]
fn limit_that_cannot_be_parsed_changes_nothing() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let (node, lines) = fleet.start_logged("a");
    let digits = "9".repeat(100);
    for (n, text) in ["-1", "NaN", "inf", "", "1|2", &digits].into_iter().enumerate() {
        fleet.engine("i-1").limit(Some(text));
        assert_eq!(stream(&fleet, node, &format!("s-{n}")), StatusCode::OK);
    }
    wait("the first is logged", || !fleet.lines(&lines, 4013).is_empty());
    assert_eq!(fleet.lines(&lines, 4013).len(), 1);
    assert!(fleet.lines(&lines, 4012).is_empty());
}

/// Rate that the limited engine names, in requests per second.
const LIMIT: f64 = 2.0;

/// Time after which the limit must hold, and the window and slack within which it is counted.
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 0.5;
const SLACK: f64 = 5.0;

fn max_allowed() -> usize {
    (LIMIT * WINDOW.as_secs_f64() * (1.0 + TOLERANCE) + SLACK) as usize
}

/// The highest number of arrivals within one window that ends at `from` or later.
fn max_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let within =
        |last: Instant| arrivals.iter().filter(move |at| **at <= last && **at + WINDOW > last);
    let ends = arrivals.iter().filter(|at| **at >= from);
    ends.map(|last| within(*last).count()).max().unwrap_or(0)
}

/// Sends streams through each of these nodes, one at a time per node, while `play` runs. Returns how many
/// were not served.
fn while_streaming(fleet: &Fleet, nodes: &[usize], name: &str, play: impl FnOnce()) -> usize {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let send = |node: usize| {
            let stop = &stop;
            scope.spawn(move || {
                let mut not_served = 0;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("{name}-{node}-{n}");
                    not_served += usize::from(stream(fleet, node, &id) != StatusCode::OK);
                }
                not_served
            })
        };
        let callers: Vec<_> = nodes.iter().map(|node| send(*node)).collect();
        let stopping = Stop(&stop);
        play();
        drop(stopping);
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    })
}

/// The limit that an engine in need names counts over all nodes: each of them would keep it by itself, and
/// the engine would get as many times as much as there are nodes.
#[test]
fn engine_in_need_gets_no_more_than_it_takes_from_all_nodes() {
    let mut fleet = new_fleet(["i-1", "i-2", "i-3", "i-4"].map(model_engine).to_vec());
    let nodes: Vec<usize> = ["a", "b", "b"].map(|zone| fleet.start(zone)).to_vec();
    let fleet = fleet;
    let engine = fleet.engine("i-1");
    let not_served = while_streaming(&fleet, &nodes, "s", || {
        std::thread::sleep(Duration::from_secs(2));
        engine.limit(Some(&LIMIT.to_string()));
        let named_at = Instant::now();
        std::thread::sleep(Duration::from_secs(9));
        wait("the engine goes on getting what it takes", || {
            let late = engine.arrivals().into_iter().filter(|at| *at > named_at + IN_FORCE_AFTER);
            late.count() as f64 >= 4.0 * LIMIT
        });
        let most = max_in_window(&engine.arrivals(), named_at + IN_FORCE_AFTER);
        assert!(most <= max_allowed(), "{most} of {}", max_allowed());
        engine.limit(None);
        wait("the engine gets more than it named again", || {
            let from = Instant::now() - Duration::from_secs(2);
            engine.arrivals().iter().filter(|at| **at > from).count() as f64 > 2.0 * LIMIT * 2.0
        });
    });
    assert_eq!(not_served, 0, "the other engines have room for all");
}

/// Engines of which a node knows that they have a limit.
fn known_limits(node: &Node) -> f64 {
    let metrics = Caller::new(node.metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let line = text.lines().find(|line| line.starts_with("hgw_limited_engines "));
    line.and_then(|line| line.split_whitespace().next_back()?.parse().ok()).unwrap_or(0.0)
}

/// With a hub, and too many nodes for datagrams, limits and allowances come with polls and through the hub:
/// each node must know the limit, whether or not it sends to the engine, and the sum must stay within it.
#[test]
fn limit_holds_for_nodes_behind_a_hub() {
    let mut fleet = new_fleet(["i-1", "i-2", "i-3", "i-4"].map(model_engine).to_vec());
    let nodes: Vec<usize> = (0..14).map(|_| fleet.spawn("a")).collect();
    for node in &nodes {
        wait("the node is ready", || fleet.nodes[*node].is_ready());
    }
    // The leader counts the nodes again in the first seconds; from then on nodes with a hub poll the hub.
    std::thread::sleep(Duration::from_secs(3));
    let engine = fleet.engine("i-1");
    engine.limit(Some(&LIMIT.to_string()));
    while_streaming(&fleet, &nodes[4..8], "s", || {
        wait("the limit is named", || !engine.arrivals().is_empty());
        let named_at = Instant::now();
        for node in &fleet.nodes {
            wait("the node knows the limit", || known_limits(node) == 1.0);
        }
        wait("the engine gets what it takes", || {
            let late = engine.arrivals().into_iter().filter(|at| *at > named_at + IN_FORCE_AFTER);
            late.count() as f64 >= 4.0 * LIMIT
        });
        let most = max_in_window(&engine.arrivals(), named_at + IN_FORCE_AFTER);
        assert!(most <= max_allowed(), "{most} of {}", max_allowed());
        engine.limit(None);
        for node in &fleet.nodes {
            wait("the node knows that the limit has ended", || known_limits(node) == 0.0);
        }
    });
}

/// Where all engines that have the model get what they take, callers must hear at once when to come back,
/// and the lines must say which limit decided.
#[test]
fn caller_is_refused_at_once_where_all_engines_are_at_their_limits() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let (node, lines) = fleet.start_logged("a");
    fleet.engine("i-1").limit(Some("1"));
    wait("the limit is known", || {
        stream(&fleet, node, "first");
        !fleet.lines(&lines, 4012).is_empty()
    });
    let mut sent = 0;
    wait("a request is refused", || {
        sent += 1;
        let answer = fleet.nodes[node].stream("/ask/", &format!("s-{sent}"), "m").unwrap();
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(is_refused || answer.status == StatusCode::OK);
        assert_eq!(is_refused, answer.headers.contains_key("retry-after"));
        is_refused
    });
    wait("it is logged", || {
        let refused = fleet.lines(&lines, 5005);
        refused.iter().any(|line| line["why"] == "engines at their limits")
    });
    wait("the engine is still asked", || {
        sent += 1;
        std::thread::sleep(Duration::from_millis(100));
        stream(&fleet, node, &format!("s-{sent}")) == StatusCode::OK
    });
}

/// Streams that are resumed, requests that are sent again after a failure or a rejection, and rejections
/// that name the limit themselves must count like all others.
#[test]
fn retries_and_resumed_streams_keep_to_the_limit() {
    let mut fleet = new_fleet(["i-1", "i-2"].map(model_engine).to_vec());
    let nodes = ["a", "b"].map(|zone| fleet.start(zone)).to_vec();
    let fleet = fleet;
    let (limited, failing) = (fleet.engine("i-1"), fleet.engine("i-2"));
    limited.refuse(1);
    limited.limit(Some(&LIMIT.to_string()));
    wait("the limit is named", || {
        stream(&fleet, nodes[0], "first");
        !limited.arrivals().is_empty()
    });
    let named_at = Instant::now();
    let breaks = StreamFault { after_tokens: 3, streams: 1_000 };
    failing.fault(&Faults { fail_streams: breaks, ..Faults::default() });
    while_streaming(&fleet, &nodes, "s", || {
        wait("the engine gets what it takes", || {
            let late = limited.arrivals().into_iter().filter(|at| *at > named_at + IN_FORCE_AFTER);
            late.count() as f64 >= 4.0 * LIMIT
        });
    });
    let most = max_in_window(&limited.arrivals(), named_at + IN_FORCE_AFTER);
    assert!(most <= max_allowed(), "{most} of {}", max_allowed());
}

/// An engine that has started again under its identity takes as much as any other.
#[test]
fn limit_ends_when_the_engine_starts_anew() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let (node, lines) = fleet.start_logged("a");
    let engine = fleet.engine("i-1");
    engine.limit(Some("0"));
    wait("the limit is known", || {
        stream(&fleet, node, "first");
        !fleet.lines(&lines, 4012).is_empty()
    });
    wait("requests are refused", || stream(&fleet, node, "s") == StatusCode::SERVICE_UNAVAILABLE);
    engine.start_anew();
    engine.hold(holds(&[("m", &[])]));
    fleet.list(engine, "ready");
    wait("requests are served", || {
        (0..8).all(|n| stream(&fleet, node, &format!("t-{n}")) == StatusCode::OK)
    });
}

/// Anyone on the network can send a datagram; only other nodes may say that an engine has a limit, or a
/// stranger could have all engines used by nobody.
#[test]
fn stranger_cannot_limit_an_engine() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let (node, lines) = fleet.start_logged("a");
    let born = fleet.engine("i-1").entry("ready")["born"].as_u64();
    let key = EngineKey::of(&"i-1".into(), StartTime(born));
    let word = json!({ "EngineLimit": { "engine": key, "limit": 0.0, "age_ms": 0 } });
    let mut bytes = Vec::new();
    ciborium::into_writer(&word, &mut bytes).unwrap();
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..5 {
        socket.send_to(&bytes, fleet.nodes[node].peers).unwrap();
    }
    std::thread::sleep(Duration::from_millis(500));
    for n in 0..10 {
        assert_eq!(stream(&fleet, node, &format!("s-{n}")), StatusCode::OK);
    }
    assert!(fleet.lines(&lines, 4012).is_empty());
}

seeds! {
    play_faults, faults_that_were_asked_for, "While nodes are killed, paused and cut off from the store, and the store is restored, the engine gets no more than it takes, restarted nodes included.";
    limit_holds_through_faults_1: 1;
    limit_holds_through_faults_2: 2;
}

fn play_faults(seed: u64) {
    const FAULTS: usize = 9;
    const NODES: usize = 4;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = new_fleet(["i-1", "i-2", "i-3"].map(model_engine).to_vec());
    let backup = fleet.store.backup();
    let mut nodes: Vec<usize> = (0..NODES).map(|n| fleet.start(["a", "b"][n % 2])).collect();
    let mut history = vec![format!("seed {seed}")];
    fleet.engine("i-1").limit(Some(&LIMIT.to_string()));
    while_streaming(&fleet, &nodes, "first", || {
        wait("the limit is named", || !fleet.engine("i-1").arrivals().is_empty());
    });
    let named_at = Instant::now();
    for fault in 0..FAULTS {
        let index = rng.random_range(0..NODES);
        let node = nodes[index];
        let mut paused = None;
        let kind = rng.random_range(0..5);
        history.push(format!("{kind} at {node}"));
        match kind {
            0 => {
                fleet.nodes[node].kill();
                nodes[index] = fleet.start("a");
            }
            1 => {
                fleet.nodes[node].signal(Signal::STOP);
                paused = Some(node);
            }
            2 => fleet.nodes[node].to_store.set(Condition::Cut),
            3 => fleet.nodes[node].to_store.set(Condition::Open),
            _ => {
                fleet.store.come_back(&backup);
                fleet.list_all();
            }
        }
        let running: Vec<usize> = nodes.iter().copied().filter(|n| Some(*n) != paused).collect();
        let pause = Duration::from_millis(rng.random_range(300..1_800));
        while_streaming(&fleet, &running, &format!("f-{fault}"), || std::thread::sleep(pause));
        if paused.is_some() {
            fleet.nodes[node].signal(Signal::CONT);
        }
    }
    let most = max_in_window(&fleet.engine("i-1").arrivals(), named_at + IN_FORCE_AFTER);
    assert!(most <= max_allowed(), "{most} of {}, {history:?}", max_allowed());
}
