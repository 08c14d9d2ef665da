//! Streams go on only at the software version that began them.

use std::net::UdpSocket;
use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::client::{Caller, Events};
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, Node, holds, wait};
use hgw_standins::link::{Condition, ProcessCut};
use http::{Method, StatusCode};
use rustix::process::Signal;
use serde_json::json;

use crate::new_fleet;

/// Events of a stream.
const EVENTS: u64 = 40;

/// Time between two events.
const PAUSE: Duration = Duration::from_millis(50);

/// What a caller holds of a stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Held {
    /// The attempt that brought the first event.
    pub(crate) first_attempt: String,
    /// The versions that wrote its events, in order.
    pub(crate) versions: Vec<String>,
    /// Number of the last event.
    pub(crate) last: u64,
    /// How often an event was missing or came twice.
    pub(crate) gaps: u32,
}

impl Held {
    /// Takes in an event, `piece N of VERSION`.
    fn add(&mut self, event: &str) {
        let words: Vec<&str> = event.split_whitespace().collect();
        let number = words[1].parse().unwrap();
        self.gaps += u32::from(number != self.last + 1);
        self.last = number;
        if self.versions.last().is_none_or(|version| version != words[3]) {
            self.versions.push(words[3].to_owned());
        }
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.versions.len() > 1
    }
}

/// A caller's attempt.
pub(crate) struct Attempt {
    pub(crate) held: Held,
    events: Events,
    _caller: Caller,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum End {
    Whole,
    Broken,
    Refused(StatusCode, bool),
}

impl Attempt {
    /// Begins a stream, or takes one up after what is held of it.
    pub(crate) fn begin(
        node: &Node,
        id: &str,
        held: &Held,
        resumes: Option<&str>,
    ) -> Option<Attempt> {
        let caller = Caller::new(node.callers).unwrap();
        let last = held.last.to_string();
        // Sessions of their own, which spread over the engines.
        let session = id.bytes().fold(7_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
        let prefix = format!("{session:x}:60");
        let mut headers = vec![
            ("host", HOST),
            ("x-request-id", id),
            ("x-deadline-ms", "8000"),
            ("x-model", "m"),
            ("x-tokens", "100,120"),
            ("x-prompt-prefix", &prefix),
        ];
        if held.last > 0 {
            headers.push(("last-event-id", &last));
        }
        headers.extend(resumes.map(|id| ("resumes", id)));
        let events = caller.stream("/ask/", &headers, &json!({})).ok()?;
        let mut held = held.clone();
        if held.first_attempt.is_empty() {
            held.first_attempt = id.to_owned();
        }
        Some(Attempt { held, events, _caller: caller })
    }

    /// Reads so many more events.
    pub(crate) fn read(&mut self, count: u64) {
        for _ in 0..count {
            let event = self.events.next_event().unwrap().expect("an event");
            self.held.add(&event);
        }
    }

    /// Whether it was not refused.
    pub(crate) fn is_accepted(&self) -> bool {
        self.events.status == StatusCode::OK
    }

    /// Reads to the end.
    pub(crate) fn finish(mut self) -> (Held, End) {
        if self.events.status != StatusCode::OK {
            let has_time = self.events.headers.contains_key("retry-after");
            return (self.held, End::Refused(self.events.status, has_time));
        }
        loop {
            match self.events.next_event() {
                Ok(Some(event)) => self.held.add(&event),
                Ok(None) if self.held.last == EVENTS => return (self.held, End::Whole),
                Ok(None) | Err(_) => return (self.held, End::Broken),
            }
        }
    }
}

pub(crate) fn engine(id: &str, software: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        software: software.into(),
        names_software: true,
        events: EVENTS,
        pause: PAUSE,
        slots: 32,
        holds: holds(&[("m", &[])]),
        ..EngineSettings::default()
    }
}

/// Three engines of each of two versions.
fn two_versions() -> Vec<EngineSettings> {
    let of = |software: &'static str| {
        (1..=3).map(move |n| engine(&format!("i-{software}-{n}"), software))
    };
    of("v1").chain(of("v2")).collect()
}

