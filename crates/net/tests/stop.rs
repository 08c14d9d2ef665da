//! The planned stop and the end at once.

mod support;

use std::io::Read;
use std::sync::{Mutex, mpsc};
use std::thread;

use hgw_net::{Exit, Settings};
use hgw_node::{Action, Event, Machine};
use hgw_types::Time;
use support::relay::{Relay, settings, start};
use support::{caller, upstream};

#[test]
fn a_planned_stop_cuts_no_answer() {
    // Eight callers are in the middle of their answers when the node is told to stop. The machine
    // asks to exit as soon as the last attempt has ended, while callers still have bytes to come;
    // every one of them gets its whole answer.
    const CALLERS: usize = 8;
    let (go, wait) = mpsc::channel::<()>();
    let wait = Mutex::new(wait);
    let engine = upstream::serve(move |received, stream| {
        let generate = received.generate();
        upstream::begin_events(stream);
        upstream::emit(stream, &upstream::token(generate.attempt, 0));
        wait.lock().unwrap().recv().unwrap();
        for index in 1..generate.max_tokens.0 {
            upstream::emit(stream, &upstream::token(generate.attempt, index));
        }
        upstream::emit(stream, &upstream::end(generate.attempt, generate.max_tokens.0));
    });
    let (mut relay, _seen) = Relay::new(&engine);
    // The stop is not for the relay, which would exit at once.
    relay.hook = Box::new(|event, _| matches!(event, Event::Stop));
    let relay = ExitWhenIdle { relay, ended: 0, stopping: false };
    let node = hgw_net::start(settings("n"), Box::new(relay)).unwrap();
    let addr = node.addrs().callers;
    let answers: Vec<_> = (0..CALLERS).map(|_| caller::chat(addr, 2000, true)).collect();
    node.stop();
    (0..CALLERS).for_each(|_| go.send(()).unwrap());
    let readers: Vec<_> =
        answers.into_iter().map(|answer| thread::spawn(move || answer.whole())).collect();
    assert_eq!(node.wait(), Exit::Stopped);
    for reader in readers {
        let answer = reader.join().unwrap();
        let (texts, done) = caller::texts(&answer.body);
        assert_eq!((answer.complete, texts.len(), done), (true, 2000, true));
    }
}

/// Asks to exit once it was told to stop and all of eight attempts have ended.
struct ExitWhenIdle {
    relay: Relay,
    ended: usize,
    stopping: bool,
}

impl Machine for ExitWhenIdle {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.stopping |= matches!(event, Event::Stop);
        self.ended += usize::from(matches!(event, Event::Ended(_)));
        self.relay.handle(now, event, out);
        if self.stopping && self.ended == 8 {
            out.push(Action::Exit);
        }
    }
}

#[test]
fn an_idle_connection_does_not_hold_the_stop_up() {
    let (relay, _seen) = Relay::new("");
    let node = start(settings("n"), relay);
    let idle = caller::connect(node.addrs().callers);
    assert_eq!(caller::send(node.addrs().callers, "GET /livez", &[], "").whole().status, 200);
    node.stop();
    assert_eq!(node.wait(), Exit::Stopped);
    drop(idle);
}

#[test]
fn an_end_at_once_does_not_wait_for_callers() {
    // The engine has the caller's request and does not answer. The node is told to end at once: the
    // caller's connection is closed without an answer, since nobody knows whether the request ran.
    let (tx, arrived) = mpsc::channel();
    let tx = Mutex::new(tx);
    let engine = upstream::serve(move |_, stream| {
        tx.lock().unwrap().send(()).unwrap();
        while stream.read(&mut [0]).is_ok_and(|n| n > 0) {}
    });
    let (relay, _seen) = Relay::new(&engine);
    let node = start(settings("n"), relay);
    let addr = node.addrs().callers;
    let waiting = thread::spawn(move || caller::chat(addr, 1, false).status);
    arrived.recv().unwrap();
    node.kill();
    assert_eq!(node.wait(), Exit::Killed);
    assert_eq!(waiting.join().unwrap(), 0);
}

#[test]
fn a_broken_invariant_ends_the_process() {
    // The machine finds an invariant broken and panics. Nothing can be served without it: all
    // threads end, and the program hears why.
    struct Broken;
    impl Machine for Broken {
        fn handle(&mut self, _now: Time, _event: Event, _out: &mut Vec<Action>) {
            panic!("an invariant is broken");
        }
    }
    let node = hgw_net::start(Settings::default(), Box::new(Broken)).unwrap();
    assert_eq!(node.wait(), Exit::Broken);
}
