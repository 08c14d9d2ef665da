//! Which nodes have the queue before an upstream.

#[expect(dead_code, reason = "the sessions use more of it")]
mod support;

use bytes::Bytes;
use hgw_node::{OperatorReply, OperatorRequest};
use hgw_types::{NodeId, Offset};

use support::World;
use support::document::DOCUMENT;

/// Each upstream is asked for its load by one node, also after other nodes have come.
///
/// Callers see nothing; the upstreams are asked more often with each VM that is replaced, until every
/// node of the domain asks all of them.
#[test]
fn each_upstream_has_one_queue_after_nodes_have_come() {
    let mut world = World::start(&["a@d1"]);
    world.run(3000);
    let document = Bytes::from_static(DOCUMENT.as_bytes());
    world.operate("a", OperatorRequest::Apply { id: None, base: Offset(0), document });
    world.run(2000);
    assert_eq!(queues(&mut world), ["a e1", "a p1"]);
    for node in ["b@d1", "c@d1", "d@d1", "e@d1", "f@d1"] {
        world.add(node);
        world.run(4000);
    }
    let queues = queues(&mut world);
    assert_eq!(queues.len(), 2, "{queues:?}");
    assert!(queues.iter().any(|q| !q.starts_with('a')), "no queue has changed hands: {queues:?}");
}

/// All queues, as `node upstream`.
fn queues(world: &mut World) -> Vec<String> {
    let nodes: Vec<NodeId> = world.nodes.keys().cloned().collect();
    let mut queues = Vec::new();
    for node in nodes {
        world.replies.clear();
        world.operate(node.as_str(), OperatorRequest::State);
        let Some(OperatorReply::State(state)) = world.replies.pop() else { panic!("no state") };
        let state: serde_json::Value = serde_json::from_str(&state).unwrap();
        let upstreams = state["queues"].as_array().unwrap().iter().map(|q| &q["upstream"]);
        queues.extend(upstreams.map(|u| format!("{node} {}", u.as_str().unwrap())));
    }
    queues
}
