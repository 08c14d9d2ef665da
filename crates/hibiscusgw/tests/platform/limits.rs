//! Rate limits of customers across all nodes.

use std::time::{Duration, Instant};

use hgw_standins::fleet::Fleet;
use hgw_standins::fleet::deployment::{Node, configuration, wait};
use hgw_standins::link::Condition;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::new_fleet;

/// Window, tolerance and slack of the limit in the settings of these nodes.
const QUOTA_WINDOW: Duration = Duration::from_secs(4);
const QUOTA_TOLERANCE: f64 = 0.1;
const QUOTA_SLACK: f64 = 6.0;

/// A configuration with one customer limited to `rate` requests per second, with a burst of as many, and
/// one customer without a limit.
fn limited_config(version: u64, rate: f64) -> Value {
    let mut config = configuration(version);
    config["tenants"] = json!([
        { "name": "bakery", "apiKeys": ["k-1"], "unit": "requests", "ratePerS": rate, "burst": rate },
        { "name": "mill", "apiKeys": ["k-2"] },
    ]);
    config
}

fn put_config(fleet: &Fleet, config: &Value) {
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
}

fn fleet(rate: f64) -> Fleet {
    let fleet = new_fleet(Vec::new());
    put_config(&fleet, &limited_config(2, rate));
    fleet
}

fn call(node: &Node, id: &str, key: &str) -> (StatusCode, bool) {
    let key = format!("Token {key}");
    let headers =
        [("x-request-id", id), ("x-deadline-ms", "2000"), ("authorization", key.as_str())];
    match node.call(Method::POST, "/look/", &headers) {
        Ok(response) => (response.status, response.headers.contains_key("retry-after")),
        // The node was killed.
        Err(_) => (StatusCode::BAD_GATEWAY, false),
    }
}

/// Send times of the requests that ran, and the numbers of those that did not.
#[derive(Default)]
struct LoadResult {
    ran: Vec<Instant>,
    over_limit: u32,
    other: u32,
}

/// Sends requests through each of these nodes in parallel, one at a time per node, for `time`.
fn send_load(nodes: &[&Node], name: &str, time: Duration) -> LoadResult {
    let until = Instant::now() + time;
    let mut all = LoadResult::default();
    std::thread::scope(|scope| {
        let callers: Vec<_> = nodes
            .iter()
            .map(|node| {
                scope.spawn(move || {
                    let mut result = LoadResult::default();
                    for n in 0.. {
                        if Instant::now() >= until {
                            break;
                        }
                        let sent = Instant::now();
                        match call(node, &format!("{name}-{}-{n}", node.name), "k-1") {
                            (StatusCode::OK, _) => result.ran.push(sent),
                            (StatusCode::TOO_MANY_REQUESTS, true) => result.over_limit += 1,
                            _ => result.other += 1,
                        }
                        std::thread::sleep(Duration::from_millis(3));
                    }
                    result
                })
            })
            .collect();
        for caller in callers {
            let mut result = caller.join().unwrap();
            all.ran.append(&mut result.ran);
            all.over_limit += result.over_limit;
            all.other += result.other;
        }
    });
    all.ran.sort_unstable();
    all
}

/// The highest number of requests that ran within one window.
fn max_in_window(ran: &[Instant]) -> usize {
    let within = |first: Instant| {
        ran.iter().filter(|at| **at >= first && **at < first + QUOTA_WINDOW).count()
    };
    ran.iter().map(|first| within(*first)).max().unwrap_or(0)
}

fn max_allowed(rate: f64) -> f64 {
    (rate * QUOTA_WINDOW.as_secs_f64() + rate) * (1.0 + QUOTA_TOLERANCE) + QUOTA_SLACK
}

/// Under overload through three nodes, a customer gets its limit and no more, the excess is refused with a
/// `Retry-After`, and other customers are not affected.
#[test]
fn customer_uses_its_limit_over_all_nodes() {
    const RATE: f64 = 40.0;
    let mut fleet = fleet(RATE);
    for zone in ["a", "b", "b"] {
        fleet.start(zone);
    }
    wait("allowances are granted", || call(&fleet.nodes[2], "first", "k-1").0 == StatusCode::OK);
    std::thread::sleep(Duration::from_secs(2));
    let nodes: Vec<&Node> = fleet.nodes.iter().collect();
    let result = send_load(&nodes, "press", Duration::from_secs(8));
    let (max_in_window, max_allowed) = (max_in_window(&result.ran) as f64, max_allowed(RATE));
    assert!(max_in_window <= max_allowed, "{max_in_window} of {max_allowed}");
    assert!(result.ran.len() as f64 >= 0.9 * RATE * 8.0, "{} ran", result.ran.len());
    assert!(result.over_limit > 0);
    assert_eq!(result.other, 0, "every refusal is a 429 with Retry-After");
    assert_eq!(call(nodes[0], "other", "k-2").0, StatusCode::OK);
}

