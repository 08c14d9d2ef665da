//! What a hub reports about engines that it cannot reach.

use hgw_direct::in_flight::EngineKey;
use hgw_direct::unreachable::ProbedEngines;
use hgw_direct::{EngineId, StartTime};

fn key(number: usize) -> EngineKey {
    EngineKey::of(&EngineId(format!("e{number}")), StartTime(None))
}

/// Guards against a hub that fills its link and those of its nodes after a failure domain was lost: it sent
/// a datagram for each engine to each node, several times a second.
#[test]
fn loss_of_a_domain_takes_few_datagrams() {
    for (lost, datagrams) in [(666, 4), (1_333, 7)] {
        let mut probed = ProbedEngines::default();
        for number in 0..lost {
            assert!(probed.insert(key(number)));
        }
        let reports = probed.next_reports(1_000);
        assert_eq!(reports.len(), datagrams);
        assert!(reports.iter().all(|report| report.is_unreachable && report.engines.len() <= 200));
        let repeated = (1_040..2_000).step_by(40).map(|now| probed.next_reports(now).len());
        assert_eq!(repeated.sum::<usize>(), datagrams, "repeated once a half second");
        for number in 0..lost {
            probed.record_reachable(key(number));
        }
        let reports = probed.next_reports(2_000);
        assert_eq!(reports.len(), datagrams);
        assert!(reports.iter().all(|report| !report.is_unreachable));
        assert_eq!(probed.next_reports(9_000), []);
    }
}

/// Guards against nodes that go on trying an engine which their hub knows to be lost.
#[test]
fn new_engine_is_reported_at_once() {
    let mut probed = ProbedEngines::default();
    probed.insert(key(1));
    assert_eq!(probed.next_reports(1_000).len(), 1);
    probed.insert(key(2));
    assert!(!probed.insert(key(2)), "it is probed already");
    let reports = probed.next_reports(1_040);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].engines, [key(2)]);
    probed.remove(key(2));
    assert_eq!(probed.next_reports(1_500)[0].engines, [key(1)]);
}

/// Guards against an engine that is lost again at once and reported as back.
#[test]
fn last_state_of_an_engine_is_reported() {
    let mut probed = ProbedEngines::default();
    probed.insert(key(1));
    probed.next_reports(1_000);
    probed.record_reachable(key(1));
    probed.insert(key(1));
    let reports = probed.next_reports(1_040);
    assert!(reports.len() == 1 && reports[0].is_unreachable, "{reports:?}");
}
