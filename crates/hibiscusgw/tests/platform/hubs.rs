//! Failure domains with so many nodes that one of them, the hub, forwards the leader's updates to the others.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use hgw_direct::broadcasts_sends;
use hgw_direct::hubs::{Member, candidates};
use hgw_standins::client::Caller;
use hgw_standins::fleet::deployment::{HOST, Node, configuration_with_route, holds, wait};
use hgw_standins::fleet::{EngineSettings, Fleet};
use hgw_standins::{Count, Faults, Late};
use http::{Method, StatusCode};

use crate::{new_fleet, send_long_prompt};

/// An engine whose prefill takes so long that the next request arrives meanwhile.
fn slow_prefill_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        reading: Duration::from_millis(400),
        ..EngineSettings::default()
    }
}

/// A metric of a node without labels; none if the node does not respond or has no such metric.
fn metric(node: &Node, name: &str) -> Option<f64> {
    let metrics = Caller::new(node.metrics).ok()?;
    let text = metrics.call(Method::GET, "/metrics", &[], "").ok()?.body;
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value?.parse().ok()
}

/// Whether all nodes but the leader poll the first hub candidate, that one polls the leader, and all know each other's
/// requests, if they exchange sums.
fn know_their_hub(fleet: &Fleet) -> bool {
    let nodes = fleet.nodes.len();
    let leader = fleet.nodes.iter().position(|node| metric(node, "hgw_keeper") == Some(1.0));
    let hub = hub_candidates(fleet).into_iter().find(|hub| Some(*hub) != leader);
    let polled_by = |node| match Some(node) {
        node if node == leader => 1,
        node if node == hub => nodes - 2,
        _ => 0,
    };
    let exchanges_sums = !broadcasts_sends(nodes as u32);
    fleet.nodes.iter().enumerate().all(|(n, node)| {
        metric(node, "hgw_polled_by") == Some(polled_by(n) as f64)
            && (!exchanges_sums || metric(node, "hgw_knows_loads") == Some(1.0))
    })
}

/// Starts `nodes` nodes of one domain, and waits until they are ready and know their hub.
fn start_domain(nodes: usize) -> Fleet {
    let mut fleet = new_fleet(["i-3", "i-4"].map(slow_prefill_engine).to_vec());
    let nodes: Vec<usize> = (0..nodes).map(|_| fleet.spawn("a")).collect();
    for node in nodes {
        wait("the node is ready", || fleet.nodes[node].is_ready());
    }
    // A leader that counted before all nodes were registered names other candidates, and counts again only seconds later.
    wait("all poll their hub", || know_their_hub(&fleet));
    fleet
}

/// The nodes of the domain that may be its hub, in order of preference.
fn hub_candidates(fleet: &Fleet) -> Vec<usize> {
    let member = |n: &Node| Member {
        node: n.name.clone(),
        addr: n.peers,
        domain: "a".into(),
        cpu_share: 1.0,
    };
    let members: Vec<Member> = fleet.nodes.iter().map(member).collect();
    let found = candidates(&members, "a").into_iter();
    found.filter_map(|hub| fleet.nodes.iter().position(|n| n.name == hub.node)).collect()
}

/// Calls to the store per second, measured over `during`.
fn store_calls_per_second(fleet: &Fleet, during: Duration) -> f64 {
    let calls = || fleet.store.calls().values().sum::<u64>();
    let (before, began) = (calls(), Instant::now());
    std::thread::sleep(during);
    (calls() - before) as f64 / began.elapsed().as_secs_f64()
}

