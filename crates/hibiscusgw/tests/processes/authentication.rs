//! Peers without the shared secret and orders without the token are refused.

use hgw_standins::cluster::{Cluster, wait};
use hgw_wire::upstream::EngineState;

use crate::configuration::{marked, marker};
use crate::{FIRST_VERSION, engine_record, settings, start, unreachable_addr};

/// A listed node with a wrong secret must not get the configuration; one with the right secret must.
#[test]
fn a_peer_with_another_secret_gets_no_configuration() {
    let mut cluster = start(settings());
    let secret = ["--secret", "another secret, long enough"];
    let unauthenticated_node =
        cluster.start_node_at("x1", "stgo-b", unreachable_addr(), &secret).expect("it starts");
    let member = cluster.start_node_at("b2", "stgo-b", unreachable_addr(), &[]).expect("it starts");
    cluster.nodes.extend([unauthenticated_node, member]);
    cluster.list_vms().expect("the list can be set");
    let change = marked(&cluster.deployment.document, "mark-known");
    cluster.publish(FIRST_VERSION, &change).expect("the log accepts the record");
    let [.., unauthenticated_node, member] = cluster.nodes.as_slice() else { panic!("five nodes") };
    wait("the member has the change", || marker(member).as_deref() == Some("known"))
        .expect("the nodes connect to the VMs on the list");
    assert_ne!(marker(unauthenticated_node).as_deref(), Some("known"));
}

/// An engine that requires an order token must ignore orders with another one.
#[test]
fn an_order_without_the_token_has_no_effect() {
    let mut settings = settings();
    settings.arguments = vec!["--order-token".into(), "not the token of these engines".into()];
    let cluster = Cluster::start_bare(settings).expect("the nodes start");
    cluster.publish(0, &cluster.deployment.document).expect("the log accepts the record");
    for engine in cluster.deployment.engines.values() {
        wait("orders arrive", || engine_record(engine).unauthorized > 2).expect("leaders order");
        let caller = cluster.standin(engine.addr()).expect("a client");
        let state: EngineState = caller.get("/state").expect("the engine returns its state");
        assert_eq!((state.fence.0, state.models), (0, Vec::new()));
        assert_eq!(engine_record(engine).orders, []);
    }
}