/// Total use must stay within the limit while a new issuer takes over from one that was killed, and nodes
/// must continue with their allowances meanwhile.
#[test]
fn limit_holds_while_the_issuer_is_replaced() {
    const RATE: f64 = 60.0;
    let mut fleet = fleet(RATE);
    fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    for zone in ["a", "b"] {
        fleet.start(zone);
    }
    wait("allowances are granted", || call(&fleet.nodes[2], "first", "k-1").0 == StatusCode::OK);
    std::thread::sleep(Duration::from_secs(3));
    let (first, rest) = fleet.nodes.split_at_mut(1);
    let others: Vec<&Node> = rest.iter().collect();
    let result = std::thread::scope(|scope| {
        let callers = scope.spawn(|| send_load(&others, "press", Duration::from_secs(9)));
        std::thread::sleep(Duration::from_secs(3));
        first[0].kill();
        callers.join().unwrap()
    });
    let (max_in_window, max_allowed) = (max_in_window(&result.ran) as f64, max_allowed(RATE));
    assert!(max_in_window <= max_allowed, "{max_in_window} of {max_allowed}");
    let last = result.ran.last().unwrap();
    let late = result.ran.iter().filter(|at| *last - **at < Duration::from_secs(3)).count();
    assert!(late as f64 >= 0.5 * 3.0 * RATE, "{late} in the last three seconds");
}

/// After a restore that lost the lease of the issuer, allowances that it had granted must not be granted a
/// second time.
#[test]
fn limit_holds_while_the_store_is_restored() {
    const RATE: f64 = 60.0;
    let mut fleet = fleet(RATE);
    let empty = fleet.store.backup();
    fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    for zone in ["a", "b"] {
        fleet.start(zone);
    }
    wait("allowances are granted", || call(&fleet.nodes[2], "first", "k-1").0 == StatusCode::OK);
    std::thread::sleep(Duration::from_secs(3));
    let nodes: Vec<&Node> = fleet.nodes.iter().collect();
    let result = std::thread::scope(|scope| {
        let callers = scope.spawn(|| send_load(&nodes, "press", Duration::from_secs(9)));
        std::thread::sleep(Duration::from_secs(3));
        fleet.store.come_back(&empty);
        callers.join().unwrap()
    });
    let (max_in_window, max_allowed) = (max_in_window(&result.ran) as f64, max_allowed(RATE));
    assert!(max_in_window <= max_allowed, "{max_in_window} of {max_allowed}");
    assert!(result.ran.len() as f64 >= 0.8 * RATE * 9.0, "{} ran", result.ran.len());
}

/// A request that no engine accepts must not count against the customer's limit.
#[test]
fn request_that_does_not_run_uses_nothing() {
    let mut fleet = fleet(2.0);
    let node = fleet.start("a");
    let node = &fleet.nodes[node];
    wait("allowances are granted", || call(node, "first", "k-1").0 == StatusCode::OK);
    for engine in ["desk-1", "desk-2"] {
        fleet.engine(engine).refuse(1_000);
    }
    std::thread::sleep(Duration::from_secs(2));
    for n in 0..20 {
        let (status, comes_back) = call(node, &format!("full-{n}"), "k-1");
        assert_eq!((status, comes_back), (StatusCode::SERVICE_UNAVAILABLE, true), "call {n}");
    }
    for engine in ["desk-1", "desk-2"] {
        fleet.engine(engine).refuse(0);
    }
    assert_eq!(call(node, "last", "k-1").0, StatusCode::OK);
}

/// A limit that is removed by a new configuration no longer applies.
#[test]
fn limits_follow_the_configuration() {
    let mut fleet = fleet(1.0);
    let node = fleet.start("a");
    let node = &fleet.nodes[node];
    wait("the limit binds", || {
        (0..8).any(|n| call(node, &format!("c-{n}"), "k-1").0 == StatusCode::TOO_MANY_REQUESTS)
    });
    let mut config = limited_config(3, 1.0);
    config["tenants"][0]["ratePerS"] = 0.into();
    put_config(&fleet, &config);
    wait("the limit no longer applies", || {
        (0..8).all(|n| call(node, &format!("d-{n}"), "k-1").0 == StatusCode::OK)
    });
}

/// A node that cannot reach any other node must use its share of the limit and no more.
#[test]
fn node_that_is_cut_off_uses_its_part() {
    const RATE: f64 = 60.0;
    let mut fleet = fleet(RATE);
    fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    for zone in ["b", "b"] {
        fleet.start(zone);
    }
    wait("allowances are granted", || call(&fleet.nodes[2], "first", "k-1").0 == StatusCode::OK);
    std::thread::sleep(Duration::from_secs(3));
    fleet.nodes[0].kill();
    for node in &fleet.nodes[1..] {
        node.to_store.set(Condition::Cut);
    }
    std::thread::sleep(Duration::from_secs(2));
    let result = send_load(&[&fleet.nodes[1]], "alone", Duration::from_secs(4));
    let share = result.ran.len() as f64 / (RATE * 4.0);
    assert!((0.15..=0.6).contains(&share), "{share} of the limit");
}
