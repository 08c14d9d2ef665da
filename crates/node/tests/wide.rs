//! More nodes in a failure domain than the other ones know of.

#[expect(dead_code, reason = "the sessions use more of it")]
mod support;

use bytes::Bytes;
use hgw_node::{OperatorReply, OperatorRequest};
use hgw_types::{NodeId, Offset};

use support::World;
use support::document::DOCUMENT;

/// Nodes in each of the two failure domains; the other one knows four of them.
const EACH: usize = 12;

/// Who holds what does not change while no node comes or goes.
///
/// A caller with a key would be sent from owner to owner, and a call whose owner lost its term while
/// it ran would be answered with `may_have_run`. Each domain named an owner that the other did not
/// know, took the other's for dead, and claimed the shard back within a second, for ever.
#[test]
fn claims_stay_where_they_are() {
    let names: Vec<String> = (0..2 * EACH).map(|i| format!("n{i}@d{}", 1 + i / EACH)).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::start(&names);
    world.run(3000);
    let document = Bytes::from_static(DOCUMENT.as_bytes());
    world.operate("n0", OperatorRequest::Apply { id: None, base: Offset(0), document });
    world.run(60_000);
    let first = holders(&mut world);
    assert_eq!(first.iter().filter(|h| h.contains("shard")).count(), 8, "{first:?}");
    assert_eq!(first.iter().filter(|h| h.contains("region")).count(), 1, "{first:?}");
    for _ in 0..60 {
        world.run(500);
        assert_eq!(holders(&mut world), first);
    }
}

/// What each node says that it holds.
fn holders(world: &mut World) -> Vec<String> {
    let nodes: Vec<NodeId> = world.nodes.keys().cloned().collect();
    let mut holders = Vec::new();
    for node in nodes {
        world.replies.clear();
        world.operate(node.as_str(), OperatorRequest::State);
        let Some(OperatorReply::State(state)) = world.replies.pop() else { panic!("no state") };
        let state: serde_json::Value = serde_json::from_str(&state).unwrap();
        for (what, list) in [("shard", &state["shards"]), ("region", &state["regions"])] {
            let held = list.as_array().unwrap();
            holders.extend(held.iter().map(|one| format!("{node} {what} {one}")));
        }
    }
    holders
}
