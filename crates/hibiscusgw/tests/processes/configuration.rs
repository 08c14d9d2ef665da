//! An accepted configuration is in force everywhere and never reverts.
//!
//! Each change names a marker adapter, which the list of models then shows.

use hgw_config::{Adapter, Document};
use hgw_standins::Faults;
use hgw_standins::cluster::{Cluster, Node, wait};
use hgw_standins::deployment::{MODEL_SERVICE, name};
use hgw_types::{AdapterId, MemSize, ModelId, ServiceId};
use http::Method;

use crate::{FIRST, fault, nowhere, settings, start};

/// The document with a marker by which callers can tell it.
pub(crate) fn marked(document: &Document, marker: &str) -> Document {
    let mut document = document.clone();
    let service = &mut document.services[&name::<ServiceId>(MODEL_SERVICE)];
    let model = &mut service.models[&name::<ModelId>("rules")];
    let adapter = Adapter { version: name("a1"), size: MemSize(1) };
    model.adapters.insert(name::<AdapterId>(marker), adapter);
    document
}

/// The marker that a node's list of models shows; empty where it shows none.
pub(crate) fn marker(node: &Node) -> Option<String> {
    let answer = node.plain(Method::GET, "/v1/models", &[], "").ok()?;
    let list: serde_json::Value = answer.json().ok()?;
    let names = list["data"].as_array()?.iter().filter_map(|model| model["id"].as_str());
    let marker = names.filter_map(|id| id.strip_prefix("rules:mark-")).next();
    Some(marker.unwrap_or_default().to_owned())
}

fn wait_marker(cluster: &Cluster, expected: &str) {
    for node in &cluster.nodes {
        wait("the change is in force", || marker(node).is_some_and(|found| found == expected))
            .expect("it is in force on every node");
    }
}

/// Two operators publish changes made from the same version. The log puts them in an order, every node
/// accepts the first and rejects the second, and all show the same one, now and after the next change.
#[test]
fn of_two_racing_changes_one_wins_everywhere() {
    let cluster = start(settings());
    let document = &cluster.deployment.document;
    let offsets = std::thread::scope(|scope| {
        let publish = |marker: &'static str| {
            let (change, cluster) = (marked(document, marker), &cluster);
            scope.spawn(move || cluster.publish(FIRST, &change).expect("the log takes it"))
        };
        [publish("mark-x"), publish("mark-y")].map(|thread| thread.join().expect("no panic"))
    });
    let winner = if offsets[0] < offsets[1] { "x" } else { "y" };
    wait_marker(&cluster, winner);
    // A change made from the loser's version was made from nothing that was ever in force.
    let lost = offsets[0].max(offsets[1]);
    cluster.publish(lost, &marked(document, "mark-z")).expect("the log takes it");
    cluster
        .publish(offsets[0].min(offsets[1]), &marked(document, "mark-next"))
        .expect("it is taken");
    wait_marker(&cluster, "next");
}

/// A node shows changes in their order and never one that is older than what it has shown, while
/// changes come one after the other.
#[test]
fn no_node_shows_an_older_configuration_than_before() {
    /// Changes, which take longer than a look at a node.
    const CHANGES: u64 = 30;
    let cluster = start(settings());
    std::thread::scope(|scope| {
        let watchers: Vec<_> =
            cluster.nodes.iter().map(|node| scope.spawn(|| watch(node, CHANGES))).collect();
        let mut version = FIRST;
        for n in 1..=CHANGES {
            let change = marked(&cluster.deployment.document, &format!("mark-{n}"));
            version = cluster.publish(version, &change).expect("the log takes it");
        }
        for watcher in watchers {
            watcher.join().expect("the node shows no older version");
        }
    });
}

/// Looks at a node until it shows change number `last`; panics where it goes back.
fn watch(node: &Node, last: u64) {
    let mut shown = 0;
    wait("the last change is in force", || {
        let Some(found) = marker(node) else { return false };
        let found = found.parse().unwrap_or(0);
        assert!(found >= shown, "{} went back from {shown} to {found}", node.id);
        shown = found;
        shown == last
    })
    .expect("it is in force on every node");
}

/// A new node serves with the newest configuration. All records of the log have expired when it
/// starts, so that it has to ask its peers.
#[test]
fn a_node_that_starts_after_the_records_expired_has_the_configuration() {
    let mut cluster = start(settings());
    let change = marked(&cluster.deployment.document, "mark-new");
    cluster.publish(FIRST, &change).expect("the log takes it");
    wait_marker(&cluster, "new");
    fault(&cluster.deployment.platform, &Faults { expire: true, ..Faults::default() });
    let node = cluster.start_node("b2", "stgo-b").expect("the node starts");
    cluster.nodes.push(node);
    cluster.list_vms().expect("the list can be set");
    wait_marker(&cluster, "new");
    cluster.wait_served().expect("it serves every model");
}

/// Nodes show what they have, and nothing older, while the log is down and after it has come back
/// without its records; a change that is published then is in force.
#[test]
fn the_configuration_outlives_an_outage_of_the_log() {
    let cluster = start(settings());
    let change = marked(&cluster.deployment.document, "mark-before");
    let version = cluster.publish(FIRST, &change).expect("the log takes it");
    wait_marker(&cluster, "before");
    let log = &cluster.deployment.platform;
    fault(log, &Faults { down: true, ..Faults::default() });
    wait_marker(&cluster, "before");
    fault(log, &Faults { expire: true, ..Faults::default() });
    wait_marker(&cluster, "before");
    let change = marked(&cluster.deployment.document, "mark-after");
    cluster.publish(version, &change).expect("the log takes it");
    wait_marker(&cluster, "after");
}

/// A node that cannot reach the log has a change that was accepted meanwhile: its peers tell it.
#[test]
fn a_node_without_the_log_gets_a_change_from_its_peers() {
    let mut cluster = start(settings());
    // It learns of its peers when one of them calls, since it cannot read the list of VMs.
    let cut_off = cluster.start_node_at("b2", "stgo-b", nowhere(), &[]).expect("the node starts");
    cluster.nodes.push(cut_off);
    cluster.list_vms().expect("the list can be set");
    let change = marked(&cluster.deployment.document, "mark-far");
    cluster.publish(FIRST, &change).expect("the log takes it");
    wait_marker(&cluster, "far");
}
