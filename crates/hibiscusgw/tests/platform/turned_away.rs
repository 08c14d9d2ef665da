//! Nodes that the store turns away while it serves the others, and configurations that are published meanwhile.

use std::time::{Duration, Instant};

use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{
    Fleet, NodeLinks, configuration, configuration_with_route, holds, wait,
};
use hgw_standins::link::{Condition, ProcessCut};
use http::StatusCode;
use serde_json::Value;

use crate::new_fleet;

/// Time within which a configuration is in force after the store has acknowledged it, in the settings of tests.
const APPLY_WITHIN: Duration = Duration::from_secs(2);

/// Time after which no node may handle a request as only an older version allows, counted from the first that an engine ran
/// by a newer one.
const REVERT_WITHIN: Duration = Duration::from_millis(250);

/// Longer than the lease and all waits before a claim: another node leads by then.
const LEASE_PASSED: Duration = Duration::from_secs(4);

/// Time for which a node reaches no engine, and time for which its callers send requests.
const CUT_TIME: Duration = Duration::from_secs(3);
const CALLING_TIME: Duration = Duration::from_secs(7);

/// Text of each poll of another node.
const POLL: &str = "/tell";

/// Pause between two requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(50);

fn fleet_of(nodes: usize, zones: &[&str]) -> Fleet {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let annex = EngineSettings {
        id: "annex-1".into(),
        service: "annex".into(),
        ..EngineSettings::default()
    };
    let mut fleet = new_fleet(vec![models, annex]);
    fleet.links = NodeLinks { bytes_per_s: Some(1e9), ..NodeLinks::default() };
    fleet.publish(&with_annex(1));
    fleet.start_with_leader(nodes, zones);
    fleet
}

/// The configuration that tests begin with, and one more service.
fn with_annex(version: u64) -> Value {
    let mut config = configuration(version);
    let mut annex = config["services"][0].clone();
    annex["name"] = "annex".into();
    config["services"].as_array_mut().unwrap().push(annex);
    config
}

/// The same with the route `/look/` moved to that service.
fn moved_to_annex(version: u64) -> Value {
    let mut config = with_annex(version);
    config["routes"][0]["service"] = "annex".into();
    config
}

fn turn_away(fleet: &Fleet, nodes: &[usize], how: Condition) {
    nodes.iter().for_each(|node| fleet.nodes[*node].to_store.set(how));
}

/// The status of a request of a route at a node.
fn status(fleet: &Fleet, node: usize, route: &str, name: &str) -> Option<StatusCode> {
    fleet.nodes[node].plain(&format!("/{route}/"), name).ok().map(|answer| answer.status)
}

/// Calls all nodes for the time for changes, after which each has to serve the route.
fn assert_in_force(fleet: &Fleet, route: &str) {
    let until = Instant::now() + APPLY_WITHIN;
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        std::thread::sleep(CALL_PAUSE);
        for node in 0..fleet.nodes.len() {
            status(fleet, node, route, &format!("{route}-early-{node}-{sent}"));
        }
    }
    for node in 0..fleet.nodes.len() {
        let last = status(fleet, node, route, &format!("{route}-{node}"));
        assert_eq!(last, Some(StatusCode::OK), "{route} at node {node} after {APPLY_WITHIN:?}");
    }
}

macro_rules! disruptions {
    ($($name:ident: $nodes:literal nodes in $zones:expr, without $away:expr, $how:ident;)*) => {$(
        /// Guards against a node that is told of a newer configuration by one that has it, and serves by the old one as what
        /// the other has of the store is old.
        #[test]
        fn $name() {
            let fleet = fleet_of($nodes, &$zones);
            turn_away(&fleet, &$away, Condition::$how);
            std::thread::sleep(Duration::from_millis(600));
            fleet.publish(&configuration_with_route(2, "added"));
            assert_in_force(&fleet, "added");
        }
    )*};
}

disruptions! {
    leader_and_a_node_are_refused: 3 nodes in ["a"], without [0, 1], Refused;
    leader_and_nodes_of_other_domains_are_refused: 6 nodes in ["a", "b", "c"], without [0, 1, 2], Refused;
    leader_and_a_node_get_no_response: 3 nodes in ["a"], without [0, 1], Paused;
    hub_and_a_node_behind_it_are_refused: 14 nodes in ["a", "b"], without [0, 1, 2, 3, 5], Refused;
}

/// Guards against nodes that all poll a leader whose lease has passed to another node, and hear of nothing that happens since.
#[test]
fn nodes_behind_a_leader_that_lost_its_lease_follow_the_next_one() {
    for zones in [&["a"][..], &["a", "b"]] {
        let fleet = fleet_of(4, zones);
        turn_away(&fleet, &[0, 1], Condition::Refused);
        std::thread::sleep(LEASE_PASSED);
        for (version, route) in [(2, "first"), (3, "second")] {
            fleet.publish(&configuration_with_route(version, route));
            assert_in_force(&fleet, route);
        }
        turn_away(&fleet, &[0, 1], Condition::Open);
        fleet.publish(&configuration_with_route(4, "last"));
        assert_in_force(&fleet, "last");
    }
}

/// Guards against a node that goes back to its old configuration: while it reached no engine its requests ran by the newer
/// one of the nodes that forwarded them.
#[test]
fn node_does_not_go_back_behind_what_a_forwarder_has_shown() {
    let fleet = fleet_of(4, &["a"]);
    turn_away(&fleet, &[0, 1], Condition::Refused);
    assert_stays_moved(&fleet);
}

/// The same of a node that hears of the newer configuration from nobody but the forwarder.
#[test]
fn node_takes_the_newer_configuration_of_a_forwarder() {
    let fleet = fleet_of(4, &["a"]);
    turn_away(&fleet, &[1], Condition::Refused);
    fleet.nodes.iter().for_each(|node| node.lose_from_peers(Some(POLL)));
    assert_stays_moved(&fleet);
}

/// Moves a route while node 1 reaches no engine. Once the node's requests are run by the new service, and after the time for
/// changes in any case, none is run by the old one any more, also when it reaches engines again.
fn assert_stays_moved(fleet: &Fleet) {
    fleet.cut_from_engines(&[1], Some(ProcessCut::Reset));
    std::thread::sleep(Duration::from_millis(600));
    fleet.publish(&moved_to_annex(2));
    let started_at = Instant::now();
    let mut moved_at: Option<Instant> = None;
    let (mut served, mut late) = (0, Vec::new());
    for n in 0.. {
        let elapsed = started_at.elapsed();
        if elapsed > CALLING_TIME {
            break;
        }
        if elapsed > CUT_TIME {
            fleet.cut_from_engines(&[1], None);
        }
        let (id, sent_at) = (format!("look-{n}"), Instant::now());
        status(fleet, 1, "look", &id);
        let runs_at = |service: &str| {
            let mut engines = fleet.engines.iter().filter(|e| e.id().starts_with(service));
            engines.any(|e| e.record().runs.contains_key(&id))
        };
        if runs_at("annex") {
            served += 1;
            moved_at.get_or_insert_with(Instant::now);
        }
        let is_late = moved_at.is_some_and(|at| sent_at > at + REVERT_WITHIN);
        if runs_at("desk") && (is_late || elapsed > APPLY_WITHIN) {
            late.push((id, elapsed));
        }
        std::thread::sleep(CALL_PAUSE);
    }
    assert_eq!(late, [], "requests that were handled by the old configuration");
    assert!(served > 20, "{served} requests were served by the new one");
    turn_away(fleet, &[0, 1], Condition::Open);
    wait("the node is ready", || fleet.nodes[1].is_ready());
}