/// Starts nodes in three domains.
fn start_nodes(models: Vec<EngineSettings>, nodes: usize) -> Fleet {
    let mut fleet = new_fleet(models);
    let nodes: Vec<usize> = (0..nodes).map(|n| fleet.spawn(["a", "b", "c"][n % 3])).collect();
    for node in &nodes {
        wait("the node is ready", || fleet.nodes[*node].is_ready());
    }
    // The leader counts the nodes again in the first seconds.
    std::thread::sleep(Duration::from_secs(3));
    fleet
}

/// Begins streams at these nodes in turn, and reads some events of each.
fn begin_streams(fleet: &Fleet, nodes: &[usize], count: usize) -> Vec<Attempt> {
    let begin = |n: usize| {
        let node = &fleet.nodes[nodes[n % nodes.len()]];
        Attempt::begin(node, &format!("s-{n}"), &Held::default(), None)
    };
    let mut streams: Vec<Attempt> = (0..count).filter_map(begin).collect();
    assert_eq!(streams.len(), count, "all streams begin");
    streams.iter_mut().for_each(|stream| stream.read(3));
    streams
}

/// Takes up streams at these nodes in turn, and waits for their ends.
fn take_up(fleet: &Fleet, nodes: &[usize], broken: Vec<Attempt>) -> Vec<(Held, End)> {
    let held: Vec<Held> = broken.into_iter().map(|stream| stream.held).collect();
    std::thread::scope(|scope| {
        let ends: Vec<_> = held
            .iter()
            .enumerate()
            .map(|(n, held)| {
                let node = &fleet.nodes[nodes[n % nodes.len()]];
                scope.spawn(move || {
                    let id = format!("again-{}", held.first_attempt);
                    let attempt = Attempt::begin(node, &id, held, Some(&held.first_attempt));
                    attempt.map_or((held.clone(), End::Broken), Attempt::finish)
                })
            })
            .collect();
        ends.into_iter().map(|end| end.join().unwrap()).collect()
    })
}

fn joined(ends: &[(Held, End)]) -> usize {
    ends.iter().filter(|(held, _)| held.is_joined() || held.gaps > 0).count()
}

fn whole(ends: &[(Held, End)]) -> usize {
    ends.iter().filter(|(_, end)| *end == End::Whole).count()
}

fn killed_nodes(nodes: usize, killed: usize) {
    let mut fleet = start_nodes(two_versions(), nodes);
    let killed: Vec<usize> = (0..killed).collect();
    let left: Vec<usize> = (killed.len()..nodes).collect();
    let streams = begin_streams(&fleet, &killed, 36);
    killed.iter().for_each(|node| fleet.nodes[*node].kill());
    let ends = take_up(&fleet, &left, streams);
    assert_eq!(joined(&ends), 0, "{ends:?}");
    assert!(whole(&ends) >= 18, "{ends:?}");
}

/// Guards against streams that go on at another software version at nodes that did not see them begin.
#[test]
fn streams_of_killed_nodes_go_on_at_the_version_that_began_them() {
    killed_nodes(3, 1);
}

/// The same for more nodes: those that outlive others know the streams of all.
#[test]
fn streams_go_on_after_most_of_nine_nodes_are_killed() {
    killed_nodes(9, 6);
}

/// Guards against streams that no one remembers where not all nodes are told of each.
#[test]
fn streams_of_killed_nodes_go_on_where_only_some_nodes_are_told() {
    killed_nodes(14, 5);
}

