//! Clocks of the process and of the machine.

use std::time::Duration;

use hgw_direct::Millis;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

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

/// Time since boot, including suspend. A lease timed by the monotonic clock, which stops during
/// suspend, would outlast the wait of its successor.
pub(crate) fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}
