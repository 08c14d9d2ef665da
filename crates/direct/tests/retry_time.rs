//! When refused callers are told to come back.

use std::time::Duration;

use hgw_direct::{RefusalDuration, retry_time};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against callers that come back together, or before there can be room.
#[test]
fn callers_of_full_engines_are_spread() {
    let time = |random| retry_time(RefusalDuration::Passing, ms(1_200), random);
    assert_eq!((time(0.0), time(0.5), time(1.0)), (ms(100), ms(250), ms(400)));
}

/// Guards against callers that have ten seconds left and come back while their zone is still cut off.
#[test]
fn callers_come_back_late_to_a_zone_that_is_cut_off() {
    let time = |random| retry_time(RefusalDuration::Lasting, ms(9_000), random);
    assert_eq!((time(0.0), time(1.0)), (ms(2_100), ms(3_000)));
}

/// Guards against callers with much time that wait long after engines have room again.
#[test]
fn time_for_full_engines_is_bounded() {
    assert_eq!(retry_time(RefusalDuration::Passing, ms(60_000), 1.0), ms(3_000));
}

proptest! {
    /// Guards against times beyond a third of the caller's remaining time, at which it comes back whatever
    /// it is told, all callers together.
    #[test]
    fn time_is_at_most_a_third_of_what_is_left(left_ms in 30_u64..100_000, random in 0.0..1.0) {
        for lasts in [RefusalDuration::Passing, RefusalDuration::Lasting] {
            let time = retry_time(lasts, ms(left_ms), random);
            prop_assert!(time <= ms(left_ms) / 3 + Duration::from_micros(1), "{time:?}");
            prop_assert!(time >= ms(10));
        }
    }
}