/// Guards against a stream that goes on at another version within one response.
#[test]
fn stream_whose_engine_breaks_goes_on_at_its_version_or_not_at_all() {
    let mut engines = two_versions();
    engines.retain(|engine| engine.id != "i-v1-2" && engine.id != "i-v1-3");
    let fleet = start_nodes(engines, 1);
    let streams = begin_streams(&fleet, &[0], 24);
    fleet.engine("i-v1-1").fault(&Faults { down: true, ..Faults::default() });
    fleet.engine("i-v2-1").fault(&Faults { down: true, ..Faults::default() });
    let ends: Vec<(Held, End)> = streams.into_iter().map(Attempt::finish).collect();
    assert_eq!(joined(&ends), 0, "{ends:?}");
    let began_at = |version: &str| {
        let of = ends.iter().filter(|(held, _)| held.versions == [version]).cloned();
        of.collect::<Vec<_>>()
    };
    let (alone, others) = (began_at("v1"), began_at("v2"));
    assert!(!alone.is_empty() && whole(&alone) == 0, "{ends:?}");
    assert!(whole(&others) * 2 >= others.len(), "{others:?}");
}

/// Guards against holding a caller whose stream can go on nowhere, and against drawing it back.
#[test]
fn stream_whose_version_is_gone_is_refused_for_good() {
    let fleet = start_nodes(two_versions(), 2);
    let mut streams = begin_streams(&fleet, &[0], 12);
    streams.retain(|stream| stream.held.versions == ["v1"]);
    for id in ["i-v1-1", "i-v1-2", "i-v1-3"] {
        fleet.store.put("keyed.servers", id, b"");
    }
    std::thread::sleep(Duration::from_secs(3));
    let runs = fleet.runs("again-s-0");
    for (held, end) in take_up(&fleet, &[1], streams) {
        assert_eq!(end, End::Refused(StatusCode::SERVICE_UNAVAILABLE, false), "{held:?}");
        assert_eq!(fleet.runs(&format!("again-{}", held.first_attempt)), runs);
    }
}

/// Guards against joins when no node is left that knows a stream, and against refusing what only one version can
/// have begun.
#[test]
fn streams_outlast_a_kill_of_all_nodes_where_only_one_version_serves() {
    for (models, expected) in [(two_versions(), 0), (two_versions()[..3].to_vec(), 12)] {
        let mut fleet = start_nodes(models, 3);
        let streams = begin_streams(&fleet, &[0, 1, 2], 12);
        fleet.nodes.iter_mut().for_each(Node::kill);
        for node in 0..3 {
            fleet.start_again(node);
            wait("the node is ready again", || fleet.nodes[node].is_ready());
        }
        let ends = take_up(&fleet, &[0, 1, 2], streams);
        assert_eq!((joined(&ends), whole(&ends)), (0, expected), "{ends:?}");
    }
}

/// Guards against a proof of the only version, after a kill of all nodes, by a list that the engines of another version
/// have just left.
#[test]
fn streams_of_a_version_that_has_just_left_are_not_joined_after_a_kill_of_all_nodes() {
    for leaves in ["draining", "unlisted"] {
        let mut fleet = start_nodes(two_versions(), 3);
        let streams = begin_streams(&fleet, &[0, 1, 2], 12);
        for id in ["i-v1-1", "i-v1-2", "i-v1-3"] {
            match leaves {
                "draining" => fleet.list(fleet.engine(id), "draining"),
                _ => fleet.store.put("keyed.servers", id, b""),
            }
        }
        std::thread::sleep(Duration::from_secs(1));
        fleet.nodes.iter_mut().for_each(Node::kill);
        for node in 0..3 {
            fleet.start_again(node);
            wait("the node is ready again", || fleet.nodes[node].is_ready());
        }
        // A leader has read the record and the list meanwhile, and may have written another one.
        std::thread::sleep(Duration::from_secs(3));
        let ends = take_up(&fleet, &[0, 1, 2], streams);
        assert_eq!((joined(&ends), whole(&ends)), (0, 0), "{leaves}: {ends:?}");
    }
}

/// Starts an engine anew under its identity with other software, with the model that it had.
fn start_anew_with(fleet: &Fleet, id: &str, software: &str) {
    let way = fleet.engines.iter().position(|engine| engine.id() == id).unwrap();
    fleet.to_engines[way].set(Condition::Refused);
    std::thread::sleep(Duration::from_millis(300));
    fleet.engine(id).start_anew_with(software);
    fleet.engine(id).hold(holds(&[("m", &[])]));
    fleet.to_engines[way].set(Condition::Open);
    fleet.list(fleet.engine(id), "ready");
    std::thread::sleep(Duration::from_millis(500));
}

