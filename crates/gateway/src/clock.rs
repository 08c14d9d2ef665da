use std::time::Duration;

use hgw_direct::Millis;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }
}

/// Time since the machine started, with the time for which it was suspended. The steady clock leaves that
/// out: a lease counted by it would outlive what its successor waits for.
pub(crate) fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}