/// While the store refuses every call, only the leader and the hub may retry; otherwise the load on the
/// store grows with the number of nodes.
#[test]
fn store_that_refuses_is_called_by_few() {
    let fleet = start_domain(12);
    fleet.store.fault(&Faults { refuse: true, ..Faults::default() });
    // Every node calls the store itself once, when the hub has no updates.
    std::thread::sleep(Duration::from_secs(3));
    let calls = store_calls_per_second(&fleet, Duration::from_secs(4));
    assert!(calls < 30.0, "{calls} calls a second");
    fleet.store.fault(&Faults::default());
    fleet.store.put(
        "keyed.op",
        "config",
        configuration_with_route(2, "new").to_string().as_bytes(),
    );
    for node in &fleet.nodes {
        wait("the new route is served", || {
            node.plain("/new/", "call-1").is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
}

/// Nodes must learn that an engine is draining even if both hubs of their domain are killed at once;
/// otherwise the engine cuts off the work that they send.
#[test]
fn nodes_learn_of_a_draining_engine_after_their_hubs_have_ended() {
    let mut fleet = start_domain(8);
    let hub_candidates = hub_candidates(&fleet);
    for node in &hub_candidates[..2] {
        fleet.nodes[*node].kill();
    }
    fleet.list(fleet.engine("desk-1"), "draining");
    let remaining: Vec<usize> = (0..8).filter(|node| !hub_candidates[..2].contains(node)).collect();
    for node in remaining {
        wait("calls go only to the other engine", || {
            let before = fleet.engine("desk-1").record().runs.len();
            for call in 0..10 {
                let id = format!("call-{node}-{before}-{call}");
                let served = fleet.nodes[node].plain("/look/", &id);
                assert!(served.is_ok_and(|a| a.status == StatusCode::OK));
            }
            fleet.engine("desk-1").record().runs.len() == before
        });
    }
}

/// In a large domain, nodes learn the load of engines only from the sums that the hub reports. Two requests
/// of one session through two nodes must not queue at the engine with the cached prompt while another
/// engine is idle.
#[test]
fn node_passes_over_an_engine_that_others_are_known_to_use() {
    let fleet = start_domain(14);
    let others: Vec<usize> =
        (0..14).filter(|node| !hub_candidates(&fleet).contains(node)).collect();
    for (round, pair) in others.chunks_exact(2).enumerate() {
        let ids = [format!("s-{round}"), format!("t-{round}")];
        std::thread::scope(|scope| {
            let fleet = &fleet;
            let first = scope.spawn(|| send_long_prompt(fleet, pair[0], &ids[0]));
            wait("the first is sent", || fleet.runs(&ids[0]) == 1);
            std::thread::sleep(Duration::from_millis(200));
            assert_eq!(send_long_prompt(fleet, pair[1], &ids[1]), StatusCode::OK);
            assert_eq!(first.join().unwrap(), StatusCode::OK);
        });
    }
    let at = |id: String| {
        let ran = |e: &&str| fleet.engine(e).record().runs.contains_key(&id);
        ["i-3", "i-4"].into_iter().find(ran).unwrap()
    };
    let pairs = 0..others.len() / 2;
    let separated = pairs.clone().filter(|n| at(format!("s-{n}")) != at(format!("t-{n}"))).count();
    assert_eq!(separated, pairs.len());
}

/// Attempts of a node that could not connect to an engine.
fn failed_connects(node: &Node) -> f64 {
    let metrics = Caller::new(node.metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let mut lines = text.lines().filter(|l| l.starts_with("hgw_tries_failed_total"));
    let line = lines.rfind(|l| l.contains("no connection"));
    line.and_then(|l| l.split_whitespace().next_back()?.parse().ok()).unwrap_or(0.0)
}

/// Sends calls to a node at the same time, so that it uses all engines: one after the other they would all go where it
/// has an idle connection. Returns whether all succeeded.
fn all_calls_succeed(node: &Node, name: &str) -> bool {
    let call = |n| node.plain("/look/", &format!("{name}-{}-{n}", node.name));
    let succeeds = move |n| call(n).is_ok_and(|a| a.status == StatusCode::OK);
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..8).map(|n| scope.spawn(move || succeeds(n))).collect();
        calls.into_iter().all(|call| call.join().unwrap())
    })
}

/// When one node reports an engine unreachable, the other nodes of the domain must stop using it without
/// trying it themselves, and the hub probes whether it is back.
#[test]
fn engine_that_one_node_cannot_reach_is_left_alone_by_all() {
    let fleet = start_domain(14);
    let others: Vec<&Node> =
        (0..14).filter(|n| !hub_candidates(&fleet).contains(n)).map(|n| &fleet.nodes[n]).collect();
    let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut entry = fleet.entry("desk-1", "ready");
    entry["id"] = "desk-3".into();
    entry["addr"] = addr.to_string().into();
    fleet.store.put("keyed.servers", "desk-3", entry.to_string().as_bytes());
    wait("the first node fails to connect to the lost engine", || {
        assert!(all_calls_succeed(others[0], "first"));
        failed_connects(others[0]) > 0.0
    });
    // A node may read the engine's entry after the first report about it; the hub repeats the report.
    std::thread::sleep(Duration::from_secs(1));
    assert!(others[1..].iter().all(|node| all_calls_succeed(node, "other")));
    let tried = others[1..].iter().filter(|node| failed_connects(node) > 0.0).count();
    assert_eq!(tried, 0, "nodes that tried the lost engine");
    let listener = TcpListener::bind(addr).unwrap();
    listener.set_nonblocking(true).unwrap();
    let (mut accepted, mut calls) = (Vec::new(), Vec::new());
    wait("the engine that is back is sent calls again", || {
        for node in &others {
            let mut call = TcpStream::connect(node.callers).unwrap();
            let text = "GET /look/ HTTP/1.1\r\nhost: HOST\r\nx-request-id: back\r\n\r\n";
            call.write_all(text.replace("HOST", HOST).as_bytes()).unwrap();
            // The connection is kept open: closing it would cancel the call.
            calls.push(call);
        }
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            accepted.push(stream);
        }
        accepted.iter_mut().any(|stream| stream.read(&mut [0; 64]).is_ok_and(|read| read > 0))
    });
}

