//! The store is restored from a backup: records written since are lost, and their offsets are assigned again.

use std::time::{Duration, Instant};

use hgw_standins::Faults;
use hgw_standins::fleet::deployment::{configuration, configuration_with_route, holds, wait};
use hgw_standins::fleet::store::Backup;
use hgw_standins::fleet::{EngineSettings, Fleet};
use hgw_standins::link::Condition;
use http::{Method, StatusCode};
use rustix::process::Signal;
use serde_json::json;

use crate::new_fleet;

/// Restores the store from a backup during a short outage; `write` writes to it before it is reachable
/// again.
fn restore_during_outage(fleet: &Fleet, backup: &Backup, write: impl FnOnce(&Fleet)) {
    fleet.store.fault(&Faults { down: true, ..Faults::default() });
    fleet.store.come_back(backup);
    write(fleet);
    std::thread::sleep(Duration::from_millis(300));
    fleet.store.fault(&Faults::default());
}

/// Writes heartbeats of an engine that is not draining.
fn write_heartbeats(fleet: &Fleet, count: u32) {
    for _ in 0..count {
        fleet.list(fleet.engine("desk-2"), "ready");
    }
}

/// Sends calls through a node and returns how many reached the engine `desk-1`.
fn calls_reaching_desk_1(fleet: &Fleet, node: usize, name: &str) -> usize {
    let before = fleet.engine("desk-1").record().runs.len();
    for n in 0..30 {
        let response = fleet.nodes[node].plain("/print/", &format!("{name}-{n}")).unwrap();
        assert_eq!(response.status, StatusCode::OK);
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.engine("desk-1").record().runs.len() - before
}

/// Waits until the node sends nothing to the draining engine.
fn wait_until_unused(fleet: &Fleet, node: usize) {
    let mut round = 0;
    wait("nothing reaches the draining engine", || {
        round += 1;
        calls_reaching_desk_1(fleet, node, &format!("left-{node}-{round}")) == 0
    });
}

macro_rules! log_lengths {
    ($($name:ident: $run:ident($records:literal);)*) => {$(
        /// Holds for a restored log that is shorter than, as long as, or longer than the one that nodes had
        /// read.
        #[test]
        fn $name() {
            $run($records);
        }
    )*};
}

log_lengths! {
    draining_engine_is_not_used_after_a_restore_to_a_shorter_log: check_draining_is_kept(0);
    draining_engine_is_not_used_after_a_restore_to_a_log_as_long: check_draining_is_kept(4);
    draining_engine_is_not_used_after_a_restore_to_a_longer_log: check_draining_is_kept(9);
    engine_that_drains_after_a_restore_is_seen_in_a_shorter_log: check_draining_is_seen(0);
    engine_that_drains_after_a_restore_is_seen_in_a_log_as_long: check_draining_is_seen(3);
    engine_that_drains_after_a_restore_is_seen_in_a_longer_log: check_draining_is_seen(8);
}

/// An engine whose record of draining is lost by a restore must get no work before it repeats the record.
fn check_draining_is_kept(heartbeats: u32) {
    let mut fleet = new_fleet(Vec::new());
    let (node, lines) = fleet.start_logged("a");
    let backup = fleet.store.backup();
    write_heartbeats(&fleet, 3);
    fleet.list(fleet.engine("desk-1"), "draining");
    let read = |of: &Fleet| of.lines(&lines, 4010).iter().any(|l| l["upstream"] == "desk-1");
    wait("the node has read that it is draining", || read(&fleet));
    restore_during_outage(&fleet, &backup, |fleet| write_heartbeats(fleet, heartbeats));
    // Longer than lost records may stay missing after a restore.
    for round in 0..4 {
        assert_eq!(calls_reaching_desk_1(&fleet, node, &format!("lost-{round}")), 0);
    }
    fleet.list(fleet.engine("desk-1"), "draining");
    assert_eq!(calls_reaching_desk_1(&fleet, node, "again"), 0);
}

/// A node must see that an engine starts to drain just after a restore; reading on from its old offset in
/// the new log would miss the record.
fn check_draining_is_seen(heartbeats: u32) {
    let mut fleet = new_fleet(Vec::new());
    let node = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let other = fleet.start("b");
    let backup = fleet.store.backup();
    write_heartbeats(&fleet, 4);
    std::thread::sleep(Duration::from_millis(600));
    restore_during_outage(&fleet, &backup, |fleet| {
        fleet.list(fleet.engine("desk-1"), "draining");
        write_heartbeats(fleet, heartbeats);
    });
    wait_until_unused(&fleet, node);
    wait_until_unused(&fleet, other);
}

/// A node without a connection to the store follows two restores within a second through another node.
#[test]
fn node_that_hears_through_another_follows_over_two_eras() {
    let mut fleet = new_fleet(Vec::new());
    fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let (other, lines) = fleet.start_logged("b");
    let backup = fleet.store.backup();
    write_heartbeats(&fleet, 4);
    std::thread::sleep(Duration::from_millis(600));
    fleet.nodes[other].to_store.set(Condition::Cut);
    restore_during_outage(&fleet, &backup, |fleet| write_heartbeats(fleet, 6));
    std::thread::sleep(Duration::from_millis(300));
    restore_during_outage(&fleet, &backup, |fleet| {
        fleet.list(fleet.engine("desk-1"), "draining");
        write_heartbeats(fleet, 8);
    });
    wait_until_unused(&fleet, other);
    let restores = fleet.lines(&lines, 3103);
    assert!(restores.iter().any(|l| l["era"] == "2" && l["by"] == "peer"), "{restores:?}");
}

/// A response with an invalid `Store-Era` header, for example from a proxy, must be ignored, and the known
/// state stays in use. The era increases by one each time the store is restored from a backup.
#[test]
fn answer_whose_era_cannot_be_read_is_not_believed() {
    let mut fleet = new_fleet(Vec::new());
    let (node, lines) = fleet.start_logged("a");
    fleet.store.tell_era("second");
    fleet.list(fleet.engine("desk-1"), "ready");
    fleet.store.put("keyed.servers", "desk-2", b"");
    wait("it is logged", || {
        let down = fleet.lines(&lines, 3101);
        down.iter().any(|l| l["why"].as_str().is_some_and(|why| why.contains("Store-Era")))
    });
    for n in 0..20 {
        let response = fleet.nodes[node].plain("/print/", &format!("call-{n}")).unwrap();
        assert_eq!(response.status, StatusCode::OK);
    }
    let runs = fleet.engine("desk-2").record().runs.len();
    assert!(runs > 0, "the removal of desk-2 was ignored");
    fleet.store.tell_era("1");
    fleet.list(fleet.engine("desk-2"), "ready");
    fleet.list(fleet.engine("desk-1"), "draining");
    wait_until_unused(&fleet, node);
}

fn engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[]), ("n", &[])]),
        adapters: 2,
        ..EngineSettings::default()
    }
}

