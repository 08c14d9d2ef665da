//! A session from the start of a node to its graceful shutdown, compared with a snapshot; metrics and log
//! output.

use hgw_standins::client::{Caller, Whole};
use hgw_standins::fleet::EngineSettings;
use http::Method;
use rustix::process::Signal;

use hgw_standins::fleet::deployment::{holds, wait};

use crate::new_fleet;

fn format_response(what: &str, response: &Whole) -> String {
    let header = |name: &str| {
        let value = response.headers.get(name).map(|v| v.to_str().unwrap_or("?"));
        value.map(|v| format!(" {name}={v}")).unwrap_or_default()
    };
    let head = ["x-request-id", "x-response-seal", "content-type"].map(header).concat();
    format!("{what}\n  {}{head}\n  {}\n", response.status.as_u16(), response.body.escape_debug())
}

#[test]
fn session_of_one_node() {
    let model = EngineSettings {
        holds: holds(&[("m", &["a1"]), ("n", &[])]),
        events: 3,
        ..EngineSettings::default()
    };
    let mut fleet = new_fleet(vec![model]);
    fleet.store.put("keyed.servers", "desk-2", b"");
    let node = fleet.start("a");
    let mut transcript = String::new();
    {
        let node = &fleet.nodes[node];
        let calls = [("/look/balance", "c-1"), ("/print/voucher?n=1", "c-2"), ("/other/", "c-3")];
        for (path, id) in calls {
            transcript += &format_response(&format!("POST {path}"), &node.plain(path, id).unwrap());
        }
        for (path, id, model) in [("/ask/rules", "s-1", "m"), ("/once/note", "s-2", "m/a1")] {
            let response = node.stream(path, id, model).unwrap();
            transcript += &format_response(&format!("POST {path} of {model}"), &response);
        }
        node.signal(Signal::TERM);
    }
    wait("the process ends", || fleet.nodes[node].ended() == Some(true));
    insta::assert_snapshot!(transcript);
}

/// Requests must be counted by outcome and reason in the metrics.
#[test]
fn metrics_count_what_became_of_requests() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let node = &fleet.nodes[node];
    node.plain("/look/", "c-1").unwrap();
    fleet.engines.iter().for_each(|e| e.refuse(10));
    node.plain("/print/", "c-2").unwrap();
    fleet.engines.iter().for_each(|e| e.refuse(0));
    fleet.engines.iter().for_each(|e| e.fail(10));
    node.plain("/print/", "c-3").unwrap();
    let caller = Caller::new(node.metrics).unwrap();
    let text = caller.call(Method::GET, "/metrics", &[], "").unwrap().body;
    for line in [
        r#"hgw_requests_total{route="look",outcome="served",reason="200"} 1"#,
        r#"hgw_requests_total{route="print",outcome="refused",reason="full"} 1"#,
        r#"hgw_requests_total{route="print",outcome="failed",reason="the engine's own failure"} 1"#,
        r#"hgw_engines{state="ready"} 2"#,
        "hgw_config_version 1",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}

/// If nobody reads the log lines, the process must drop those that do not fit in the pipe and its queue;
/// blocking on output would stop it from serving.
#[test]
fn unread_lines_hold_no_request_up() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start_unread("a");
    let long = "x".repeat(2_000);
    for n in 0..400 {
        let id = format!("{n}-{long}");
        assert_eq!(fleet.nodes[node].plain("/look/", &id).unwrap().status, 200);
    }
    fleet.nodes[node].signal(Signal::TERM);
    wait("the process ends", || fleet.nodes[node].ended() == Some(true));
}
