//! What callers get under load: each case is a scenario at a deployment, in virtual time.

use std::time::Duration;

use hgw_load::decisions::deployment::{Deployment, TASMAN, VALDIVIESO};
use hgw_load::decisions::play;
use hgw_load::decisions::policy::Policy;
use hgw_load::decisions::scenario::{Fault, FaultKind, Scenario};

const CALM: Scenario = Scenario {
    name: "test",
    seconds: 24,
    urgent: &[(0.0, 0.6)],
    deferrable: &[(0.0, 0.3)],
    skew: 0.8,
    turns: &[],
    long: 0.0,
    faults: &[],
};

const fn fault(from: f64, to: f64, kind: FaultKind) -> Fault {
    Fault { from, to, kind }
}

/// Runs the scenario and checks what must hold in every one.
fn check(deployment: &Deployment, scenario: &Scenario, share: f64, moves: u32) {
    let outcome = play(deployment, scenario, &Policy::default(), 7);
    assert!(outcome.share() >= share, "too few in time: {outcome:?}");
    assert!(outcome.moves <= moves, "too many moves: {outcome:?}");
    assert_eq!(outcome.refused.1, 0, "a refusal must name a time to come back");
    assert!(outcome.tries_per_request() <= 1.1, "too many tries: {outcome:?}");
    assert!(outcome.worst_wait <= Duration::from_millis(10), "held after giving up: {outcome:?}");
    assert!(outcome.worst_held <= Duration::from_millis(10), "worked on after: {outcome:?}");
    assert!(outcome.deferrable.1 > 0, "deferrable work starves: {outcome:?}");
    let cut = |f: &Fault| matches!(f.kind, FaultKind::DomainCut(_));
    if !scenario.faults.iter().any(cut) {
        assert_eq!(outcome.unreachable, 0, "a model had no holder: {outcome:?}");
    }
}

macro_rules! scenarios {
    ($($name:ident: $deployment:expr, $scenario:expr => $share:expr, $moves:expr;)*) => {$(
        #[test]
        fn $name() {
            check(&$deployment, &$scenario, $share, $moves);
        }
    )*};
}

const BURST: Scenario =
    Scenario { urgent: &[(0.0, 0.09), (5.0, 0.09), (14.0, 0.9), (20.0, 0.9)], ..CALM };
const MOVING_SKEW: Scenario = Scenario { skew: 1.2, turns: &[(8.0, 4)], ..CALM };
const SLOW: Scenario = Scenario { faults: &[fault(5.0, 24.0, FaultKind::Slow(1, 6))], ..CALM };
const LONG_AND_SHORT: Scenario = Scenario { urgent: &[(0.0, 0.9)], long: 0.25, ..CALM };
const SATURATION: Scenario = Scenario { urgent: &[(0.0, 2.0)], ..CALM };
const ENGINE_LOST: Scenario = Scenario {
    urgent: &[(0.0, 0.8)],
    faults: &[fault(8.0, 24.0, FaultKind::EngineLost(2))],
    ..CALM
};
const CUT_OFF: Scenario = Scenario {
    urgent: &[(0.0, 0.8)],
    faults: &[fault(6.0, 18.0, FaultKind::DomainCut(1))],
    ..CALM
};
const LOG_DOWN: Scenario = Scenario {
    skew: 1.2,
    turns: &[(8.0, 6)],
    faults: &[fault(6.0, 24.0, FaultKind::LogDown)],
    ..CALM
};
const OUTAGE: Scenario = Scenario {
    seconds: 60,
    urgent: &[(0.0, 0.3)],
    faults: &[fault(10.0, 40.0, FaultKind::Outage)],
    ..CALM
};

// Deployment, scenario, least share of the urgent requests answered in time, most moves.
scenarios! {
    burst_valdivieso: VALDIVIESO, BURST => 0.97, 12;
    burst_tasman: TASMAN, BURST => 0.97, 12;
    moving_skew_valdivieso: VALDIVIESO, MOVING_SKEW => 0.97, 16;
    moving_skew_tasman: TASMAN, MOVING_SKEW => 0.97, 16;
    slow_engine_valdivieso: VALDIVIESO, SLOW => 0.98, 6;
    slow_engine_tasman: TASMAN, SLOW => 0.98, 6;
    long_and_short_valdivieso: VALDIVIESO, LONG_AND_SHORT => 0.96, 8;
    long_and_short_tasman: TASMAN, LONG_AND_SHORT => 0.96, 8;
    saturation_valdivieso: VALDIVIESO, SATURATION => 0.55, 10;
    saturation_tasman: TASMAN, SATURATION => 0.55, 10;
    engine_lost_valdivieso: VALDIVIESO, ENGINE_LOST => 0.95, 16;
    engine_lost_tasman: TASMAN, ENGINE_LOST => 0.95, 16;
    domain_cut_off_valdivieso: VALDIVIESO, CUT_OFF => 0.90, 10;
    domain_cut_off_tasman: TASMAN, CUT_OFF => 0.90, 10;
    log_down_in_a_shift_valdivieso: VALDIVIESO, LOG_DOWN => 0.95, 16;
    log_down_in_a_shift_tasman: TASMAN, LOG_DOWN => 0.90, 16;
    outage_valdivieso: VALDIVIESO, OUTAGE => 0.45, 6;
    outage_tasman: TASMAN, OUTAGE => 0.45, 6;
}

#[test]
fn goodput_at_twice_the_capacity_stays() {
    for deployment in [VALDIVIESO, TASMAN] {
        let at = |load: &'static [(f64, f64)]| {
            let scenario = Scenario { urgent: load, ..CALM };
            play(&deployment, &scenario, &Policy::default(), 7).attainment()
        };
        let (once, twice) = (at(&[(0.0, 1.0)]), at(&[(0.0, 2.0)]));
        assert!(twice >= 0.95 * once, "{}: {once} {twice}", deployment.name);
    }
}

#[test]
fn long_work_is_answered_under_saturation() {
    let scenario = Scenario { urgent: &[(0.0, 2.0)], long: 0.05, ..CALM };
    let outcome = play(&VALDIVIESO, &scenario, &Policy::default(), 7);
    let (asked, answered) = outcome.long;
    assert!(f64::from(answered) >= 0.1 * f64::from(asked), "{outcome:?}");
}

#[test]
fn deferrable_work_goes_on_under_lasting_saturation() {
    let scenario = Scenario { seconds: 70, urgent: &[(0.0, 1.6)], ..CALM };
    let outcome = play(&TASMAN, &scenario, &Policy::default(), 7);
    assert!(outcome.worst_deferrable <= Duration::from_secs(25), "{outcome:?}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let scenario = Scenario { seconds: 8, ..MOVING_SKEW };
    let run = || play(&TASMAN, &scenario, &Policy::default(), 3);
    assert_eq!(run(), run());
}
