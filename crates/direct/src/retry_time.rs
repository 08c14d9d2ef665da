//! When refused callers are told to come back.

use std::time::Duration;

/// Part of a caller's remaining time after which it comes back at the latest, whatever it is told. The
/// rest is for the second attempt.
const MAX_SHARE: f64 = 1.0 / 3.0;

/// Part of that time before which engines that are full now are not expected to have room.
const FULL_FROM: f64 = 0.25;

/// Latest time for which room is expected at engines that are full: most bursts end before, and a caller
/// with much time gains nothing by a longer wait.
const FULL_UNTIL: Duration = Duration::from_secs(3);

/// Part of that time before which a lasting condition is not expected to end.
const LASTING_FROM: f64 = 0.7;

/// Shortest time, for callers that have hardly any left.
const MIN_RETRY_TIME: Duration = Duration::from_millis(10);

/// How long the reason of a refusal is expected to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalDuration {
    /// Engines are full, or more arrives than they complete: a request may find room at any time.
    Passing,
    /// No engine can be reached: the chance of a second attempt grows with time.
    Lasting,
}

/// When a refused caller is to come back, which it does only once: as late as the reason lasts, and
/// spread by `random`, in `0..1`, so that callers that are refused together do not return together.
pub fn retry_time(lasts: RefusalDuration, time_left: Duration, random: f64) -> Duration {
    let latest = time_left.mul_f64(MAX_SHARE);
    let (from, until) = match lasts {
        RefusalDuration::Passing => {
            let until = latest.min(FULL_UNTIL);
            (until.mul_f64(FULL_FROM), until)
        }
        RefusalDuration::Lasting => (latest.mul_f64(LASTING_FROM), latest),
    };
    (from + (until - from).mul_f64(random)).max(MIN_RETRY_TIME)
}
