//! Engines that restart under the same identity, and invalid entries in the list of engines.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use http::StatusCode;

use crate::new_fleet;

fn engine(id: &str, prefill: Duration) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[])]),
        reading: prefill,
        ..Default::default()
    }
}

/// A prefill time so long that no response comes within a test.
const ENDLESS_PREFILL: Duration = Duration::from_secs(60);

fn status(fleet: &Fleet, node: usize, path: &str, id: &str) -> StatusCode {
    fleet.nodes[node].stream(path, id, "m").unwrap().status
}

/// Whether a stream is served; it may fail while the node has not seen the last change of the test.
fn served(fleet: &Fleet, node: usize, id: &str) -> bool {
    fleet.nodes[node].stream("/ask/", id, "m").is_ok_and(|a| a.status == StatusCode::OK)
}

/// When an engine restarts without closing its connections, the caller of a stream that may not be resumed
/// must get an error at once, not after its deadline.
#[test]
fn request_at_an_earlier_start_gets_its_final_answer() {
    let mut fleet = new_fleet(vec![engine("i-1", ENDLESS_PREFILL)]);
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

/// The caller of a resumable stream must get an error at once as well if no other engine has the model. The
/// restarted engine serves new requests.
#[test]
fn stream_at_an_earlier_start_is_not_waited_for() {
    let mut fleet = new_fleet(vec![engine("i-1", ENDLESS_PREFILL)]);
    let node = fleet.start("a");
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let waiting = scope.spawn(move || status(fleet, node, "/ask/", "s-1"));
        wait("the stream is at the engine", || fleet.runs("s-1") == 1);
        fleet.engine("i-1").start_anew();
        fleet.engine("i-1").read_for(Duration::ZERO);
        fleet.engine("i-1").hold(holds(&[("m", &[])]));
        fleet.list_all();
        // The only engine was tried already, so the request fails, and the caller's next one is served.
        assert_eq!(waiting.join().unwrap(), StatusCode::BAD_GATEWAY);
        wait("the restarted engine serves", || served(fleet, node, "s-2"));
    });
}

/// The leader must have models loaded again by an engine that restarted with empty memory, and must ignore
/// a late entry from before the restart.
#[test]
fn engine_that_started_anew_gets_its_model_again() {
    let mut fleet = new_fleet(vec![engine("i-1", Duration::ZERO)]);
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

macro_rules! invalid_entries {
    ($($name:ident: $field:literal => $value:expr;)*) => {$(
        /// An invalid entry must exclude only its own engine, until the entry is valid again.
        #[test]
        fn $name() {
            check_invalid_entry_is_ignored($field, $value);
        }
    )*};
}

invalid_entries! {
    entry_with_an_unknown_state: "state" => Some("resting".into());
    entry_without_a_state: "state" => None;
    entry_with_a_number_for_an_address: "addr" => Some(17.into());
    entry_without_slots: "slots" => None;
}

fn check_invalid_entry_is_ignored(field: &str, value: Option<serde_json::Value>) {
    let both = [engine("i-1", Duration::ZERO), engine("i-2", Duration::ZERO)];
    let mut fleet = new_fleet(both.to_vec());
    let node = fleet.start("a");
    let mut entry = fleet.entry("i-1", "ready");
    match value {
        Some(value) => entry[field] = value,
        None => drop(entry.as_object_mut().unwrap().remove(field)),
    }
    fleet.store.put("keyed.servers", "i-1", entry.to_string().as_bytes());
    let mut sent = 0;
    let mut goes_to = |id: &str| {
        sent += 1;
        let name = format!("s-{sent}");
        assert!(served(&fleet, node, &name), "one of the engines serves");
        fleet.engine(id).record().runs.contains_key(&name)
    };
    let mut in_a_row = 0;
    wait("nothing is sent to i-1", || {
        in_a_row = if goes_to("i-2") { in_a_row + 1 } else { 0 };
        in_a_row == 60
    });
    fleet.list_all();
    wait("i-1 is used again", || goes_to("i-1"));
}
