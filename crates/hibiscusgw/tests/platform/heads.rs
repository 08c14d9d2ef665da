//! Domains with so many nodes that one of them passes on to the others.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use hgw_direct::hubs::{Member, candidates};
use hgw_standins::Faults;
use hgw_standins::client::Caller;
use hgw_standins::fleet::deployment::{HOST, Node, configuration, holds, wait};
use hgw_standins::fleet::{EngineSettings, Fleet};
use http::{Method, StatusCode};

use crate::{fleet_of, long_prompt};

/// An engine that reads each prompt for so long that the next request comes meanwhile.
fn reads(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        reading: Duration::from_millis(400),
        ..EngineSettings::default()
    }
}

/// So many nodes of one domain, which all take callers and know their head.
fn domain_of(nodes: usize) -> Fleet {
    let mut fleet = fleet_of(["i-3", "i-4"].map(reads).to_vec());
    let nodes: Vec<usize> = (0..nodes).map(|_| fleet.spawn("a")).collect();
    for node in nodes {
        wait("the node is ready", || fleet.nodes[node].is_ready());
    }
    // The keeper counts the nodes anew in the first seconds; those that have a head ask it from then on.
    std::thread::sleep(Duration::from_secs(3));
    fleet
}

/// The nodes of the domain that may pass on, the first first.
fn heads(fleet: &Fleet) -> Vec<usize> {
    let member = |n: &Node| Member {
        node: n.name.clone(),
        addr: n.peers,
        domain: "a".into(),
        cpu_share: 1.0,
    };
    let members: Vec<Member> = fleet.nodes.iter().map(member).collect();
    let found = candidates(&members, "a").into_iter();
    found.filter_map(|head| fleet.nodes.iter().position(|n| n.name == head.node)).collect()
}

/// Calls that the store has been asked for since it was last looked at, a second.
fn calls_a_second(fleet: &Fleet, during: Duration) -> f64 {
    let calls = || fleet.store.calls().values().sum::<u64>();
    let (before, began) = (calls(), Instant::now());
    std::thread::sleep(during);
    (calls() - before) as f64 / began.elapsed().as_secs_f64()
}

