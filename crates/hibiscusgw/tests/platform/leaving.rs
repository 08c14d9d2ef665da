//! Engines that say in their answers that they leave, while the list does not.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hgw_standins::Faults;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, holds, wait};
use hgw_standins::fleet::engine::Engine;
use http::{Method, StatusCode};

use crate::new_fleet;

/// Number of the next session; no two share a prompt, so that each engine gets some.
static SESSIONS: AtomicU64 = AtomicU64::new(1);

fn model_engine(id: &str) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(&[("m", &[])]), ..EngineSettings::default() }
}

/// So many nodes in two failure domains before three engines of models and two plain ones.
fn fleet_of(nodes: usize) -> Fleet {
    let mut fleet = new_fleet(["i-1", "i-2", "i-3"].map(model_engine).to_vec());
    fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let others: Vec<usize> = (1..nodes).map(|n| fleet.spawn(["a", "b"][n % 2])).collect();
    for node in others {
        wait("the node is ready", || fleet.nodes[node].is_ready());
    }
    std::thread::sleep(Duration::from_secs(3));
    fleet
}

/// Sends calls or streams of different sessions through a node; all have to be served.
fn press(fleet: &Fleet, node: usize, name: &str, count: usize) {
    for n in 0..count {
        let id = format!("{name}-{node}-{n}");
        let node = &fleet.nodes[node];
        let served = if name.starts_with("stream") {
            let session = SESSIONS.fetch_add(1, Ordering::Relaxed);
            let prefix = format!("a1:60,{:x}:40", session.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let headers = [
                ("x-request-id", id.as_str()),
                ("x-deadline-ms", "8000"),
                ("x-model", "m"),
                ("x-tokens", "100,120"),
                ("x-prompt-prefix", &prefix),
            ];
            node.call(Method::POST, "/ask/", &headers)
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
        press(&fleet, 1, &format!("{before}-{n}"), 1);
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
}
