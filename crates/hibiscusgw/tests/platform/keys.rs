//! Customers, their API keys, and the revocation of keys.

use std::time::{Duration, Instant};

use hgw_standins::Faults;
use hgw_standins::client::Whole;
use hgw_standins::fleet::deployment::{Node, configuration, holds, wait};
use hgw_standins::fleet::{EngineSettings, Fleet};
use hgw_standins::link::Condition;
use http::{Method, StatusCode};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::new_fleet;

/// A configuration with customers and one public route.
fn config_with_customers(version: u64, customers: &[(&str, &[&str])]) -> Value {
    let mut config = configuration(version);
    let one =
        |(name, keys): &(&str, &[&str])| json!({ "name": name, "apiKeys": keys, "priority": 1 });
    config["tenants"] = customers.iter().map(one).collect();
    let mut open = config["routes"][0].clone();
    open["name"] = "open".into();
    open["prefix"] = "/open/".into();
    open["public"] = true.into();
    config["routes"].as_array_mut().unwrap().push(open);
    config
}

fn put_config(fleet: &Fleet, config: &Value) {
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
}

fn fleet() -> Fleet {
    let engine = |id: &str| EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        ..EngineSettings::default()
    };
    let fleet = new_fleet(vec![engine("i-1"), engine("i-2")]);
    put_config(
        &fleet,
        &config_with_customers(2, &[("bakery", &["k-1", "k-2"]), ("mill", &["k-3"])]),
    );
    fleet
}

/// Sends a call with these values of `Authorization`.
fn call(node: &Node, path: &str, id: &str, authorization: &[&str]) -> Whole {
    let mut headers = vec![("x-request-id", id), ("x-deadline-ms", "5000"), ("x-tenant", "mill")];
    headers.extend(authorization.iter().map(|value| ("authorization", *value)));
    headers.push(("X-TENANT", "forged"));
    node.call(Method::POST, path, &headers).unwrap()
}

fn customers(fleet: &Fleet, id: &str) -> Vec<String> {
    fleet.engines.iter().find_map(|e| e.record().customers.get(id).cloned()).unwrap_or_default()
}

fn keys_at_engines(fleet: &Fleet) -> u32 {
    fleet.engines.iter().map(|e| e.record().keys).sum()
}

/// Engines must get the customer that the gateway authenticated, not one that the caller claims, and never
/// the key: on first attempts, retries and resumed streams.
#[test]
fn engine_is_told_the_customer_and_not_the_key() {
    let mut fleet = fleet();
    let node = fleet.start("a");
    let response = call(&fleet.nodes[node], "/look/", "call-1", &["Token k-2"]);
    assert_eq!(
        (response.status, customers(&fleet, "call-1")),
        (StatusCode::OK, vec!["bakery".into()])
    );
    for engine in ["desk-1", "desk-2"] {
        fleet.engine(engine).fail(1);
    }
    call(&fleet.nodes[node], "/look/", "call-2", &["token  k-3"]);
    assert_eq!((fleet.runs("call-2"), customers(&fleet, "call-2")), (2, vec!["mill".into()]));
    let breaks = hgw_standins::StreamFault { after_tokens: 7, streams: 1 };
    fleet.engine("i-1").fault(&Faults { fail_streams: breaks, ..Faults::default() });
    for n in 0..4 {
        let id = format!("stream-{n}");
        let headers = [
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "8000"),
            ("x-model", "m"),
            ("x-tokens", "100,120"),
            ("authorization", "Token k-1"),
        ];
        let response = fleet.nodes[node].call(Method::POST, "/ask/", &headers).unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(customers(&fleet, &id), ["bakery"]);
    }
    assert_eq!(keys_at_engines(&fleet), 0);
}