/// Guards against a store that every node reads after a start of all: the list of engines is longer than one
/// message between nodes, and a node that starts must get it from another one all the same.
#[test]
fn long_list_comes_from_other_nodes_and_not_from_the_store() {
    const LISTED: usize = 900;
    for joining in [4, 8] {
        let mut fleet = new_fleet(vec![slow_prefill_engine("i-3")]);
        for number in 0..LISTED {
            let mut entry = fleet.entry("i-3", "ready");
            entry["service"] = "archive".into();
            let id = format!("far-{number}");
            fleet.store.put("keyed.servers", &id, entry.to_string().as_bytes());
        }
        fleet.start("a");
        let read_by_the_first = fleet.store.given("keyed.servers");
        let nodes: Vec<usize> = (0..joining).map(|_| fleet.spawn("a")).collect();
        for node in nodes {
            wait("the node is ready", || fleet.nodes[node].is_ready());
        }
        let read_by_others = fleet.store.given("keyed.servers") - read_by_the_first;
        assert!(read_by_others < LISTED as u64, "{read_by_others} entries by {joining} nodes");
    }
}

/// Guards against a store that every node reads after a start: a node that has not been told yet who leads
/// must not take it that nobody does, and read the list of engines by itself.
#[test]
fn node_that_does_not_know_yet_who_leads_reads_no_list() {
    let mut fleet = new_fleet(vec![slow_prefill_engine("i-3")]);
    fleet.start("a");
    wait("it is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let read_by_the_leader = fleet.store.given("keyed.servers");
    // The lease log is read late.
    let late = Late { ms: 250, requests: Count::default() };
    let faults =
        Faults { only: Some("log-read".into()), late_answers: Some(late), ..Faults::default() };
    fleet.store.fault(&faults);
    for _ in 0..3 {
        fleet.start("a");
    }
    assert_eq!(fleet.store.given("keyed.servers"), read_by_the_leader);
}
