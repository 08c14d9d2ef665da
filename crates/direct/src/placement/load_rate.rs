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
    fn max_loads(&self) -> f64 {
        self.loads_per_s * self.window as f64 / 1000.0 + BURST
    }
}

/// Loads from the weight store that a leader has started, as it reported them to nodes that may succeed it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportedLoads {
    /// Fencing token of that leader.
    fence: u64,
    started: Vec<Millis>,
}

impl ReportedLoads {
    pub fn new(fence: u64, started: Vec<Millis>) -> ReportedLoads {
        ReportedLoads { fence, started }
    }

    /// Replaces `known` unless that is of a later leader: a report may have been long on its way.
    pub fn replace(self, known: &mut Option<ReportedLoads>) {
        if known.as_ref().is_none_or(|known| known.fence <= self.fence) {
            *known = Some(self);
        }
    }

    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Start times of the loads.
    pub fn started(&self) -> &[Millis] {
        &self.started
    }
}

/// Counts the loads from the weight store that started within the window.
#[derive(Debug, Clone, Default)]
pub struct LoadRateLimiter {
    started: VecDeque<Millis>,
}

impl LoadRateLimiter {
    pub fn allows(&mut self, now: Millis, limits: &LoadRateLimits) -> bool {
        while self.started.front().is_some_and(|t| *t + limits.window < now) {
            self.started.pop_front();
        }
        (self.started.len() + 1) as f64 <= limits.max_loads()
    }

    pub fn record_load(&mut self, now: Millis) {
        self.started.push_back(now);
    }

    /// Time since each load in the window started.
    pub fn load_ages(&self, now: Millis) -> Vec<Millis> {
        self.started.iter().map(|at| now.saturating_sub(*at)).collect()
    }

    /// Takes over from a previous leader that reported these loads and may have started
    /// `unreported` more.
    ///
    /// Prevents a new leader from waiting for a whole window before it loads models.
    pub fn restore(&mut self, now: Millis, started: &[Millis], unreported: usize) {
        self.started =
            started.iter().copied().chain(std::iter::repeat_n(now, unreported)).collect();
        self.started.make_contiguous().sort_unstable();
    }

    /// Takes over from a previous leader that may have used up the window; leaves room for
    /// `allowed` loads.
    pub fn assume_full(&mut self, now: Millis, limits: &LoadRateLimits, allowed: usize) {
        let max = limits.max_loads() as usize;
        self.started = std::iter::repeat_n(now, max.saturating_sub(allowed)).collect();
    }
}
