//! Tracks the health of an engine by the outcomes of requests.

use derive_more::Display;

use crate::Millis;

/// Outcome of a request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response.
    Success,
    /// The engine rejected the request because it is full.
    Rejected,
    /// An error, an incomplete response or an invalid one.
    Failed,
    /// The engine could not be reached or stopped responding.
    Unreachable,
}

/// Health state, as shown in logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Health {
    #[default]
    #[display("well")]
    Healthy,
    #[display("failing")]
    Failing,
    /// It could not be reached and gets no requests until its ejection ends.
    #[display("left alone")]
    Ejected,
}

/// Failure rate from which an engine is reported as failing.
const FAILING: f64 = 0.25;

const HALF_LIFE_MS: f64 = 2_000.0;

/// Initial ejection time, which doubles with each further failure to reach the engine.
const FIRST_PAUSE: Millis = 250;

/// Maximum ejection time; limits how long it takes to notice that an engine is back.
const LONGEST_PAUSE: Millis = 2_000;

/// Time after its ejection for which an engine without requests still counts as unreachable.
const SILENT_FOR: Millis = 2_000;

/// Successes that are assumed in advance, so that a single failure does not make an engine failing.
const PRIOR: f64 = 2.0;

/// Health of an engine, from exponentially decaying counts of outcomes.
///
/// Prevents an engine that fails quickly from attracting more requests because it looks idle.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    good: f64,
    bad: f64,
    at: Millis,
    silent_in_a_row: u32,
    left_alone_until: Millis,
    /// End of the ejection that another node has reported.
    dark_until: Millis,
    health: Health,
}

impl HealthTracker {
    /// Records an outcome; returns the health state if it changed.
    pub fn record(&mut self, now: Millis, verdict: AttemptOutcome) -> Option<Health> {
        self.decay(now);
        match verdict {
            AttemptOutcome::Success => {
                self.good += 1.0;
                self.silent_in_a_row = 0;
                self.left_alone_until = 0;
                self.dark_until = 0;
            }
            AttemptOutcome::Rejected => self.silent_in_a_row = 0,
            AttemptOutcome::Failed => self.bad += 1.0,
            AttemptOutcome::Unreachable => {
                self.bad += 1.0;
                let pause = FIRST_PAUSE << self.silent_in_a_row.min(3);
                self.silent_in_a_row += 1;
                self.left_alone_until = now + pause.min(LONGEST_PAUSE);
            }
        }
        let opinion = self.health(now);
        let before = std::mem::replace(&mut self.health, opinion);
        (opinion != before).then_some(opinion)
    }

    pub fn health(&self, now: Millis) -> Health {
        if self.is_ejected(now) {
            Health::Ejected
        } else if self.failure_rate(now) >= FAILING {
            Health::Failing
        } else {
            Health::Healthy
        }
    }

    /// Another node could not reach the engine and probes it.
    pub fn report_unreachable(&mut self, until: Millis) {
        self.dark_until = until;
    }

    /// Another node has reached the engine again.
    pub fn report_reachable(&mut self) {
        self.silent_in_a_row = 0;
        self.left_alone_until = 0;
        self.dark_until = 0;
    }

    /// Whether another node reports the engine as unreachable and probes it, so that this node need
    /// not.
    pub fn is_reported_unreachable(&self, now: Millis) -> bool {
        now < self.dark_until
    }

    /// Expected failure rate.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let keep = decay(now.saturating_sub(self.at));
        self.bad * keep / (PRIOR + (self.good + self.bad) * keep)
    }

    /// Whether the engine gets no requests now, as it could not be reached.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.left_alone_until || self.is_reported_unreachable(now)
    }

    /// Whether the latest attempt to reach the engine failed.
    pub fn is_unreachable(&self, now: Millis) -> bool {
        let silent = self.silent_in_a_row > 0 && now < self.left_alone_until + SILENT_FOR;
        silent || self.is_reported_unreachable(now)
    }

    fn decay(&mut self, now: Millis) {
        let keep = decay(now.saturating_sub(self.at));
        self.good *= keep;
        self.bad *= keep;
        self.at = now;
    }
}

fn decay(age: Millis) -> f64 {
    0.5_f64.powf(age as f64 / HALF_LIFE_MS)
}
