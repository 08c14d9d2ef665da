//! Engines that start anew under their identity, and entries of the list that another writer made.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use http::StatusCode;

use crate::fleet_of;

fn engine(id: &str, reading: Duration) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(&[("m", &[])]), reading, ..Default::default() }
}

/// An engine that reads a prompt for so long that its answer does not come within a test.
const NEVER: Duration = Duration::from_secs(60);

fn status(fleet: &Fleet, node: usize, path: &str, id: &str) -> StatusCode {
    fleet.nodes[node].stream(path, id, "m").unwrap().status
}

/// Whether a stream is served. Its node may not have seen yet what the test has done.
fn served(fleet: &Fleet, node: usize, id: &str) -> bool {
    fleet.nodes[node].stream("/ask/", id, "m").is_ok_and(|a| a.status == StatusCode::OK)
}

/// An engine crashes behind a cut and starts again under its identity. A stream that it ran may not be resumed, and no
/// connection ends. Its run has ended with the earlier start, so its caller is told at once that it failed; waited
/// for, it would be told after the whole of its time.
#[test]
fn request_at_an_earlier_start_gets_its_final_answer() {
    let mut fleet = fleet_of(vec![engine("i-1", NEVER)]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let waiting = scope.spawn(move || status(fleet, node, "/once/", "s-1"));
        wait("the stream is at the engine", || fleet.runs("s-1") == 1);
        fleet.engine("i-1").start_anew();
        fleet.list_all();
        assert_eq!(waiting.join().unwrap(), StatusCode::BAD_GATEWAY, "504 once its time is over");
    });
    assert_eq!(fleet.runs("s-1"), 1);
}

/// The same for a stream that may be resumed, where no other engine can go on with it. The new start serves.
#[test]
fn stream_at_an_earlier_start_is_not_waited_for() {
    let mut fleet = fleet_of(vec![engine("i-1", NEVER)]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let waiting = scope.spawn(move || status(fleet, node, "/ask/", "s-1"));
        wait("the stream is at the engine", || fleet.runs("s-1") == 1);
        fleet.engine("i-1").start_anew();
        fleet.engine("i-1").read_for(Duration::ZERO);
        fleet.engine("i-1").hold(holds(&[("m", &[])]));
        fleet.list_all();
        // The only engine is the one that was tried: the caller is told, and its next attempt is served.
        assert_eq!(waiting.join().unwrap(), StatusCode::BAD_GATEWAY);
        wait("the new start serves", || served(fleet, node, "s-2"));
    });
}

/// An engine starts anew and holds nothing. Its keeper believes nothing of what the earlier start held, and has the
/// model loaded again; an entry of the earlier start that comes late changes nothing.
#[test]
fn engine_that_started_anew_gets_its_model_again() {
    let mut fleet = fleet_of(vec![engine("i-1", Duration::ZERO)]);
    let node = fleet.start("a");
    let earlier = fleet.entry("i-1", "ready");
    wait("the model is served", || served(&fleet, node, "s-1"));
    let orders = fleet.engine("i-1").record().orders.len();
    fleet.engine("i-1").start_anew();
    fleet.list_all();
    wait("the model is ordered", || fleet.engine("i-1").record().orders.len() > orders);
    wait("the model is served again", || served(&fleet, node, "s-2"));
    fleet.store.put("keyed.servers", "i-1", earlier.to_string().as_bytes());
    let misdirected = fleet.engine("i-1").record().misdirected;
    for round in 0..20 {
        assert!(served(&fleet, node, &format!("t-{round}")));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(fleet.engine("i-1").record().misdirected, misdirected);
}

macro_rules! unreadable {
    ($($name:ident: $field:literal => $value:expr;)*) => {$(
        /// Another writer spoils an engine's entry. It names no engine to use: requests go to the others of the same
        /// page, and to this one again once its entry can be read.
        #[test]
        fn $name() {
            entry_is_passed_over($field, $value);
        }
    )*};
}

unreadable! {
    entry_with_an_unknown_state: "state" => Some("resting".into());
    entry_without_a_state: "state" => None;
    entry_with_a_number_for_an_address: "addr" => Some(17.into());
    entry_without_slots: "slots" => None;
}

fn entry_is_passed_over(field: &str, value: Option<serde_json::Value>) {
    let both = [engine("i-1", Duration::ZERO), engine("i-2", Duration::ZERO)];
    let mut fleet = fleet_of(both.to_vec());
    let node = fleet.start("a");
    let mut spoiled = fleet.entry("i-1", "ready");
    match value {
        Some(value) => spoiled[field] = value,
        None => drop(spoiled.as_object_mut().unwrap().remove(field)),
    }
    fleet.store.put("keyed.servers", "i-1", spoiled.to_string().as_bytes());
    let mut sent = 0;
    let mut goes_to = |id: &str| {
        sent += 1;
        let name = format!("s-{sent}");
        assert!(served(&fleet, node, &name), "an engine is there");
        fleet.engine(id).record().runs.contains_key(&name)
    };
    let mut in_a_row = 0;
    wait("nothing goes there any more", || {
        in_a_row = if goes_to("i-2") { in_a_row + 1 } else { 0 };
        in_a_row == 60
    });
    fleet.list_all();
    wait("it is used again", || goes_to("i-1"));
}
