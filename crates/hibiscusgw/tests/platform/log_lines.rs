//! Log lines on the decisions and the view of a node.

use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{HOST, holds, wait};
use hgw_standins::link::Condition;
use http::Method;
use rustix::process::Signal;

use crate::new_fleet;

fn slow_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        pause: Duration::from_millis(50),
        events: 100,
        ..EngineSettings::default()
    }
}

#[test]
fn caller_that_leaves_a_stream_is_named() {
    let mut fleet = new_fleet(vec![slow_engine("i-1")]);
    let (node, path) = fleet.start_logged("left");
    let caller = Caller::new(fleet.nodes[node].callers).unwrap();
    let headers = [
        ("host", HOST),
        ("x-request-id", "s-1"),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-tokens", "100,120"),
        ("x-prompt-prefix", "a1:60,b2:40"),
    ];
    let response = caller.stream("/ask/", &headers, &"body").unwrap();
    wait("the stream runs", || fleet.runs("s-1") == 1);
    drop((response, caller));
    wait("it is logged", || !fleet.lines(&path, 5008).is_empty());
    let line = &fleet.lines(&path, 5008)[0];
    assert_eq!(
        (&line["id"], &line["upstream"], &line["runs"]),
        (&"s-1".into(), &"i-1".into(), &"1".into())
    );
    let metrics = Caller::new(fleet.nodes[node].metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    assert!(text.contains("outcome=\"left\""), "{text}");
    assert!(text.contains("hgw_second_tries_left"), "{text}");
}

/// Both the loss and the return of an engine must be logged.
#[test]
fn engine_whose_health_changes_is_logged() {
    let mut fleet = new_fleet(Vec::new());
    let (node, path) = fleet.start_logged("judged");
    fleet.to_engines[0].set(Condition::Cut);
    let mut call = 0;
    let mut wait_for_health = |healthy: bool| {
        wait("it is logged", || {
            call += 1;
            // The call only makes the node try the engine; its result does not matter.
            let _ = fleet.nodes[node].plain("/look/", &format!("c-{call}"));
            let changes = fleet.lines(&path, 4007);
            changes.iter().any(|l| l["upstream"] == "desk-1" && (l["opinion"] == "well") == healthy)
        });
    };
    wait_for_health(false);
    fleet.to_engines[0].set(Condition::Open);
    wait_for_health(true);
}

/// The leader must log which adapter it places where, and another node must log that the paused leader is
/// unresponsive.
#[test]
fn unresponsive_peer_and_placed_adapter_are_logged() {
    let mut fleet = new_fleet(vec![slow_engine("i-1")]);
    let (first, first_lines) = fleet.start_logged("first");
    wait("it is the leader", || !fleet.lines(&first_lines, 4001).is_empty());
    let (second, second_lines) = fleet.start_logged("second");
    wait("an adapter is served", || {
        fleet.nodes[second].stream("/ask/", "s-1", "m/a1").is_ok_and(|a| a.status == 200)
    });
    let placed = &fleet.lines(&first_lines, 4008)[0];
    assert_eq!((&placed["load"], &placed["upstream"]), (&"m/a1".into(), &"i-1".into()));
    fleet.nodes[first].signal(Signal::STOP);
    wait("the unresponsive leader is logged", || !fleet.lines(&second_lines, 2004).is_empty());
    fleet.nodes[first].signal(Signal::CONT);
    let name = fleet.nodes[first].name.clone();
    assert_eq!(fleet.lines(&second_lines, 2004)[0]["peer"], name.as_str());
}

/// Each node must log that an engine is draining and whether it learnt this from the store or from a peer.
#[test]
fn draining_engine_is_logged_with_its_source() {
    let mut fleet = new_fleet(Vec::new());
    let (_, leader_log) = fleet.start_logged("leaves");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let (_, other_log) = fleet.start_logged("leaves");
    fleet.list(fleet.engine("desk-1"), "draining");
    for (path, by) in [(leader_log, "store"), (other_log, "peer")] {
        wait("it is logged", || !fleet.lines(&path, 4010).is_empty());
        let line = &fleet.lines(&path, 4010)[0];
        let fields = (&line["upstream"], &line["standing"], &line["by"]);
        assert_eq!(fields, (&"desk-1".into(), &"leaving".into(), &by.into()), "{line}");
    }
}
