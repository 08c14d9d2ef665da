//! Timing of the pieces of a response.

use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
pub(super) struct EventTiming {
    first: Instant,
    last: Instant,
    pub(super) max_gap: Duration,
    pub(super) pieces: u32,
}

impl EventTiming {
    pub(super) fn start() -> EventTiming {
        let now = Instant::now();
        EventTiming { first: now, last: now, max_gap: Duration::ZERO, pieces: 0 }
    }

    /// Mean time between two pieces; `None` for fewer than two pieces.
    pub(super) fn mean_gap(&self) -> Option<Duration> {
        let gaps = self.pieces.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((self.last - self.first) / gaps)
    }

    pub(super) fn record_piece(&mut self) {
        let now = Instant::now();
        if self.pieces == 0 {
            self.first = now;
        } else {
            self.max_gap = self.max_gap.max(now - self.last);
        }
        self.last = now;
        self.pieces += 1;
    }
}