#[test]
fn request_without_a_valid_key_does_not_run() {
    let mut fleet = fleet();
    let node = fleet.start("a");
    let node = &fleet.nodes[node];
    let all: [&[&str]; 6] =
        [&[], &["Token k-9"], &["Bearer k-1"], &["k-1"], &["Token k-1", "Token k-1"], &["Token"]];
    for (n, authorization) in all.iter().enumerate() {
        let id = format!("stranger-{n}");
        let response = call(node, "/look/", &id, authorization);
        assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{authorization:?}");
        assert_eq!(response.headers["www-authenticate"], "Token");
        assert!(!response.body.contains("k-"), "{}", response.body);
        assert_eq!(fleet.runs(&id), 0);
    }
    assert_eq!(call(node, "/nowhere/", "call-1", &[]).status, StatusCode::NOT_FOUND);
}

/// A public route needs no key, but an unknown key is refused there as well, since it may be a revoked one.
#[test]
fn open_route_needs_no_key() {
    let mut fleet = fleet();
    let node = fleet.start("a");
    let node = &fleet.nodes[node];
    assert_eq!(call(node, "/open/", "open-1", &[]).status, StatusCode::OK);
    assert_eq!(customers(&fleet, "open-1"), Vec::<String>::new());
    assert_eq!(call(node, "/open/", "open-2", &["Token k-3"]).status, StatusCode::OK);
    assert_eq!(customers(&fleet, "open-2"), ["mill"]);
    assert_eq!(call(node, "/open/", "open-3", &["Token k-9"]).status, StatusCode::UNAUTHORIZED);
    assert_eq!(keys_at_engines(&fleet), 0);
}

/// Without customers in the configuration, `Authorization` is passed on to the engine.
#[test]
fn key_is_passed_on_where_no_customers_are_configured() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    assert_eq!(call(&fleet.nodes[node], "/look/", "call-1", &["Token k"]).status, StatusCode::OK);
    assert_eq!((keys_at_engines(&fleet), customers(&fleet, "call-1")), (1, Vec::new()));
}

/// A key moves to another customer, and a customer loses its last key.
#[test]
fn keys_follow_the_configuration() {
    let mut fleet = fleet();
    let node = fleet.start("a");
    put_config(&fleet, &config_with_customers(3, &[("bakery", &["k-3"]), ("mill", &[])]));
    wait("the revoked key is refused", || {
        call(&fleet.nodes[node], "/look/", "call-1", &["Token k-1"]).status
            == StatusCode::UNAUTHORIZED
    });
    call(&fleet.nodes[node], "/look/", "call-2", &["Token k-3"]);
    assert_eq!(customers(&fleet, "call-2"), ["bakery"]);
}

