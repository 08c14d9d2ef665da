//! What one node reads from the store for all others, while its reads fail.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, configuration_with_route, holds};
use http::StatusCode;

use crate::new_fleet;

/// Time within which a configuration is in force after the store has acknowledged it, in the settings of tests.
const APPLY_WITHIN: Duration = Duration::from_secs(2);

/// Text of each read of the configuration.
const CATALOG_READ: &str = "topic=keyed.op";

/// So many nodes, of which the first is the leader.
fn fleet_of(nodes: usize) -> Fleet {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = new_fleet(vec![models]);
    fleet.start_with_leader(nodes, &["a"]);
    fleet
}

/// Publishes while the leader's reads of the configuration get no response, and all else does.
fn play(nodes: usize) {
    let fleet = fleet_of(nodes);
    fleet.nodes[0].to_store.lose(Some(CATALOG_READ));
    // Longer than a read that had begun before may wait.
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.publish(&configuration_with_route(2, "new"));
    std::thread::sleep(APPLY_WITHIN);
    for node in &fleet.nodes {
        let served = node.plain("/new/", &format!("call-{}", node.name));
        let status = served.map(|answer| answer.status).ok();
        assert_eq!(status, Some(StatusCode::OK), "{}", node.name);
    }
}

/// Tests with so many nodes.
macro_rules! lost_reads {
    ($($(#[$why:meta])* $name:ident: $nodes:literal;)*) => {
        $($(#[$why])* #[test] fn $name() { play($nodes); })*
    };
}

lost_reads! {
    /// Guards against a leader that tells all else and cannot read the configuration: no node would get it.
    configuration_that_the_leader_cannot_read_reaches_three_nodes: 3;
    /// The same with nine nodes.
    configuration_that_the_leader_cannot_read_reaches_nine_nodes: 9;
    /// The same with nodes that poll a hub.
    configuration_that_the_leader_cannot_read_reaches_nodes_behind_a_hub: 14;
}

/// Reads for all nodes by each of them would be dear: while the leader reads, the others do not.
#[test]
fn nodes_read_no_configuration_while_the_leader_does() {
    let fleet = fleet_of(4);
    for node in &fleet.nodes[1..] {
        node.to_store.lose(Some(CATALOG_READ));
    }
    fleet.publish(&configuration_with_route(2, "new"));
    std::thread::sleep(APPLY_WITHIN);
    for node in &fleet.nodes {
        let served = node.plain("/new/", &format!("call-{}", node.name));
        assert!(served.is_ok_and(|answer| answer.status == StatusCode::OK), "{}", node.name);
    }
}
