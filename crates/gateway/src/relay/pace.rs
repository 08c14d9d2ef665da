//! Timing of the pieces of a response.

use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    first: Instant,
    last: Instant,
    pub(super) longest: Duration,
    pub(super) pieces: u32,
}

impl Pace {
    pub(super) fn begin() -> Pace {
        let now = Instant::now();
        Pace { first: now, last: now, longest: Duration::ZERO, pieces: 0 }
    }

    /// Mean time between two pieces; `None` for fewer than two pieces.
    pub(super) fn mean(&self) -> Option<Duration> {
        let pauses = self.pieces.checked_sub(1).filter(|pauses| *pauses > 0)?;
        Some((self.last - self.first) / pauses)
    }

    pub(super) fn piece(&mut self) {
        let now = Instant::now();
        if self.pieces == 0 {
            self.first = now;
        } else {
            self.longest = self.longest.max(now - self.last);
        }
        self.last = now;
        self.pieces += 1;
    }
}
