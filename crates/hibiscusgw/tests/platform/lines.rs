//! What a node logs of what it decides and believes.

use std::fs::File;
use std::path::PathBuf;
use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, holds, wait};
use hgw_standins::link::Condition;
use http::Method;
use rustix::process::Signal;
use serde_json::Value;

use crate::fleet_of;

fn slow(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        pause: Duration::from_millis(50),
        events: 100,
        ..EngineSettings::default()
    }
}

/// Starts a node whose lines go to a file.
fn start(fleet: &mut Fleet, zone: &str) -> (usize, PathBuf) {
    let path = std::env::temp_dir().join(format!("hgw-lines-{}-{zone}", std::process::id()));
    let file = File::create(&path).unwrap();
    let node = fleet.spawn_with(zone, file.into());
    wait("the node is ready", || fleet.nodes[node].is_ready());
    (node, path)
}

/// The lines of an event.
fn lines(path: &PathBuf, event: u64) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap();
    let all = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    all.filter(|line| line["event"] == event).collect()
}

#[test]
fn caller_that_leaves_a_stream_is_named() {
    let mut fleet = fleet_of(vec![slow("i-1")]);
    let (node, path) = start(&mut fleet, "left");
    let caller = Caller::new(fleet.nodes[node].callers).unwrap();
    let headers = [
        ("host", HOST),
        ("x-request-id", "s-1"),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-tokens", "100,120"),
        ("x-prompt-prefix", "a1:60,b2:40"),
    ];
    let answer = caller.stream("/ask/", &headers, &"body").unwrap();
    wait("the stream runs", || fleet.runs("s-1") == 1);
    drop((answer, caller));
    wait("it is logged", || !lines(&path, 5008).is_empty());
    let line = &lines(&path, 5008)[0];
    assert_eq!(
        (&line["id"], &line["upstream"], &line["runs"]),
        (&"s-1".into(), &"i-1".into(), &"1".into())
    );
    let metrics = Caller::new(fleet.nodes[node].metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    assert!(text.contains("outcome=\"left\""), "{text}");
    assert!(text.contains("hgw_second_tries_left"), "{text}");
}

/// An engine cannot be reached, and then it can: both are said, with what was seen of it.
#[test]
fn engine_that_is_judged_anew_is_named() {
    let mut fleet = fleet_of(Vec::new());
    let (node, path) = start(&mut fleet, "judged");
    fleet.to_engines[0].set(Condition::Cut);
    let mut call = 0;
    let mut until = |well: bool| {
        wait("it is logged", || {
            call += 1;
            // Whether this one is served does not matter here.
            let _ = fleet.nodes[node].plain("/look/", &format!("c-{call}"));
            let judged = lines(&path, 4007);
            judged.iter().any(|l| l["upstream"] == "desk-1" && (l["opinion"] == "well") == well)
        });
    };
    until(false);
    fleet.to_engines[0].set(Condition::Open);
    until(true);
}

/// One node gives the orders and stands still for a while: the other says that it is silent, that it answers again,
/// and before that, which adapter is to go where.
#[test]
fn silent_peer_and_placed_adapter_are_named() {
    let mut fleet = fleet_of(vec![slow("i-1")]);
    let (first, first_lines) = start(&mut fleet, "first");
    wait("it gives orders", || !lines(&first_lines, 4001).is_empty());
    let (second, second_lines) = start(&mut fleet, "second");
    wait("an adapter is served", || {
        fleet.nodes[second].stream("/ask/", "s-1", "m/a1").is_ok_and(|a| a.status == 200)
    });
    let placed = &lines(&first_lines, 4008)[0];
    assert_eq!((&placed["load"], &placed["upstream"]), (&"m/a1".into(), &"i-1".into()));
    fleet.nodes[first].signal(Signal::STOP);
    wait("its silence is logged", || !lines(&second_lines, 2004).is_empty());
    fleet.nodes[first].signal(Signal::CONT);
    let name = fleet.nodes[first].name.clone();
    assert_eq!(lines(&second_lines, 2004)[0]["peer"], name.as_str());
}
