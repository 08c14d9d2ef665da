//! Responses of an earlier leader that reach its successor late.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hgw_direct::ListUpdate;
use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::late_copies::read_request;
use crate::{Stop, new_fleet};

/// Pause between two bytes of a response that is held back: shorter than a node waits for the next ones.
const HELD_BACK_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two renewals, of which a lease needs one in a second.
const RENEWAL_PAUSE: Duration = Duration::from_millis(250);

/// The event of an engine that a leader has surveyed.
const SURVEYED: u64 = 4020;

/// Adapters in all slots of an engine.
const ADAPTERS: [&str; 4] = ["a1", "a2", "a3", "a4"];

/// Appends a record of an earlier leader to the log of the lease.
fn append(fleet: &Fleet, kind: &str, addr: SocketAddr) {
    let record = json!({ "kind": kind, "node": "earlier", "addr": addr }).to_string();
    let length = u32::try_from(record.len()).unwrap().to_be_bytes();
    let body = [&length, record.as_bytes()].concat();
    let store = Caller::new(fleet.store.addr()).unwrap();
    let target = "/api/log-append?topic=hgw-claims&part=0";
    assert_eq!(store.call(Method::POST, target, &[], body).unwrap().status, StatusCode::OK);
}

/// The response to a poll by a leader that knows these adapters of the engine, and changes nothing else.
fn poll_response(adapters: &[&str], term: Option<u64>) -> Value {
    let mut placement = json!({
        "engine": "i-1", "start": null, "orders": 0,
        "held": [{ "model": "m", "adapters": adapters }, { "model": "n", "adapters": [] }],
    });
    if let Some(term) = term {
        placement["term"] = term.into();
    }
    json!({
        "keeper": null, "heard": [0, 0], "engines": [placement], "list": ListUpdate::unknown(), "catalog": 0,
        "age_ms": 60_000, "held_ms": 0, "nodes": 1, "others": null, "heads": null, "children": 0,
        "renewed": null, "begun": [], "loads": [],
    })
}

/// Answers a poll once `is_due`; until then only the head and blanks arrive. Fails if the node has given the poll up.
fn answer_late(
    mut stream: TcpStream,
    response: &Value,
    is_due: impl Fn() -> bool,
) -> io::Result<()> {
    const MAX_BLANKS: usize = 100;
    let response = response.to_string();
    let length = MAX_BLANKS + response.len();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n")?;
    let mut blanks = 0;
    while !is_due() && blanks < MAX_BLANKS {
        stream.write_all(b" ")?;
        blanks += 1;
        std::thread::sleep(HELD_BACK_PAUSE);
    }
    write!(stream, "{}{response}", " ".repeat(MAX_BLANKS - blanks))
}

/// The next connection that is made. The ones before are closed: their polls may have been given up.
fn next_connection(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    while listener.accept().is_ok() {}
    listener.set_nonblocking(false).unwrap();
    listener.accept().unwrap().0
}

/// The earlier leader releases its lease as the poll arrives, and answers once its successor has surveyed the engine. Fails
/// if the node has given the poll up by then.
fn play_late_response(term: Option<u64>) -> io::Result<()> {
    let engine = EngineSettings {
        holds: holds(&[("m", &ADAPTERS), ("n", &[])]),
        ..EngineSettings::default()
    };
    let mut fleet = new_fleet(vec![engine]);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    append(&fleet, "Claim", addr);
    let log = fleet.file("node.log");
    let node = fleet.spawn_with("a", File::create(&log).unwrap().into());
    let fleet = &fleet;
    let has_released = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = Stop(&has_released);
        scope.spawn(|| {
            while !has_released.load(Ordering::Relaxed) {
                append(fleet, "Renewal", addr);
                std::thread::sleep(RENEWAL_PAUSE);
            }
        });
        wait("the node is ready", || fleet.nodes[node].is_ready());
        let stream = next_connection(&listener);
        read_request(&mut BufReader::new(stream.try_clone()?))?;
        has_released.store(true, Ordering::Relaxed);
        std::thread::sleep(2 * RENEWAL_PAUSE);
        append(fleet, "Release", addr);
        let has_surveyed = || !fleet.lines(&log, SURVEYED).is_empty();
        answer_late(stream, &poll_response(&ADAPTERS[1..], term), has_surveyed)
    })?;
    let status = fleet.nodes[node].stream("/ask/", "s-1", "m/x").unwrap().status;
    let record = fleet.engine("i-1").record();
    assert_eq!((status, record.too_much), (StatusCode::OK, 0), "{:?}", record.orders);
    Ok(())
}

/// Plays it until the response comes before the node gives the poll up, which depends on the load of the machine.
fn late_response_takes_back_no_survey(term: Option<u64>) {
    const MAX_PLAYS: usize = 5;
    let in_time = (0..MAX_PLAYS).any(|_| play_late_response(term).is_ok());
    assert!(in_time, "the node gave the poll up in each of {MAX_PLAYS} plays");
}

macro_rules! late_responses {
    ($($name:ident: $term:expr;)*) => {
        $(
            /// Guards against an order beyond an engine's slots as a response of the leader before, at an equal count of
            /// orders, replaces what its successor has surveyed.
            #[test]
            fn $name() {
                late_response_takes_back_no_survey($term);
            }
        )*
    };
}

late_responses! {
    late_response_of_an_earlier_leader_takes_back_no_survey: Some(0);
    late_response_of_an_earlier_release_takes_back_no_survey: None;
}
