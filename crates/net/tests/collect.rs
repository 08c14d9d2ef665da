//! Answers that come whole to the machine, and operators' calls.

mod support;

use std::sync::mpsc;

use assert_matches::assert_matches;
use hgw_net::{Running, Settings, UpstreamLimits};
use hgw_node::{Action, Answer, Ended, Event, OperatorReply, OperatorRequest, Sink};
use hgw_types::AttemptId;
use hgw_wire::peer::{Outcome, Work};
use support::relay::{Relay, settings, start};
use support::{caller, upstream, wait_for};

/// A node that collects each answer whole before it gives it to its caller.
fn collecting(service: String, limits: UpstreamLimits) -> (Running, mpsc::Receiver<Event>) {
    let (mut relay, seen) = Relay::new(&service);
    let mut waiting = None;
    relay.hook = Box::new(move |event, out| match event {
        Event::CallerRequest { stream, request } => {
            waiting = Some(*stream);
            let hgw_node::CallerWork::Plain { work, .. } = &request.work else { return false };
            out.push(Action::Start {
                attempt: AttemptId { boot: 9, seq: 1 },
                upstream: "u".parse().unwrap(),
                addr: service.clone(),
                work: Work::Plain(work.clone()),
                priority: 0,
                silence: support::HANG,
                sink: Sink::Collect,
            });
            true
        }
        Event::Ended(Ended { answer: Some(answer), .. }) => {
            let answer = Answer::Recorded(answer.clone());
            out.push(Action::Answer { stream: waiting.unwrap(), answer });
            true
        }
        _ => false,
    });
    (start(Settings { upstream: limits, ..settings("n") }, relay), seen)
}

fn service() -> String {
    upstream::serve(|received, stream| {
        let attempt = received.header("x-attempt-id").to_string();
        let headers = [("x-attempt-id", attempt.as_str()), ("x-voucher", "17")];
        upstream::respond(stream, 201, &headers, &"voucher ".repeat(1000));
    })
}

#[test]
fn a_collected_answer_is_given_whole() {
    let (node, _seen) = collecting(service(), UpstreamLimits::default());
    let answer = caller::send(node.addrs().callers, "POST /svc/s/print", &[], "").whole();
    assert_eq!((answer.status, answer.header("x-voucher")), (201, Some("17")));
    assert_eq!(answer.body, "voucher ".repeat(1000));
    node.kill();
}

#[test]
fn an_answer_that_is_too_large_to_collect_is_given_up() {
    // The machine has to record the answer, and the answer is larger than is recorded. The call has
    // run; its answer is not cut and not held in memory without bound.
    let limits = UpstreamLimits { collected: 7999, ..UpstreamLimits::default() };
    let (node, seen) = collecting(service(), limits);
    let addr = node.addrs().callers;
    std::thread::spawn(move || caller::send(addr, "POST /svc/s/print", &[], ""));
    let ended = wait_for(&seen, |event| match event {
        Event::Ended(ended) => Some(ended),
        _ => None,
    });
    assert_matches!(ended, Ended { outcome: Outcome::Broken(_), answer: None, .. });
    node.kill();
}

#[test]
fn an_operators_call_gets_its_own_reply() {
    // Two calls wait at one time and are answered in the other order.
    let (mut relay, _seen) = Relay::new("");
    let mut first = None;
    relay.hook = Box::new(move |event, out| {
        let Event::Operator { call, request } = event else { return false };
        let reply = |request: &OperatorRequest| OperatorReply::State(format!("{request:?}"));
        match first.take() {
            None => first = Some((*call, request.clone())),
            Some((other, asked)) => {
                out.push(Action::Reply { call: *call, reply: reply(request) });
                out.push(Action::Reply { call: other, reply: reply(&asked) });
            }
        }
        true
    });
    let node = start(settings("n"), relay);
    let port = node.operator_port();
    let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let (a, b) = rt.block_on(async {
        tokio::join!(port.call(OperatorRequest::Status), port.call(OperatorRequest::Get))
    });
    assert_eq!(a, Some(OperatorReply::State("Status".into())));
    assert_eq!(b, Some(OperatorReply::State("Get".into())));
    node.kill();
}

#[test]
fn an_operators_call_that_waits_when_the_node_ends_is_given_up() {
    // The machine has the call and the node ends before it answers. The operator is not left to
    // wait for its own time limit.
    let (mut relay, seen) = Relay::new("");
    relay.hook = Box::new(|event, _| matches!(event, Event::Operator { .. }));
    let node = start(settings("n"), relay);
    let port = node.operator_port();
    let call = std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
        rt.block_on(port.call(OperatorRequest::Get))
    });
    wait_for(&seen, |event| matches!(event, Event::Operator { .. }).then_some(()));
    node.kill();
    assert_eq!(call.join().unwrap(), None);
}

#[test]
fn an_operators_call_to_a_node_that_has_ended_is_not_answered() {
    let (relay, _seen) = Relay::new("");
    let node = start(settings("n"), relay);
    let port = node.operator_port();
    node.kill();
    node.wait();
    let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
    assert_eq!(rt.block_on(port.call(OperatorRequest::Get)), None);
}
