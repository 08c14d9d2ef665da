//! Engines that say in their answers that they leave, while the list does not.

use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use hgw_standins::fleet::engine::Engine;
use http::StatusCode;

use crate::new_fleet;

fn model_engine(id: &str) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(&[("m", &[])]), ..EngineSettings::default() }
}

/// So many nodes in two failure domains before three engines of models and two plain ones.
fn fleet_of(nodes: usize) -> Fleet {
    let mut fleet = new_fleet(["i-1", "i-2", "i-3"].map(model_engine).to_vec());
    fleet.start_with_leader(nodes, &["a", "b"]);
    fleet
}

/// Requests that are sent together until one has reached the engine.
const AT_A_TIME: usize = 6;

/// Sends calls or streams of different sessions through a node; all have to be served.
fn press(fleet: &Fleet, node: usize, name: &str, count: usize) {
    for n in 0..count {
        let id = format!("{name}-{node}-{n}");
        let node = &fleet.nodes[node];
        let served = if name.starts_with("stream") {
            node.stream_of_new_session("/ask/", &id, "m")
        } else {
            node.plain("/look/", &id)
        };
        assert!(served.is_ok_and(|answer| answer.status == StatusCode::OK), "{id}");
    }
}

/// Runs at an engine of requests whose names begin so.
fn runs(engine: &Engine, name: &str) -> usize {
    engine.record().runs.keys().filter(|id| id.starts_with(name)).count()
}

/// Has an engine say that it leaves while the store answers nobody. Once a node has passed that on, none sends it anything.
fn play(nodes: usize, engine: &str, name: &str) {
    let fleet = fleet_of(nodes);
    fleet.store.fault(&Faults { refuse: true, ..Faults::default() });
    fleet.engine(engine).leave(Some("1"));
    let before = format!("{name}-before");
    for n in 0.. {
        assert!(n < 200, "no request has reached the engine");
        // One request at a time may always go to the same engine, to which the node has a connection.
        std::thread::scope(|scope| {
            let (fleet, before) = (&fleet, &before);
            (0..AT_A_TIME).for_each(|at_a_time| {
                scope.spawn(move || press(fleet, 1, &format!("{before}-{n}-{at_a_time}"), 1));
            });
        });
        if runs(fleet.engine(engine), &before) > 0 {
            break;
        }
    }
    // What is under way may still arrive, and the other nodes are told.
    std::thread::sleep(Duration::from_millis(500));
    let after = format!("{name}-after");
    for node in 0..nodes {
        press(&fleet, node, &after, 12);
    }
    assert_eq!(runs(fleet.engine(engine), &after), 0);
}

/// Tests with so many nodes.
macro_rules! plays {
    ($($(#[$why:meta])* $name:ident: $nodes:literal, $engine:literal, $kind:literal;)*) => {
        $($(#[$why])* #[test] fn $name() { play($nodes, $engine, $kind); })*
    };
}

plays! {
    /// Guards against nodes that send to an engine which has said that it leaves, as the list does not say so.
    nothing_is_sent_to_an_engine_that_said_in_a_stream_that_it_leaves: 3, "i-1", "stream";
    /// The same with plain calls, and more nodes.
    nothing_is_sent_to_an_engine_that_said_in_a_plain_answer_that_it_leaves: 9, "desk-1", "plain";
    /// The same with nodes behind a hub, which are told by it.
    nodes_behind_a_hub_send_nothing_to_an_engine_that_said_that_it_leaves: 14, "i-1", "stream";
}

/// Has `desk-1` answer one call, in a way of its own, with these notices.
fn notify(fleet: &Fleet, notices: &str, answer: impl Fn(&Engine)) {
    let engine = fleet.engine("desk-1");
    engine.leave(Some(notices));
    for n in 0.. {
        assert!(n < 100, "no call has reached the engine");
        let arrivals = engine.arrivals().len();
        answer(engine);
        let _ = fleet.nodes[0].plain("/look/", &format!("before-{n}"));
        if engine.arrivals().len() > arrivals {
            break;
        }
    }
    engine.leave(None);
    engine.refuse(0);
    engine.fail(0);
}

/// Calls of so many that reach `desk-1`.
fn later_calls(fleet: &Fleet, count: usize) -> usize {
    let engine = fleet.engine("desk-1");
    let arrivals = engine.arrivals().len();
    for n in 0..count {
        let _ = fleet.nodes[0].plain("/look/", &format!("after-{n}"));
    }
    engine.arrivals().len() - arrivals
}

/// Tests of one answer each; whether the engine leaves then.
macro_rules! answers {
    ($($(#[$why:meta])* $name:ident: $notices:literal, $answer:expr, $leaves:literal;)*) => {
        $($(#[$why])* #[test] fn $name() {
            let fleet = fleet_of(1);
            notify(&fleet, $notices, $answer);
            match $leaves {
                true => assert_eq!(later_calls(&fleet, 20), 0),
                // An engine that has failed is left alone for a while.
                false => wait("the engine gets calls", || later_calls(&fleet, 4) > 0),
            }
        })*
    };
}

answers! {
    /// Guards against notices that are read from successes only.
    rejection_says_that_its_engine_leaves: "1", |engine| engine.refuse(1), true;
    /// The same for failures.
    failure_says_that_its_engine_leaves: "1", |engine| engine.fail(1), true;
    /// Guards against a garbled notice that takes an engine from work.
    garbled_notice_changes_nothing: "0|yes|", |_| (), false;
    /// Guards against one garbled value that hides a sound one.
    one_sound_value_of_several_counts: "maybe|1", |_| (), true;
    /// Guards against an answer to another request, which may come from anybody.
    answer_to_another_request_says_nothing: "1", |engine| {
        engine.fault(&Faults { cross_answers: 1, ..Faults::default() });
    }, false;
}

/// Guards against a heartbeat that was written before the engine began to leave, and against nodes that pass over its
/// next start for good.
#[test]
fn engine_leaves_until_it_starts_anew() {
    let fleet = fleet_of(1);
    let engine = fleet.engine("desk-1");
    notify(&fleet, "1", |_| ());
    assert_eq!(later_calls(&fleet, 20), 0);
    fleet.list(engine, "ready");
    std::thread::sleep(Duration::from_millis(1_500));
    let arrivals = engine.arrivals().len();
    press(&fleet, 0, "late-heartbeat", 20);
    assert_eq!(engine.arrivals().len(), arrivals);
    engine.start_anew();
    fleet.list(engine, "ready");
    wait("the new start gets calls", || {
        press(&fleet, 0, "anew", 4);
        engine.arrivals().len() > arrivals
    });
}

/// Guards against a notice that comes where no caller's request went: in the response to a call of the leader's.
#[test]
fn response_to_the_leader_says_that_its_engine_leaves() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let node = fleet.start("a");
    wait("the node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let status = |model: &str, id: &str| {
        fleet.nodes[node].stream("/ask/", id, model).map(|answer| answer.status).ok()
    };
    assert_eq!(status("m", "before"), Some(StatusCode::OK));
    let engine = fleet.engine("i-1");
    engine.leave(Some("1"));
    let arrivals = engine.arrivals().len();
    // Has the leader ask the engine for a report, or order the model, which it does not have.
    status("n", "ordered");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(status("m", "after"), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(engine.arrivals().len(), arrivals);
}
