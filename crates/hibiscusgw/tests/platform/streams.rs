//! Streamed responses, and the placement of models and adapters for them.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::{Faults, StreamFault};
use http::StatusCode;

use hgw_standins::fleet::deployment::{holds, wait};

use crate::new_fleet;

fn engine(id: &str, all: &[(&str, &[&str])]) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(all), ..EngineSettings::default() }
}

fn complete_body(events: u64) -> String {
    (1..=events).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

fn break_stream_after(after: u32) -> Faults {
    Faults { fail_streams: StreamFault { after_tokens: after, streams: 1 }, ..Faults::default() }
}

/// A stream that breaks in the middle of an event must be resumed at another engine after the last complete
/// event, without the partial one.
#[test]
fn stream_goes_on_elsewhere_after_the_last_whole_event() {
    let both = [engine("i-1", &[("m", &[])]), engine("i-2", &[("m", &[])])];
    let mut fleet = new_fleet(both.to_vec());
    let node = fleet.start("a");
    fleet.engine("i-1").fault(&break_stream_after(7));
    fleet.engine("i-2").fault(&break_stream_after(7));
    let response = fleet.nodes[node].stream("/ask/", "s-1", "m").unwrap_err();
    assert!(!response.to_string().is_empty(), "both broke off, and the route allows two engines");
    fleet.engine("i-1").fault(&break_stream_after(7));
    fleet.engine("i-2").fault(&Faults::default());
    let response = fleet.nodes[node].stream("/ask/", "s-2", "m").unwrap();
    assert_eq!(response.body, complete_body(20));
    let response = fleet.nodes[node].stream("/ask/", "s-3", "m").unwrap();
    assert_eq!(response.body, complete_body(20));
}

/// A broken stream that may not be resumed must not look complete to the caller.
#[test]
fn stream_that_may_not_be_resumed_ends_broken() {
    let mut fleet = new_fleet(vec![engine("i-1", &[("m", &[])]), engine("i-2", &[("m", &[])])]);
    let node = fleet.start("a");
    fleet.engine("i-1").fault(&break_stream_after(7));
    fleet.engine("i-2").fault(&break_stream_after(7));
    fleet.nodes[node].stream("/once/", "s-1", "m").unwrap_err();
    assert_eq!(fleet.runs("s-1"), 1);
}

/// A stream must be resumed at another engine if its engine becomes unresponsive without closing the
/// connection.
#[test]
fn stream_leaves_an_engine_that_went_dark() {
    let slow = |id: &str| EngineSettings {
        pause: Duration::from_millis(20),
        events: 60,
        ..engine(id, &[("m", &[])])
    };
    let mut fleet = new_fleet(vec![slow("i-1"), slow("i-2")]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let stream = scope.spawn(move || fleet.nodes[node].stream("/ask/", "s-1", "m"));
        wait("the stream runs", || fleet.runs("s-1") == 1);
        std::thread::sleep(Duration::from_millis(200));
        let at = ["i-1", "i-2"]
            .into_iter()
            .find(|id| fleet.engine(id).record().runs.contains_key("s-1"));
        fleet.engine(at.unwrap()).fault(&Faults { silence: true, ..Faults::default() });
        let response = stream.join().unwrap().unwrap();
        assert_eq!(response.body, complete_body(60));
    });
    assert_eq!(fleet.runs("s-1"), 2);
}

/// A stream must not be taken from a slow engine if no other engine has the model.
#[test]
fn stream_waits_for_its_only_engine() {
    let one = EngineSettings {
        pause: Duration::from_millis(20),
        events: 30,
        ..engine("i-1", &[("m", &[])])
    };
    let mut fleet = new_fleet(vec![one, engine("i-2", &[("n", &[])])]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let stream = scope.spawn(move || fleet.nodes[node].stream("/ask/", "s-1", "m"));
        wait("the stream runs", || fleet.runs("s-1") == 1);
        std::thread::sleep(Duration::from_millis(100));
        fleet.engine("i-1").fault(&Faults { slow: 70.0, ..Faults::default() });
        std::thread::sleep(Duration::from_millis(1_000));
        fleet.engine("i-1").fault(&Faults::default());
        assert_eq!(stream.join().unwrap().unwrap().body, complete_body(30));
    });
    assert_eq!(fleet.runs("s-1"), 1);
}

/// A request for an adapter that no engine has loaded must be sent only after the leader had it loaded.
#[test]
fn adapter_that_is_nowhere_is_placed_for_the_request() {
    let mut fleet = new_fleet(vec![engine("i-1", &[("m", &[]), ("n", &[])])]);
    let node = fleet.start("a");
    wait("the adapter is placed", || {
        let response = fleet.nodes[node].stream("/ask/", "s-1", "m/a1");
        response.is_ok_and(|a| a.status == StatusCode::OK && a.body == complete_body(20))
    });
    assert_eq!(fleet.engine("i-1").record().misdirected, 0);
    assert_eq!(fleet.engine("i-1").holds()["m"], ["a1"]);
}

/// A request for a model that no engine has loaded is refused at once with the expected load time in
/// `Retry-After`; a retry is served.
#[test]
fn model_that_is_nowhere_is_loaded_and_its_caller_told_when() {
    let slow =
        EngineSettings { load: Duration::from_millis(1_500), ..engine("i-1", &[("m", &[])]) };
    let mut fleet = new_fleet(vec![slow]);
    let node = fleet.start("a");
    wait("the model is loaded", || {
        let response = fleet.nodes[node].stream("/ask/", "s-1", "n").unwrap();
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(response.headers.contains_key("retry-after"));
        }
        response.status == StatusCode::OK
    });
    assert_eq!(fleet.engine("i-1").record().too_much, 0);
}
