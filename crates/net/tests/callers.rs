//! What callers see of errors, limits and their own going away.

mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use hgw_net::{CallerLimits, Running, Settings};
use hgw_node::{Action, Answer, Event};
use hgw_wire::upstream::Emitted;
use support::relay::{Relay, settings, start};
use support::{caller, cases, upstream, wait_for};

/// A node before an engine, with limits for callers that a test can reach.
fn node(limits: CallerLimits) -> (Running, SocketAddr, mpsc::Receiver<Event>) {
    let (relay, seen) = Relay::new(&upstream::engine());
    let node = start(Settings { caller: limits, ..settings("n") }, relay);
    let addr = node.addrs().callers;
    (node, addr, seen)
}

fn check_error(line: &str, headers: &[(&str, &str)], body: &str, status: u16, code: &str) {
    let (node, addr, _seen) = node(CallerLimits { body: 1000, ..CallerLimits::default() });
    let answer = caller::send(addr, line, headers, body).whole();
    assert_eq!(answer.status, status, "{}", answer.body);
    let error = answer.json()["error"].clone();
    assert_eq!(error["code"], code, "{error}");
    assert_eq!(error["ran"], "not_run", "{error}");
    assert_eq!(error["request_id"].as_str(), answer.header("x-request-id"), "{error}");
    node.kill();
}

const CHAT: &str = "POST /v1/chat/completions";