/// A platform whose engine has fewer adapter slots than there are adapters in use, so that orders are
/// necessary.
fn fleet() -> Fleet {
    let fleet = new_fleet(vec![engine("i-1")]);
    let mut config = configuration(2);
    config["services"][1]["engine"]["adapterSlots"] = 2.into();
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    fleet
}

/// An order that an engine accepted.
#[derive(Debug)]
struct AcceptedOrder {
    sender: String,
    fence: u64,
}

fn accepted_orders(fleet: &Fleet, id: &str) -> Vec<AcceptedOrder> {
    let parse = |order: &String| {
        let mut words = order.split(' ');
        let sender = words.next().unwrap().to_owned();
        AcceptedOrder { sender, fence: words.next().unwrap().parse().unwrap() }
    };
    fleet.engine(id).record().orders.iter().map(parse).collect()
}

/// Requests more adapters than there are slots, until each was served once.
fn request_adapters(fleet: &Fleet, node: usize, name: &str) {
    for adapter in ["a1", "a2", "a3", "a4"] {
        let model = format!("m/{adapter}");
        let mut n = 0;
        wait("the adapter is served", || {
            n += 1;
            let response =
                fleet.nodes[node].stream("/ask/", &format!("{name}-{adapter}-{n}"), &model);
            response.is_ok_and(|a| a.status == StatusCode::OK)
        });
    }
}

/// Why the leader does not see that the store was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderFault {
    Paused,
    Disconnected,
}

macro_rules! replaced_leaders {
    ($($name:ident: $leader_fault:ident;)*) => {$(
        /// A leader that misses a restore which lost its lease must not get orders accepted after a second
        /// node acquired the lease at the same offset: engines must be able to tell the two fencing tokens
        /// apart.
        #[test]
        fn $name() {
            check_leader_is_replaced(LeaderFault::$leader_fault);
        }
    )*};
}

replaced_leaders! {
    leader_of_an_earlier_era_that_resumes_sends_no_orders: Paused;
    leader_of_an_earlier_era_that_was_cut_off_is_refused: Disconnected;
}

