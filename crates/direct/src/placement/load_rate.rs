//! Limits the rate of loads from the weight store.

use std::collections::VecDeque;

use crate::Millis;

/// Limits of the weight store, over all engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRateLimits {
    pub loads_per_s: f64,
    /// Window over which loads are counted.
    pub window: Millis,
}

/// Loads that may start at once beyond the rate.
const BURST: f64 = 2.0;

impl LoadRateLimits {
    fn most(&self) -> f64 {
        self.loads_per_s * self.window as f64 / 1000.0 + BURST
    }
}

/// Counts the loads from the weight store that started within the window.
#[derive(Debug, Clone, Default)]
pub struct LoadRateLimiter {
    begun: VecDeque<Millis>,
}

impl LoadRateLimiter {
    pub fn allows(&mut self, now: Millis, limits: &LoadRateLimits) -> bool {
        while self.begun.front().is_some_and(|t| *t + limits.window < now) {
            self.begun.pop_front();
        }
        (self.begun.len() + 1) as f64 <= limits.most()
    }

    pub fn record_load(&mut self, now: Millis) {
        self.begun.push_back(now);
    }

    /// Time since each load in the window started.
    pub fn load_ages(&self, now: Millis) -> Vec<Millis> {
        self.begun.iter().map(|at| now.saturating_sub(*at)).collect()
    }

    /// Takes over from a previous leader that reported these loads and may have started `unheard`
    /// more.
    ///
    /// Prevents a new leader from waiting for a whole window before it loads models.
    pub fn restore(&mut self, now: Millis, begun: &[Millis], unheard: usize) {
        self.begun = begun.iter().copied().chain(std::iter::repeat_n(now, unheard)).collect();
        self.begun.make_contiguous().sort_unstable();
    }

    /// Takes over from a previous leader that may have used up the window; leaves room for `but`
    /// loads.
    pub fn assume_full(&mut self, now: Millis, limits: &LoadRateLimits, but: usize) {
        let most = limits.most() as usize;
        self.begun = std::iter::repeat_n(now, most.saturating_sub(but)).collect();
    }
}
