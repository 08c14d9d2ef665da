//! What a caller gets when an upstream or its connection fails.

mod support;

use std::io::Read;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use hgw_node::{Action, Ended, Event};
use hgw_types::{AttemptId, Tokens};
use hgw_wire::peer::Outcome;
use hgw_wire::upstream::Emitted;
use support::relay::{Relay, settings, start};
use support::upstream::{begin_events, emit, end, respond, token};
use support::{caller, cases, upstream, wait_for};

/// Asks a node before this engine for four tokens, and gives the caller's texts, whether they were
/// said to be all, and how the attempt ended.
fn ask(engine: &str, silence: Duration) -> (Vec<String>, bool, Outcome) {
    let (mut relay, seen) = Relay::new(engine);
    relay.silence = silence;
    let node = start(settings("n"), relay);
    let answer = caller::chat(node.addrs().callers, 4, true).whole();
    let outcome = wait_for(&seen, |event| match event {
        Event::Ended(Ended { outcome, .. }) => Some(outcome),
        _ => None,
    });
    node.kill();
    let (texts, done) = caller::texts(&answer.body);
    (texts, done, outcome)
}

const LONG: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(150);
const WHOLE: [&str; 4] = ["t0 ", "t1 ", "t2 ", "t3 "];

/// An engine whose first answer is `first`, and whose later ones resume where the node asks.
fn failing_once(
    first: impl Fn(AttemptId, &mut std::net::TcpStream) + Send + Sync + 'static,
) -> String {
    let asked = AtomicU32::new(0);
    upstream::serve(move |received, stream| {
        if received.path != "/v1/chat/completions" {
            return respond(stream, 200, &[], "{}");
        }
        let generate = received.generate();
        begin_events(stream);
        if asked.fetch_add(1, Ordering::Relaxed) == 0 {
            return first(generate.attempt, stream);
        }
        // One token that the caller has already: engines may go back a little.
        let have = generate.resume.len() as u32;
        for index in have.saturating_sub(1)..generate.max_tokens.0 {
            emit(stream, &token(generate.attempt, index));
        }
        emit(stream, &end(generate.attempt, generate.max_tokens.0));
    })
}

#[test]
fn a_silent_connection_is_replaced_without_gap_or_repeat() {
    // Two tokens come, then the connection goes silent although both ends see it open. The node
    // opens a new one and resumes there; the caller sees four tokens, each once.
    let engine = failing_once(|attempt, stream| {
        emit(stream, &token(attempt, 0));
        emit(stream, &token(attempt, 1));
        // Held open until the node closes it.
        let _ = stream.read(&mut [0]);
    });
    let (texts, done, outcome) = ask(&engine, SHORT);
    assert_eq!((texts, done, outcome), (WHOLE.map(String::from).to_vec(), true, Outcome::Whole(4)));
}

/// Pause of an engine, which is longer than `SHORT` and shorter than twice that.
const PAUSE: Duration = Duration::from_millis(230);

/// An engine that pauses after two tokens of its first answer, on all of its connections, and then goes on unless it was
/// told to end that. Counts what it was asked for, and what it was told to end.
fn pausing_engine() -> (String, Arc<[AtomicU32; 2]>) {
    let counts = Arc::new([AtomicU32::new(0), AtomicU32::new(0)]);
    let counted = Arc::clone(&counts);
    let paused_until = Mutex::new(None::<Instant>);
    let addr = upstream::serve(move |received, stream| {
        let until = *paused_until.lock().unwrap();
        thread::sleep(until.map_or(Duration::ZERO, |until| until - Instant::now().min(until)));
        let [asked, ended] = &*counted;
        if received.path != "/v1/chat/completions" {
            ended.fetch_add(u32::from(received.path == "/cancel"), Ordering::Relaxed);
            return respond(stream, 200, &[], "{}");
        }
        let generate = received.generate();
        let have = generate.resume.len() as u32;
        begin_events(stream);
        let is_first = asked.fetch_add(1, Ordering::Relaxed) == 0;
        for index in have..generate.max_tokens.0 {
            if is_first && index == have + 2 {
                *paused_until.lock().unwrap() = Some(Instant::now() + PAUSE);
                thread::sleep(PAUSE);
            }
            if !emit(stream, &token(generate.attempt, index)) {
                return;
            }
        }
        emit(stream, &end(generate.attempt, generate.max_tokens.0));
    });
    (addr, counts)
}