/// The store refuses every call for some seconds. Each of twelve nodes called three times in every half second, 80 calls
/// a second; the keeper and the head alone make some ten.
#[test]
fn store_that_refuses_is_called_by_few() {
    let fleet = domain_of(12);
    fleet.store.fault(&Faults { refuse: true, ..Faults::default() });
    // Every node finds out once that nobody tells it anything any more.
    std::thread::sleep(Duration::from_secs(3));
    let calls = calls_a_second(&fleet, Duration::from_secs(4));
    assert!(calls < 30.0, "{calls} calls a second");
    fleet.store.fault(&Faults::default());
    fleet.store.put("keyed.op", "config", changed().to_string().as_bytes());
    for node in &fleet.nodes {
        wait("the new route is served", || {
            node.plain("/new/", "call-1").is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
}

/// A configuration with one more route.
fn changed() -> serde_json::Value {
    let mut config = configuration(2);
    let mut route = config["routes"][0].clone();
    route["name"] = "new".into();
    route["prefix"] = "/new/".into();
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

/// Both nodes of a domain that would pass on are killed at once, and an engine begins to leave. The others must hear of
/// it all the same: work that they sent there would be cut.
#[test]
fn nodes_hear_of_a_leaving_engine_after_their_heads_have_ended() {
    let mut fleet = domain_of(8);
    let heads = heads(&fleet);
    for node in &heads[..2] {
        fleet.nodes[*node].kill();
    }
    fleet.list(fleet.engine("desk-1"), "draining");
    let left: Vec<usize> = (0..8).filter(|node| !heads[..2].contains(node)).collect();
    for node in left {
        wait("calls go to the other engine alone", || {
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

/// With fourteen nodes nobody tells all others of each request. Two callers of one session come to two of them within a
/// fifth of a second; the second node would send to the engine that keeps the session's prompt, and the request would
/// wait there for the first while another engine is idle. The sums that the head tells show it.
#[test]
fn node_passes_over_an_engine_that_others_are_known_to_use() {
    let fleet = domain_of(14);
    let others: Vec<usize> = (0..14).filter(|node| !heads(&fleet).contains(node)).collect();
    for (tries, pair) in others.chunks_exact(2).enumerate() {
        let ids = [format!("s-{tries}"), format!("t-{tries}")];
        std::thread::scope(|scope| {
            let fleet = &fleet;
            let first = scope.spawn(|| long_prompt(fleet, pair[0], &ids[0]));
            wait("the first is sent", || fleet.runs(&ids[0]) == 1);
            std::thread::sleep(Duration::from_millis(200));
            assert_eq!(long_prompt(fleet, pair[1], &ids[1]), StatusCode::OK);
            assert_eq!(first.join().unwrap(), StatusCode::OK);
        });
    }
    let at = |id: String| {
        let ran = |e: &&str| fleet.engine(e).record().runs.contains_key(&id);
        ["i-3", "i-4"].into_iter().find(ran).unwrap()
    };
    let pairs = 0..others.len() / 2;
    let parted = pairs.clone().filter(|n| at(format!("s-{n}")) != at(format!("t-{n}"))).count();
    assert_eq!(parted, pairs.len());
}

/// Tries of a node that found no connection.
fn unreached(node: &Node) -> f64 {
    let metrics = Caller::new(node.metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let mut lines = text.lines().filter(|l| l.starts_with("hgw_tries_failed_total"));
    let line = lines.rfind(|l| l.contains("no connection"));
    line.and_then(|l| l.split_whitespace().next_back()?.parse().ok()).unwrap_or(0.0)
}

/// Sends calls to a node; gives whether all were answered.
fn calls(node: &Node, name: &str) -> bool {
    let call = |n| node.plain("/look/", &format!("{name}-{}-{n}", node.name));
    (0..8).all(|n| call(n).is_ok_and(|a| a.status == StatusCode::OK))
}

/// An engine's process is lost, and thirteen nodes send to it. The first finds no connection; on its word the others
/// leave the engine alone, and the head alone looks whether it is back.
#[test]
fn engine_that_one_node_cannot_reach_is_left_alone_by_all() {
    let fleet = domain_of(14);
    let others: Vec<&Node> =
        (0..14).filter(|n| !heads(&fleet).contains(n)).map(|n| &fleet.nodes[n]).collect();
    let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut entry = fleet.entry("desk-1", "ready");
    entry["id"] = "desk-3".into();
    entry["addr"] = addr.to_string().into();
    fleet.store.put("keyed.servers", "desk-3", entry.to_string().as_bytes());
    wait("the first node meets the lost engine", || {
        assert!(calls(others[0], "first"));
        unreached(others[0]) > 0.0
    });
    // A node may read of the engine after the first word on it; the head says it again.
    std::thread::sleep(Duration::from_secs(1));
    assert!(others[1..].iter().all(|node| calls(node, "other")));
    let tried = others[1..].iter().filter(|node| unreached(node) > 0.0).count();
    assert_eq!(tried, 0, "nodes that tried the lost engine");
    let back = TcpListener::bind(addr).unwrap();
    back.set_nonblocking(true).unwrap();
    let (mut met, mut calls) = (Vec::new(), Vec::new());
    wait("the engine that is back is sent calls again", || {
        for node in &others {
            let mut call = TcpStream::connect(node.callers).unwrap();
            let text = "GET /look/ HTTP/1.1\r\nhost: HOST\r\nx-request-id: back\r\n\r\n";
            call.write_all(text.replace("HOST", HOST).as_bytes()).unwrap();
            // A caller that left would take its call with it.
            calls.push(call);
        }
        while let Ok((stream, _)) = back.accept() {
            stream.set_nonblocking(true).unwrap();
            met.push(stream);
        }
        met.iter_mut().any(|stream| stream.read(&mut [0; 64]).is_ok_and(|read| read > 0))
    });
}
