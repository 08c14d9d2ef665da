//! What must hold for requests that go by way of another node.

use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, Node, configuration, holds, wait};
use hgw_standins::link::ProcessCut;
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;

use crate::new_fleet;

/// Time of a stream of a slow engine.
const STREAM: Duration = Duration::from_secs(2);

pub(crate) fn model_engine(id: &str) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(&[("m", &[])]), ..EngineSettings::default() }
}

fn slow_engine(id: &str) -> EngineSettings {
    EngineSettings { pause: STREAM / 20, ..model_engine(id) }
}

/// Starts nodes in these domains, of which the first `cut` reach no engine and know that.
pub(crate) fn start_cut(models: Vec<EngineSettings>, zones: &[&str], cut: usize) -> Fleet {
    let mut fleet = new_fleet(models);
    start_cut_nodes(&mut fleet, zones, cut);
    fleet
}

/// The same in this fleet.
pub(crate) fn start_cut_nodes(fleet: &mut Fleet, zones: &[&str], cut: usize) {
    let nodes: Vec<usize> = zones.iter().map(|zone| fleet.spawn(zone)).collect();
    for node in &nodes {
        wait("the node is ready", || fleet.nodes[*node].is_ready());
    }
    // The leader counts the nodes again in the first seconds.
    std::thread::sleep(Duration::from_secs(2));
    cut_off(fleet, &nodes[..cut]);
}

fn cut_off(fleet: &Fleet, nodes: &[usize]) {
    fleet.cut_from_engines(nodes, Some(ProcessCut::Reset));
    for node in nodes {
        let mut sent = 0;
        wait("the node knows that it reaches no engine", || {
            sent += 1;
            let _ = fleet.nodes[*node].plain("/look/", &format!("first-{node}-{sent}"));
            let _ = fleet.nodes[*node].stream("/ask/", &format!("first-s-{node}-{sent}"), "m");
            metric(&fleet.nodes[*node], "hgw_reaches_engines") == 0.0
        });
    }
}

/// Sum of a metric over its labels.
pub(crate) fn metric(node: &Node, name: &str) -> f64 {
    let metrics = Caller::new(node.metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let values = text.lines().filter(|line| line.starts_with(name));
    values.filter_map(|line| line.split_whitespace().next_back()?.parse::<f64>().ok()).sum()
}

fn whole_stream() -> String {
    (1..=20).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

/// Guards against a response that changes on its way over two nodes.
#[test]
fn response_to_a_forwarded_request_is_passed_on_unchanged() {
    let fleet = start_cut(vec![model_engine("i-1")], &["a", "b"], 1);
    let (cut, other) = (&fleet.nodes[0], &fleet.nodes[1]);
    let (direct, forwarded) =
        (other.plain("/print/", "c-1").unwrap(), cut.plain("/print/", "c-2").unwrap());
    assert_eq!(forwarded.status, StatusCode::OK);
    assert_eq!(forwarded.body, direct.body.replace("c-1", "c-2"));
    let names = |headers: &http::HeaderMap| {
        let mut names: Vec<String> = headers.keys().map(ToString::to_string).collect();
        names.sort();
        names
    };
    assert_eq!(names(&forwarded.headers), names(&direct.headers));
    assert_eq!(cut.stream("/once/", "s-1", "m").unwrap().body, whole_stream());
    for engine in ["desk-1", "desk-2"] {
        fleet.engine(engine).fail(1);
    }
    let failed = cut.plain("/print/", "c-3").unwrap();
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(failed.headers.contains_key("x-response-seal"));
}

/// Guards against an engine that works on for a caller that has left the first of two nodes.
#[test]
fn run_ends_when_the_caller_of_a_forwarded_request_leaves() {
    let fleet = start_cut(vec![slow_engine("i-1")], &["a", "b"], 1);
    let caller = Caller::new(fleet.nodes[0].callers).unwrap();
    let headers = [
        ("host", HOST),
        ("x-request-id", "s-1"),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-tokens", "100,120"),
    ];
    let mut events = caller.stream("/once/", &headers, &json!({})).unwrap();
    assert!(events.next_event().unwrap().is_some());
    drop((events, caller));
    wait("the forwarder has nothing to do", || metric(&fleet.nodes[1], "hgw_requests_open") == 0.0);
    let served = |node: usize, name| metric(&fleet.nodes[node], name);
    let (forwarded, for_peers) =
        (served(0, "hgw_forwarded_total"), served(1, "hgw_served_for_peers_total"));
    assert_eq!(forwarded, for_peers, "the run ended before the stream did");
    std::thread::sleep(STREAM);
    assert_eq!(served(1, "hgw_served_for_peers_total"), for_peers);
}

/// Guards against a planned stop that cuts what a node has taken for others, and against losing requests that
/// reach it meanwhile.
#[test]
fn forwarder_that_stops_completes_what_it_took() {
    let mut fleet = start_cut(vec![slow_engine("i-1")], &["a", "a", "b"], 1);
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = (0..8)
            .map(|n| scope.spawn(move || fleet.nodes[0].stream("/once/", &format!("s-{n}"), "m")))
            .collect();
        wait("all streams run", || (0..8).all(|n| fleet.runs(&format!("s-{n}")) == 1));
        fleet.nodes[1].signal(Signal::TERM);
        for n in 0..20 {
            let late = fleet.nodes[0].plain("/print/", &format!("late-{n}")).unwrap();
            assert_eq!(late.status, StatusCode::OK);
            std::thread::sleep(Duration::from_millis(20));
        }
        for stream in streams {
            assert_eq!(stream.join().unwrap().unwrap().body, whole_stream());
        }
    });
    wait("the process ends", || fleet.nodes[1].ended() == Some(true));
}

