//! Nodes that are cut off from parts of the platform.

use std::time::Duration;

use hgw_standins::fleet::EngineSettings;
use hgw_standins::link::Condition;
use http::StatusCode;
use rustix::process::Signal;

use hgw_standins::fleet::deployment::{configuration, holds, wait};

use crate::fleet_of;

/// A node without a connection to the store must get configuration changes from the leader; otherwise it
/// refuses callers on a new route.
#[test]
fn node_that_the_store_turns_away_takes_the_configuration_from_another() {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = fleet_of(vec![models]);
    let keeper = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let other = fleet.start("b");
    fleet.nodes[other].to_store.set(Condition::Cut);
    let mut config = configuration(2);
    let route = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().unwrap();
    routes.push(route);
    routes[4]["name"] = "new".into();
    routes[4]["prefix"] = "/new/".into();
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    for node in [keeper, other] {
        wait("the new route is served", || {
            fleet.nodes[node].plain("/new/", "call-1").is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
}

/// A node without a connection to the store must learn from the leader that an engine is draining;
/// otherwise the engine cuts off the work that the node sends.
#[test]
fn node_that_loses_the_store_goes_on_with_the_keepers_word() {
    let models = EngineSettings { holds: holds(&[("m", &[])]), ..EngineSettings::default() };
    let mut fleet = fleet_of(vec![models]);
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
    let mut fleet = fleet_of(vec![models]);
    let keeper = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let (other, path) = fleet.start_logged("b");
    std::thread::sleep(Duration::from_secs(1));
    // Closes open connections; new ones are accepted and carry no data.
    fleet.nodes[other].to_store.set(Condition::Cut);
    std::thread::sleep(Duration::from_millis(200));
    fleet.nodes[other].to_store.set(Condition::Silent);
    fleet.nodes[keeper].signal(Signal::STOP);
    wait("the other node cannot reach the leader", || !fleet.lines(&path, 2004).is_empty());
    std::thread::sleep(Duration::from_millis(600));
    fleet.nodes[keeper].signal(Signal::CONT);
    fleet.store.put("keyed.op", "config", configuration(2).to_string().as_bytes());
    wait("the new configuration is in force", || fleet.lines(&path, 3001).len() == 2);
    let down = fleet.lines(&path, 3101);
    assert!(down.iter().all(|line| line["what"] != "configuration"), "{down:?}");
}
