//! Connections that callers keep open between requests.

use std::io;
use std::time::{Duration, Instant};

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, Node, configuration, holds, wait};
use hgw_standins::kept_caller::{KeptCaller, KeptResponse};
use http::Method;
use rustix::process::Signal;

use crate::new_fleet;

/// Connections of one play.
const CALLERS: usize = 48;

/// Idle limit of a node that does not run for a moment. Its callers have a second for what they send before.
const LIMIT: Duration = Duration::from_secs(6);
const IDLE_BEFORE_STALL: Duration = Duration::from_millis(3_800);
const STALL: Duration = Duration::from_millis(3_500);

/// A limit that no test reaches, and the shorter one that follows it.
const LONG_LIMIT: Duration = Duration::from_secs(15);
const SHORT_LIMIT: Duration = Duration::from_secs(1);

/// Idle limit beside streams that take [`STREAM_EVENTS`] times [`EVENT_PAUSE`].
const STREAM_LIMIT: Duration = Duration::from_millis(1_500);
const STREAM_EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Publishes a configuration with this idle limit, and waits until the node has it.
fn set_idle_limit(fleet: &Fleet, node: usize, version: u64, limit: Duration) {
    let mut config = configuration(version);
    config["limits"]["idleTimeoutMs"] = (limit.as_millis() as u64).into();
    fleet.publish(&config);
    let in_force = format!("hgw_config_version {version}");
    wait("the configuration is in force", || metrics(&fleet.nodes[node]).contains(&in_force));
}

fn metrics(node: &Node) -> String {
    Caller::new(node.metrics).unwrap().call(Method::GET, "/metrics", &[], "").unwrap().body
}

fn send(caller: &mut KeptCaller, id: &str) -> io::Result<()> {
    caller.send(
        "/print/",
        &[("host", HOST), ("x-request-id", id), ("x-deadline-ms", "8000")],
        "body",
    )
}

fn send_stream(caller: &mut KeptCaller, id: &str) -> io::Result<()> {
    let prompt = format!("a1:60,{id}:40");
    let headers = [
        ("host", HOST),
        ("x-request-id", id),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-tokens", "100,120"),
        ("x-prompt-prefix", &prompt),
    ];
    caller.send("/once/", &headers, "body")
}

/// Opens connections with one complete response on each.
fn used_connections(node: &Node) -> Vec<KeptCaller> {
    (0..CALLERS)
        .map(|n| {
            let mut caller = KeptCaller::connect(node.callers).unwrap();
            send(&mut caller, &format!("a{n:x}")).unwrap();
            assert_eq!(caller.receive().unwrap().status, 200);
            caller
        })
        .collect()
}

/// Sends a second request on each connection.
fn send_again(callers: &mut [KeptCaller]) {
    for (n, caller) in callers.iter_mut().enumerate() {
        // The connection may have been closed, which the missing response tells.
        let _ = send(caller, &format!("b{n:x}"));
    }
}

/// Waits for the responses; returns the connections without one.
fn unanswered(callers: &mut [KeptCaller], expected: impl Fn(&KeptResponse) -> bool) -> usize {
    let responses = callers.iter_mut().map(KeptCaller::receive);
    responses.filter(|response| !response.as_ref().is_ok_and(&expected)).count()
}

/// Whether a caller got a response or was told that its request has not run: all send at once, which may be more than the
/// engines have places for.
fn is_final(response: &KeptResponse) -> bool {
    matches!(response.status, 200 | 503)
}

/// Guards against requests that are closed unread by a node that takes the time in which it did not run for its
/// callers' silence.
#[test]
fn requests_are_read_by_a_node_that_did_not_run_for_a_moment() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    set_idle_limit(&fleet, node, 2, LIMIT);
    let opened_at = Instant::now();
    let mut callers = used_connections(&fleet.nodes[node]);
    std::thread::sleep(IDLE_BEFORE_STALL);
    fleet.nodes[node].signal(Signal::STOP);
    send_again(&mut callers);
    assert!(
        opened_at.elapsed() <= LIMIT * 4 / 5,
        "callers use a connection within four fifths of the limit"
    );
    std::thread::sleep(STALL);
    fleet.nodes[node].signal(Signal::CONT);
    assert_eq!(unanswered(&mut callers, is_final), 0, "of {CALLERS} have no answer");
}

/// Guards against connections that are closed by a limit of which their callers could not know as they last used them.
#[test]
fn shorter_limit_counts_from_the_next_use_of_a_connection() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    set_idle_limit(&fleet, node, 2, LONG_LIMIT);
    let mut callers = used_connections(&fleet.nodes[node]);
    set_idle_limit(&fleet, node, 3, SHORT_LIMIT);
    std::thread::sleep(3 * SHORT_LIMIT);
    send_again(&mut callers);
    assert_eq!(unanswered(&mut callers, is_final), 0, "of {CALLERS} have no answer");
    wait("unused connections are closed", || {
        metrics(&fleet.nodes[node]).contains("hgw_connections_open 0\n")
    });
}

