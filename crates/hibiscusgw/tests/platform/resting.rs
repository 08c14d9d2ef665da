//! Engines that turn requests away and name a time of rest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use hgw_standins::fleet::engine::Engine;
use http::StatusCode;

use crate::new_fleet;

/// Time after a rejection from which on nothing may come until the end of the rest.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Number of the next stream.
static STREAMS: AtomicU64 = AtomicU64::new(1);

fn model_engine(id: &str) -> EngineSettings {
    let holds = holds(&[("m", &[])]);
    EngineSettings { id: id.into(), holds, slots: 64, ..EngineSettings::default() }
}

fn fleet_of(nodes: usize) -> Fleet {
    let mut fleet = new_fleet(["i-1", "i-2", "i-3"].map(model_engine).to_vec());
    fleet.start_with_leader(nodes, &["a", "b"]);
    fleet
}

/// Sends a stream of its own session; its id begins with the node's number.
fn stream(fleet: &Fleet, node: usize) -> Option<(StatusCode, Option<String>)> {
    let id = format!("{node}-{}", STREAMS.fetch_add(1, Ordering::Relaxed));
    let answer = fleet.nodes[node].stream_of_new_session("/ask/", &id, "m").ok()?;
    let retry_after = answer.headers.get("retry-after").and_then(|v| v.to_str().ok());
    Some((answer.status, retry_after.map(str::to_owned)))
}

/// Sends streams through all nodes, two at a time each, for so long; returns how many were served and how many not.
fn press(fleet: &Fleet, during: Duration) -> (usize, usize) {
    let until = Instant::now() + during;
    let counts: Vec<(usize, usize)> = std::thread::scope(|scope| {
        let press = |node| {
            move || {
                let (mut served, mut refused) = (0, 0);
                while Instant::now() < until {
                    match stream(fleet, node) {
                        Some((StatusCode::OK, _)) => served += 1,
                        _ => refused += 1,
                    }
                }
                (served, refused)
            }
        };
        let callers = (0..fleet.nodes.len()).flat_map(|node| [node, node]);
        let callers: Vec<_> = callers.map(|node| scope.spawn(press(node))).collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect()
    });
    counts.into_iter().fold((0, 0), |(s, r), (served, refused)| (s + served, r + refused))
}

/// Requests from one node that an engine turned away later than [`UNDER_WAY`] after it had told that node to rest for so
/// long, and before the end of that.
fn disturbances(engine: &Engine, node: usize, rest: Duration) -> usize {
    let name = format!("{node}-");
    let all = engine.turned_away();
    let times: Vec<Instant> =
        all.iter().filter(|(_, id)| id.starts_with(&name)).map(|(at, _)| *at).collect();
    let is_disturbed =
        |at: &&Instant| times.iter().any(|told| **at > *told + UNDER_WAY && **at < *told + rest);
    times.iter().filter(is_disturbed).count()
}

/// Two of three engines want rest; the nodes leave them alone, and the third serves.
fn play(nodes: usize, text: &str, rest: Duration) {
    let fleet = fleet_of(nodes);
    let resting = ["i-1", "i-2"].map(|id| fleet.engine(id));
    resting.iter().for_each(|engine| engine.rest(Some(text)));
    let (served, refused) = press(&fleet, rest * 2);
    for engine in resting {
        for node in 0..nodes {
            assert_eq!(disturbances(engine, node, rest), 0, "{} by node {node}", engine.id());
        }
    }
    assert!(refused * 20 <= served, "{refused} refused, {served} served");
    resting.iter().for_each(|engine| engine.rest(None));
    let runs = |engine: &Engine| engine.record().runs.len();
    let before = resting.map(runs);
    wait("they work again after their rest", || {
        // One stream at a time may always go to the same engine, to which the node has a connection.
        press(&fleet, Duration::from_millis(200));
        resting.iter().zip(before).all(|(engine, before)| runs(engine) > before)
    });
}

/// Tests with so many nodes.
macro_rules! plays {
    ($($(#[$why:meta])* $name:ident: $nodes:literal, $text:literal, $rest:expr;)*) => {
        $($(#[$why])* #[test] fn $name() { play($nodes, $text, $rest); })*
    };
}

plays! {
    /// Guards against nodes that go on sending to an engine which turns them away and wants rest.
    engines_that_want_rest_are_left_alone: 3, "3", Duration::from_secs(3);
    /// The same with more nodes, and a fraction of a second.
    engines_that_want_rest_are_left_alone_by_nine_nodes: 9, "2.5", Duration::from_millis(2_500);
    /// The same with nodes behind a hub; of several values the longest counts.
    engines_that_want_rest_are_left_alone_by_nodes_behind_a_hub: 14, "1|2", Duration::from_secs(2);
}

/// Guards against callers that are held, or told to come back while all engines rest.
#[test]
fn callers_are_refused_at_once_until_the_earliest_engine_has_rested() {
    let fleet = fleet_of(1);
    for (id, rest) in [("i-1", "4"), ("i-2", "3"), ("i-3", "5")] {
        fleet.engine(id).rest(Some(rest));
    }
    let all_told =
        || ["i-1", "i-2", "i-3"].iter().all(|id| !fleet.engine(id).turned_away().is_empty());
    wait("each engine has named its rest", || {
        stream(&fleet, 0);
        all_told()
    });
    std::thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    let (status, retry_after) = stream(&fleet, 0).expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(began.elapsed() < Duration::from_millis(500), "held for {:?}", began.elapsed());
    let retry_after: f64 = retry_after.expect("a time to come back").parse().unwrap();
    let told = fleet.engine("i-2").turned_away();
    let rested_in = (told.last().unwrap().0 + Duration::from_secs(3)) - Instant::now();
    assert!(retry_after >= rested_in.as_secs_f64() - 0.2, "{retry_after} s of {rested_in:?}");
    // Callers that are refused together are spread over as much time again, and nodes over some tenths of a second.
    let latest = (rested_in.as_secs_f64() + 0.7) * 2.0;
    assert!(retry_after <= latest, "{retry_after} s of {rested_in:?}");
}

/// Guards against a shorter rest that ends a longer one, and against a garbled one that counts.
#[test]
fn shorter_rest_does_not_end_a_longer_one() {
    let fleet = fleet_of(1);
    let engine = fleet.engine("i-1");
    engine.rest(Some("Fri, 04 Dec 2026 03:15:23 GMT|-4"));
    wait("it turns two away", || {
        stream(&fleet, 0);
        engine.turned_away().len() > 1
    });
    engine.rest(Some("3"));
    let before = engine.turned_away().len();
    wait("it turns one away", || {
        stream(&fleet, 0);
        engine.turned_away().len() > before
    });
    engine.rest(None);
    let arrivals = engine.arrivals().len();
    press(&fleet, Duration::from_millis(2_200));
    assert_eq!(engine.arrivals().len(), arrivals);
}
