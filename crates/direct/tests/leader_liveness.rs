//! Tracking of the leader's lease.

use hgw_direct::{Cursor, Era, LeaderLiveness};

fn at(offset: u64) -> Cursor {
    Cursor::new(Era::FIRST, offset)
}

fn after_renewal() -> LeaderLiveness {
    let mut liveness = LeaderLiveness::default();
    liveness.record_response(Some((at(40), 9_000)));
    liveness
}

/// Guards against a failover that takes longer than the lease at a node that has not read the log
/// before.
#[test]
fn lease_of_a_dead_leader_counts_from_its_last_renewal() {
    let mut liveness = after_renewal();
    liveness.mark_unresponsive();
    assert_eq!(liveness.unrenewed_since(at(40), 10_500), 9_000);
}

/// Only the leader's response to this node was lost.
#[test]
fn leader_that_renewed_since_keeps_its_lease() {
    let mut liveness = after_renewal();
    liveness.mark_unresponsive();
    assert_eq!(liveness.unrenewed_since(at(41), 10_500), 10_500);
}

/// Guards against a change of leader because of a store outage.
#[test]
fn store_outage_does_not_count_as_leader_failure() {
    assert_eq!(after_renewal().unrenewed_since(at(40), 20_000), 20_000);
}

#[test]
fn leader_that_responds_again_keeps_its_lease() {
    let mut liveness = after_renewal();
    liveness.mark_unresponsive();
    liveness.record_response(Some((at(42), 10_000)));
    assert_eq!(liveness.unrenewed_since(at(42), 10_600), 10_600);
    assert_eq!(LeaderLiveness::default().unrenewed_since(at(0), 5), 5);
}