fn check_leader_is_replaced(leader_fault: LeaderFault) {
    let mut fleet = fleet();
    let backup = fleet.store.backup();
    let first = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let second = fleet.start("b");
    request_adapters(&fleet, first, "before");
    match leader_fault {
        LeaderFault::Paused => fleet.nodes[first].signal(Signal::STOP),
        LeaderFault::Disconnected => fleet.nodes[first].to_store.set(Condition::Cut),
    }
    restore_during_outage(&fleet, &backup, |_| {});
    let (a, b) = (fleet.nodes[first].name.clone(), fleet.nodes[second].name.clone());
    wait("the second node sends orders", || {
        request_adapters(&fleet, second, "between");
        accepted_orders(&fleet, "i-1").iter().any(|o| o.sender == b)
    });
    match leader_fault {
        LeaderFault::Paused => fleet.nodes[first].signal(Signal::CONT),
        LeaderFault::Disconnected => fleet.nodes[first].to_store.set(Condition::Open),
    }
    request_adapters(&fleet, first, "after");
    request_adapters(&fleet, second, "last");
    let orders = accepted_orders(&fleet, "i-1");
    assert!(orders.iter().any(|o| o.sender == a));
    for pair in orders.windows(2) {
        assert!(pair[0].fence <= pair[1].fence, "{orders:?}");
        assert!(pair[0].fence < pair[1].fence || pair[0].sender == pair[1].sender, "{orders:?}");
    }
    if leader_fault == LeaderFault::Paused {
        assert_eq!(fleet.engine("i-1").record().old_fences, 0, "{orders:?}");
    }
}

/// If a restore loses both the release of the lease by a stopped leader and its acquisition by the
/// successor, the successor must continue without waiting for the old lease to expire.
#[test]
fn successor_of_a_stopped_leader_continues_where_its_lease_is_lost() {
    let mut fleet = fleet();
    let backup = fleet.store.backup();
    let first = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let (second, lines) = fleet.start_logged("b");
    request_adapters(&fleet, first, "before");
    fleet.nodes[first].signal(Signal::TERM);
    wait("the second node is the leader", || !fleet.lines(&lines, 4001).is_empty());
    fleet.store.come_back(&backup);
    request_adapters(&fleet, second, "after");
    wait("it holds the lease in the new era", || fleet.lines(&lines, 4001).len() == 2);
    request_adapters(&fleet, second, "last");
    assert_eq!(fleet.lines(&lines, 4002).len(), 0);
    assert_eq!(fleet.engine("i-1").record().old_fences, 0);
}

/// Nodes must register again after a restore lost their entries; nodes that start later would not find them.
#[test]
fn nodes_register_again() {
    let mut fleet = new_fleet(Vec::new());
    let empty = fleet.store.backup();
    for zone in ["a", "b"] {
        fleet.start(zone);
    }
    let all_registered = |fleet: &Fleet| {
        let records = fleet.store.records("keyed.hgw-nodes");
        let all: Vec<String> =
            records.iter().map(|r| String::from_utf8_lossy(r).into_owned()).collect();
        fleet.nodes.iter().all(|n| all.iter().any(|entry| entry.contains(&n.name)))
    };
    wait("both are registered", || all_registered(&fleet));
    fleet.store.come_back(&empty);
    assert!(!all_registered(&fleet));
    wait("both are registered again", || all_registered(&fleet));
}

macro_rules! kept_leaders {
    ($($name:ident: $lease_is_lost:literal, $times:literal;)*) => {$(
        /// After a restore, with or without the loss of its lease, the leader continues and no other node
        /// sends orders.
        #[test]
        fn $name() {
            check_leader_continues($lease_is_lost, $times);
        }
    )*};
}

kept_leaders! {
    leader_continues_where_renewals_are_lost: false, 1;
    leader_continues_where_its_lease_is_lost: true, 1;
    leader_continues_over_two_restores: true, 2;
}

fn check_leader_continues(lease_is_lost: bool, times: u32) {
    let mut fleet = fleet();
    let empty = fleet.store.backup();
    let (first, lines) = fleet.start_logged("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let second = fleet.start("b");
    request_adapters(&fleet, second, "before");
    let backup = fleet.store.backup();
    std::thread::sleep(Duration::from_millis(700));
    for _ in 0..times {
        // No outage here: it would use up most of the short lease of these tests.
        fleet.store.come_back(if lease_is_lost { &empty } else { &backup });
        std::thread::sleep(Duration::from_millis(500));
    }
    let before = accepted_orders(&fleet, "i-1").len();
    // Longer than a lease of these tests, so that another node could take over.
    for round in 0..4 {
        request_adapters(&fleet, second, &format!("after-{round}"));
        std::thread::sleep(Duration::from_millis(400));
    }
    let orders = accepted_orders(&fleet, "i-1");
    assert!(orders.len() > before, "orders are given");
    assert!(orders.iter().all(|o| o.sender == fleet.nodes[first].name), "{orders:?}");
    assert!(orders[before..].iter().all(|o| o.fence > orders[0].fence), "{orders:?}");
    assert!(orders.windows(2).all(|o| o[0].fence <= o[1].fence), "{orders:?}");
    assert_eq!(fleet.lines(&lines, 4002).len(), 0, "the leader never lost its lease");
    let terms = fleet.lines(&lines, 4001);
    assert_eq!(terms.len(), 1 + times as usize, "{terms:?}");
}

/// The successor of a leader that was killed during a restore which lost its lease must use a fencing token
/// that engines accept as newer.
#[test]
fn successor_in_a_new_era_is_obeyed() {
    let mut fleet = fleet();
    let backup = fleet.store.backup();
    let first = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 3);
    request_adapters(&fleet, first, "before");
    fleet.nodes[first].kill();
    restore_during_outage(&fleet, &backup, |_| {});
    let second = fleet.start("b");
    request_adapters(&fleet, second, "after");
    let orders = accepted_orders(&fleet, "i-1");
    let name = &fleet.nodes[second].name;
    assert!(orders.iter().any(|o| o.sender == *name && o.fence > orders[0].fence), "{orders:?}");
    assert_eq!(fleet.engine("i-1").record().old_fences, 0);
}

