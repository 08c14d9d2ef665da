//! When a node concludes that it reaches no engine of a service, and when that has ended.

use hgw_direct::{EngineId, EnginePath, Millis, PathChange};

const ENGINES: usize = 13;

fn id(n: usize) -> EngineId {
    EngineId(format!("i-{n}"))
}

/// A path of which this many different engines were not reached.
fn failed(engines: usize, at: Millis) -> EnginePath {
    let mut path = EnginePath::default();
    for n in 0..engines {
        path.record_failure(&id(n), ENGINES, at);
    }
    path
}

/// A crashed engine must not make a node that reaches all others send its requests elsewhere.
#[test]
fn one_engine_that_fails_again_and_again_is_no_failed_path() {
    let mut path = EnginePath::default();
    for now in 0..100 {
        assert_eq!(path.record_failure(&id(1), ENGINES, now * 20), None);
    }
    assert!(!path.has_failed());
}

/// Where a node reaches a few engines of a service it serves by these.
#[test]
fn engines_that_are_reached_in_between_keep_the_path_working() {
    let mut path = EnginePath::default();
    for now in 0..100 {
        for lost in 0..7 {
            path.record_failure(&id(lost), ENGINES, now);
        }
        path.record_reached(&id(7), now);
    }
    assert!(!path.has_failed());
}

/// Failures that are seconds apart, such as engines that crash one after the other, add up to nothing.
#[test]
fn old_failures_do_not_count() {
    let mut path = failed(7, 0);
    assert_eq!(path.record_failure(&id(8), ENGINES, 3_100), None);
}

macro_rules! failures {
    ($($name:ident: $failures:literal of $engines:literal, $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut path = EnginePath::default();
            for n in 0..$failures {
                path.record_failure(&id(n), $engines, 0);
            }
            assert_eq!(path.has_failed(), $expected);
        }
    )*};
}

failures! {
    only_engine_of_a_service_is_all_of_it: 1 of 1, true;
    one_of_two_engines_is_not: 1 of 2, false;
    both_of_two_engines_are: 2 of 2, true;
    eight_of_nine_are: 8 of 9, true;
    seven_of_nine_are_not: 7 of 9, false;
    eight_of_four_thousand_are: 8 of 3996, true;
}

/// A path that comes and goes must not take requests with it each time.
#[test]
fn path_that_comes_and_goes_is_trusted_later_each_time() {
    let mut path = failed(8, 0);
    let mut now = 0;
    let mut holds = Vec::new();
    for _ in 0..8 {
        let since = now;
        while path.has_failed() {
            now += 100;
            path.record_reached(&id(1), now);
        }
        holds.push(now - since);
        for n in 0..8 {
            path.record_failure(&id(n), ENGINES, now);
        }
    }
    assert!(holds[0] <= 500, "{holds:?}");
    assert!(holds.windows(2).all(|pair| pair[0] <= pair[1]), "{holds:?}");
    assert!(*holds.last().unwrap() >= 4_800, "{holds:?}");
}

/// A connection that comes through by chance is not the end of an outage.
#[test]
fn engine_that_is_lost_again_starts_the_wait_anew() {
    let mut path = failed(8, 0);
    path.record_reached(&id(1), 100);
    path.record_failure(&id(1), ENGINES, 300);
    assert_eq!(path.record_reached(&id(1), 500), None);
    assert_eq!(path.record_reached(&id(1), 800), Some(PathChange::Restored));
}

/// Where only some engines are back, those that are not must not keep the path from being used.
#[test]
fn engines_that_stay_lost_do_not_prolong_an_outage() {
    let mut path = failed(8, 0);
    path.record_reached(&id(1), 100);
    path.record_failure(&id(2), ENGINES, 300);
    assert_eq!(path.record_reached(&id(1), 400), Some(PathChange::Restored));
}

/// The first failure after another engine was reached concerns the engine; after a second one nothing is
/// known, and this node must not be a witness against engines.
#[test]
fn witness_needs_an_engine_that_was_just_reached() {
    let mut path = EnginePath::default();
    assert!(!path.is_proven(0));
    path.record_reached(&id(1), 100);
    path.record_failure(&id(2), ENGINES, 200);
    assert!(path.is_proven(200));
    assert!(!path.is_proven(500));
    path.record_failure(&id(3), ENGINES, 250);
    assert!(!path.is_proven(260));
}

/// A path to which this many different engines were silent: they took a connection and did not respond.
fn silent(engines: usize, at: Millis) -> EnginePath {
    let mut path = EnginePath::default();
    for n in 0..engines {
        path.record_silence(&id(n), ENGINES, at);
    }
    path
}

/// Guards against refusing requests as all engines are silent for a moment, which no other node reaches either.
#[test]
fn requests_may_be_sent_while_all_engines_are_silent() {
    let mut path = silent(8, 1_000);
    assert!(path.has_failed(), "other nodes are asked first");
    for now in (1_000..3_900).step_by(100) {
        path.record_silence(&id(1), ENGINES, now);
        assert!(path.may_carry(now) && !path.is_lost(now), "{now}");
    }
    assert!(!path.may_carry(4_100), "no sound engine is silent for so long");
    assert!(path.is_lost(4_100));
}

/// Guards against requests that are sent over a path on which nothing is even connected.
#[test]
fn requests_are_not_sent_while_no_engine_takes_a_connection() {
    let path = failed(8, 1_000);
    assert!(!path.may_carry(1_000) && path.is_lost(1_000));
}

/// Guards against refusing requests in a silence of all engines, as one of them has crashed besides.
#[test]
fn crashed_engine_does_not_make_a_silence_a_lost_path() {
    let mut path = silent(7, 0);
    path.record_failure(&id(7), ENGINES, 0);
    assert!(path.has_failed() && path.may_carry(0));
}

/// Guards against requests that hang on a path that takes connections and carries nothing, while other nodes reach
/// engines.
#[test]
fn path_is_lost_if_only_other_nodes_reach_engines() {
    let mut path = silent(8, 0);
    path.record_reached_elsewhere(100);
    path.record_silence(&id(1), ENGINES, 300);
    assert!(path.may_carry(300), "engines may have gone on after that miss began");
    path.record_silence(&id(1), ENGINES, 900);
    assert!(!path.may_carry(900) && path.is_lost(900));
    assert_eq!(path.record_reached(&id(1), 1_000), None);
    assert!(path.may_carry(1_000) && path.is_lost(1_000), "an engine was reached");
    assert_eq!(path.record_reached(&id(1), 1_300), Some(PathChange::Restored));
}

/// Guards against requests that take detours, or are refused, after engines have gone on.
#[test]
fn silence_ends_with_the_first_response() {
    let mut path = silent(8, 0);
    for end in [1_000, 3_000, 5_000] {
        assert_eq!(path.record_reached(&id(2), end), Some(PathChange::Restored));
        assert!(!path.has_failed());
        for n in 0..8 {
            path.record_silence(&id(n), ENGINES, end + 1_000);
        }
        assert!(path.has_failed());
    }
}