/// Guards against connections that outlast their limit, as this was longer when their next check was planned.
#[test]
fn limit_that_is_raised_and_lowered_again_holds() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    set_idle_limit(&fleet, node, 2, LIMIT);
    let mut callers = used_connections(&fleet.nodes[node]);
    set_idle_limit(&fleet, node, 3, Duration::from_secs(600));
    // The first limit passes, and the longer one holds.
    std::thread::sleep(LIMIT + SHORT_LIMIT);
    set_idle_limit(&fleet, node, 4, LIMIT);
    send_again(&mut callers);
    assert_eq!(unanswered(&mut callers, is_final), 0);
    wait("unused connections are closed", || {
        metrics(&fleet.nodes[node]).contains("hgw_connections_open 0\n")
    });
}

/// Guards against callers that hold a connection for ever by a head that does not end.
#[test]
fn head_that_does_not_end_is_given_up() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let mut config = configuration(2);
    config["limits"]["headerTimeoutMs"] = 1_000.into();
    fleet.publish(&config);
    wait("the configuration is in force", || {
        metrics(&fleet.nodes[node]).contains("hgw_config_version 2")
    });
    let mut first = KeptCaller::connect(fleet.nodes[node].callers).unwrap();
    let mut used = KeptCaller::connect(fleet.nodes[node].callers).unwrap();
    send(&mut used, "a1").unwrap();
    assert_eq!(used.receive().unwrap().status, 200);
    for caller in [&mut first, &mut used] {
        caller.send_part("POST /print/ HTTP/1.1\r\nhost:").unwrap();
    }
    first.wait_end().unwrap();
    used.wait_end().unwrap();
}

/// Guards against a connection that is closed after a stream as if it had been idle meanwhile.
#[test]
fn stream_longer_than_the_limit_is_no_idle_time() {
    let mut fleet = new_fleet(vec![EngineSettings {
        id: "i-1".into(),
        holds: holds(&[("m", &[])]),
        slots: 64,
        pause: EVENT_PAUSE,
        events: STREAM_EVENTS,
        ..EngineSettings::default()
    }]);
    let node = fleet.start("a");
    set_idle_limit(&fleet, node, 2, STREAM_LIMIT);
    let addr = fleet.nodes[node].callers;
    let mut callers: Vec<_> = (0..16).map(|_| KeptCaller::connect(addr).unwrap()).collect();
    for (n, caller) in callers.iter_mut().enumerate() {
        send_stream(caller, &format!("a{n:x}")).unwrap();
    }
    let is_kept = |response: &KeptResponse| response.status == 200 && !response.closes;
    assert_eq!(unanswered(&mut callers, is_kept), 0);
    std::thread::sleep(Duration::from_millis(50));
    send_again(&mut callers);
    assert_eq!(unanswered(&mut callers, is_final), 0, "of 16 have no answer after their stream");
}

/// Guards against requests that are closed unread as a late node begins to close its connections on a planned stop.
#[test]
fn requests_are_read_before_a_stopping_node_closes_connections() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    let mut callers = used_connections(&fleet.nodes[node]);
    fleet.nodes[node].signal(Signal::TERM);
    // The node closes idle connections 3.3 s after the signal.
    std::thread::sleep(Duration::from_secs(1));
    fleet.nodes[node].signal(Signal::STOP);
    send_again(&mut callers);
    std::thread::sleep(STALL);
    fleet.nodes[node].signal(Signal::CONT);
    let is_refused = |response: &KeptResponse| response.status == 503 && response.closes;
    assert_eq!(unanswered(&mut callers, is_refused), 0, "of {CALLERS} have no answer");
}

/// Guards against requests on new connections that are reset as the process ends, which is late.
#[test]
fn requests_on_new_connections_are_read_before_the_process_ends() {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    fleet.nodes[node].signal(Signal::TERM);
    // The process ends 3.3 s after the signal.
    std::thread::sleep(Duration::from_secs(1));
    fleet.nodes[node].signal(Signal::STOP);
    let connect = |_| KeptCaller::connect(fleet.nodes[node].callers).unwrap();
    let mut callers: Vec<_> = (0..CALLERS).map(connect).collect();
    send_again(&mut callers);
    std::thread::sleep(STALL);
    fleet.nodes[node].signal(Signal::CONT);
    let is_refused = |response: &KeptResponse| response.status == 503 && response.closes;
    assert_eq!(unanswered(&mut callers, is_refused), 0, "of {CALLERS} have no answer");
    wait("the process ends", || fleet.nodes[node].ended() == Some(true));
}