/// Guards against ending the run of an engine that pauses for longer than the limit of silence and goes on.
#[test]
fn an_engine_that_pauses_on_all_connections_keeps_its_run() {
    let (engine, counts) = pausing_engine();
    let (texts, done, outcome) = ask(&engine, SHORT);
    assert_eq!((texts, done, outcome), (WHOLE.map(String::from).to_vec(), true, Outcome::Whole(4)));
    let [asked, ended] = [0, 1].map(|n| counts[n].load(Ordering::Relaxed));
    assert_eq!((asked, ended), (1, 0), "asked for, told to end");
}

#[test]
fn a_broken_connection_is_replaced_without_gap_or_repeat() {
    // Three tokens come, then the connection is closed without the last event: a whole answer and a
    // cut one look alike to HTTP here. The node resumes on a new connection.
    let engine = failing_once(|attempt, stream| {
        (0..3).for_each(|index| assert!(emit(stream, &token(attempt, index))));
    });
    let (texts, done, outcome) = ask(&engine, LONG);
    assert_eq!((texts, done, outcome), (WHOLE.map(String::from).to_vec(), true, Outcome::Whole(4)));
}

#[test]
fn an_upstream_that_is_silent_twice_is_given_up() {
    // The new connection goes silent too. The attempt ends as broken, which may have run; the
    // caller's stream ends with an error and without `[DONE]`.
    let engine = upstream::serve(|received, stream| {
        if received.path != "/v1/chat/completions" {
            return respond(stream, 200, &[], "{}");
        }
        begin_events(stream);
        let _ = stream.read(&mut [0]);
    });
    let (texts, done, outcome) = ask(&engine, SHORT);
    assert_eq!((texts.len(), done), (0, false));
    assert_matches!(outcome, Outcome::Broken(_));
}

/// Somebody else's answer or a damaged one: nothing behind the fault reaches the caller.
fn check_bad_event(bad: impl Fn(AttemptId) -> String + Send + Sync + 'static) {
    let engine = upstream::serve(move |received, stream| {
        if received.path != "/v1/chat/completions" {
            return respond(stream, 200, &[], "{}");
        }
        let attempt = received.generate().attempt;
        begin_events(stream);
        emit(stream, &token(attempt, 0));
        use std::io::Write;
        stream.write_all(format!("data: {}\n\n", bad(attempt)).as_bytes()).unwrap();
        emit(stream, &token(attempt, 1));
        emit(stream, &end(attempt, 2));
        let _ = stream.read(&mut [0]);
    });
    let (texts, done, outcome) = ask(&engine, LONG);
    assert_eq!((texts, done), (vec!["t0 ".to_string()], false));
    assert_matches!(outcome, Outcome::Broken(_));
}

fn json(event: &Emitted) -> String {
    serde_json::to_string(event).unwrap()
}

fn other(attempt: AttemptId) -> AttemptId {
    AttemptId { seq: attempt.seq + 1, ..attempt }
}

cases! {
    check_bad_event:
    a_token_of_another_attempt(|attempt| json(&token(other(attempt), 1)));
    an_end_of_another_attempt(|attempt| json(&end(other(attempt), 1)));
    a_token_after_a_gap(|attempt| json(&token(attempt, 2)));
    an_end_that_counts_more_tokens(|attempt| json(&end(attempt, 5)));
    an_event_that_is_not_json(|_| "{".into());
    an_event_over_the_limit(|_| "x".repeat(100_000));
}

/// Refusals before the work: the caller is told that nothing ran.
fn check_not_run(engine: &str) {
    let (relay, _seen) = Relay::new(engine);
    let node = start(settings("n"), relay);
    let answer = caller::chat(node.addrs().callers, 4, true).whole();
    assert_eq!((answer.status, answer.header("retry-after")), (502, Some("2")));
    assert_eq!(answer.json()["error"]["ran"], "not_run");
    node.kill();
}

cases! {
    check_not_run:
    // Port 1 of loopback has no listener.
    an_engine_that_cannot_be_reached("127.0.0.1:1");
    an_engine_that_refuses(&upstream::serve(|_, stream| respond(stream, 503, &[], "full")));
}

