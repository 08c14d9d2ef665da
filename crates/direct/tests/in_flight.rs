//! In-flight loads that nodes report to each other.

use std::net::SocketAddr;

use hgw_direct::in_flight::{
    EngineKey, InFlightLoad, InFlightRow, InFlightUpdate, KeyPartition, PeerReports, UpdateTracker,
};
use hgw_direct::{EngineId, StartTime};
use indexmap::IndexMap;
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq, proptest};

fn key(n: u32) -> EngineKey {
    EngineKey::of(&EngineId(format!("i-{n}")), StartTime(Some(1)))
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

/// A complete report.
fn full_update(rows: &[InFlightRow]) -> InFlightUpdate {
    InFlightUpdate {
        full_partition: Some(KeyPartition { part: 0, parts: 1 }),
        rows: rows.to_vec(),
        held: Vec::new(),
    }
}

/// A report of changes.
fn partial_update(rows: &[InFlightRow]) -> InFlightUpdate {
    InFlightUpdate { full_partition: None, rows: rows.to_vec(), held: Vec::new() }
}

fn load(requests: u32) -> InFlightLoad {
    InFlightLoad { requests, prompts: 1, tokens: 100 * requests, held: 0 }
}

#[test]
fn incarnations_of_an_engine_have_different_keys() {
    let engine = EngineId::from("i-1");
    let names =
        [None, Some(1), Some(2)].map(|started_at| EngineKey::of(&engine, StartTime(started_at)));
    assert!(names[0] != names[1] && names[1] != names[2]);
}

#[test]
fn reports_of_nodes_add_up() {
    let mut reports = PeerReports::default();
    reports.apply(
        addr(1),
        0,
        &full_update(&[InFlightRow(key(1), 3, 1, 700), InFlightRow(key(2), 1, 0, 0)]),
    );
    reports.apply(addr(2), 0, &full_update(&[InFlightRow(key(1), 2, 2, 300)]));
    assert_eq!(
        reports.sum(key(1)),
        InFlightLoad { requests: 5, prompts: 3, tokens: 1_000, held: 0 }
    );
    reports.apply(addr(1), 50, &partial_update(&[InFlightRow(key(1), 1, 0, 0)]));
    assert_eq!(reports.sum(key(1)), InFlightLoad { requests: 3, prompts: 2, tokens: 300, held: 0 });
    assert_eq!(reports.sum(key(2)).requests, 1);
}

/// Guards against a load that remains after the datagram that reported its end was lost.
#[test]
fn full_update_makes_up_for_a_lost_one() {
    let mut reports = PeerReports::default();
    reports.apply(addr(1), 0, &full_update(&[InFlightRow(key(1), 3, 1, 700)]));
    assert_eq!(reports.apply(addr(1), 1_000, &full_update(&[])), [key(1)]);
    assert_eq!(reports.sum(key(1)), InFlightLoad::default());
}

/// Guards against counting the load of a node that was killed.
#[test]
fn report_of_a_dead_node_expires() {
    let mut reports = PeerReports::default();
    reports.apply(addr(1), 0, &full_update(&[InFlightRow(key(1), 3, 1, 700)]));
    reports.apply(addr(2), 1_000, &full_update(&[InFlightRow(key(1), 2, 0, 0)]));
    reports.expire(2_400, |_| true);
    assert_eq!(reports.sum(key(1)).requests, 5);
    reports.expire(2_600, |_| true);
    assert_eq!(reports.sum(key(1)).requests, 2);
    assert_eq!(reports.active_within(2_000, 2_600), 1);
}

/// Guards against counting the same load through two hubs.
#[test]
fn report_of_a_former_hub_is_dropped() {
    let mut reports = PeerReports::default();
    reports.apply(addr(1), 0, &full_update(&[InFlightRow(key(1), 3, 1, 700)]));
    reports.apply(addr(2), 10, &full_update(&[InFlightRow(key(1), 3, 1, 700)]));
    reports.expire(20, |from| *from == addr(2));
    assert_eq!(reports.sum(key(1)).requests, 3);
}

#[test]
fn only_changes_are_sent_between_full_updates() {
    let mut tracker = UpdateTracker::default();
    let mut loads = IndexMap::from([(key(1), load(1)), (key(2), load(2))]);
    assert_eq!(
        tracker.next_updates(0, &loads),
        [full_update(&[InFlightRow(key(1), 1, 1, 100), InFlightRow(key(2), 2, 1, 200)])]
    );
    assert_eq!(tracker.next_updates(40, &loads), []);
    loads.insert(key(2), load(3));
    assert_eq!(
        tracker.next_updates(80, &loads),
        [partial_update(&[InFlightRow(key(2), 3, 1, 300)])]
    );
    loads.swap_remove(&key(1));
    assert_eq!(
        tracker.next_updates(120, &loads),
        [partial_update(&[InFlightRow(key(1), 0, 0, 0)])]
    );
    assert_eq!(
        tracker.next_updates(1_000, &loads),
        [full_update(&[InFlightRow(key(2), 3, 1, 300)])]
    );
}

/// Guards against datagrams larger than the MTU, and against applying one datagram of a complete
/// report as if it were all of it.
#[test]
fn many_engines_take_several_datagrams() {
    let loads: IndexMap<EngineKey, InFlightLoad> = (0..3_000).map(|n| (key(n), load(2))).collect();
    let mut reports = PeerReports::default();
    reports.apply(addr(1), 0, &full_update(&[InFlightRow(key(5_000), 1, 0, 0)]));
    for update in UpdateTracker::default().next_updates(0, &loads) {
        assert!(update.rows.len() <= 100);
        reports.apply(addr(1), 10, &update);
    }
    let sums: IndexMap<EngineKey, InFlightLoad> = reports.sums().collect();
    assert_eq!(sums.len(), loads.len());
    assert_eq!(reports.sum(key(5_000)), InFlightLoad::default());
}

proptest! {
    /// After lost datagrams, complete reports correct the sums; nothing is left once the reports of
    /// all nodes have expired.
    #[test]
    fn sums_are_those_of_the_last_updates(
        steps in vec((0_u16..4, vec((0_u32..6, 0_u32..9), 0..6), any::<bool>()), 1..40),
    ) {
        let mut reports = PeerReports::default();
        let mut last: IndexMap<u16, IndexMap<EngineKey, InFlightLoad>> = IndexMap::default();
        let mut tracker: IndexMap<u16, UpdateTracker> = IndexMap::default();
        for (node, loads, lost) in steps {
            let loads = loads.into_iter().filter(|(_, n)| *n > 0).map(|(e, n)| (key(e), load(n)));
            let loads: IndexMap<EngineKey, InFlightLoad> = loads.collect();
            for update in tracker.entry(node).or_default().next_updates(10, &loads) {
                if !lost {
                    reports.apply(addr(node), 10, &update);
                }
            }
            last.insert(node, loads);
        }
        for (node, loads) in &last {
            for update in tracker[node].next_updates(1_010, loads) {
                reports.apply(addr(*node), 1_010, &update);
            }
        }
        for engine in 0..6 {
            let of = |loads: &IndexMap<EngineKey, InFlightLoad>| loads.get(&key(engine)).copied();
            let sum = last.values().filter_map(of).fold(InFlightLoad::default(), InFlightLoad::plus);
            prop_assert_eq!(reports.sum(key(engine)), sum);
        }
        reports.expire(10_000, |_| true);
        prop_assert_eq!(reports.sums().count(), 0);
    }
}
