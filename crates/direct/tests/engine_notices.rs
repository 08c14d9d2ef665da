//! Times of rest as engines write them.

use std::time::Duration;

use hgw_direct::{InvalidNotice, RestTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

macro_rules! rests {
    ($($name:ident: $text:literal => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let expected: Option<Duration> = $expected;
            let rest = $text.parse::<RestTime>().ok().map(RestTime::duration);
            assert_eq!(rest, expected);
        })*
    };
}

rests! {
    whole_seconds: "3" => Some(Duration::from_secs(3));
    fraction_of_a_second: " 0.25 " => Some(Duration::from_millis(250));
    no_time: "0" => Some(Duration::ZERO);
    longer_than_counts: "1000000000" => Some(Duration::from_secs(600));
    negative: "-3" => None;
    with_an_exponent: "1e3" => None;
    date: "Fri, 04 Dec 2026 03:15:23 GMT" => None;
    infinite: "inf" => None;
    empty: "" => None;
    only_a_point: "." => None;
}

/// Guards against a log that an engine fills.
#[test]
fn only_the_beginning_of_a_text_is_kept() {
    let text = "x".repeat(10_000);
    let invalid = text.parse::<RestTime>().unwrap_err();
    assert_eq!(invalid, InvalidNotice::NoRestTime { text: "x".repeat(32) });
}

/// Guards against nodes that all come back to an engine at the moment at which it has rested.
#[test]
fn ends_of_a_rest_are_spread_over_the_nodes_of_a_fleet() {
    const REST: u64 = 3_000;
    let rest: RestTime = "3".parse().unwrap();
    for (seed, nodes) in [(1, 9), (2, 986), (3, 1_972)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let ends: Vec<u64> = (0..nodes).map(|_| rest.end(0, rng.random())).collect();
        assert!(ends.iter().all(|end| (REST..=REST + REST / 10).contains(end)), "{ends:?}");
        let within_30_ms =
            |from: u64| ends.iter().filter(|e| (from..from + 30).contains(*e)).count();
        let most = (REST..REST + REST / 10).map(within_30_ms).max().unwrap();
        assert!(most <= nodes / 10 * 2 + 4, "{most} of {nodes} within a tenth of the time");
    }
}
