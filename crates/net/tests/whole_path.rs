//! A request through the threads of one node and of two.

mod support;

use assert_matches::assert_matches;
use hgw_net::Exit;
use hgw_node::{Action, Event};
use support::relay::{Relay, settings, start};
use support::{caller, upstream, wait_for};

fn expected(tokens: u32) -> Vec<String> {
    (0..tokens).map(|i| format!("t{i} ")).collect()
}

#[test]
fn a_streamed_answer_comes_whole() {
    let (relay, _seen) = Relay::new(&upstream::engine());
    let node = start(settings("n1"), relay);
    let answer = caller::chat(node.addrs().callers, 300, true).whole();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(caller::texts(&answer.body), (expected(300), true));
    node.stop();
    assert_eq!(node.wait(), Exit::Stopped);
}

#[test]
fn a_whole_answer_has_the_usual_shape() {
    let (relay, _seen) = Relay::new(&upstream::engine());
    let node = start(settings("n1"), relay);
    let answer = caller::chat(node.addrs().callers, 5, false).whole().json();
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["content"], expected(5).concat());
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 5);
    node.kill();
    assert_eq!(node.wait(), Exit::Killed);
}

#[test]
fn a_plain_call_passes_method_path_headers_and_body() {
    let addr = upstream::serve(|received, stream| {
        let attempt = received.header("x-attempt-id").to_string();
        let note = received.header("x-note").to_string();
        let text = format!(
            "{} {} {note} {}",
            received.method,
            received.path,
            String::from_utf8_lossy(&received.body)
        );
        let headers = [("x-attempt-id", attempt.as_str()), ("x-reply", "yes")];
        upstream::respond(stream, 201, &headers, &text);
    });
    let (relay, _seen) = Relay::new(&addr);
    let node = start(settings("n1"), relay);
    let headers = [("x-note", "n"), ("x-request-id", "r-1")];
    let callers = node.addrs().callers;
    let answer = caller::send(callers, "PUT /svc/s/a/b?c=d", &headers, "hello").whole();
    assert_eq!((answer.status, answer.complete), (201, true));
    assert_eq!(answer.body, "PUT /a/b?c=d n hello");
    assert_eq!(answer.header("x-reply"), Some("yes"));
    assert_eq!(answer.header("x-request-id"), Some("r-1"));
    assert_eq!(answer.header("x-attempt-id"), None);
    node.kill();
}

#[test]
fn an_answer_comes_whole_by_way_of_a_peer() {
    let (dispatcher, seen) = Relay::new(&upstream::engine());
    let dispatcher = start(settings("n2"), dispatcher);
    let peers = dispatcher.addrs().peers.to_string();
    let (mut entry, entry_seen) = Relay::new("");
    entry.via = Some("n2".parse().unwrap());
    entry.hook = Box::new(move |event, out| {
        if matches!(event, Event::CallerRequest { .. }) {
            let (peer, addr) = ("n2".parse().unwrap(), peers.clone());
            out.push(Action::Connect { peer, addr });
        }
        false
    });
    let entry = start(settings("n1"), entry);
    // More tokens than the window, so that the answer needs credit to come to its end.
    let answer = caller::chat(entry.addrs().callers, 1000, true).whole();
    assert_eq!(caller::texts(&answer.body), (expected(1000), true));
    wait_for(&seen, |event| matches!(event, Event::PeerUp { .. }).then_some(()));
    dispatcher.kill();
    let peer = wait_for(&entry_seen, |event| match event {
        Event::PeerDown { peer } => Some(peer),
        _ => None,
    });
    assert_eq!(peer.as_str(), "n2");
    assert_matches!(dispatcher.wait(), Exit::Killed);
    entry.kill();
}
