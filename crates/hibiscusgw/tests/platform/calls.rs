//! Plain (non-streamed) calls.

use hgw_standins::Faults;
use http::{Method, StatusCode};

use crate::new_fleet;

#[test]
fn answer_of_the_engine_is_passed_on_unchanged() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let response = fleet.nodes[node].plain("/print/x?y=1", "call-1").unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body, r#"{"id":"call-1","run":1}"#);
    assert!(response.headers["x-response-seal"].to_str().unwrap().starts_with("seal-desk-"));
    assert_eq!(response.headers["x-request-id"], "call-1");
}

#[test]
fn unknown_route_is_not_found_and_a_call_without_id_is_refused() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    assert_eq!(fleet.nodes[node].plain("/nowhere/", "call-1").unwrap().status, 404);
    let response = fleet.nodes[node].call(Method::GET, "/look/", &[]).unwrap();
    assert_eq!(response.status, 400);
    assert_eq!(response.body, r#"{"error":"X-Request-Id is ``: a unique id for this attempt"}"#);
}

/// A call that is not idempotent must not be retried after its response was lost, and its caller must not
/// be told that it has not run.
#[test]
fn call_that_may_have_run_is_not_sent_again() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    for engine in &fleet.engines {
        engine.fault(&Faults { lose_answers: 1, ..Faults::default() });
    }
    let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fleet.runs("call-1"), 1);
}

/// An idempotent call whose response was lost is retried at another engine.
#[test]
fn call_that_may_be_repeated_goes_to_another_engine() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    for engine in &fleet.engines {
        engine.fault(&Faults { lose_answers: 1, ..Faults::default() });
    }
    let response = fleet.nodes[node].call(
        Method::POST,
        "/look/",
        &[("x-request-id", "call-1"), ("x-deadline-ms", "5000")],
    );
    assert_eq!(response.unwrap().status, StatusCode::BAD_GATEWAY, "both engines lose one response");
    assert_eq!(fleet.runs("call-1"), 2);
    assert_eq!(fleet.nodes[node].plain("/look/", "call-2").unwrap().status, StatusCode::OK);
}

/// A call that an engine rejected unrun may run at another engine, even if it is not idempotent. If all
/// engines are full, the caller gets a `Retry-After`.
#[test]
fn rejected_call_goes_to_another_engine_or_comes_back() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    for engine in &fleet.engines {
        engine.refuse(100);
    }
    let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let seconds: f64 = response.headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(seconds > 0.0, "{seconds}");
    assert_eq!(fleet.runs("call-1"), 0);
    fleet.engine("desk-1").refuse(0);
    assert_eq!(fleet.nodes[node].plain("/print/", "call-2").unwrap().status, StatusCode::OK);
}

/// An error response of an engine is passed on, with its seal, if no other engine may be tried.
#[test]
fn failure_of_an_engine_is_passed_on_with_its_seal() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    for engine in &fleet.engines {
        engine.fail(100);
    }
    let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(response.headers.contains_key("x-response-seal"));
    assert_eq!(fleet.runs("call-1"), 1);
}

/// A response with the id of another request must not reach any caller.
#[test]
fn answer_to_another_request_is_given_to_nobody() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    for engine in &fleet.engines {
        engine.fault(&Faults { cross_answers: 100, ..Faults::default() });
    }
    let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
    assert!(response.status.is_server_error(), "{response:?}");
    assert!(!response.headers.contains_key("x-response-seal"), "{response:?}");
    assert_eq!(fleet.runs("call-1"), 1);
}

/// If another service took over the address of an engine that ended, it must not run the engine's calls.
#[test]
fn call_is_not_run_by_an_engine_with_another_identity() {
    let mut fleet = new_fleet(Vec::new());
    let mut entry = fleet.engine("desk-1").entry("ready");
    entry["service"] = "desk".into();
    fleet.store.put("keyed.servers", "desk-1", b"");
    fleet.store.put("keyed.servers", "desk-2", b"");
    fleet.store.put("keyed.servers", "gone", entry.to_string().as_bytes());
    let node = fleet.start("a");
    let response = fleet.nodes[node].plain("/print/", "call-1").unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.runs("call-1"), 0);
}

/// A request whose deadline is a few milliseconds away must be refused unrun, with a `Retry-After`: an
/// engine would start it after its caller has left.
#[test]
fn call_with_no_time_left_is_not_sent() {
    let mut fleet = new_fleet(vec![]);
    let node = fleet.start("a");
    let headers = [("x-request-id", "late-1"), ("x-deadline-ms", "12")];
    let response = fleet.nodes[node].call(Method::POST, "/look/", &headers).unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs("late-1"), 0);
}
