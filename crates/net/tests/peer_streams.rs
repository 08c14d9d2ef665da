//! Answers that come by way of a peer: credit, and a peer that goes away.

mod support;

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use assert_matches::assert_matches;
use hgw_net::{PeerLimits, Running, Settings};
use hgw_node::{Action, Ended, Event};
use hgw_wire::peer::{Message, Outcome};
use hgw_wire::upstream::Emitted;
use support::relay::{Relay, settings, start};
use support::{caller, upstream, wait_for};

/// Time without an event after which an attempt is taken to wait.
const QUIET: Duration = Duration::from_millis(500);

/// An engine whose long answers have large tokens: more than the system's own buffers hold.
fn engine() -> String {
    upstream::serve(|received, stream| {
        if received.path != "/v1/chat/completions" {
            return upstream::respond(stream, 200, &[], "{}");
        }
        let (attempt, count) = (received.generate().attempt, received.generate().max_tokens.0);
        let size = if count > 100 { 10_000 } else { 5 };
        upstream::begin_events(stream);
        for index in 0..count {
            let text = format!("{index} ").repeat(size);
            if !upstream::emit(stream, &Emitted::Token { attempt, index, text }) {
                return;
            }
        }
        upstream::emit(stream, &upstream::end(attempt, count));
    })
}

/// An entry node, the dispatcher behind it, and what the dispatcher's machine sees.
fn pair() -> (Running, Running, mpsc::Receiver<Event>) {
    let (dispatcher, seen) = Relay::new(&engine());
    let (entry, dispatcher) = joined(dispatcher);
    (entry, dispatcher, seen)
}

/// An entry node before this dispatcher.
fn joined(dispatcher: Relay) -> (Running, Running) {
    joined_with(dispatcher, &PeerLimits::default())
}

fn joined_with(dispatcher: Relay, limits: &PeerLimits) -> (Running, Running) {
    let named = |name| Settings { peer: limits.clone(), ..settings(name) };
    let dispatcher = start(named("b"), dispatcher);
    let peers = dispatcher.addrs().peers.to_string();
    let (mut entry, _) = Relay::new("");
    entry.via = Some("b".parse().unwrap());
    entry.hook = Box::new(move |event, out| {
        if matches!(event, Event::CallerRequest { .. }) {
            out.push(Action::Connect { peer: "b".parse().unwrap(), addr: peers.clone() });
        }
        false
    });
    (start(named("a"), entry), dispatcher)
}

#[test]
fn a_slow_caller_holds_its_own_stream_back_and_no_other() {
    // A caller at one node reads nothing of a long answer that comes by way of a peer. Credit runs
    // out and its engine waits; the other stream over the same connection goes on, and the first
    // one comes whole once its caller reads.
    let (entry, dispatcher, _seen) = pair();
    let addr = entry.addrs().callers;
    let slow = caller::chat(addr, 1000, true);
    for _ in 0..5 {
        let quick = caller::chat(addr, 100, true).whole();
        assert_eq!(caller::texts(&quick.body).0.len(), 100);
    }
    let (texts, done) = caller::texts(&slow.whole().body);
    assert_eq!((texts.len(), done), (1000, true));
    for (index, text) in texts.iter().enumerate() {
        assert!(text.starts_with(&format!("{index} ")));
    }
    entry.kill();
    dispatcher.kill();
}

#[test]
fn answers_do_not_crowd_messages_out() {
    // Many answers at once come by way of a peer, more chunks than the connection's queue holds.
    // Chunks wait for room; a message that found none would cost the connection, and with it all
    // the answers. Every caller gets its whole answer.
    const CALLERS: usize = 20;
    let peer = PeerLimits { queue: 64, ..PeerLimits::default() };
    let (dispatcher, _seen) = Relay::new(&upstream::engine());
    let (entry, dispatcher) = joined_with(dispatcher, &peer);
    let addr = entry.addrs().callers;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| thread::spawn(move || caller::texts(&caller::chat(addr, 3000, true).whole().body)))
        .collect();
    for caller in callers {
        let (texts, done) = caller.join().unwrap();
        assert_eq!((texts.len(), done), (3000, true));
    }
    entry.kill();
    dispatcher.kill();
}

#[test]
fn an_attempt_ends_when_the_peer_that_it_is_for_goes_away() {
    // A caller at one node reads nothing, so the dispatcher's attempt waits for credit. Then the
    // caller's node dies. Credit will never come: the attempt ends by itself, and its engine is
    // free for others.
    let (entry, dispatcher, seen) = pair();
    let slow = caller::chat(entry.addrs().callers, 8000, true);
    // Progress stops when the ring, the credit and the sockets' buffers are full.
    while seen.recv_timeout(QUIET).is_ok() {}
    entry.kill();
    let outcome = wait_for(&seen, |event| match event {
        Event::Ended(Ended { outcome, .. }) => Some(outcome),
        _ => None,
    });
    assert_matches!(outcome, Outcome::Broken(_));
    drop(slow);
    dispatcher.kill();
}

#[test]
fn an_end_that_counts_more_than_came_is_not_taken_for_a_whole_answer() {
    // A connection between two nodes breaks in the middle of an answer and another one stands
    // before the end is reported: the chunks on the old one are lost. The caller must not be told
    // that its cut answer is whole.
    let (mut dispatcher, _seen) = Relay::new("");
    dispatcher.hook = Box::new(|event, out| {
        let Event::Message { from, message } = event else { return false };
        let Message::Submit(submit) = &**message else { return false };
        let (attempt, outcome) = (submit.attempt, Outcome::Whole(3));
        let ended = Message::Ended { attempt, outcome, answer: None, delay_us: 0 };
        out.push(Action::Send { to: from.clone(), message: Box::new(ended) });
        true
    });
    let (entry, dispatcher) = joined(dispatcher);
    let answer = caller::chat(entry.addrs().callers, 3, true).whole();
    assert_eq!(answer.status, 502);
    assert_eq!(answer.json()["error"]["ran"], "may_have_run");
    entry.kill();
    dispatcher.kill();
}
