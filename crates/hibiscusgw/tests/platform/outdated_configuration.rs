//! Nodes that know of a newer configuration and cannot get it.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Fleet, NodeLinks, configuration, holds, wait};
use http::StatusCode;

use crate::new_fleet;

/// Time within which a configuration is in force after the store has acknowledged it, in the settings of tests.
const APPLY_WITHIN: Duration = Duration::from_secs(2);

/// Text of each read of the configuration from the store.
const CATALOG_READ: &str = "topic=keyed.op";

/// Text of each request for the configuration to another node.
const CATALOG_REQUEST: &str = "/catalog";

/// Nodes of one failure domain whose links carry everything; the first is the leader.
fn fleet_of(nodes: usize) -> Fleet {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = new_fleet(vec![models]);
    fleet.links = NodeLinks { bytes_per_s: Some(1e9), ..NodeLinks::default() };
    fleet.start_with_leader(nodes, &["a"]);
    fleet
}

/// Lets no node but the first get a configuration.
fn withhold(fleet: &Fleet) {
    for node in &fleet.nodes {
        node.lose_from_peers(Some(CATALOG_REQUEST));
    }
    for node in &fleet.nodes[1..] {
        node.to_store.lose(Some(CATALOG_READ));
    }
}

fn status(fleet: &Fleet, node: usize, path: &str, id: &str) -> Option<StatusCode> {
    fleet.nodes[node].plain(path, id).ok().map(|answer| answer.status)
}

/// Guards against a node that knows of a newer configuration, cannot get it, and goes on serving what that may have
/// dropped.
#[test]
fn node_that_cannot_get_a_newer_configuration_ceases_to_serve() {
    let fleet = fleet_of(3);
    withhold(&fleet);
    let mut config = configuration(2);
    config["routes"].as_array_mut().unwrap().remove(0);
    fleet.publish(&config);
    std::thread::sleep(APPLY_WITHIN);
    assert_eq!(status(&fleet, 0, "/look/", "call-0"), Some(StatusCode::NOT_FOUND));
    for node in 1..3 {
        let id = format!("call-{node}");
        let refused = Some(StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(status(&fleet, node, "/look/", &id), refused, "node {node}");
        assert_eq!(fleet.runs(&id), 0);
        assert!(!fleet.nodes[node].is_ready(), "callers go to nodes that have it");
    }
    for node in &fleet.nodes {
        node.lose_from_peers(None);
        node.to_store.lose(None);
    }
    for node in 1..3 {
        wait("the node serves again", || {
            status(&fleet, node, "/print/", &format!("again-{node}")) == Some(StatusCode::OK)
        });
        assert!(fleet.nodes[node].is_ready());
    }
}

/// Guards against nodes that all refuse callers since a configuration that none of them can read was told.
#[test]
fn nodes_serve_while_nobody_can_read_the_newest_configuration() {
    let fleet = fleet_of(3);
    fleet.store.put("keyed.op", "config", br#"{"version":2,"routes":"none"}"#);
    std::thread::sleep(APPLY_WITHIN);
    for node in 0..3 {
        let served = status(&fleet, node, "/look/", &format!("call-{node}"));
        assert_eq!(served, Some(StatusCode::OK), "node {node}");
    }
}
