//! Engines that differ in speed.

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Node, holds, wait};
use http::{Method, StatusCode};

use crate::new_fleet;

fn model_engine(id: &str) -> EngineSettings {
    EngineSettings { id: id.into(), holds: holds(&[("m", &[])]), ..EngineSettings::default() }
}

/// Number of engines whose speed the node knows.
fn known_speeds(node: &Node) -> f64 {
    let metrics = Caller::new(node.metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let lines = text.lines().filter(|line| line.starts_with("hgw_engines_of_known_speed{"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// A node must learn the speed of an engine from the requests of other nodes, and a new node must learn it without
/// any request.
#[test]
fn all_nodes_learn_the_speed_of_an_engine() {
    let mut fleet = new_fleet(vec![model_engine("i-1")]);
    let [a, b, c] = ["a", "b", "c"].map(|domain| fleet.start(domain));
    let mut sent = 0;
    wait("all nodes know the speed", || {
        sent += 1;
        let response = fleet.nodes[a].stream("/ask/", &format!("s-{sent}"), "m").unwrap();
        assert_eq!(response.status, StatusCode::OK);
        [a, b, c].iter().all(|node| known_speeds(&fleet.nodes[*node]) == 1.0)
    });
    let new = fleet.start("a");
    wait("the new node knows the speed", || known_speeds(&fleet.nodes[new]) == 1.0);
}
