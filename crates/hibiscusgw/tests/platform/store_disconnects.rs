//! Nodes that are cut off from parts of the platform.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::link::Condition;
use http::StatusCode;
use rustix::process::Signal;

use hgw_standins::fleet::deployment::{configuration, configuration_with_route, holds, wait};

use crate::new_fleet;

/// A node without a connection to the store must get configuration changes from the leader; otherwise it
/// refuses callers on a new route.
#[test]
fn node_without_the_store_takes_the_configuration_from_another() {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = new_fleet(vec![models]);
    let leader = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let other = fleet.start("b");
    fleet.nodes[other].to_store.set(Condition::Cut);
    fleet.publish(&configuration_with_route(2, "new"));
    for node in [leader, other] {
        wait("the new route is served", || {
            fleet.nodes[node].plain("/new/", "call-1").is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
}

/// A node without a connection to the store must learn from the leader that an engine is draining;
/// otherwise the engine cuts off the work that the node sends.
#[test]
fn node_without_the_store_learns_of_draining_engines_from_the_leader() {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = new_fleet(vec![models]);
    fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let other = fleet.start("b");
    fleet.nodes[other].to_store.set(Condition::Cut);
    fleet.list(fleet.engine("desk-1"), "draining");
    wait("calls go only to the other engine", || {
        let before = fleet.engine("desk-1").record().runs.len();
        for call in 0..10 {
            let id = format!("call-{before}-{call}");
            let served = fleet.nodes[other].plain("/look/", &id);
            assert!(served.is_ok_and(|a| a.status == StatusCode::OK));
        }
        fleet.engine("desk-1").record().runs.len() == before
    });
}

/// A node reads the store itself while the leader is paused, and its read gets no response. When the leader
/// continues, the node must take a new configuration from it without waiting for its own read to time out.
#[test]
fn node_that_waits_for_the_store_takes_a_configuration_from_another() {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = new_fleet(vec![models]);
    let leader = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let (other, log) = fleet.start_logged("b");
    std::thread::sleep(Duration::from_secs(1));
    // Closes open connections; new ones are accepted and carry no data.
    fleet.nodes[other].to_store.set(Condition::Cut);
    std::thread::sleep(Duration::from_millis(200));
    fleet.nodes[other].to_store.set(Condition::Silent);
    fleet.nodes[leader].signal(Signal::STOP);
    wait("the other node cannot reach the leader", || !fleet.lines(&log, 2004).is_empty());
    std::thread::sleep(Duration::from_millis(600));
    fleet.nodes[leader].signal(Signal::CONT);
    fleet.store.put("keyed.op", "config", configuration(2).to_string().as_bytes());
    wait("the new configuration is in force", || fleet.lines(&log, 3001).len() == 2);
    let log_down = fleet.lines(&log, 3101);
    assert!(log_down.iter().all(|line| line["what"] != "configuration"), "{log_down:?}");
}
