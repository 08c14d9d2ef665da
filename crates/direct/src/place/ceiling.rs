use std::collections::VecDeque;

use crate::Millis;

/// What the weight store takes, over all engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CeilingLimits {
    /// Loads a second.
    pub loads_per_s: f64,
    /// The time over which they are counted.
    pub window: Millis,
}

/// Loads that may begin at once beyond the rate.
const BURST: f64 = 2.0;

impl CeilingLimits {
    fn most(&self) -> f64 {
        self.loads_per_s * self.window as f64 / 1000.0 + BURST
    }
}

/// Loads from the weight store that have begun in the window.
#[derive(Debug, Clone, Default)]
pub struct Ceiling {
    begun: VecDeque<Millis>,
}

impl Ceiling {
    /// Whether another load may begin.
    pub fn allows(&mut self, now: Millis, limits: &CeilingLimits) -> bool {
        while self.begun.front().is_some_and(|t| *t + limits.window < now) {
            self.begun.pop_front();
        }
        (self.begun.len() + 1) as f64 <= limits.most()
    }

    /// A load begins.
    pub fn begin(&mut self, now: Millis) {
        self.begun.push_back(now);
    }

    /// How long ago each of the loads in the window began.
    pub fn ages(&self, now: Millis) -> Vec<Millis> {
        self.begun.iter().map(|at| now.saturating_sub(*at)).collect()
    }

    /// The predecessor told when its loads began, and may have begun `unheard` more since.
    ///
    /// Load: a holder dies while demand moves. Its successor that takes the window for full gives one load in the
    /// next five seconds, while three engines have all the requests for a model and six have none.
    pub fn go_on_from(&mut self, now: Millis, begun: &[Millis], unheard: usize) {
        self.begun = begun.iter().copied().chain(std::iter::repeat_n(now, unheard)).collect();
        self.begun.make_contiguous().sort_unstable();
    }

    /// The predecessor may have begun as many loads as the window takes, up to now; `but` so many more are
    /// left.
    pub fn assume_full(&mut self, now: Millis, limits: &CeilingLimits, but: usize) {
        let most = limits.most() as usize;
        self.begun = std::iter::repeat_n(now, most.saturating_sub(but)).collect();
    }
}
