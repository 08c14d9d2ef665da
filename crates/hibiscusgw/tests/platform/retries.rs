//! Second attempts after failures of engines' own.

use hgw_standins::client::Caller;
use http::{Method, StatusCode};

use crate::new_fleet;

/// Calls until a node has learned that second attempts fail as well; some are left to chance.
const LEARNING_CALLS: u32 = 15;

/// Calls of which few are sent twice, to notice a change, and at most how many.
const LEARNED_CALLS: u32 = 30;
const MAX_EXPLORED: u32 = 9;

const SENT_TWICE: u32 = 2;

/// Guards against reads that fail everywhere and take two engines each, and against a node that gives up at once or
/// for good.
#[test]
fn read_that_fails_everywhere_is_sent_once_after_a_while() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    fleet.engines.iter().for_each(|engine| engine.fail(u32::MAX));
    let call = |id: &str| fleet.nodes[node].plain("/look/", id).unwrap();
    for n in 0..LEARNING_CALLS {
        let response = call(&format!("learn-{n}"));
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert!(response.headers.contains_key("x-response-seal"), "{response:?}");
    }
    assert_eq!(
        fleet.runs("learn-0"),
        SENT_TWICE,
        "a node that knows nothing makes a second attempt"
    );
    let ids: Vec<String> = (0..LEARNED_CALLS).map(|n| format!("once-{n}")).collect();
    for id in &ids {
        assert_eq!(call(id).status, StatusCode::INTERNAL_SERVER_ERROR);
    }
    let twice = ids.iter().filter(|id| fleet.runs(id) == SENT_TWICE).count();
    assert!(twice as u32 <= MAX_EXPLORED, "{twice} of {LEARNED_CALLS} were sent twice");
    let caller = Caller::new(fleet.nodes[node].metrics).unwrap();
    let metrics = caller.call(Method::GET, "/metrics", &[], "").unwrap().body;
    for outcome in ["failed", "unlikely"] {
        let name = format!(r#"hgw_second_attempts_total{{route="look",outcome="{outcome}"}}"#);
        assert!(metrics.contains(&name), "{name} is not in\n{metrics}");
    }
}

/// Guards against failures of one engine that reach callers although another one serves them.
#[test]
fn read_that_one_engine_fails_is_served_by_another() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    fleet.engine("desk-1").fail(u32::MAX);
    for n in 0..60 {
        let response = fleet.nodes[node].plain("/look/", &format!("call-{n}")).unwrap();
        assert_eq!(response.status, StatusCode::OK, "call {n}");
    }
    assert!(!fleet.engine("desk-1").record().runs.is_empty(), "the engine got calls");
}
