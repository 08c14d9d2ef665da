//! What the machine hears of calls to engines that serve no caller.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use hgw_node::{Action, Event};
use hgw_placement::OrderResult;
use hgw_types::{RecordId, Term, Time};
use hgw_wire::upstream::{EngineState, Order, OrderKind, OrderOutcome};
use support::relay::{Relay, settings, start};
use support::upstream::respond;
use support::{cases, upstream, wait_for};

fn order() -> Order {
    Order { id: RecordId { boot: 1, seq: 2 }, fence: Term(3), kind: OrderKind::Fence }
}

/// Gives an order at the engine and says what the machine heard of it.
fn give_order(engine: &str, send_by: Time) -> OrderResult {
    let (mut relay, seen) = Relay::new("");
    let addr = engine.to_string();
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            out.push(Action::Order {
                upstream: "e".parse().unwrap(),
                addr: addr.clone(),
                order: order(),
                token: true,
                send_by,
                timeout: Duration::from_millis(300),
            });
        }
        matches!(event, Event::Stop)
    });
    let node =
        start(hgw_net::Settings { order_token: "order secret".into(), ..settings("n") }, relay);
    node.stop();
    let result = wait_for(&seen, |event| match event {
        Event::OrderAnswer { result, .. } => Some(result),
        _ => None,
    });
    node.kill();
    result
}

fn answering(status: u16, body: &'static str) -> String {
    upstream::serve(move |_, stream| respond(stream, status, &[], body))
}

fn check_order(engine: &str, expected: OrderResult) {
    assert_eq!(give_order(engine, Time::MAX), expected);
}

const DONE: &str = r#"{"id":{"boot":1,"seq":2},"outcome":{"outcome":"done"}}"#;
const OTHER: &str = r#"{"id":{"boot":1,"seq":3},"outcome":{"outcome":"done"}}"#;

cases! {
    check_order:
    an_order_that_is_done(&answering(200, DONE), OrderResult::Answered(OrderOutcome::Done));
    an_order_that_gets_the_answer_to_another(&answering(200, OTHER), OrderResult::Lost);
    an_order_that_fails_inside_the_engine(&answering(500, "oh"), OrderResult::Lost);
    an_order_without_an_answer(&upstream::silent(), OrderResult::Lost);
    an_order_that_cannot_be_sent("127.0.0.1:1", OrderResult::NotSent);
}

#[test]
fn an_order_does_not_leave_after_its_time() {
    // The process stood still with an order in hand; meanwhile another keeper has counted it as
    // void. The engine gets no order, and the keeper hears that it was not sent.
    let orders = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&orders);
    let engine = upstream::serve(move |received, stream| {
        counter.fetch_add(u32::from(!received.body.is_empty()), Ordering::Relaxed);
        respond(stream, 200, &[], DONE);
    });
    assert_eq!(give_order(&engine, Time::ZERO), OrderResult::NotSent);
    assert_eq!(orders.load(Ordering::Relaxed), 0);
}

#[test]
fn an_order_carries_its_token_and_fencing_number() {
    let (tx, rx) = mpsc::channel();
    let tx = Mutex::new(tx);
    let engine = upstream::serve(move |received, stream| {
        let sent: Order = serde_json::from_slice(&received.body).unwrap();
        tx.lock().unwrap().send((received.header("x-order-token").to_string(), sent)).unwrap();
        respond(stream, 200, &[], DONE);
    });
    give_order(&engine, Time::MAX);
    assert_eq!(rx.recv().unwrap(), ("order secret".to_string(), order()));
}

#[test]
fn state_and_load_are_answered_also_where_the_engine_is_not_there() {
    let engine = upstream::serve(|received, stream| match received.path.as_str() {
        "/state" => {
            let state = EngineState { fence: Term(9), ..EngineState::default() };
            respond(stream, 200, &[], &serde_json::to_string(&state).unwrap());
        }
        _ => respond(stream, 500, &[], ""),
    });
    let (mut relay, seen) = Relay::new("");
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            let upstream = || "e".parse().unwrap();
            let addr = || engine.clone();
            out.push(Action::AskState { upstream: upstream(), addr: addr() });
            out.push(Action::AskState {
                upstream: "gone".parse().unwrap(),
                addr: "127.0.0.1:1".into(),
            });
            out.push(Action::AskLoad { upstream: upstream(), addr: addr() });
        }
        matches!(event, Event::Stop)
    });
    let node = start(settings("n"), relay);
    node.stop();
    let mut answers = Vec::new();
    while answers.len() < 3 {
        answers.push(wait_for(&seen, |event| match event {
            Event::State { upstream, state, .. } => {
                Some(format!("{upstream} {:?}", state.map(|s| s.fence)))
            }
            Event::Load { upstream, report } => Some(format!("{upstream} load {report:?}")),
            _ => None,
        }));
    }
    answers.sort();
    assert_eq!(answers, ["e Some(Term(9))", "e load None", "gone None"]);
    node.kill();
}
