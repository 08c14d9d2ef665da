//! An accepted configuration takes effect on every node and is never reverted.
//!
//! Each change adds a marker adapter, which then appears in the list of models.

use hgw_config::{Adapter, Document};
use hgw_standins::Faults;
use hgw_standins::cluster::{Cluster, Node, wait};
use hgw_standins::deployment::{MODEL_SERVICE, name};
use hgw_types::{AdapterId, MemSize, ModelId, ServiceId};
use http::Method;

use crate::{FIRST_VERSION, fault, settings, start, unreachable_addr};

/// The document with a marker adapter that callers can see.
pub(crate) fn marked(document: &Document, marker: &str) -> Document {
    let mut document = document.clone();
    let service = &mut document.services[&name::<ServiceId>(MODEL_SERVICE)];
    let model = &mut service.models[&name::<ModelId>("rules")];
    let adapter = Adapter { version: name("a1"), size: MemSize(1) };
    model.adapters.insert(name::<AdapterId>(marker), adapter);
    document
}

/// The marker in the list of models of a node; empty if there is none.
pub(crate) fn marker(node: &Node) -> Option<String> {
    let response = node.plain(Method::GET, "/v1/models", &[], "").ok()?;
    let list: serde_json::Value = response.json().ok()?;
    let names = list["data"].as_array()?.iter().filter_map(|model| model["id"].as_str());
    let marker = names.filter_map(|id| id.strip_prefix("rules:mark-")).next();
    Some(marker.unwrap_or_default().to_owned())
}

fn wait_marker(cluster: &Cluster, expected: &str) {
    for node in &cluster.nodes {
        wait("the change is in force", || marker(node).is_some_and(|found| found == expected))
            .expect("the change is in force on every node");
    }
}

/// Of two changes made from the same version, every node must accept the first one in the log and reject the
/// second one.
#[test]
fn of_two_racing_changes_one_wins_everywhere() {
    let cluster = start(settings());
    let document = &cluster.deployment.document;
    let offsets = std::thread::scope(|scope| {
        let publish = |marker: &'static str| {
            let (change, cluster) = (marked(document, marker), &cluster);
            scope.spawn(move || {
                cluster.publish(FIRST_VERSION, &change).expect("the log accepts the record")
            })
        };
        [publish("mark-x"), publish("mark-y")].map(|thread| thread.join().expect("no panic"))
    });
    let winner = if offsets[0] < offsets[1] { "x" } else { "y" };
    wait_marker(&cluster, winner);
    // A change based on the rejected version must be rejected too.
    let lost = offsets[0].max(offsets[1]);
    cluster.publish(lost, &marked(document, "mark-z")).expect("the log accepts the record");
    cluster
        .publish(offsets[0].min(offsets[1]), &marked(document, "mark-next"))
        .expect("the log accepts the record");
    wait_marker(&cluster, "next");
}

/// Under a sequence of changes, no node may go back to an older one.
#[test]
fn no_node_shows_an_older_configuration_than_before() {
    const CHANGES: u64 = 30;
    let cluster = start(settings());
    std::thread::scope(|scope| {
        let watchers: Vec<_> =
            cluster.nodes.iter().map(|node| scope.spawn(|| watch(node, CHANGES))).collect();
        let mut version = FIRST_VERSION;
        for n in 1..=CHANGES {
            let change = marked(&cluster.deployment.document, &format!("mark-{n}"));
            version = cluster.publish(version, &change).expect("the log accepts the record");
        }
        for watcher in watchers {
            watcher.join().expect("the node shows no older version");
        }
    });
}

/// Polls a node until it shows change number `last`; panics if it goes back to an older one.
fn watch(node: &Node, last: u64) {
    let mut shown = 0;
    wait("the last change is in force", || {
        let Some(found) = marker(node) else { return false };
        let found = found.parse().unwrap_or(0);
        assert!(found >= shown, "{} went back from {shown} to {found}", node.id);
        shown = found;
        shown == last
    })
    .expect("the change is in force on every node");
}

/// A node that starts after all records of the log have expired must get the newest configuration from its
/// peers.
#[test]
fn a_node_that_starts_after_the_records_expired_has_the_configuration() {
    let mut cluster = start(settings());
    let change = marked(&cluster.deployment.document, "mark-new");
    cluster.publish(FIRST_VERSION, &change).expect("the log accepts the record");
    wait_marker(&cluster, "new");
    fault(&cluster.deployment.platform, &Faults { expire: true, ..Faults::default() });
    let node = cluster.start_node("b2", "stgo-b").expect("the node starts");
    cluster.nodes.push(node);
    cluster.list_vms().expect("the list can be set");
    wait_marker(&cluster, "new");
    cluster.wait_served().expect("it serves every model");
}

/// Nodes must keep the configuration during an outage of the log and after the log lost its records, and then
/// accept the next change.
#[test]
fn the_configuration_outlives_an_outage_of_the_log() {
    let cluster = start(settings());
    let change = marked(&cluster.deployment.document, "mark-before");
    let version = cluster.publish(FIRST_VERSION, &change).expect("the log accepts the record");
    wait_marker(&cluster, "before");
    let log = &cluster.deployment.platform;
    fault(log, &Faults { down: true, ..Faults::default() });
    wait_marker(&cluster, "before");
    fault(log, &Faults { expire: true, ..Faults::default() });
    wait_marker(&cluster, "before");
    let change = marked(&cluster.deployment.document, "mark-after");
    cluster.publish(version, &change).expect("the log accepts the record");
    wait_marker(&cluster, "after");
}

/// A node that cannot reach the log must get changes from its peers.
#[test]
fn a_node_without_the_log_gets_a_change_from_its_peers() {
    let mut cluster = start(settings());
    // The node cannot read the list of VMs, so it learns of its peers when one of them connects.
    let cut_off =
        cluster.start_node_at("b2", "stgo-b", unreachable_addr(), &[]).expect("the node starts");
    cluster.nodes.push(cut_off);
    cluster.list_vms().expect("the list can be set");
    let change = marked(&cluster.deployment.document, "mark-far");
    cluster.publish(FIRST_VERSION, &change).expect("the log accepts the record");
    wait_marker(&cluster, "far");
}
