//! Graceful shutdown of nodes, draining engines, and outages of the store.

use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::fleet::EngineSettings;
use http::StatusCode;
use rustix::process::Signal;

use hgw_standins::fleet::deployment::{Fleet, holds, wait};

use crate::new_fleet;

fn slow_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        pause: Duration::from_millis(50),
        events: 40,
        ..EngineSettings::default()
    }
}

/// A node that is told to stop must complete open responses, serve calls that still arrive for a moment,
/// and exit with success.
#[test]
fn planned_stop_cuts_nothing() {
    let mut fleet = new_fleet(vec![slow_engine("i-1")]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let stream = scope.spawn(move || fleet.nodes[node].stream("/once/", "s-1", "m"));
        wait("the stream runs", || fleet.runs("s-1") == 1);
        fleet.nodes[node].signal(Signal::TERM);
        wait("the node is not ready", || !fleet.nodes[node].is_ready());
        let late = fleet.nodes[node].plain("/print/", "call-1").unwrap();
        assert_eq!(late.status, StatusCode::OK);
        assert_eq!(late.headers["connection"], "close");
        assert_eq!(stream.join().unwrap().unwrap().status, StatusCode::OK);
    });
    wait("the process ends", || fleet.nodes[node].ended() == Some(true));
}

/// A stopping node must refuse calls unrun, with a `Retry-After`, once they might not complete before the
/// process ends.
#[test]
fn late_call_to_a_stopping_node_is_refused_unrun() {
    let mut fleet = new_fleet(vec![EngineSettings { events: 200, ..slow_engine("i-1") }]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        // Keeps the process from ending before the late call.
        scope.spawn(move || fleet.nodes[node].stream("/once/", "s-1", "m"));
        wait("the stream runs", || fleet.runs("s-1") == 1);
        fleet.nodes[node].signal(Signal::TERM);
        let mut refused = None;
        wait("late calls are refused", || {
            let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
            refused = (response.status == StatusCode::SERVICE_UNAVAILABLE).then_some(response);
            refused.is_some()
        });
        assert!(refused.unwrap().headers.contains_key("retry-after"));
    });
}

/// A node that has read that an engine is draining must not send requests to it.
#[test]
fn engine_that_leaves_gets_no_more_work() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    fleet.list(fleet.engine("desk-1"), "draining");
    let calls = |fleet: &Fleet| fleet.store.calls().get("/api/log-read").copied().unwrap_or(0);
    let seen = calls(&fleet);
    // Enough calls for two reads of the list of engines, with those of other topics between them.
    wait("the node has read the list", || calls(&fleet) > seen + 10);
    for n in 0..20 {
        fleet.nodes[node].plain("/print/", &format!("call-{n}")).unwrap();
    }
    assert!(fleet.engine("desk-1").record().runs.is_empty());
    assert_eq!(fleet.engine("desk-2").record().runs.len(), 20);
}

/// Callers must be served during an outage of the store, and after it while the store lacks the entries
/// that expired.
#[test]
fn outage_of_the_store_stops_no_calls() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    fleet.store.fault(&Faults { down: true, ..Faults::default() });
    // Longer than two heartbeats of engines, so that entries may expire.
    for n in 0..25 {
        let response = fleet.nodes[node].plain("/print/", &format!("call-{n}")).unwrap();
        assert_eq!(response.status, StatusCode::OK);
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.store.put("keyed.servers", "desk-1", b"");
    fleet.store.put("keyed.servers", "desk-2", b"");
    fleet.store.fault(&Faults::default());
    std::thread::sleep(Duration::from_millis(500));
    fleet.list_all();
    for n in 25..35 {
        let response = fleet.nodes[node].plain("/print/", &format!("call-{n}")).unwrap();
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Only the leader reads the store. When it is paused, the other nodes must read the store themselves, in
/// time to learn that an engine is draining.
#[test]
fn nodes_read_for_themselves_when_the_leader_cannot() {
    let mut fleet = new_fleet(Vec::new());
    for zone in ["a", "b", "c"] {
        fleet.start(zone);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let reads = |fleet: &Fleet| fleet.store.calls().values().sum::<u64>();
    let before = reads(&fleet);
    std::thread::sleep(Duration::from_millis(2_000));
    let for_all = reads(&fleet) - before;
    // Calls of one node per second: four reads of the list, one of the configuration and one of the lease
    // log.
    assert!(for_all < 30, "{for_all} calls in two seconds");
    // The paused leader responds to no node and reads nothing.
    let claims = fleet.store.records("hgw-claims");
    let newest = String::from_utf8_lossy(claims.last().expect("there is a claim")).into_owned();
    let leader = fleet.nodes.iter().position(|n| newest.contains(&format!("\"{}\"", n.name)));
    let leader = leader.expect("a node holds the claim");
    fleet.nodes[leader].signal(Signal::STOP);
    fleet.list(fleet.engine("desk-1"), "draining");
    let other = (leader + 1) % 3;
    let mut round = 0;
    wait("no call reaches the draining engine", || {
        round += 1;
        let before = fleet.engine("desk-1").record().runs.len();
        for n in 0..10 {
            fleet.nodes[other].plain("/print/", &format!("call-{round}-{n}")).unwrap();
        }
        fleet.engine("desk-1").record().runs.len() == before
    });
    fleet.nodes[leader].signal(Signal::CONT);
}
