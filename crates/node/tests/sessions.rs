//! Whole sessions of nodes joined by hand, compared with files kept beside this one.

mod support;

use bytes::Bytes;
use hgw_node::{OperatorRequest, StreamId};
use hgw_types::{MemSize, Offset};
use hgw_wire::peer::{Outcome, RecordedAnswer};

use support::document::{DOCUMENT, chat, document, post};
use support::{World, name};

macro_rules! sessions {
    ($($(#[$doc:meta])* $name:ident($world:ident) $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $world = served(&["a@d1", "b@d1", "c@d2"]);
            $body
            insta::assert_snapshot!($world.transcript.join("\n"));
        }
    )*};
}

/// Nodes with the configuration in force and all models loaded. What came before is not shown.
fn served(nodes: &[&str]) -> World {
    let mut world = World::start(nodes);
    for (id, upstream) in &document().upstreams {
        if upstream.memory > MemSize(0) {
            world.engines.add(id, upstream.memory);
        }
    }
    world.run(3000);
    let document = Bytes::from_static(DOCUMENT.as_bytes());
    world.operate("a", OperatorRequest::Apply { id: None, base: Offset(0), document });
    world
        .run_until("all models loaded", |w| w.engines.states.values().all(|s| s.models.len() == 2));
    world.run(1000);
    world.transcript.clear();
    world
}

/// The node that works on the only attempt.
fn worker(world: &World) -> String {
    world.running[0].node.to_string()
}

fn done(text: &'static str) -> Option<RecordedAnswer> {
    Some(RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(text.as_bytes()),
    })
}

fn finish(world: &mut World, answer: Option<RecordedAnswer>) {
    let attempt = *world.running.keys().next().unwrap();
    world.end(attempt, Outcome::Whole(1), answer);
}

#[test]
fn first_start() {
    let mut world = World::start(&["a@d1"]);
    world.engines.add(&name("e1"), MemSize(140));
    world.engines.add(&name("e2"), MemSize(140));
    world.run(1500);
    let document = Bytes::from_static(DOCUMENT.as_bytes());
    world.operate("a", OperatorRequest::Apply { id: None, base: Offset(0), document });
    world.run(5000);
    insta::assert_snapshot!(world.transcript.join("\n"));
}

/// The operator publishes a configuration and it is accepted. All nodes were down until every record
/// had expired; the one that starts finds neither a refresh in the log nor a member that has one, and
/// begins with an empty configuration instead of waiting for ever.
#[test]
fn configuration_expired_everywhere() {
    let mut world = World::start(&["a@d1"]);
    world.log.expire(&hgw_types::StreamName::config(), 4);
    world.run(5000);
    assert!(world.transcript.is_empty(), "{:?}", world.transcript);
    world.run(10_000);
    let document = Bytes::from_static(DOCUMENT.as_bytes());
    world.operate("a", OperatorRequest::Apply { id: None, base: Offset(0), document });
    world.run(1000);
    insta::assert_snapshot!(world.transcript[..2].join("\n"));
}