/// A configuration whose only customer has these keys.
fn config_with_keys(version: u64, keys: &[&str]) -> Vec<u8> {
    let mut config = configuration(version);
    config["tenants"] = json!([{ "name": "bakery", "apiKeys": keys, "priority": 1 }]);
    config.to_string().into_bytes()
}

fn call_with_key(fleet: &Fleet, node: usize, id: &str, key: &str) -> StatusCode {
    let key = format!("Token {key}");
    let headers =
        [("x-request-id", id), ("x-deadline-ms", "5000"), ("authorization", key.as_str())];
    fleet.nodes[node].call(Method::POST, "/look/", &headers).unwrap().status
}

/// A revoked key must stay unusable at a node that missed the revocation, even if a restore lost that
/// change and the node reads the older configuration as the newest one.
#[test]
fn key_that_was_taken_away_stays_so_over_an_era() {
    let mut fleet = new_fleet(Vec::new());
    fleet.store.put("keyed.op", "config", &config_with_keys(2, &["k-1", "k-2"]));
    let first = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let second = fleet.start("b");
    for node in [first, second] {
        fleet.nodes[node].set("bounds.strictRevoke=false", "bounds.strictRevoke=true");
    }
    wait("the key is accepted", || call_with_key(&fleet, second, "c", "k-1") == StatusCode::OK);
    let backup = fleet.store.backup();
    fleet.nodes[first].kill();
    fleet.nodes[second].to_store.set(Condition::Cut);
    fleet.store.put("keyed.op", "config", &config_with_keys(3, &["k-2"]));
    // The time for which a revoked key may still be accepted in the settings of these tests.
    std::thread::sleep(Duration::from_millis(2_000));
    restore_during_outage(&fleet, &backup, |_| {});
    fleet.nodes[second].to_store.set(Condition::Open);
    let opened = Instant::now();
    let mut sent = 0;
    // Operators repeat their lost changes within two seconds.
    while opened.elapsed() < Duration::from_millis(1_200) {
        let status = call_with_key(&fleet, second, &format!("taken-{sent}"), "k-1");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "call {sent}");
        sent += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.store.put("keyed.op", "config", &config_with_keys(3, &["k-2"]));
    wait("the key is unknown", || {
        call_with_key(&fleet, second, "gone", "k-1") == StatusCode::UNAUTHORIZED
    });
    wait("other keys are accepted", || {
        call_with_key(&fleet, second, "other", "k-2") == StatusCode::OK
    });
    assert_eq!((0..sent).map(|n| fleet.runs(&format!("taken-{n}"))).sum::<u32>(), 0);
}

/// A leader that starts after a restore lost the newest configuration must take it from a node that still
/// has it, since operators were told that it is in force.
#[test]
fn configuration_that_the_store_lost_is_taken_from_a_node_that_has_it() {
    let mut fleet = new_fleet(Vec::new());
    let first = fleet.start("a");
    wait("the first node is the leader", || fleet.store.records("hgw-claims").len() > 1);
    let second = fleet.start("b");
    let backup = fleet.store.backup();
    fleet.publish(&configuration_with_route(2, "new"));
    let serves = |fleet: &Fleet, node: usize, id: &str| {
        fleet.nodes[node].plain("/new/", id).is_ok_and(|a| a.status == StatusCode::OK)
    };
    wait("the new route is served", || serves(&fleet, second, "before"));
    fleet.nodes[second].signal(Signal::STOP);
    fleet.nodes[first].kill();
    restore_during_outage(&fleet, &backup, |_| {});
    let (third, lines) = fleet.start_logged("c");
    wait("the third node is the leader", || !fleet.lines(&lines, 4001).is_empty());
    assert!(!serves(&fleet, third, "lost"), "no node has sent it the configuration yet");
    fleet.nodes[second].signal(Signal::CONT);
    wait("the new route is served by the third", || serves(&fleet, third, "after"));
    assert!(serves(&fleet, second, "still"));
}
