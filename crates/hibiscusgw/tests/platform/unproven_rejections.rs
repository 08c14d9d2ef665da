//! Engines that have run a request and respond with a status by which its caller would take it for not run.

use hgw_standins::fleet::deployment::{Fleet, holds};
use hgw_standins::fleet::{EngineSettings, FixedResponse};
use http::StatusCode;
use indexmap::IndexMap;

use crate::forwarding::start_cut_nodes;
use crate::new_fleet;

/// Statuses that promise a caller that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Responses of an engine without a statement that the request has not run, by names that requests begin with.
fn responses(engine: &str) -> IndexMap<String, FixedResponse> {
    let named = format!("X-Instance: {engine}\r\nRetry-After: 0.1\r\n");
    let fields = ["", &named, "X-Response-Seal: s\r\n"];
    let all = PROMISES.iter().flat_map(|status| fields.iter().map(move |fields| (status, fields)));
    all.enumerate()
        .map(|(number, (status, fields))| {
            let head = format!("HTTP/1.1 {status} No\r\nX-Request-Id: {{id}}\r\n{fields}");
            let bytes = format!("{head}Content-Length: 6\r\n\r\nfailed").into_bytes();
            (format!("r{number}"), FixedResponse { bytes, keeps_open: true })
        })
        .collect()
}

fn engine(id: &str, service: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        service: service.into(),
        holds: holds(&[("m", &[]), ("n", &[])]),
        fixed: responses(id),
        ..EngineSettings::default()
    }
}

/// Engines that all respond so, one of models and one plain.
fn fleet() -> Fleet {
    let fleet = new_fleet(vec![engine("i-1", "models"), engine("desk-3", "desk")]);
    for id in ["desk-1", "desk-2"] {
        fleet.store.put("keyed.servers", id, b"");
    }
    fleet
}

/// Sends each of the requests twice, under ids of its own, and returns what their callers got and how often they ran.
fn outcomes(fleet: &Fleet, node: usize, path: &str) -> Vec<(String, StatusCode, bool, u32)> {
    let names: Vec<String> = responses("").into_keys().collect();
    let ids = names.iter().flat_map(|name| (1..=2).map(move |n| format!("{name}.{n}")));
    ids.map(|id| {
        let node = &fleet.nodes[node];
        let response = match path {
            "/once/" | "/ask/" => node.stream(path, &id, "m"),
            _ => node.plain(path, &id),
        };
        let response = response.unwrap();
        let is_sealed = response.headers.contains_key("x-response-seal");
        let runs = fleet.runs(&id);
        (id, response.status, is_sealed, runs)
    })
    .collect()
}

fn no_promise_is_broken(fleet: &Fleet, node: usize, path: &str) {
    let outcomes = outcomes(fleet, node, path);
    let have_run = outcomes.iter().filter(|(.., runs)| *runs > 0);
    assert!(have_run.clone().count() * 2 > outcomes.len(), "{outcomes:?}");
    for (id, status, is_sealed, runs) in have_run {
        let promises = PROMISES.contains(&status.as_u16());
        assert_eq!((promises, *is_sealed, *runs), (false, false, 1), "{id}: {status}");
    }
}

macro_rules! paths {
    ($($name:ident, $forwarded:ident: $path:literal;)*) => {
        $(
            /// Guards against a caller that repeats a request that has run, as a status without the engine's statement
            /// told it that it has not.
            #[test]
            fn $name() {
                let mut fleet = fleet();
                let node = fleet.start("a");
                no_promise_is_broken(&fleet, node, $path);
            }

            /// Guards against the same where another node sends the request to the engine.
            #[test]
            fn $forwarded() {
                let mut fleet = fleet();
                start_cut_nodes(&mut fleet, &["a", "b"], 1);
                no_promise_is_broken(&fleet, 0, $path);
            }
        )*
    };
}

paths! {
    unsafe_call_that_may_have_run_is_promised_nothing, forwarded_call_that_may_have_run_is_promised_nothing: "/print/";
    stream_that_may_have_run_is_promised_nothing, forwarded_stream_that_may_have_run_is_promised_nothing: "/once/";
}

/// Guards against a call that may be repeated and is not, as its engine's failure looks like a rejection.
#[test]
fn call_that_may_be_repeated_goes_to_another_engine() {
    let mut fleet = new_fleet(vec![engine("desk-3", "desk")]);
    fleet.store.put("keyed.servers", "desk-2", b"");
    let node = fleet.start("a");
    let outcomes = outcomes(&fleet, node, "/look/");
    let served = outcomes.iter().filter(|(_, status, _, _)| *status == StatusCode::OK).count();
    assert!(served * 4 >= outcomes.len() * 3, "{outcomes:?}");
}