/// Guards against a second run of what may run once only, and against the loss of what may be repeated, when
/// the forwarder ends midway.
#[test]
fn request_whose_forwarder_is_killed_runs_once_or_goes_on_elsewhere() {
    let mut fleet = start_cut(vec![slow_engine("i-1"), slow_engine("i-2")], &["a", "a", "b"], 1);
    let names = |route: &str| (0..4).map(|n| format!("{route}-{n}")).collect::<Vec<_>>();
    let send = |fleet: &Fleet, route: &str| {
        let path = &format!("/{route}/");
        std::thread::scope(|scope| {
            let streams: Vec<_> = names(route)
                .into_iter()
                .map(|id| scope.spawn(move || fleet.nodes[0].stream(path, &id, "m")))
                .collect();
            streams.into_iter().map(|s| s.join().unwrap()).collect::<Vec<_>>()
        })
    };
    std::thread::scope(|scope| {
        let killed = &fleet.nodes[1];
        let pid = killed.pid();
        let fleet = &fleet;
        let asks = scope.spawn(move || send(fleet, "ask"));
        let onces = scope.spawn(move || send(fleet, "once"));
        wait("all streams run", || {
            names("ask").iter().chain(&names("once")).all(|id| fleet.runs(id) == 1)
        });
        std::thread::sleep(STREAM / 4);
        rustix::process::kill_process(pid, Signal::KILL).unwrap();
        for answer in asks.join().unwrap() {
            assert_eq!(answer.unwrap().body, whole_stream(), "goes on at another node");
        }
        for answer in onces.join().unwrap() {
            assert!(answer.is_err() || answer.is_ok_and(|a| a.body == whole_stream()));
        }
    });
    for id in names("once") {
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
    fleet.nodes[1].kill();
}

/// Guards against requests that are sent round all nodes, or held, where no node reaches an engine.
#[test]
fn request_that_no_node_can_serve_is_refused_unrun_with_a_time() {
    let fleet = start_cut(vec![model_engine("i-1")], &["a", "a", "b"], 3);
    for node in &fleet.nodes {
        for n in 0..10 {
            let id = format!("{}-{n}", node.name);
            let refused = node.plain("/print/", &id).unwrap();
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(refused.headers.contains_key("retry-after"));
            assert_eq!(fleet.runs(&id), 0);
        }
    }
    fleet.cut_from_engines(&[2], None);
    for node in &fleet.nodes {
        let mut sent = 0;
        wait("one node serves all", || {
            sent += 1;
            let answer = node.plain("/print/", &format!("again-{}-{sent}", node.name));
            answer.is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
}

/// Guards against a customer that pays at both nodes, and whose key reaches an engine.
#[test]
fn customer_is_charged_once_for_a_forwarded_request() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let mut config = configuration(2);
    config["tenants"] = json!([
        { "name": "bakery", "apiKeys": ["k-1"], "unit": "requests", "ratePerS": 20.0, "burst": 20.0 },
    ]);
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    let nodes = ["a", "b"].map(|zone| fleet.start(zone));
    std::thread::sleep(Duration::from_secs(2));
    fleet.cut_from_engines(&nodes[..1], Some(ProcessCut::Reset));
    let call = |id: &str, key: &str| {
        let key = format!("Token {key}");
        let headers = [("x-request-id", id), ("x-deadline-ms", "2000"), ("authorization", &*key)];
        fleet.nodes[nodes[0]].call(Method::POST, "/look/", &headers).map(|a| a.status)
    };
    let mut sent = 0;
    wait("requests are forwarded", || {
        sent += 1;
        std::thread::sleep(Duration::from_millis(100));
        call(&format!("first-{sent}"), "k-1") == Ok(StatusCode::OK)
            && metric(&fleet.nodes[nodes[0]], "hgw_forwarded_total") > 0.0
    });
    std::thread::sleep(Duration::from_secs(2));
    // Charged twice, half of these would be over the limit.
    let served = (0..30).filter(|n| {
        std::thread::sleep(Duration::from_millis(70));
        call(&format!("c-{n}"), "k-1") == Ok(StatusCode::OK)
    });
    assert_eq!(served.count(), 30);
    assert_eq!(call("c-x", "unknown"), Ok(StatusCode::UNAUTHORIZED));
    let records = ["desk-1", "desk-2"].map(|id| fleet.engine(id).record());
    assert_eq!(records.iter().map(|r| r.keys).sum::<u32>(), 0);
    assert_eq!(records.iter().find_map(|r| r.customers.get("c-7")).unwrap(), &["bakery"]);
}

/// Guards against a request that is denied, or sent to another service, as its forwarder has an older configuration than
/// the node that took it.
#[test]
fn forwarder_with_an_older_configuration_refuses_the_request_unrun() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let call = |version: u64, route: &str| {
        let forwarded = json!({
            "age_ms": 0, "service": "desk", "executions": 0, "rejected": 0, "tried_engines": [],
            "last_event": null, "catalog_version": version,
        });
        let forwarded = forwarded.to_string();
        let id = format!("c-{version}-{route}");
        let headers = [("host", HOST), ("x-request-id", &*id), ("hgw-forwarded", &*forwarded)];
        let peer = Caller::new(fleet.nodes[node].peers).unwrap();
        let answer = peer.call(Method::POST, &format!("/{route}/"), &headers, "body").unwrap();
        let outcome = answer.headers["hgw-forwarded"].to_str().unwrap();
        (answer.status, outcome.contains("\"may_run_elsewhere\":true"), fleet.runs(&id))
    };
    let version = configuration(1)["version"].as_u64().unwrap();
    assert_eq!(call(version, "look"), (StatusCode::OK, false, 1));
    for route in ["added", "look"] {
        assert_eq!(call(version + 1, route), (StatusCode::SERVICE_UNAVAILABLE, true, 0), "{route}");
    }
}

/// Guards against callers of the other node that see a configuration which that node has not in force, so that their next
/// requests go back.
#[test]
fn forwarder_with_a_newer_configuration_refuses_the_request_unrun_and_names_it() {
    let mut fleet = new_fleet(Vec::new());
    fleet.publish(&configuration(5));
    let node = fleet.start("a");
    let newest = configuration(5)["version"].as_u64().unwrap();
    let call = |has: u64, known: Option<u64>| {
        let mut forwarded = json!({
            "age_ms": 0, "service": "desk", "executions": 0, "rejected": 0, "tried_engines": [],
            "last_event": null, "catalog_version": has,
        });
        forwarded["known_catalog"] = known.into();
        let forwarded = forwarded.to_string();
        let id = format!("c-{has}-{known:?}");
        let headers = [("host", HOST), ("x-request-id", &*id), ("hgw-forwarded", &*forwarded)];
        let peer = Caller::new(fleet.nodes[node].peers).unwrap();
        let answer = peer.call(Method::POST, "/look/", &headers, "body").unwrap();
        let outcome = answer.headers["hgw-forwarded"].to_str().unwrap();
        let newer = format!("\"newer_catalog\":{newest}");
        (answer.status, outcome.contains(&newer), fleet.runs(&id))
    };
    assert_eq!(call(newest - 1, Some(newest - 1)), (StatusCode::SERVICE_UNAVAILABLE, true, 0));
    // The text cannot be used there, or the release does not take it.
    assert_eq!(call(newest - 1, Some(newest)), (StatusCode::OK, false, 1));
    assert_eq!(call(newest - 1, None), (StatusCode::OK, false, 1));
}

/// Guards against callers that mark their own requests as forwarded, which are not charged.
#[test]
fn caller_cannot_mark_a_request_as_forwarded() {
    let mut fleet = new_fleet(Vec::new());
    let mut config = configuration(2);
    config["tenants"] = json!([
        { "name": "bakery", "apiKeys": ["k-1"], "unit": "requests", "ratePerS": 2.0, "burst": 2.0 },
    ]);
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    let node = fleet.start("a");
    let forged = json!({
        "age_ms": 0, "service": "desk", "executions": 0, "rejected": 0, "tried_engines": [],
        "last_event": null,
    });
    let forged = forged.to_string();
    let call = |n: u32| {
        let id = format!("c-{n}");
        let headers =
            [("x-request-id", &*id), ("authorization", "Token k-1"), ("hgw-forwarded", &*forged)];
        fleet.nodes[node].call(Method::POST, "/look/", &headers).map(|a| a.status)
    };
    let over_limit = (0..60).filter(|n| call(*n) == Ok(StatusCode::TOO_MANY_REQUESTS));
    assert!(over_limit.count() > 30);
}

/// Guards against a leader whose orders reach no engine while it keeps the lease.
#[test]
fn leader_that_reaches_no_engine_makes_way_for_one_that_does() {
    let fleet = start_cut(vec![model_engine("i-1"), model_engine("i-2")], &["a", "b", "b"], 0);
    let leader = (0..3).find(|n| metric(&fleet.nodes[*n], "hgw_keeper") == 1.0).unwrap();
    cut_off(&fleet, &[leader]);
    wait("another node leads", || {
        (0..3).any(|n| n != leader && metric(&fleet.nodes[n], "hgw_keeper") == 1.0)
    });
    assert_eq!(metric(&fleet.nodes[leader], "hgw_keeper"), 0.0);
    let mut sent = 0;
    wait("what is loaded nowhere is placed", || {
        sent += 1;
        let answer = fleet.nodes[leader].stream("/ask/", &format!("s-{sent}"), "m/a1");
        answer.is_ok_and(|a| a.status == StatusCode::OK)
    });
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(metric(&fleet.nodes[leader], "hgw_keeper"), 0.0, "it does not claim again");
}

/// Guards against a domain whose hub is cut off as well: its nodes know no other domain's, and the hub would
/// tell them that no engine is reached.
#[test]
fn domain_behind_a_cut_hub_is_served_by_other_domains() {
    const EACH: usize = 7;
    let zones: Vec<&str> = [["a"; EACH], ["b"; EACH]].concat();
    let models = ["i-1", "i-2", "i-3"].map(model_engine).to_vec();
    let fleet = start_cut(models, &zones, 0);
    let cut: Vec<usize> = (0..EACH).collect();
    cut_off(&fleet, &cut);
    for node in &cut {
        let mut sent = 0;
        wait("the node has found others", || {
            sent += 1;
            let answer = fleet.nodes[*node].plain("/print/", &format!("found-{node}-{sent}"));
            answer.is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
    for (node, n) in cut.iter().flat_map(|node| (0..10).map(|n| (*node, n))) {
        let call = fleet.nodes[node].plain("/print/", &format!("c-{node}-{n}")).unwrap();
        assert_eq!(call.status, StatusCode::OK);
        let stream = fleet.nodes[node].stream("/once/", &format!("s-{node}-{n}"), "m").unwrap();
        assert_eq!(stream.body, whole_stream());
    }
    let shares: Vec<f64> = (EACH..2 * EACH)
        .map(|node| metric(&fleet.nodes[node], "hgw_served_for_peers_total"))
        .collect();
    let sum: f64 = shares.iter().sum();
    assert!(shares.iter().all(|share| *share < 0.6 * sum), "{shares:?}");
    // The others were told of no unreachable engine.
    for (node, n) in (EACH..2 * EACH).flat_map(|node| (0..3).map(move |n| (node, n))) {
        let call = fleet.nodes[node].plain("/print/", &format!("o-{node}-{n}")).unwrap();
        assert_eq!(call.status, StatusCode::OK);
    }
}

seeds! {
    play_faults, faults_that_were_asked_for, "While nodes lose their paths to engines and get them back, and are stopped, paused and killed, nothing that may run once runs twice, what is refused has not run, and answers are whole.";
    paths_come_and_go_1: 1;
    paths_come_and_go_2: 2;
}

fn play_faults(seed: u64) {
    const FAULTS: usize = 9;
    const NODES: usize = 4;
    let mut rng = StdRng::seed_from_u64(seed);
    let models = ["i-1", "i-2", "i-3"].map(model_engine).to_vec();
    let mut fleet = new_fleet(models);
    let mut nodes: Vec<usize> = (0..NODES).map(|n| fleet.start(["a", "b"][n % 2])).collect();
    let mut history = vec![format!("seed {seed}")];
    for fault in 0..FAULTS {
        let index = rng.random_range(0..NODES);
        let node = nodes[index];
        let kind = rng.random_range(0..8);
        history.push(format!("{kind} at {node}"));
        let cuts = [ProcessCut::Silent, ProcessCut::Reset, ProcessCut::NewReset];
        match kind {
            0..=2 => fleet.cut_from_engines(&[node], Some(cuts[kind])),
            3 | 4 => fleet.cut_from_engines(&nodes, None),
            5 => {
                fleet.nodes[node].signal(Signal::TERM);
                nodes[index] = fleet.start("a");
            }
            6 => {
                fleet.nodes[node].kill();
                nodes[index] = fleet.start("b");
            }
            _ => {
                fleet.nodes[node].signal(Signal::STOP);
                std::thread::sleep(Duration::from_millis(rng.random_range(300..1_500)));
                fleet.nodes[node].signal(Signal::CONT);
            }
        }
        let round = Duration::from_millis(rng.random_range(200..1_500));
        send_round(&fleet, &nodes, fault, round, &history);
    }
    fleet.cut_from_engines(&nodes, None);
    for node in &nodes {
        let mut sent = 0;
        wait(&format!("all is served again, {history:?}"), || {
            sent += 1;
            let id = format!("last-{node}-{sent}");
            fleet.nodes[*node].plain("/print/", &id).is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
    for engine in &fleet.engines {
        for id in engine.record().runs.keys() {
            let is_once = id.starts_with("print") || id.starts_with("once");
            assert!(!is_once || fleet.runs(id) == 1, "{id} ran twice, {history:?}");
        }
    }
}

/// Sends requests of all routes through all nodes for so long, and checks each answer.
fn send_round(fleet: &Fleet, nodes: &[usize], fault: usize, time: Duration, history: &[String]) {
    let until = std::time::Instant::now() + time;
    std::thread::scope(|scope| {
        for (node, route) in
            nodes.iter().flat_map(|n| ["look", "print", "ask", "once"].map(|route| (*n, route)))
        {
            scope.spawn(move || {
                let mut n = 0;
                while std::time::Instant::now() < until {
                    n += 1;
                    let id = format!("{route}-{node}-{fault}-{n}");
                    let (node, path) = (&fleet.nodes[node], format!("/{route}/"));
                    let is_stream = matches!(route, "ask" | "once");
                    let answer = if is_stream {
                        node.stream(&path, &id, "m")
                    } else {
                        node.plain(&path, &id)
                    };
                    let Ok(answer) = answer else { continue };
                    if answer.status == StatusCode::OK {
                        let is_whole = !is_stream || answer.body == whole_stream();
                        assert!(is_whole, "{id} is not whole, {history:?}");
                        assert_eq!(answer.headers["x-request-id"], *id, "{history:?}");
                    } else if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                        assert_eq!(fleet.runs(&id), 0, "{id} was refused and ran, {history:?}");
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
            });
        }
    });
}
