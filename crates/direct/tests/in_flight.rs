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
fn all(rows: &[InFlightRow]) -> InFlightUpdate {
    InFlightUpdate { full_partition: Some(KeyPartition { part: 0, parts: 1 }), rows: rows.to_vec() }
}

/// A report of changes.
fn changes(rows: &[InFlightRow]) -> InFlightUpdate {
    InFlightUpdate { full_partition: None, rows: rows.to_vec() }
}

fn flight(requests: u32) -> InFlightLoad {
    InFlightLoad { requests, prompts: 1, tokens: 100 * requests }
}

#[test]
fn starts_of_an_engine_have_names_of_their_own() {
    let engine = EngineId::from("i-1");
    let names = [None, Some(1), Some(2)].map(|born| EngineKey::of(&engine, StartTime(born)));
    assert!(names[0] != names[1] && names[1] != names[2]);
}

#[test]
fn what_nodes_tell_adds_up() {
    let mut tellers = PeerReports::default();
    tellers.apply(
        addr(1),
        0,
        &all(&[InFlightRow(key(1), 3, 1, 700), InFlightRow(key(2), 1, 0, 0)]),
    );
    tellers.apply(addr(2), 0, &all(&[InFlightRow(key(1), 2, 2, 300)]));
    assert_eq!(tellers.sum(key(1)), InFlightLoad { requests: 5, prompts: 3, tokens: 1_000 });
    tellers.apply(addr(1), 50, &changes(&[InFlightRow(key(1), 1, 0, 0)]));
    assert_eq!(tellers.sum(key(1)), InFlightLoad { requests: 3, prompts: 2, tokens: 300 });
    assert_eq!(tellers.sum(key(2)).requests, 1);
}

/// Guards against a load that stays after the datagram with its end was lost.
#[test]
fn whole_word_makes_up_for_one_that_was_lost() {
    let mut tellers = PeerReports::default();
    tellers.apply(addr(1), 0, &all(&[InFlightRow(key(1), 3, 1, 700)]));
    assert_eq!(tellers.apply(addr(1), 1_000, &all(&[])), [key(1)]);
    assert_eq!(tellers.sum(key(1)), InFlightLoad::default());
}

/// Guards against counting the load of a node that was killed.
#[test]
fn word_of_a_node_that_ended_does_not_stay() {
    let mut tellers = PeerReports::default();
    tellers.apply(addr(1), 0, &all(&[InFlightRow(key(1), 3, 1, 700)]));
    tellers.apply(addr(2), 1_000, &all(&[InFlightRow(key(1), 2, 0, 0)]));
    tellers.expire(2_400, |_| true);
    assert_eq!(tellers.sum(key(1)).requests, 5);
    tellers.expire(2_600, |_| true);
    assert_eq!(tellers.sum(key(1)).requests, 2);
    assert_eq!(tellers.active_within(2_000, 2_600), 1);
}

/// Guards against counting the same load through two hubs.
#[test]
fn word_of_a_node_that_is_not_asked_any_more_does_not_stay() {
    let mut tellers = PeerReports::default();
    tellers.apply(addr(1), 0, &all(&[InFlightRow(key(1), 3, 1, 700)]));
    tellers.apply(addr(2), 10, &all(&[InFlightRow(key(1), 3, 1, 700)]));
    tellers.expire(20, |from| *from == addr(2));
    assert_eq!(tellers.sum(key(1)).requests, 3);
}

#[test]
fn only_changes_are_told_between_two_wholes() {
    let mut telling = UpdateTracker::default();
    let mut flights = IndexMap::from([(key(1), flight(1)), (key(2), flight(2))]);
    assert_eq!(
        telling.next_updates(0, &flights),
        [all(&[InFlightRow(key(1), 1, 1, 100), InFlightRow(key(2), 2, 1, 200)])]
    );
    assert_eq!(telling.next_updates(40, &flights), []);
    flights.insert(key(2), flight(3));
    assert_eq!(telling.next_updates(80, &flights), [changes(&[InFlightRow(key(2), 3, 1, 300)])]);
    flights.swap_remove(&key(1));
    assert_eq!(telling.next_updates(120, &flights), [changes(&[InFlightRow(key(1), 0, 0, 0)])]);
    assert_eq!(telling.next_updates(1_000, &flights), [all(&[InFlightRow(key(2), 3, 1, 300)])]);
}

/// Guards against datagrams beyond the MTU, and against dropping engines that another datagram
/// covers.
#[test]
fn many_engines_are_told_of_in_several_datagrams() {
    let flights: IndexMap<EngineKey, InFlightLoad> =
        (0..3_000).map(|n| (key(n), flight(2))).collect();
    let mut tellers = PeerReports::default();
    tellers.apply(addr(1), 0, &all(&[InFlightRow(key(5_000), 1, 0, 0)]));
    for told in UpdateTracker::default().next_updates(0, &flights) {
        assert!(told.rows.len() <= 100);
        tellers.apply(addr(1), 10, &told);
    }
    let sums: IndexMap<EngineKey, InFlightLoad> = tellers.sums().collect();
    assert_eq!(sums.len(), flights.len());
    assert_eq!(tellers.sum(key(5_000)), InFlightLoad::default());
}

proptest! {
    /// After lost datagrams, complete reports correct the sums; nothing is left once all nodes are
    /// gone.
    #[test]
    fn sums_are_those_of_the_last_words(
        steps in vec((0_u16..4, vec((0_u32..6, 0_u32..9), 0..6), any::<bool>()), 1..40),
    ) {
        let mut tellers = PeerReports::default();
        let mut last: IndexMap<u16, IndexMap<EngineKey, InFlightLoad>> = IndexMap::default();
        let mut telling: IndexMap<u16, UpdateTracker> = IndexMap::default();
        for (node, flights, lost) in steps {
            let flights = flights.into_iter().filter(|(_, n)| *n > 0).map(|(e, n)| (key(e), flight(n)));
            let flights: IndexMap<EngineKey, InFlightLoad> = flights.collect();
            for told in telling.entry(node).or_default().next_updates(10, &flights) {
                if !lost {
                    tellers.apply(addr(node), 10, &told);
                }
            }
            last.insert(node, flights);
        }
        for (node, flights) in &last {
            for told in telling[node].next_updates(1_010, flights) {
                tellers.apply(addr(*node), 1_010, &told);
            }
        }
        for engine in 0..6 {
            let of = |flights: &IndexMap<EngineKey, InFlightLoad>| flights.get(&key(engine)).copied();
            let sum = last.values().filter_map(of).fold(InFlightLoad::default(), InFlightLoad::plus);
            prop_assert_eq!(tellers.sum(key(engine)), sum);
        }
        tellers.expire(10_000, |_| true);
        prop_assert_eq!(tellers.sums().count(), 0);
    }
}
