//! Requests that wait for room at engines.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{configuration, holds};
use http::{Method, StatusCode};

use crate::new_fleet;

/// Streams of an engine with one slot that runs each for 400 ms.
fn small_engine() -> EngineSettings {
    EngineSettings {
        slots: 1,
        holds: holds(&[("m", &[])]),
        pause: Duration::from_millis(20),
        events: 20,
        ..EngineSettings::default()
    }
}

/// Sends as many streams at a time as an engine with one slot takes one after the other within two seconds,
/// and returns their status.
fn statuses(objective_ms: u64, streams: usize) -> Vec<StatusCode> {
    let mut fleet = new_fleet(vec![small_engine()]);
    let mut config = configuration(2);
    for route in config["routes"].as_array_mut().unwrap() {
        route["sloMs"] = objective_ms.into();
    }
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    let node = fleet.start("a");
    let send = |n: usize| {
        let (id, session) = (format!("s-{n}"), format!("a{n}:60"));
        let headers = [
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "8000"),
            ("x-model", "m"),
            ("x-tokens", "60,20"),
            ("x-prompt-prefix", session.as_str()),
        ];
        fleet.nodes[node].call(Method::POST, "/ask/", &headers).unwrap().status
    };
    std::thread::scope(|scope| {
        let send = &send;
        let all: Vec<_> = (0..streams).map(|n| scope.spawn(move || send(n))).collect();
        all.into_iter().map(|one| one.join().expect("a caller ends")).collect()
    })
}

/// Guards against streams that are refused as "full" although they have seconds left to begin in time.
#[test]
fn streams_wait_for_a_slot_while_they_can_be_in_time() {
    assert_eq!(statuses(8_000, 5), vec![StatusCode::OK; 5]);
}

/// Guards against streams that wait for a slot until they can only be late.
#[test]
fn streams_that_cannot_be_in_time_are_refused() {
    let statuses = statuses(300, 8);
    let refused = statuses.iter().filter(|s| **s == StatusCode::SERVICE_UNAVAILABLE).count();
    assert!(refused >= 3, "{statuses:?}");
    assert!(statuses.contains(&StatusCode::OK), "{statuses:?}");
}
