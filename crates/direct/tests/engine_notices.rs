//! Times of rest as engines write them.

use std::time::Duration;

use hgw_direct::{InvalidNotice, RestTime};

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
