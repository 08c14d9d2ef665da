use std::time::Duration;

use tokio::time::Instant;

/// How the pieces of an answer came.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    last: Instant,
    /// Longest time between two pieces.
    pub(super) longest: Duration,
    /// Pieces so far.
    pub(super) pieces: u32,
}

impl Pace {
    pub(super) fn begin() -> Pace {
        Pace { last: Instant::now(), longest: Duration::ZERO, pieces: 0 }
    }

    /// A piece has come.
    pub(super) fn piece(&mut self) {
        let now = Instant::now();
        if self.pieces > 0 {
            self.longest = self.longest.max(now - self.last);
        }
        self.last = now;
        self.pieces += 1;
    }
}
