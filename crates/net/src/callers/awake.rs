//! The time for which this process has looked at its callers' connections.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Delay of a look up to which the process counts as having run all the while.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// A clock that leaves out the time in which this process did not run: it says nothing of the callers.
#[derive(Debug)]
pub(super) struct AwakeClock {
    start: Instant,
    /// When the last look was, in milliseconds since `start`.
    last_look: AtomicU64,
    /// The time left out, in milliseconds.
    absent: AtomicU64,
}

impl AwakeClock {
    pub(super) fn start() -> AwakeClock {
        AwakeClock {
            start: Instant::now(),
            last_look: AtomicU64::new(0),
            absent: AtomicU64::new(0),
        }
    }

    /// Milliseconds since the start, less the time left out.
    pub(super) fn now(&self) -> u64 {
        self.elapsed().saturating_sub(self.absent.load(Ordering::Relaxed))
    }

    /// Records a look that was planned `interval` after the last one.
    pub(super) fn look(&self, interval: Duration) {
        let now = self.elapsed();
        let since_last = now.saturating_sub(self.last_look.swap(now, Ordering::Relaxed));
        let delay = since_last.saturating_sub(interval.as_millis() as u64);
        if u128::from(delay) > MAX_DELAY.as_millis() {
            self.absent.fetch_add(delay, Ordering::Relaxed);
        }
    }

    fn elapsed(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