sessions! {
    model_request(world) {
        world.call("b", chat("m1"));
        world.emit(8);
        world.end_all(&Outcome::Whole(8));
    }

    /// The caller sees eight tokens, none twice. The node that dispatched the request dies after three;
    /// the entry node finds out what the caller has and goes on from there, at a node that has taken
    /// the queue over.
    dispatcher_dies_in_mid_stream(world) {
        let entry = if worker_of_m1(&mut world) == "a" { "b" } else { "a" };
        world.call(entry, chat("m1"));
        world.emit(3);
        let dispatcher = worker(&world);
        world.kill(&dispatcher);
        world.run(500);
        world.emit(5);
        world.end_all(&Outcome::Whole(8));
    }

    /// The caller sees eight tokens, none twice. The engine breaks off after three; the request goes on
    /// at the engine of the other failure domain.
    engine_dies_in_mid_stream(world) {
        world.call("a", chat("m1"));
        world.emit(3);
        let upstream = world.running[0].upstream.clone();
        world.engines.dead.insert(upstream);
        world.end_all(&Outcome::Broken("reset".to_owned()));
        world.run(500);
        world.emit(5);
        world.end_all(&Outcome::Whole(8));
    }

    /// The caller sees eight tokens, none twice. Its engine breaks off after three and all engines stay
    /// dead for two seconds while routes still name them: every try fails without a new token, and the
    /// stream is not cut for it.
    engines_stay_dead_for_a_while(world) {
        world.call("a", chat("m1"));
        world.emit(3);
        for _ in 0..20 {
            world.end_all(&Outcome::Broken("reset".to_owned()));
            world.run(100);
        }
        let tries = world.transcript.len();
        assert!(tries > 6, "{tries} lines");
        world.transcript.clear();
        world.emit(5);
        world.end_all(&Outcome::Whole(8));
    }

    /// The caller sees eight tokens, none twice. Its engine breaks off after three; for two seconds all
    /// engines refuse connections, so every try ends as not run. The tries are many more than the retry
    /// budget holds, and the stream is not cut for it.
    engines_refuse_for_a_while(world) {
        world.call("a", chat("m1"));
        world.emit(3);
        world.end_all(&Outcome::Broken("reset".to_owned()));
        for _ in 0..20 {
            world.run(100);
            world.end_all(&Outcome::NotRun("refused".to_owned()));
        }
        world.run(200);
        world.transcript.clear();
        world.emit(5);
        world.end_all(&Outcome::Whole(8));
    }

    /// The caller is told that the call has not run. The dispatcher had said that it starts the call; no
    /// connection to the back end could be made, so no byte of it got there.
    refused_connection_is_not_run(world) {
        world.call("a", post(None));
        world.end_all(&Outcome::NotRun("refused".to_owned()));
    }

    /// The first caller gets the answer; the second, with the same key through another node, gets the
    /// same one. The back end ran once.
    key_used_twice(world) {
        world.call("a", post(Some("k1")));
        world.run(100);
        finish(&mut world, done("voucher 1"));
        world.run(100);
        world.call("c", post(Some("k1")));
        world.run(200);
    }

    /// The caller is told that the call may have run, and so is its repeat. The owner of the key dies
    /// after it has sent the call on and before it has recorded the answer; its successor finds the
    /// beginning in the log and does not run it again.
    key_owner_dies_during_the_call(world) {
        let owner = owner_of_k1(&mut world);
        let entry = if owner == "a" { "b" } else { "a" };
        world.call(entry, post(Some("k2")));
        world.run(100);
        world.kill(&owner);
        world.run(5000);
        world.call(entry, post(Some("k2")));
        world.run(1000);
    }

    /// Both callers are told at once that the call has not run and when to come back: the log is down,
    /// so no beginning can be recorded. Model requests go on.
    log_down(world) {
        world.log.down = true;
        world.run(2000);
        world.call("a", post(Some("k1")));
        world.run(1000);
        world.call("a", chat("m1"));
        world.emit(8);
        world.end_all(&Outcome::Whole(8));
    }

    /// The caller gets its whole answer. The node that works on it is told to stop in the middle; it
    /// takes no new request, finishes this one, gives up its claims and exits.
    planned_stop_in_mid_stream(world) {
        world.call("a", chat("m1"));
        world.emit(3);
        let dispatcher = worker(&world);
        world.stop(&dispatcher);
        world.run(300);
        world.call(&dispatcher, chat("m1"));
        world.emit(5);
        world.end_all(&Outcome::Whole(8));
        world.run(3000);
    }

    /// The caller through the old configuration is served; the operator who came second is told which
    /// version is in force. Both changes name the same base and the log's order decides.
    operators_race(world) {
        let document = || Bytes::from(DOCUMENT.replace("\"slots\": 4, \"fencing\"", "\"slots\": 5, \"fencing\""));
        world.log.loses_answers = true;
        world.operate("a", OperatorRequest::Apply { id: None, base: Offset(1), document: document() });
        world.operate("c", OperatorRequest::Apply { id: None, base: Offset(1), document: document() });
        world.run(200);
    }
}

/// The node that has the queue before the nearest engine with `m1`, found by a request.
fn worker_of_m1(world: &mut World) -> String {
    world.call("a", chat("m1"));
    let worker = worker(world);
    world.emit(8);
    world.end_all(&Outcome::Whole(8));
    world.transcript.clear();
    worker
}

/// The node that owns the shard of the key `k2`.
fn owner_of_k1(world: &mut World) -> String {
    for node in ["a", "b", "c"] {
        world.operate(node, OperatorRequest::State);
    }
    let shard = u64::from(hgw_once::shard_of(&name("ledger"), &name("k2"), 8));
    let owns = |reply: &hgw_node::OperatorReply| match reply {
        hgw_node::OperatorReply::State(json) => {
            let state: serde_json::Value = serde_json::from_str(json).unwrap();
            let shards = state["shards"].as_array().unwrap().clone();
            shards
                .iter()
                .any(|s| s.as_u64() == Some(shard))
                .then(|| state["node"].as_str().unwrap().to_owned())
        }
        _ => None,
    };
    let owner = world.replies.iter().find_map(owns).unwrap();
    world.transcript.clear();
    owner
}

#[test]
fn a_caller_gone_is_cancelled_upstream() {
    let mut world = served(&["a@d1", "c@d2"]);
    let stream = world.call("a", chat("m1"));
    world.give(&name("a"), hgw_node::Event::CallerGone { stream });
    world.run(20);
    assert!(world.running.is_empty());
    assert_eq!(stream, StreamId(1));
}
