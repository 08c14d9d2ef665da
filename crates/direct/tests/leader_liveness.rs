//! Tracking of the leader's lease.

use hgw_direct::{Cursor, Era, LeaderLiveness};

fn at(offset: u64) -> Cursor {
    Cursor::new(Era::FIRST, offset)
}

fn told() -> LeaderLiveness {
    let mut silence = LeaderLiveness::default();
    silence.record_response(Some((at(40), 9_000)));
    silence
}

/// Guards against a failover that takes longer than the lease at a node that has not read the log
/// before.
#[test]
fn silence_of_a_dead_holder_counts_from_its_last_renewal() {
    let mut silence = told();
    silence.mark_unresponsive();
    assert_eq!(silence.unrenewed_since(at(40), 10_500), 9_000);
}

/// Only the leader's response to this node was lost.
#[test]
fn holder_that_renewed_since_is_not_silent() {
    let mut silence = told();
    silence.mark_unresponsive();
    assert_eq!(silence.unrenewed_since(at(41), 10_500), 10_500);
}

/// Guards against a change of leader because of a store outage.
#[test]
fn outage_of_the_store_is_no_silence_of_the_holder() {
    assert_eq!(told().unrenewed_since(at(40), 20_000), 20_000);
}

#[test]
fn holder_that_answers_again_is_not_silent() {
    let mut silence = told();
    silence.mark_unresponsive();
    silence.record_response(Some((at(42), 10_000)));
    assert_eq!(silence.unrenewed_since(at(42), 10_600), 10_600);
    assert_eq!(LeaderLiveness::default().unrenewed_since(at(0), 5), 5);
}