cases! {
    check_error:
    a_body_that_is_not_json(CHAT, &[], "{", 400, "bad_request");
    no_messages(CHAT, &[], r#"{"model":"m","messages":[]}"#, 400, "bad_request");
    a_model_that_is_no_name(
        CHAT, &[], r#"{"model":"m m","messages":[{"role":"user","content":"x"}]}"#, 400,
        "bad_request",
    );
    too_many_tokens(
        CHAT, &[],
        r#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":100000}"#, 400,
        "bad_request",
    );
    a_wrong_method("GET /v1/chat/completions", &[], "", 405, "bad_request");
    an_unknown_path("GET /nothing", &[], "", 404, "not_found");
    a_service_that_is_no_name("GET /svc/%20/x", &[], "", 404, "not_found");
    a_deadline_that_is_no_number(CHAT, &[("x-deadline-ms", "soon")], "", 400, "bad_request");
    a_class_that_is_no_name(CHAT, &[("x-priority-class", "a b")], "", 400, "bad_request");
    an_empty_key(CHAT, &[("idempotency-key", "")], "", 400, "bad_request");
    a_body_over_the_limit(CHAT, &[], &"x".repeat(1001), 413, "too_large");
}

#[test]
fn a_body_of_unknown_length_over_the_limit_is_refused() {
    // The caller announces no length and sends chunks without end. The node stops reading at the
    // limit and answers; nothing of the request reaches an upstream.
    let (node, addr, _seen) = node(CallerLimits { body: 1000, ..CallerLimits::default() });
    let mut stream = caller::connect(addr);
    let head = format!("{CHAT} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
    stream.write_all(chunk.as_bytes()).unwrap();
    let answer = caller::read_head(stream).whole();
    assert_eq!((answer.status, answer.json()["error"]["code"].as_str()), (413, Some("too_large")));
    node.kill();
}

#[test]
fn a_head_over_the_limit_is_refused() {
    // A stranger sends header bytes without end. The node refuses at its buffer's size, so that
    // the memory of a connection is bounded.
    let (node, addr, _seen) = node(CallerLimits::default());
    let mut stream = caller::connect(addr);
    let head = format!("GET /livez HTTP/1.1\r\nx-long: {}", "x".repeat(64 << 10));
    // The node may close before it has read everything.
    let _ = stream.write_all(head.as_bytes());
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_eq!(caller::send(addr, "GET /livez", &[], "").whole().status, 200);
    node.kill();
}

#[test]
fn a_head_that_does_not_come_to_its_end_is_given_up() {
    // A stranger sends half a head and then nothing. The node closes the connection after the time
    // for a head, so that such connections do not add up.
    let limits =
        CallerLimits { head_timeout: Duration::from_millis(50), ..CallerLimits::default() };
    let (node, addr, _seen) = node(limits);
    let mut stream = caller::connect(addr);
    stream.write_all(b"GET /livez HTTP/1.1\r\nx-slow: ").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the connection is closed");
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
    node.kill();
}

#[test]
fn a_connection_that_is_never_used_is_closed() {
    // A stranger connects and says nothing. The node closes long before the time that a caller
    // between two requests has, so that strangers cannot hold all connections.
    let limits =
        CallerLimits { head_timeout: Duration::from_millis(50), ..CallerLimits::default() };
    let (node, addr, _seen) = node(limits);
    let mut stream = caller::connect(addr);
    assert_eq!(stream.read(&mut [0]).expect("the connection is closed"), 0);
    node.kill();
}

#[test]
fn a_body_that_does_not_come_to_its_end_is_given_up() {
    // The caller announces ten bytes and sends five. It is told after the time for a body that
    // nothing ran.
    let limits =
        CallerLimits { body_timeout: Duration::from_millis(50), ..CallerLimits::default() };
    let (node, addr, _seen) = node(limits);
    let mut stream = caller::connect(addr);
    let head = format!("{CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhello");
    stream.write_all(head.as_bytes()).unwrap();
    let answer = caller::read_head(stream).whole();
    assert_eq!(answer.status, 400);
    assert_eq!(answer.json()["error"]["ran"], "not_run");
    node.kill();
}

#[test]
fn a_connection_over_the_limit_is_turned_away() {
    // Two connections are allowed and stay open. The third is told at once that the node is full,
    // and when to come back; after one has closed there is room again.
    let (node, addr, _seen) = node(CallerLimits { connections: 2, ..CallerLimits::default() });
    let mut held: Vec<_> = (0..2).map(|_| caller::connect(addr)).collect();
    for stream in &mut held {
        stream.write_all(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        assert!(stream.read(&mut [0; 1024]).is_ok_and(|n| n > 0));
    }
    let answer = caller::read_head(caller::connect(addr)).whole();
    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("1")));
    assert_eq!(answer.json()["error"]["code"], "overloaded");
    held.clear();
    while caller::send(addr, "GET /livez", &[], "").status != 200 {}
    node.kill();
}

#[test]
fn a_request_over_the_limit_is_refused() {
    // One open request is allowed, and its engine does not answer. The second request is refused
    // at once, with a time to come back.
    let silent = upstream::silent();
    let (relay, seen) = Relay::new(&silent);
    let limits = CallerLimits { requests: 1, ..CallerLimits::default() };
    let node = start(Settings { caller: limits, ..settings("n") }, relay);
    let addr = node.addrs().callers;
    std::thread::spawn(move || caller::chat(addr, 1, false));
    wait_for(&seen, |event| matches!(event, Event::CallerRequest { .. }).then_some(()));
    let answer = caller::chat(addr, 1, false).whole();
    assert_eq!((answer.status, answer.header("retry-after")), (429, Some("1")));
    assert_eq!(answer.json()["error"]["ran"], "not_run");
    assert_eq!(answer.json()["error"]["retry_after_ms"], 1000);
    node.kill();
}

#[test]
fn a_caller_that_goes_away_while_it_waits_is_noticed() {
    // The caller closes its connection before the engine has given a token. The machine hears of it
    // and cancels the attempt; the engine is told, and its connection is closed.
    let (tx, cancelled) = mpsc::channel();
    let tx = std::sync::Mutex::new(tx);
    let engine = upstream::serve(move |received, stream| {
        tx.lock().unwrap().send(received.path.clone()).unwrap();
        if received.path == "/cancel" {
            return upstream::respond(stream, 200, &[], "{}");
        }
        upstream::begin_events(stream);
        assert_eq!(stream.read(&mut [0]).unwrap_or(0), 0, "the node closes the connection");
        tx.lock().unwrap().send("closed".into()).unwrap();
    });
    let (relay, seen) = Relay::new(&engine);
    let node = start(settings("n"), relay);
    let mut stream = caller::connect(node.addrs().callers);
    let body = r#"{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}"#;
    let head = format!("{CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).unwrap();
    assert_eq!(cancelled.recv().unwrap(), "/v1/chat/completions");
    drop(stream);
    wait_for(&seen, |event| matches!(event, Event::CallerGone { .. }).then_some(()));
    wait_for(&seen, |event| matches!(event, Event::Ended(_)).then_some(()));
    let mut rest = [cancelled.recv().unwrap(), cancelled.recv().unwrap()];
    rest.sort();
    assert_eq!(rest, ["/cancel", "closed"]);
    node.kill();
}

/// A caller that takes nothing is given up, whatever the pause between two tokens.
fn check_stalled(pause: Duration) {
    // A caller asks for a long answer and reads none of it. Its ring fills and holds its engine
    // back; another caller is served meanwhile. After the bound the connection is closed and the
    // machine hears that the caller has gone.
    let limits = CallerLimits {
        stall: Duration::from_millis(300),
        max_tokens: 1_000_000,
        ..CallerLimits::default()
    };
    // Large tokens, since the system's own buffers hold many megabytes for a connection.
    let engine = upstream::serve(move |received, stream| {
        if received.path != "/v1/chat/completions" {
            return upstream::respond(stream, 200, &[], "{}");
        }
        let (attempt, count) = (received.generate().attempt, received.generate().max_tokens.0);
        upstream::begin_events(stream);
        for index in 0..count {
            std::thread::sleep(pause);
            let text = "x".repeat(20_000);
            if !upstream::emit(stream, &Emitted::Token { attempt, index, text }) {
                return;
            }
        }
        upstream::emit(stream, &upstream::end(attempt, count));
    });
    let (relay, seen) = Relay::new(&engine);
    let node = start(Settings { caller: limits, ..settings("n") }, relay);
    let addr = node.addrs().callers;
    let stuck = caller::chat(addr, 1_000_000, true);
    let other = caller::chat(addr, 50, true).whole();
    assert_eq!(caller::texts(&other.body).0.len(), 50);
    wait_for(&seen, |event| matches!(event, Event::CallerGone { .. }).then_some(()));
    drop(stuck);
    node.kill();
}

cases! {
    check_stalled:
    a_caller_that_takes_nothing_of_a_quick_answer(Duration::ZERO);
    a_caller_that_takes_nothing_of_a_slow_answer(Duration::from_millis(1));
}

#[test]
fn an_answer_that_breaks_off_is_told_from_a_whole_one() {
    // The engine fails after two tokens. The caller has a 200 already: an event tells the failure,
    // and the stream ends without `[DONE]`.
    let engine = upstream::serve(|received, stream| {
        if received.path != "/v1/chat/completions" {
            return upstream::respond(stream, 200, &[], "{}");
        }
        let attempt = received.generate().attempt;
        upstream::begin_events(stream);
        upstream::emit(stream, &upstream::token(attempt, 0));
        upstream::emit(stream, &upstream::token(attempt, 1));
        let reason = "out of memory".into();
        upstream::emit(stream, &Emitted::Failed { attempt, reason });
    });
    let (relay, _seen) = Relay::new(&engine);
    let node = start(settings("n"), relay);
    let answer = caller::chat(node.addrs().callers, 9, true).whole();
    assert!(!caller::texts(&answer.body).1);
    let last = answer.body.trim_end().lines().last().unwrap();
    let error: serde_json::Value =
        serde_json::from_str(last.strip_prefix("data: ").unwrap()).unwrap();
    assert_eq!(error["error"]["message"], "out of memory");
    assert_eq!(error["error"]["ran"], "may_have_run");
    node.kill();
}

#[test]
fn the_list_of_models_and_the_process_paths() {
    let (mut relay, _seen) = Relay::new("");
    relay.hook = Box::new(|event, out| {
        match event {
            Event::CallerRequest { stream, .. } => {
                let answer = Answer::Models(vec!["m".into(), "m:a".into()]);
                out.push(Action::Answer { stream: *stream, answer });
            }
            Event::Stop => out.push(Action::Ready(true)),
            _ => return false,
        }
        true
    });
    let node = start(settings("n"), relay);
    let addr = node.addrs().callers;
    let get = |path: &str| caller::send(addr, &format!("GET {path}"), &[], "").whole();
    let models = get("/v1/models").json();
    assert_eq!(
        (models["object"].as_str(), models["data"][1]["id"].as_str()),
        (Some("list"), Some("m:a"))
    );
    assert_eq!(get("/livez").status, 200);
    assert_eq!(get("/readyz").status, 503);
    // The hook takes the stop as the sign to become ready.
    node.stop();
    while get("/readyz").status != 200 {}
    assert!(get("/metrics").body.contains("hgw_open_streams"));
    node.kill();
}

/// Two calls over one connection; the first one's answer has no body. A byte too many would be taken
/// for the start of the second answer.
fn check_no_body(method: &str, status: u16) {
    let service = upstream::serve(move |received, stream| {
        let id = received.header("x-attempt-id");
        let head =
            format!("HTTP/1.1 {status} X\r\nx-attempt-id: {id}\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
    });
    let (relay, _seen) = Relay::new(&service);
    let node = start(settings("n"), relay);
    let mut stream = caller::connect(node.addrs().callers);
    let head = format!("{method} /svc/s/x HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let (first, mut stream) = caller::read_head_only(stream);
    assert_eq!(first, status);
    stream.write_all(b"GET /livez HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let second = caller::read_head(stream).whole();
    assert_eq!((second.status, second.body.as_str()), (200, "live\n"));
    node.kill();
}

cases! {
    check_no_body:
    an_answer_to_head("HEAD", 200);
    an_answer_without_content("GET", 204);
    an_answer_that_nothing_has_changed("GET", 304);
}
