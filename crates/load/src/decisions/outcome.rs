//! What callers got in one run.

use std::time::Duration;

/// Counts of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// Urgent requests.
    pub urgent: u32,
    /// Urgent requests answered whole and in time.
    pub in_time: u32,
    /// Urgent requests that asked for long answers, and those answered whole and in time.
    pub long: (u32, u32),
    /// Deferrable requests, and those answered whole.
    pub deferrable: (u32, u32),
    /// Requests refused, and those of them with no time to come back.
    pub refused: (u32, u32),
    /// Requests for which no upstream was known to hold the model.
    pub unreachable: u32,
    /// Tries sent, without the continuation of preempted work.
    pub tries: u32,
    /// Continuations of preempted work.
    pub resumed: u32,
    /// Steps of the engines' slots: idle, prompts, urgent tokens, deferrable tokens.
    pub slot_steps: [u64; 4],
    /// Loads and evictions.
    pub moves: u32,
    /// Longest time from a missed deadline to the answer that says so.
    pub worst_wait: Duration,
    /// Longest time that an upstream went on with work that was given up.
    pub worst_held: Duration,
    /// Longest time between two ends of deferrable work while some waited.
    pub worst_deferrable: Duration,
    /// Model engines.
    pub engines: u32,
    /// Length of the run.
    pub seconds: u64,
}

impl Outcome {
    /// Urgent requests answered in time, a second and engine.
    pub fn attainment(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.engines) / self.seconds as f64
    }

    /// Share of the urgent requests that were answered in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.urgent.max(1))
    }

    /// Tries for each request.
    pub fn tries_per_request(&self) -> f64 {
        f64::from(self.tries) / f64::from((self.urgent + self.deferrable.0).max(1))
    }
}