/// Streams that begin at two engines of one version, of which one is down and the other starts anew with other software while
/// the last node does not learn of it. Returns their ends at that node, to which their callers come as the others are killed.
fn take_up_at_a_node_out_of_step(is_cut_from_store: bool) -> Vec<(Held, End)> {
    let mut fleet = start_nodes(vec![engine("i-1", "v1"), engine("i-2", "v1")], 3);
    let streams = begin_streams(&fleet, &[0, 1], 24);
    fleet.nodes[2].signal(Signal::STOP);
    if is_cut_from_store {
        fleet.nodes[2].to_store.set(Condition::Cut);
    }
    fleet.engine("i-1").fault(&Faults { down: true, ..Faults::default() });
    start_anew_with(&fleet, "i-2", "v2");
    fleet.nodes[..2].iter_mut().for_each(Node::kill);
    fleet.nodes[2].signal(Signal::CONT);
    take_up(&fleet, &[2], streams)
}

/// Guards against streams that begin at an engine that has started anew with other software, at a node that has not learned
/// it, and go on at the version that this node takes for theirs.
#[test]
fn streams_that_a_cut_off_node_begins_are_not_joined() {
    let mut fleet = start_nodes(vec![engine("i-1", "v1"), engine("i-2", "v1")], 2);
    fleet.nodes[1].to_store.set(Condition::Cut);
    fleet.nodes[0].kill();
    start_anew_with(&fleet, "i-2", "v2");
    // Until the list is old by any measure.
    std::thread::sleep(Duration::from_secs(3));
    let streams = begin_streams(&fleet, &[1], 24);
    fleet.engine("i-2").fault(&Faults { down: true, ..Faults::default() });
    let ends: Vec<(Held, End)> = streams.into_iter().map(Attempt::finish).collect();
    assert_eq!((joined(&ends), whole(&ends)), (0, 24), "{ends:?}");
}

/// Guards against streams that go on at an engine that has started anew with other software, which the node that they come to
/// has not learned as it stood still.
#[test]
fn streams_are_not_joined_at_a_node_that_stood_still_while_an_engine_started_anew() {
    let ends = take_up_at_a_node_out_of_step(false);
    assert_eq!(joined(&ends), 0, "{ends:?}");
}

/// The same where it cannot learn it from the store afterwards either.
#[test]
fn streams_are_not_joined_at_a_node_that_is_cut_off_while_an_engine_started_anew() {
    let ends = take_up_at_a_node_out_of_step(true);
    assert_eq!(joined(&ends), 0, "{ends:?}");
}

/// Guards against streams that go on at another version at a node that does not know of the engines that began them.
#[test]
fn streams_of_engines_that_joined_unseen_are_not_joined() {
    let mut fleet = start_nodes(two_versions(), 3);
    let of_v2 = ["i-v2-1", "i-v2-2", "i-v2-3"];
    of_v2.iter().for_each(|id| fleet.store.put("keyed.servers", id, b""));
    std::thread::sleep(Duration::from_secs(3));
    fleet.nodes[2].signal(Signal::STOP);
    of_v2.iter().for_each(|id| fleet.list(fleet.engine(id), "ready"));
    std::thread::sleep(Duration::from_secs(2));
    let streams = begin_streams(&fleet, &[0, 1], 24);
    let is_new = |stream: &Attempt| stream.held.versions == ["v2"];
    assert!(streams.iter().any(is_new), "streams begin at the new version");
    fleet.nodes[..2].iter_mut().for_each(Node::kill);
    fleet.nodes[2].signal(Signal::CONT);
    let ends = take_up(&fleet, &[2], streams);
    assert_eq!(joined(&ends), 0, "{ends:?}");
}