/// A plain call whose answer is lost: it may have run, and it is never sent again.
fn check_plain_lost(answer: impl Fn(&str, &mut std::net::TcpStream) + Send + Sync + 'static) {
    let calls = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&calls);
    let service = upstream::serve(move |received, stream| {
        // What the service is asked beside is no call.
        counter.fetch_add(u32::from(received.path != "/load"), Ordering::Relaxed);
        answer(received.header("x-attempt-id"), stream);
    });
    let (mut relay, _seen) = Relay::new(&service);
    relay.silence = SHORT;
    let node = start(settings("n"), relay);
    let answer = caller::send(node.addrs().callers, "POST /svc/s/x", &[], "").whole();
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_eq!(answer.json()["error"]["ran"], "may_have_run");
    assert_eq!(calls.load(Ordering::Relaxed), 1);
    node.kill();
}

cases! {
    check_plain_lost:
    a_call_whose_connection_goes_silent(|_, stream| { let _ = stream.read(&mut [0]); });
    a_call_whose_connection_breaks(|_, _| {});
    a_call_that_gets_the_answer_of_another(|_, stream| {
        respond(stream, 200, &[("x-attempt-id", "0000000000000001-1")], "voucher 17");
    });
    a_call_that_gets_an_answer_without_an_id(|_, stream| respond(stream, 200, &[], "voucher 17"));
}

/// Guards against a call that fails as its service pauses for longer than the limit of silence and goes on.
#[test]
fn a_service_that_pauses_on_all_connections_answers_its_call() {
    let calls = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&calls);
    let pause_end = Instant::now() + LONG;
    let pause_end = Mutex::new(pause_end);
    let service = upstream::serve(move |received, stream| {
        if received.path != "/load" {
            counter.fetch_add(1, Ordering::Relaxed);
            *pause_end.lock().unwrap() = Instant::now() + PAUSE;
        }
        let until = *pause_end.lock().unwrap();
        thread::sleep(until.saturating_duration_since(Instant::now()));
        respond(stream, 200, &[("x-attempt-id", received.header("x-attempt-id"))], "voucher 17");
    });
    let (mut relay, _seen) = Relay::new(&service);
    relay.silence = SHORT;
    let node = start(settings("n"), relay);
    let answer = caller::send(node.addrs().callers, "POST /svc/s/x", &[], "").whole();
    assert_eq!((answer.status, answer.body.as_str()), (200, "voucher 17"));
    assert_eq!(calls.load(Ordering::Relaxed), 1);
    node.kill();
}

#[test]
fn a_plain_answer_that_breaks_off_is_not_taken_for_a_whole_one() {
    // The upstream announces ten bytes, sends five and closes. The caller has the head already; its
    // connection is closed in the middle of the body, without the last chunk.
    let service = upstream::serve(|received, stream| {
        use std::io::Write;
        let id = received.header("x-attempt-id");
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\ncontent-length: 10\r\n\r\n");
        stream.write_all((head + "hello").as_bytes()).unwrap();
    });
    let (relay, _seen) = Relay::new(&service);
    let node = start(settings("n"), relay);
    let answer = caller::send(node.addrs().callers, "GET /svc/s/x", &[], "").whole();
    assert_eq!((answer.status, answer.complete), (200, false));
    node.kill();
}

