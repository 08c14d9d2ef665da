//! The time that a request has left.

use std::time::Duration;

use hgw_direct::Deadline;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn suspended_time_is_over_as_any_other() {
    let deadline = Deadline { timeout: ms(12_000) };
    assert_eq!(deadline.remaining(ms(3_000), ms(3_000)), ms(9_000));
    assert_eq!(deadline.remaining(ms(3_000), ms(7_500)), ms(4_500));
    assert_eq!(deadline.remaining(ms(3_000), ms(16_000)), Duration::ZERO);
}

/// Guards against a clock that is behind and extends the deadline.
#[test]
fn later_of_two_clocks_counts() {
    let deadline = Deadline { timeout: ms(1_000) };
    assert_eq!(deadline.remaining(ms(600), ms(599)), ms(400));
    assert_eq!(deadline.remaining(ms(1_001), ms(0)), Duration::ZERO);
}