/// Guards against a stream that is forgotten while its caller takes it up again and again.
#[test]
fn stream_is_taken_up_by_its_first_attempt_again_and_again() {
    let mut fleet = start_nodes(two_versions(), 4);
    let mut streams = begin_streams(&fleet, &[0], 12);
    for node in [1, 2, 3] {
        let again = streams.iter().enumerate().map(|(n, stream)| {
            let (id, first) = (format!("again-{node}-{n}"), &stream.held.first_attempt);
            let mut attempt =
                Attempt::begin(&fleet.nodes[node], &id, &stream.held, Some(first)).unwrap();
            attempt.read(3);
            attempt
        });
        let again: Vec<Attempt> = again.collect();
        // The breaks end the attempts before; their nodes are gone for good.
        streams = again;
        fleet.nodes[node - 1].kill();
    }
    let ends: Vec<(Held, End)> = streams.into_iter().map(Attempt::finish).collect();
    assert_eq!((joined(&ends), whole(&ends)), (0, 12), "{ends:?}");
}

/// Guards against requests that take up a stream which nobody knows, is another's or cannot be named.
#[test]
fn stream_that_nobody_knows_is_refused_unrun() {
    let mut fleet = start_nodes(two_versions(), 2);
    let streams = begin_streams(&fleet, &[0], 1);
    let held = Held { last: 3, ..Held::default() };
    let long = "x".repeat(4_000);
    let ids = [None, Some("never-sent"), Some(""), Some(&long), Some("s-0 "), Some("\u{fc}")];
    for (n, resumes) in ids.into_iter().enumerate() {
        let id = format!("unknown-{n}");
        let Some(attempt) = Attempt::begin(&fleet.nodes[1], &id, &held, resumes) else { continue };
        let (_, end) = attempt.finish();
        // A header that may not be sent is the caller's fault.
        let is_refused = matches!(end, End::Refused(StatusCode::SERVICE_UNAVAILABLE, false));
        assert!(is_refused || resumes == Some("s-0 "), "{resumes:?}: {end:?}");
        assert!(!is_refused || fleet.runs(&id) == 0);
    }
    let other_model = [
        ("x-request-id", "other"),
        ("x-deadline-ms", "8000"),
        ("x-model", "n"),
        ("last-event-id", "3"),
        ("resumes", "s-0"),
    ];
    let refused = fleet.nodes[1].call(Method::POST, "/ask/", &other_model).unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.nodes[1].ended(), None);
    drop(streams);
}