/// Guards against bytes that are no answer being handed on as one.
#[test]
fn a_plain_answer_whose_head_is_broken_is_not_handed_on() {
    const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";
    let heads = [
        ("HTTP/1.1 000 X", "Content-Length: 5", "hello"),
        ("HTTP/1.1 600 X", "Content-Length: 5", "hello"),
        ("HTTP/1.1 999 X", "Content-Length: 5", "hello"),
        ("HTTP/1.1 200 OK", "Content-Length: +5", "hello"),
        ("HTTP/1.1 200 OK", "Content-Length: 5, 6", "hello"),
        ("HTTP/1.1 200 OK", "X Y: z", "hello"),
        ("HTTP/1.1 200 OK", "X\x01Y: z", "hello"),
        ("HTTP/1.1 200 OK", "no field", "hello"),
        ("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked", CHUNKS),
        ("HTTP/1.1 200 OK", "Transfer-Encoding: chunked, gzip", CHUNKS),
        ("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", CHUNKS),
        ("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", CHUNKS),
    ];
    for (status_line, field, body) in heads {
        check_plain_lost(move |id, stream| {
            use std::io::Write;
            let answer = format!("{status_line}\r\nx-attempt-id: {id}\r\n{field}\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).unwrap();
        });
    }
}

/// A signal from one answer to another.
fn rendezvous() -> (impl Fn() + Send + Sync, impl Fn() + Send + Sync) {
    let (tx, rx) = mpsc::channel();
    let (tx, rx) = (Mutex::new(tx), Mutex::new(rx));
    (move || tx.lock().unwrap().send(()).unwrap(), move || rx.lock().unwrap().recv().unwrap())
}

/// An engine whose first answer stops after two tokens and sends a third one too late: when the
/// second answer, which resumes, has begun.
fn late_engine() -> String {
    let (moved, wait_move) = rendezvous();
    let (late, wait_late) = rendezvous();
    upstream::serve(move |received, stream| {
        if received.path != "/v1/chat/completions" {
            return respond(stream, 200, &[], "{}");
        }
        let generate = received.generate();
        begin_events(stream);
        let have = generate.resume.len() as u32;
        if have > 0 {
            moved();
            wait_late();
            for index in have..4 {
                emit(stream, &token(generate.attempt, index));
            }
            emit(stream, &end(generate.attempt, 4));
            return;
        }
        emit(stream, &token(generate.attempt, 0));
        emit(stream, &token(generate.attempt, 1));
        wait_move();
        let text = "late".into();
        emit(stream, &Emitted::Token { attempt: generate.attempt, index: 2, text });
        late();
        let _ = stream.read(&mut [0]);
    })
}

#[test]
fn a_seal_says_what_the_caller_was_given_and_lets_nothing_more_through() {
    // Two tokens come and the engine stops for a while; the machine seals the stream, as it does
    // before it moves to another engine. What the first engine sends later is dropped, and the
    // second attempt goes on at the next token: the caller sees no gap and no repeat.
    let engine = late_engine();
    let (mut relay, seen) = Relay::new(&engine);
    let (mut stream, mut started) = (None, false);
    let addr = engine.clone();
    relay.hook = Box::new(move |event, out| match event {
        Event::CallerRequest { stream: id, .. } => {
            stream = Some(*id);
            false
        }
        // The hook takes the stop as the sign to move.
        Event::Stop => {
            out.push(Action::Seal { stream: stream.unwrap() });
            true
        }
        Event::Sealed { stream, tokens, .. } if !started => {
            started = true;
            let attempt = AttemptId { boot: 8, seq: 1 };
            out.push(Action::Attach { stream: *stream, attempt });
            let work = hgw_wire::peer::Work::Model(hgw_wire::peer::ModelWork {
                model: "m".parse().unwrap(),
                version: "1".parse().unwrap(),
                adapter: None,
                prompt: "".into(),
                max_tokens: Tokens(4),
                resume: tokens.clone(),
            });
            out.push(Action::Start {
                attempt,
                upstream: "u".parse().unwrap(),
                addr: addr.clone(),
                work,
                priority: 0,
                silence: LONG,
                sink: hgw_node::Sink::Caller,
            });
            true
        }
        Event::Ended(ended) if ended.attempt.boot == 8 => {
            out.push(Action::Answer { stream: stream.unwrap(), answer: hgw_node::Answer::Whole });
            true
        }
        _ => false,
    });
    let node = start(settings("n"), relay);
    let mut answer = caller::chat(node.addrs().callers, 4, true);
    let mut body = String::new();
    while !body.contains("t1 ") {
        body.push_str(&answer.line());
    }
    node.stop();
    let tokens = wait_for(&seen, |event| match event {
        Event::Sealed { tokens, .. } => Some(tokens),
        _ => None,
    });
    assert_eq!(tokens.iter().map(|t| &**t).collect::<Vec<_>>(), ["t0 ", "t1 "]);
    while !body.contains("[DONE]") {
        body.push_str(&answer.line());
    }
    assert_eq!(caller::texts(&body), (WHOLE.map(String::from).to_vec(), true));
    node.kill();
}
