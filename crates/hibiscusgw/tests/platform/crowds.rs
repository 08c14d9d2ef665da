//! Most callers come to one node.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, Node, holds, wait};
use http::{Method, StatusCode};

use crate::{Stop, new_fleet};

/// The time of the rules from which on a crowded node must serve its callers.
const CONTACT: Duration = Duration::from_secs(3);

/// Callers that wait for one answer after the other.
const CALLERS: usize = 44;

/// Of ten callers, those that come to the crowded node.
const CROWD_OF_TEN: usize = 9;

/// Connections that an engine takes from all nodes, in the configuration of tests.
const MAX_CONNS: u32 = 96;

/// Share of the first attempts that are served before, of which the rules want to see.
const WANTED: f64 = 0.75;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Response(StatusCode),
    /// The connection was closed, or not taken.
    Closed,
}

/// When an attempt was sent, and how it ended.
type Attempts = Mutex<Vec<(Instant, End)>>;

struct Crowd<'a> {
    fleet: &'a Fleet,
    nodes: &'a [usize],
    /// Place of the crowded node among the nodes; none while callers come to all alike.
    at: &'a AtomicUsize,
    attempts: &'a Attempts,
    stop: &'a AtomicBool,
}

const NOBODY: usize = usize::MAX;

impl Crowd<'_> {
    /// Sends one request after the other, each on a connection of its own.
    fn call(&self, caller: usize) {
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let at = self.at.load(Ordering::Relaxed);
            let is_in_crowd = at != NOBODY && caller % 10 < CROWD_OF_TEN;
            let place = if is_in_crowd { at } else { (caller + number) % self.nodes.len() };
            let sent_at = Instant::now();
            let id = format!("s-{caller}-{number}");
            let answer = self.fleet.nodes[self.nodes[place]].stream("/ask/", &id, "m");
            let end = answer.map_or(End::Closed, |answer| End::Response(answer.status));
            self.attempts.lock().unwrap().push((sent_at, end));
            if end != End::Response(StatusCode::OK) {
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// Share of the attempts sent between two moments, and read, that were served.
fn served_share(attempts: &Attempts, from: Instant, to: Instant) -> f64 {
    let attempts = attempts.lock().unwrap();
    let sent = attempts.iter().filter(|(sent_at, _)| (from..to).contains(sent_at));
    let read: Vec<End> = sent.map(|(_, end)| *end).filter(|end| *end != End::Closed).collect();
    assert!(read.len() >= 20, "only {} requests", read.len());
    let served = read.iter().filter(|end| **end == End::Response(StatusCode::OK));
    served.count() as f64 / read.len() as f64
}

/// How often attempts sent since then ended in each way.
fn ends(attempts: &Attempts, from: Instant) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for (_, end) in attempts.lock().unwrap().iter().filter(|(sent_at, _)| *sent_at >= from) {
        *ends.entry(format!("{end:?}")).or_default() += 1;
    }
    ends
}

/// Connections that the nodes have closed unread, as they count them.
fn closed_unread(fleet: &Fleet) -> usize {
    let count = |node: &Node| {
        let metrics = Caller::new(node.metrics).unwrap();
        let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
        let lines =
            text.lines().filter_map(|line| line.strip_prefix("hgw_connections_refused_total "));
        lines.filter_map(|count| count.trim().parse::<usize>().ok()).sum::<usize>()
    };
    fleet.nodes.iter().map(count).sum()
}

/// Lets callers come to all nodes, then most of them to one, then to the next.
fn play(nodes: usize) {
    let engine = |n| EngineSettings {
        id: format!("i-{n}"),
        holds: holds(&[("m", &[])]),
        slots: 32,
        pause: Duration::from_millis(10),
        ..EngineSettings::default()
    };
    let mut fleet = new_fleet((0..2).map(engine).collect());
    let nodes: Vec<usize> = (0..nodes).map(|_| fleet.spawn("a")).collect();
    for node in &nodes {
        wait("the node is ready", || fleet.nodes[*node].is_ready());
    }
    std::thread::sleep(CONTACT);
    let (at, attempts, stop) =
        (AtomicUsize::new(NOBODY), Attempts::default(), AtomicBool::new(false));
    let crowd = Crowd { fleet: &fleet, nodes: &nodes, at: &at, attempts: &attempts, stop: &stop };
    std::thread::scope(|scope| {
        let _stopping = Stop(&stop);
        for caller in 0..CALLERS {
            let crowd = &crowd;
            scope.spawn(move || crowd.call(caller));
        }
        let begun_at = Instant::now();
        std::thread::sleep(Duration::from_secs(2));
        let usual = served_share(&attempts, begun_at, Instant::now());
        // The first of them leads, with some luck.
        for crowded in 0..2 {
            at.store(crowded, Ordering::Relaxed);
            std::thread::sleep(CONTACT);
            let counted_from = Instant::now();
            std::thread::sleep(Duration::from_secs(2));
            let share = served_share(&attempts, counted_from, Instant::now());
            let ends = ends(&attempts, counted_from);
            assert!(share >= WANTED * usual, "{share} served, {usual} before: {ends:?}");
        }
    });
    let closed = attempts.lock().unwrap().iter().filter(|(_, end)| *end == End::Closed).count();
    let unread = closed_unread(&fleet);
    assert!(closed <= unread, "{closed} connections were closed, {unread} of them unread");
    for engine in &fleet.engines {
        let most = engine.record().most_active;
        assert!(most <= MAX_CONNS, "{most} at an engine that takes {MAX_CONNS}");
    }
}

/// Tests with so many nodes.
macro_rules! crowds {
    ($($(#[$why:meta])* $name:ident: $nodes:literal;)*) => {
        $($(#[$why])* #[test] fn $name() { play($nodes); })*
    };
}

crowds! {
    /// Guards against a node that refuses most of its callers as it may use only an equal share of each engine.
    crowd_at_one_of_three_nodes_is_served: 3;
    /// The same with nine nodes, of which each has a ninth.
    crowd_at_one_of_nine_nodes_is_served: 9;
    /// The same with nodes that know each other's requests by sums from their hub.
    crowd_at_one_of_fourteen_nodes_is_served: 14;
}