/// Guards against entries whose missing versions count as the same one.
#[test]
fn engines_that_name_no_version_share_none() {
    let unnamed = |id: &str, software: serde_json::Value| EngineSettings {
        software,
        names_software: false,
        ..engine(id, "")
    };
    let engines =
        vec![unnamed("i-1", json!(null)), unnamed("i-2", json!(7)), unnamed("i-3", json!(""))];
    let fleet = start_nodes(engines, 2);
    let served = fleet.nodes[0].stream("/ask/", "s-new", "m").unwrap();
    assert_eq!(served.status, StatusCode::OK);
    let headers = [
        ("x-request-id", "again"),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("last-event-id", "3"),
    ];
    let refused = fleet.nodes[1].call(Method::POST, "/ask/", &headers).unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a version that is lost where one node sends the requests of another's callers.
#[test]
fn forwarded_streams_go_on_at_the_version_that_began_them() {
    let mut fleet = start_nodes(two_versions(), 3);
    fleet.cut_from_engines(&[0], Some(ProcessCut::Reset));
    let mut sent = 0;
    wait("requests are forwarded", || {
        sent += 1;
        let first = fleet.nodes[0].stream("/ask/", &format!("first-{sent}"), "m");
        first.is_ok_and(|answer| answer.status == StatusCode::OK)
    });
    let streams = begin_streams(&fleet, &[0], 12);
    // The forwarder of half of them; the rest goes on within its response.
    fleet.nodes[1].kill();
    let (mut ends, mut broken) = (Vec::new(), Vec::new());
    for stream in streams {
        match stream.finish() {
            (held, End::Broken) => broken.push(held),
            end => ends.push(end),
        }
    }
    fleet.nodes[0].kill();
    for (n, held) in broken.iter().enumerate() {
        let id = format!("again-{n}");
        let attempt = Attempt::begin(&fleet.nodes[2], &id, held, Some(&held.first_attempt));
        ends.push(attempt.unwrap().finish());
    }
    assert_eq!((joined(&ends), whole(&ends)), (0, 12), "{ends:?}");
}

/// Guards against engines of a new version that stay idle, and against a proof of the only version by nodes that start
/// right after the first streams of another.
#[test]
fn version_that_appears_serves_soon_and_ends_the_proof_of_the_only_one() {
    let mut fleet = new_fleet(two_versions());
    let of_v2 = ["i-v2-1", "i-v2-2", "i-v2-3"];
    of_v2.iter().for_each(|id| fleet.store.put("keyed.servers", id, b""));
    let nodes: Vec<usize> = ["a", "b", "c"].iter().map(|zone| fleet.start(zone)).collect();
    let before = begin_streams(&fleet, &nodes, 12);
    assert!(before.iter().all(|stream| stream.held.versions == ["v1"]));
    of_v2.iter().for_each(|id| fleet.list(fleet.engine(id), "ready"));
    let mut sent = 0;
    let mut newer = None;
    wait("a stream begins at the new version", || {
        sent += 1;
        let id = format!("newer-{sent}");
        let mut stream =
            Attempt::begin(&fleet.nodes[nodes[0]], &id, &Held::default(), None).unwrap();
        stream.read(2);
        newer = Some(stream).filter(|stream| stream.held.versions == ["v2"]);
        newer.is_some()
    });
    fleet.nodes.iter_mut().for_each(Node::kill);
    let node = fleet.start("a");
    for stream in before.into_iter().take(3).chain(newer) {
        let id = format!("again-{}", stream.held.first_attempt);
        let attempt = Attempt::begin(&fleet.nodes[node], &id, &stream.held, None).unwrap();
        let (held, end) = attempt.finish();
        assert_eq!(end, End::Refused(StatusCode::SERVICE_UNAVAILABLE, false), "{held:?}");
    }
}

/// Guards against a kill between the first event of a stream and what other nodes are told of it, and against datagrams
/// that cost more than what they tell.
#[test]
fn others_are_told_of_a_stream_before_its_first_event() {
    const MAX_BYTES: usize = 48;
    let mut fleet = new_fleet(two_versions());
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_nonblocking(true).unwrap();
    let addr = peer.local_addr().unwrap();
    let entry = json!({ "node": "front-0", "addr": addr, "domain": "b", "processor": 1.0 });
    fleet.store.put("keyed.hgw-nodes", "front-0", entry.to_string().as_bytes());
    let node = fleet.start("a");
    std::thread::sleep(Duration::from_secs(3));
    let mut buf = [0; 1_500];
    for n in 0..5 {
        let id = format!("s-{n}");
        let mut stream = Attempt::begin(&fleet.nodes[node], &id, &Held::default(), None).unwrap();
        stream.read(1);
        let received =
            std::iter::from_fn(|| peer.recv(&mut buf).ok().map(|len| buf[..len].to_vec()));
        let told = received.filter(|datagram| datagram.windows(5).any(|name| name == b"Began"));
        let sizes: Vec<usize> = told.map(|datagram| datagram.len()).collect();
        assert!(matches!(sizes[..], [size] if size <= MAX_BYTES), "{sizes:?}");
    }
}

/// Guards against nodes that never serve, and against a proof, where the record is of another release.
#[test]
fn record_that_cannot_be_read_stops_nobody_and_proves_nothing() {
    let mut fleet = new_fleet(two_versions()[..3].to_vec());
    fleet.store.put("keyed.hgw-versions", "versions", b"{\"format\":2}");
    let node = fleet.start("a");
    let streams = begin_streams(&fleet, &[node], 3);
    for stream in streams {
        let id = format!("again-{}", stream.held.first_attempt);
        let attempt = Attempt::begin(&fleet.nodes[node], &id, &stream.held, None).unwrap();
        let (held, end) = attempt.finish();
        assert_eq!(end, End::Refused(StatusCode::SERVICE_UNAVAILABLE, false), "{held:?}");
    }
}
