//! Configurations that take their time on the links of nodes.

use std::time::{Duration, Instant};

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, NodeLinks, configuration_with_route, holds};
use hgw_standins::link::Rate;
use http::StatusCode;
use serde_json::Value;

use crate::new_fleet;

/// Time within which a configuration is in force after the store has acknowledged it, in the settings of tests.
const APPLY_WITHIN: Duration = Duration::from_secs(2);

/// 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1.25e6;

/// What a play is like.
#[derive(Debug, Clone, Copy)]
struct Play {
    nodes: usize,
    /// Routes that a configuration has beside the usual ones.
    routes: u64,
    /// What the store gives to all nodes together.
    store_bytes_per_s: f64,
    /// Configurations, each published before the last can be everywhere.
    versions: u64,
    pause: Duration,
    /// When the leader is killed, after the last was published.
    kill_after: Option<Duration>,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            nodes: 3,
            routes: 1_400,
            store_bytes_per_s: 2e6,
            versions: 1,
            pause: Duration::from_millis(200),
            kill_after: None,
        }
    }
}

/// Nodes of one failure domain, all with such links; the first is the leader.
fn fleet_of(play: Play) -> Fleet {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = new_fleet(vec![models]);
    fleet.links = NodeLinks {
        bytes_per_s: Some(LINK_BYTES_PER_S),
        store_reads: Some(Rate::new(play.store_bytes_per_s)),
    };
    fleet.start_with_leader(play.nodes, &["a"]);
    fleet
}

/// A configuration with so many more routes that nobody asks for, and one under `/NAME/`.
fn long_configuration(version: u64, name: &str, routes: u64) -> Value {
    let mut config = configuration_with_route(version, name);
    let all = config["routes"].as_array_mut().expect("routes are a list");
    for n in 0..routes {
        let mut route = all[0].clone();
        let fields = route.as_object_mut().expect("a route has fields");
        fields.retain(|field, _| !matches!(field.as_str(), "resumable" | "gapAimMs"));
        // As little alike as the names of operators are.
        let text = format!("{:x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        route["name"] = format!("idle-{text}").into();
        route["prefix"] = format!("/{text}/").into();
        all.push(route);
    }
    config
}

/// Publishes configurations; each node has to serve the newest route in time.
fn play(play: Play) {
    let mut fleet = fleet_of(play);
    for version in 2..play.versions + 2 {
        if version > 2 {
            std::thread::sleep(play.pause);
        }
        fleet.publish(&long_configuration(version, &format!("new-{version}"), play.routes));
    }
    let published_at = Instant::now();
    if let Some(kill_after) = play.kill_after {
        std::thread::sleep(kill_after);
        fleet.nodes[0].kill();
    }
    std::thread::sleep(APPLY_WITHIN.saturating_sub(published_at.elapsed()));
    let path = format!("/new-{}/", play.versions + 1);
    let late: Vec<&str> = fleet
        .nodes
        .iter()
        .skip(usize::from(play.kill_after.is_some()))
        .filter(|node| {
            let served = node.plain(&path, &format!("call-{}", node.name));
            !served.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .map(|node| node.name.as_str())
        .collect();
    assert!(late.is_empty(), "not in force at {} of {} nodes: {late:?}", late.len(), play.nodes);
}

/// Tests of one play each.
macro_rules! plays {
    ($($(#[$why:meta])* $name:ident: $play:expr;)*) => {
        $($(#[$why])* #[test] fn $name() { play($play); })*
    };
}

plays! {
    /// Guards against nodes that request a long configuration together, share a link, give up after a fixed time and
    /// begin anew: none would ever get it.
    long_configuration_reaches_nodes_behind_a_hub_in_time: Play { nodes: 14, ..Play::default() };
    /// The same with nodes that all poll the leader.
    long_configuration_reaches_nine_nodes_in_time: Play { nodes: 9, ..Play::default() };
    /// The same with a few nodes, on links that need longer for the text than any call may take.
    very_long_configuration_reaches_three_nodes_in_time:
        Play { routes: 6_000, store_bytes_per_s: 40e6, ..Play::default() };
    /// Guards against a transfer that is given up for the next version: if versions come faster than they
    /// arrive, nodes would get none.
    last_of_many_long_configurations_reaches_nine_nodes_in_time:
        Play { nodes: 9, versions: 8, ..Play::default() };
    /// Guards against transfers that begin anew where the node that sends them ends.
    long_configuration_reaches_nine_nodes_whose_leader_ends_in_time: Play {
        nodes: 9,
        store_bytes_per_s: 40e6,
        kill_after: Some(Duration::from_millis(250)),
        ..Play::default()
    };
}
