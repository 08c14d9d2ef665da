//! Streams go on only at the software version that began them.

use std::time::Duration;

use hgw_standins::client::{Caller, Events};
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, HOST, Node, holds, wait};
use http::StatusCode;
use serde_json::json;

use crate::new_fleet;

/// Events of a stream.
const EVENTS: u64 = 40;

/// Time between two events.
const PAUSE: Duration = Duration::from_millis(50);

/// What a caller holds of a stream.
#[derive(Debug, Clone, Default, PartialEq)]
struct Held {
    /// The attempt that brought the first event.
    first_attempt: String,
    /// The versions that wrote its events, in order.
    versions: Vec<String>,
    /// Number of the last event.
    last: u64,
    /// How often an event was missing or came twice.
    gaps: u32,
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

    fn is_joined(&self) -> bool {
        self.versions.len() > 1
    }
}

/// A caller's attempt.
struct Attempt {
    held: Held,
    events: Events,
    _caller: Caller,
}

/// How an attempt ended.
#[derive(Debug, PartialEq)]
enum End {
    Whole,
    Broken,
    Refused(StatusCode, bool),
}

impl Attempt {
    /// Begins a stream, or takes one up after what is held of it.
    fn begin(node: &Node, id: &str, held: &Held, resumes: Option<&str>) -> Option<Attempt> {
        let caller = Caller::new(node.callers).unwrap();
        let last = held.last.to_string();
        let mut headers = vec![
            ("host", HOST),
            ("x-request-id", id),
            ("x-deadline-ms", "8000"),
            ("x-model", "m"),
            ("x-tokens", "100,120"),
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
    fn read(&mut self, count: u64) {
        for _ in 0..count {
            let event = self.events.next_event().unwrap().expect("an event");
            self.held.add(&event);
        }
    }

    /// Reads to the end.
    fn finish(mut self) -> (Held, End) {
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

fn engine(id: &str, software: &str) -> EngineSettings {
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
