use std::time::Duration;

use tokio::time::Instant;

/// How the pieces of an answer came.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    first: Instant,
    last: Instant,
    /// Longest time between two pieces.
    pub(super) longest: Duration,
    /// Pieces so far.
    pub(super) pieces: u32,
}

impl Pace {
    pub(super) fn begin() -> Pace {
        let now = Instant::now();
        Pace { first: now, last: now, longest: Duration::ZERO, pieces: 0 }
    }

    /// Mean time between two pieces.
    pub(super) fn mean(&self) -> Option<Duration> {
        let pauses = self.pieces.checked_sub(1).filter(|pauses| *pauses > 0)?;
        Some((self.last - self.first) / pauses)
    }

    /// A piece has come.
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
