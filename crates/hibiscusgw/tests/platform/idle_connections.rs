//! Idle connections to engines, which engines and what is between may drop without notice.

use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use http::{Method, StatusCode};

use crate::new_fleet;

/// Idle time after which connections are dropped.
const DROPPED_AFTER: Duration = Duration::from_millis(4_200);

/// Idle time between two rounds of requests: more than that, and than requests that may not be repeated are sent after
/// without proof.
const IDLE: Duration = Duration::from_millis(4_800);

const ENGINES: [&str; 2] = ["i-1", "i-2"];

/// An engine that says that it keeps idle connections for long.
fn keeping_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        keep_alive: Some(Duration::from_secs(60)),
        ..EngineSettings::default()
    }
}

/// Two nodes; the second one does not lead, so that it sends nothing of its own to engines.
fn new_nodes() -> (Fleet, usize) {
    let mut fleet = new_fleet(ENGINES.map(keeping_engine).to_vec());
    let leader = fleet.start("a");
    wait("a node leads", || gauge(&fleet, leader, "hgw_keeper") == 1);
    let follower = fleet.start("b");
    (fleet, follower)
}

fn gauge(fleet: &Fleet, node: usize, name: &str) -> u64 {
    let metrics = Caller::new(fleet.nodes[node].metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse::<f64>().ok()).map_or(0, |value| value as u64)
}

fn connections(fleet: &Fleet, node: usize, kind: &str) -> u64 {
    gauge(fleet, node, &format!("hgw_engine_connections_total{{kind=\"{kind}\"}}"))
}

/// Sends streams one after the other, and returns how many were served.
fn send(fleet: &Fleet, node: usize, route: &str, round: &str) -> usize {
    let ids = (0..6).map(|n| format!("{round}-{n}"));
    let answers = ids.map(|id| fleet.nodes[node].stream(route, &id, "m").unwrap());
    answers.filter(|answer| answer.status == StatusCode::OK).count()
}

/// Guards against opening a connection for each request of a node that has few.
#[test]
fn idle_connections_live_as_long_as_the_engine_says() {
    let (fleet, node) = new_nodes();
    let mut round = 0;
    wait("both engines have been sent a request", || {
        round += 1;
        assert_eq!(send(&fleet, node, "/ask/", &format!("first-{round}")), 6);
        ENGINES.iter().all(|id| !fleet.engine(id).arrivals().is_empty())
    });
    assert_eq!(connections(&fleet, node, "new"), ENGINES.len() as u64);
    std::thread::sleep(IDLE);
    assert_eq!(send(&fleet, node, "/ask/", "second"), 6);
    assert_eq!(connections(&fleet, node, "new"), ENGINES.len() as u64);
    assert!(connections(&fleet, node, "reused") >= 6);
}

/// Guards against losing requests that may not be repeated on connections that were dropped without notice.
#[test]
fn request_that_may_not_be_repeated_is_not_sent_on_a_dropped_connection() {
    let (fleet, node) = new_nodes();
    for link in &fleet.to_engines {
        link.drop_idle(Some(DROPPED_AFTER));
    }
    for round in 0..3 {
        assert_eq!(send(&fleet, node, "/ask/", &format!("ask-{round}")), 6, "{round}");
        std::thread::sleep(IDLE);
        assert_eq!(send(&fleet, node, "/once/", &format!("once-{round}")), 6, "{round}");
        std::thread::sleep(IDLE);
    }
    for id in (0..3).flat_map(|round| (0..6).map(move |n| format!("once-{round}-{n}"))) {
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
}
