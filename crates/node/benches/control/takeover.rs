//! Virtual time from a node's death until others do its work.

use hgw_types::{NodeId, ServiceId};
use serde_json::Value;

use crate::document::{Size, chat, keyed};
use crate::say;
use crate::slopes::holder;
use crate::world::{World, name};

/// Longest time looked at, in steps of 10 ms.
const STEPS: u64 = 3000;
const SHARDS: u32 = 8;

/// How a node's end shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Death {
    /// The process ends: its connections break at once.
    Broken,
    /// The VM goes; peers find their connections silent by pings.
    Pinged,
    /// The VM goes, and only heartbeats show it.
    Silent,
}

fn kill(world: &mut World, victim: &NodeId, how: Death) {
    world.pings = how == Death::Pinged;
    world.kill(victim, how != Death::Broken);
}

pub(crate) fn takeover() {
    for nodes in [3, 9] {
        for how in [Death::Broken, Death::Pinged, Death::Silent] {
            let claim = claim(nodes, how, |s| !s["keeper"].is_null());
            let planner = claim_of_planner(nodes, how);
            let shown = [
                format!("keeper {}", time(claim)),
                format!("planner {}", time(planner)),
                format!("model request {}", time(dispatch(nodes, how))),
                format!("keyed call {}", time(key_owner(nodes, how))),
            ];
            say(&format!("{nodes} nodes, {how:?}: {}", shown.join(", ")));
        }
    }
}

fn time(steps: Option<u64>) -> String {
    steps.map_or_else(|| "not within 30 s".to_owned(), |s| format!("{} ms", s * 10))
}

fn world(nodes: usize) -> World {
    let mut world = World::start(nodes, Size { domains: 1, models: 10, engines: 2 });
    world.run(10_000);
    world
}

fn claim_of_planner(nodes: usize, how: Death) -> Option<u64> {
    claim(nodes, how, |s| s["regions"].as_array().is_some_and(|r| !r.is_empty()))
}

/// Until another node holds what the dead one held.
fn claim(nodes: usize, how: Death, held: impl Fn(&Value) -> bool) -> Option<u64> {
    let mut world = world(nodes);
    let victim = holder(&mut world, &held)?;
    kill(&mut world, &victim, how);
    (0..STEPS).find(|_| {
        world.run(10);
        holder(&mut world, &held).is_some()
    })
}

/// Until a model request that came after the death is with the engine.
fn dispatch(nodes: usize, how: Death) -> Option<u64> {
    let mut world = world(nodes);
    let model = name("m0");
    world.call(&name("n0"), chat(&model));
    let victim = world.started[0].node.clone();
    world.end_all();
    kill(&mut world, &victim, how);
    let entry = world.nodes.keys().next()?.clone();
    until_started(&mut world, |world| world.call(&entry, chat(&model)))
}

/// Until a keyed call that came after its owner's death is with the upstream.
fn key_owner(nodes: usize, how: Death) -> Option<u64> {
    let mut world = world(nodes);
    let owns = |s: &Value| s["shards"].as_array().is_some_and(|s| !s.is_empty());
    let victim = holder(&mut world, owns)?;
    let shard = world.state_of(&victim)["shards"][0].as_u64()?;
    kill(&mut world, &victim, how);
    let entry: NodeId = world.nodes.keys().next()?.clone();
    let service: ServiceId = name("ledger");
    let of_shard =
        |key: &String| u64::from(hgw_once::shard_of(&service, &name(key), SHARDS)) == shard;
    let mut keys = (0..).map(|i| format!("k{i}")).filter(of_shard);
    until_started(&mut world, |world| {
        let key = keys.next().unwrap_or_default();
        world.call(&entry, keyed(&key));
    })
}

/// Makes a call every 100 ms until one of them is started.
fn until_started(world: &mut World, mut call: impl FnMut(&mut World)) -> Option<u64> {
    (0..STEPS).find(|step| {
        if step % 10 == 0 {
            call(world);
        }
        world.run(10);
        !world.started.is_empty()
    })
}
