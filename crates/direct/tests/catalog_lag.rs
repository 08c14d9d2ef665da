//! What a node does for callers while it lacks a configuration that it knows of.

use std::time::Duration;

use hgw_direct::{CatalogLag, LagEffect};

const APPLY_WITHIN: Duration = Duration::from_secs(2);

fn effects(lag: &CatalogLag, times: &[u64]) -> Vec<LagEffect> {
    times.iter().map(|now| lag.effect(*now, APPLY_WITHIN)).collect()
}

/// Guards against a node that refuses callers at the moment at which it is told of a change.
#[test]
fn callers_are_sent_elsewhere_before_they_are_refused() {
    let mut lag = CatalogLag::default();
    lag.record_report(100, 2, 1, APPLY_WITHIN);
    let expected = [LagEffect::Serve, LagEffect::Unready, LagEffect::Refuse];
    assert_eq!(effects(&lag, &[1_000, 1_100, 1_300]), expected);
    lag.record_adopted(1_500, 2);
    assert_eq!(lag.effect(9_000, APPLY_WITHIN), LagEffect::Serve);
}

/// Guards against versions that come faster than they arrive: the time of each would begin anew, and none would count.
#[test]
fn newer_version_does_not_extend_the_time_of_an_earlier_one() {
    let mut lag = CatalogLag::default();
    for (now, version) in (0..15).map(|n| (n * 100, n + 2)) {
        lag.record_report(now, version, 1, APPLY_WITHIN);
    }
    assert_eq!(lag.effect(1_400, APPLY_WITHIN), LagEffect::Refuse);
}

/// Guards against a node that refuses callers for good since a version that it cannot use.
#[test]
fn unusable_version_leaves_the_last_one_in_force() {
    let mut lag = CatalogLag::default();
    lag.record_report(0, 2, 1, APPLY_WITHIN);
    lag.record_rejected();
    lag.record_report(500, 2, 1, APPLY_WITHIN);
    assert_eq!(lag.effect(9_000, APPLY_WITHIN), LagEffect::Serve);
    lag.record_report(9_000, 3, 1, APPLY_WITHIN);
    assert_eq!(lag.effect(11_000, APPLY_WITHIN), LagEffect::Refuse);
}

/// Guards against a node that goes on by its old configuration since another one, which has no newer one, reports its own.
#[test]
fn older_version_of_another_node_does_not_end_the_lag() {
    let mut lag = CatalogLag::default();
    for now in (0..15).map(|n| n * 100) {
        lag.record_report(now, 2, 1, APPLY_WITHIN);
        lag.record_report(now + 10, 1, 1, APPLY_WITHIN);
    }
    assert_eq!(lag.effect(1_400, APPLY_WITHIN), LagEffect::Refuse);
}

/// Guards against a node that refuses callers for good since a version that is lost with the node that had it.
#[test]
fn version_that_nobody_reports_any_more_is_forgotten() {
    let mut lag = CatalogLag::default();
    lag.record_report(0, 2, 1, APPLY_WITHIN);
    assert_eq!(lag.effect(2_000, APPLY_WITHIN), LagEffect::Refuse);
    assert_eq!(lag.effect(2_500, APPLY_WITHIN), LagEffect::Serve);
    lag.record_report(2_500, 1, 1, APPLY_WITHIN);
    assert_eq!(lag.reported(), 1);
}
