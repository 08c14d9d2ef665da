//! What the machine hears of the platform's answers and failures.

mod support;

use std::time::Duration;

use hgw_net::{PlatformLimits, Settings};
use hgw_node::{Action, Event, PlatformError, ReadOutcome};
use hgw_types::{Offset, RecordId, StreamName};
use hgw_wire::platform::MAX_BATCH;
use support::relay::{Relay, settings, start};
use support::upstream::{Received, respond};
use support::{cases, upstream, wait_for};

/// Has a node do `action` and gives what `pick` takes of the events that follow.
fn ask<T>(platform: &str, action: Action, pick: impl FnMut(Event) -> Option<T>) -> T {
    let (mut relay, seen) = Relay::new("");
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            out.push(action.clone());
        }
        matches!(event, Event::Stop)
    });
    let limits = PlatformLimits {
        call: Duration::from_millis(300),
        read_wait: Duration::from_millis(10),
        ..PlatformLimits::default()
    };
    let own = Settings { platform: platform.into(), platform_calls: limits, ..settings("n") };
    let node = start(own, relay);
    node.stop();
    let picked = wait_for(&seen, pick);
    node.kill();
    picked
}

fn stream() -> StreamName {
    "s".parse().unwrap()
}

fn check_append(platform: &str, expected: Result<Offset, PlatformError>) {
    let id = RecordId { boot: 1, seq: 1 };
    let append = Action::Append { stream: stream(), id, data: "record".into() };
    let outcome = ask(platform, append, |event| match event {
        Event::Appended { outcome, .. } => Some(outcome),
        _ => None,
    });
    assert_eq!(outcome, expected);
}

fn answering(status: u16, body: &'static str) -> String {
    upstream::serve(move |_, stream| respond(stream, status, &[], body))
}

/// Takes exactly the append that the check sends.
fn log() -> String {
    upstream::serve(|received, stream| {
        let Received { method, path, body, .. } = received;
        let right = method == "POST" && path == "/streams/s/records" && body == b"record";
        respond(stream, if right { 200 } else { 400 }, &[], r#"{"offset":7}"#);
    })
}

cases! {
    check_append:
    an_append_that_is_done(&log(), Ok(Offset(7)));
    an_append_that_is_refused(&answering(429, ""), Err(PlatformError::Refused));
    an_append_during_an_outage(&answering(503, ""), Err(PlatformError::Refused));
    an_append_that_fails_inside_the_log(&answering(500, ""), Err(PlatformError::Unknown));
    an_append_whose_answer_is_unreadable(&answering(200, "{"), Err(PlatformError::Unknown));
    an_append_whose_answer_is_lost(&upstream::serve(|_, _| {}), Err(PlatformError::Unknown));
    an_append_without_an_answer(&upstream::silent(), Err(PlatformError::Unknown));
    an_append_that_cannot_be_sent("127.0.0.1:1", Err(PlatformError::NotSent));
}

fn check_read(platform: &str, expected: ReadOutcome) {
    let read = Action::Read { stream: stream(), from: Offset(4) };
    let outcome = ask(platform, read, |event| match event {
        Event::Read { outcome, from, .. } => Some((from, outcome)),
        _ => None,
    });
    assert_eq!(outcome, (Offset(4), expected));
}

fn records() -> String {
    upstream::serve(|received, stream| {
        let expected = format!("/streams/s/records?from=4&max={MAX_BATCH}&wait_ms=10");
        assert_eq!(received.path, expected);
        let body = r#"{"records":[{"offset":4,"data":"cmVjb3Jk"}],"next":5}"#;
        respond(stream, 200, &[], body);
    })
}

cases! {
    check_read:
    a_read_that_finds_records(&records(), ReadOutcome::Records {
        records: vec![(Offset(4), "record".into())],
        next: Offset(5),
    });
    a_read_from_before_the_oldest_record(
        &answering(410, r#"{"first":9}"#), ReadOutcome::Trimmed { first: Offset(9) },
    );
    a_read_of_what_is_no_base64(
        &answering(200, r#"{"records":[{"offset":4,"data":"%"}],"next":5}"#), ReadOutcome::Failed,
    );
    a_read_during_an_outage(&answering(503, ""), ReadOutcome::Failed);
    a_read_without_an_answer(&upstream::silent(), ReadOutcome::Failed);
}

#[test]
fn the_list_of_vms_comes_or_does_not() {
    let body = r#"{"vms":[{"node":"a","domain":"d","addr":"127.0.0.1:9","leaving":true}]}"#;
    for (platform, expected) in [(answering(200, body), Some(1)), (answering(503, ""), None)] {
        let count = ask(&platform, Action::AskVms, |event| match event {
            Event::Vms(list) => Some(list.map(|l| l.vms.len())),
            _ => None,
        });
        assert_eq!(count, expected);
    }
}

#[test]
fn appends_to_a_silent_log_are_given_back_in_a_bounded_time() {
    // The log takes connections and never answers. The first append ends as unknown; those behind
    // it have waited as long and are given back unsent, so that they do not add up to minutes, and
    // their makers know that they were not written.
    let (mut relay, seen) = Relay::new("");
    relay.hook = Box::new(move |event, out| {
        if matches!(event, Event::Stop) {
            out.extend((0..100).map(|seq| Action::Append {
                stream: stream(),
                id: RecordId { boot: 1, seq },
                data: "record".into(),
            }));
        }
        matches!(event, Event::Stop)
    });
    let limits = PlatformLimits { call: Duration::from_millis(300), ..PlatformLimits::default() };
    let own = Settings { platform: upstream::silent(), platform_calls: limits, ..settings("n") };
    let node = start(own, relay);
    node.stop();
    for seq in 0..100 {
        let (id, outcome) = wait_for(&seen, |event| match event {
            Event::Appended { id, outcome, .. } => Some((id.seq, outcome)),
            _ => None,
        });
        let expected = if seq == 0 { PlatformError::Unknown } else { PlatformError::NotSent };
        assert_eq!((id, outcome), (seq, Err(expected)));
    }
    node.kill();
}

/// The log takes a call and never answers, and more records come while it is under way, each a little later. They waited
/// behind it, if not as long as it took: sent one after the other they would each take as long, and end as unknown.
#[test]
fn appends_that_come_while_a_silent_log_is_asked_are_given_back() {
    const LATER: u64 = 3;
    let (mut relay, seen) = Relay::new("");
    let (mut began, mut made) = (false, 0);
    relay.hook = Box::new(move |event, out| {
        let stops = matches!(event, Event::Stop);
        began |= stops;
        if began && made <= LATER && (stops || matches!(event, Event::Tick)) {
            let id = RecordId { boot: 1, seq: made };
            out.push(Action::Append { stream: stream(), id, data: "record".into() });
            made += 1;
        }
        stops
    });
    let limits = PlatformLimits { call: Duration::from_secs(1), ..PlatformLimits::default() };
    let own = Settings { platform: upstream::silent(), platform_calls: limits, ..settings("n") };
    let node = start(own, relay);
    node.stop();
    for seq in 0..=LATER {
        let (id, outcome) = wait_for(&seen, |event| match event {
            Event::Appended { id, outcome, .. } => Some((id.seq, outcome)),
            _ => None,
        });
        let expected = if seq == 0 { PlatformError::Unknown } else { PlatformError::NotSent };
        assert_eq!((id, outcome), (seq, Err(expected)));
    }
    node.kill();
}