/// Checks that every call with this key is served for `time`.
fn assert_served_for(node: &Node, authorization: &str, time: Duration) {
    let until = Instant::now() + time;
    for n in 0.. {
        if Instant::now() >= until {
            return;
        }
        let response = call(node, "/look/", &format!("call-{n}"), &[authorization]);
        assert_eq!(response.status, StatusCode::OK, "call {n}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Makes these nodes enforce the time after which a revoked key must be refused.
fn enforce_revocation(fleet: &Fleet, nodes: &[usize]) {
    for node in nodes {
        fleet.nodes[*node].set("bounds.strictRevoke=false", "bounds.strictRevoke=true");
    }
    std::thread::sleep(Duration::from_millis(300));
}

/// A node that is cut off from the store and its peers cannot learn of a revocation, so it must refuse
/// requests with keys before the revocation time is over. It serves requests without a key on public
/// routes.
#[test]
fn node_that_cannot_show_the_newest_keys_refuses_those_who_show_one() {
    let mut fleet = fleet();
    let node = fleet.start("a");
    enforce_revocation(&fleet, &[node]);
    let node = &fleet.nodes[node];
    assert_eq!(call(node, "/look/", "call-1", &["Token k-1"]).status, StatusCode::OK);
    node.to_store.set(Condition::Cut);
    put_config(&fleet, &config_with_customers(3, &[("bakery", &["k-2"]), ("mill", &["k-3"])]));
    let revoked = Instant::now();
    let mut last_run = revoked;
    wait("requests with keys are refused", || {
        let sent = Instant::now();
        let response = call(node, "/look/", "call-2", &["Token k-1"]);
        if response.status == StatusCode::OK {
            last_run = sent;
        }
        response.status == StatusCode::SERVICE_UNAVAILABLE
            && response.headers.contains_key("retry-after")
    });
    assert!(last_run - revoked < Duration::from_millis(2_000), "{:?}", last_run - revoked);
    // The node cannot know either that a key is unknown: 503, not 401.
    assert_eq!(
        call(node, "/look/", "call-3", &["Token k-9"]).status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(call(node, "/open/", "call-4", &[]).status, StatusCode::OK);
    assert!(!node.is_ready());
    node.to_store.set(Condition::Open);
    wait("the node has learnt of the revocation", || {
        call(node, "/look/", "call-5", &["Token k-1"]).status == StatusCode::UNAUTHORIZED
    });
    wait("other keys are accepted again", || {
        call(node, "/look/", "call-6", &["Token k-2"]).status == StatusCode::OK
    });
}

/// A node that was paused for longer than the revocation time must not run the first requests with its old
/// configuration.
#[test]
fn node_that_was_paused_runs_nothing_with_old_keys() {
    let mut fleet = fleet();
    let node = fleet.start("a");
    enforce_revocation(&fleet, &[node]);
    assert_eq!(call(&fleet.nodes[node], "/look/", "call-1", &["Token k-1"]).status, StatusCode::OK);
    fleet.nodes[node].signal(Signal::STOP);
    put_config(&fleet, &config_with_customers(3, &[("bakery", &["k-2"])]));
    std::thread::sleep(Duration::from_millis(2_300));
    let node = &fleet.nodes[node];
    std::thread::scope(|scope| {
        let asks = |n: usize| move || call(node, "/look/", &format!("late-{n}"), &["Token k-1"]);
        let calls: Vec<_> = (0..8).map(|n| scope.spawn(asks(n))).collect();
        std::thread::sleep(Duration::from_millis(100));
        node.signal(Signal::CONT);
        for call in calls {
            assert_ne!(call.join().unwrap().status, StatusCode::OK);
        }
    });
    assert_eq!((0..8).map(|n| fleet.runs(&format!("late-{n}"))).sum::<u32>(), 0);
}

/// A node without a connection to the store must keep serving requests with keys while the leader confirms
/// the configuration.
#[test]
fn node_without_the_store_serves_while_the_leader_confirms_the_keys() {
    let mut fleet = fleet();
    let leader = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let other = fleet.start("b");
    enforce_revocation(&fleet, &[leader, other]);
    fleet.nodes[other].to_store.set(Condition::Cut);
    assert_served_for(&fleet.nodes[other], "Token k-1", Duration::from_secs(5));
    put_config(&fleet, &config_with_customers(3, &[("bakery", &["k-2"]), ("mill", &["k-3"])]));
    wait("the revoked key is refused", || {
        call(&fleet.nodes[other], "/look/", "last", &["Token k-1"]).status
            == StatusCode::UNAUTHORIZED
    });
}

/// While the leader is paused, a node must confirm that its configuration is the newest by reading on from
/// the offset that the leader sent; with hundreds of nodes, the store could not send each of them the whole
/// document.
#[test]
fn node_confirms_its_configuration_without_reading_it_again() {
    let mut fleet = fleet();
    let leader = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let other = fleet.start("b");
    enforce_revocation(&fleet, &[leader, other]);
    fleet.nodes[other].to_store.set(Condition::Cut);
    put_config(&fleet, &config_with_customers(3, &[("bakery", &["k-1", "k-4"])]));
    wait("the other node has the new key", || {
        call(&fleet.nodes[other], "/look/", "new", &["Token k-4"]).status == StatusCode::OK
    });
    fleet.nodes[other].to_store.set(Condition::Open);
    std::thread::sleep(Duration::from_secs(1));
    let before = fleet.store.given("keyed.op");
    fleet.nodes[leader].signal(Signal::STOP);
    assert_served_for(&fleet.nodes[other], "Token k-4", Duration::from_secs(4));
    let given = fleet.store.given("keyed.op") - before;
    fleet.nodes[leader].signal(Signal::CONT);
    assert_eq!(given, 0, "configuration records that were read again");
}
