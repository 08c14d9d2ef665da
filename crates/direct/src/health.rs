//! Tracks the health of an engine by the outcomes of requests.

use derive_more::Display;

use crate::Millis;
use crate::decay::decay;

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
const FAILING_RATE: f64 = 0.25;

const HALF_LIFE_MS: f64 = 2_000.0;

/// Initial ejection time, which doubles with each further failure to reach the engine.
const INITIAL_EJECTION: Millis = 250;

/// Maximum ejection time; limits how long it takes to notice that an engine is back.
const MAX_EJECTION: Millis = 2_000;

/// Time after its ejection for which an engine without requests still counts as unreachable.
const UNREACHABLE_TTL: Millis = 2_000;

/// Successes that are assumed in advance, so that a single failure does not make an engine failing.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Health of an engine, from exponentially decaying counts of outcomes.
///
/// Prevents an engine that fails quickly from attracting more requests because it looks idle.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    successes: f64,
    failures: f64,
    updated_at: Millis,
    consecutive_unreachable: u32,
    ejected_until: Millis,
    /// End of the ejection that another node has reported.
    reported_unreachable_until: Millis,
    health: Health,
}

impl HealthTracker {
    /// Records an outcome; returns the health state if it changed.
    pub fn record(&mut self, now: Millis, outcome: AttemptOutcome) -> Option<Health> {
        self.decay(now);
        match outcome {
            AttemptOutcome::Success => {
                self.successes += 1.0;
                self.consecutive_unreachable = 0;
                self.ejected_until = 0;
                self.reported_unreachable_until = 0;
            }
            AttemptOutcome::Rejected => self.consecutive_unreachable = 0,
            AttemptOutcome::Failed => self.failures += 1.0,
            AttemptOutcome::Unreachable => {
                self.failures += 1.0;
                let ejection = INITIAL_EJECTION << self.consecutive_unreachable.min(3);
                self.consecutive_unreachable += 1;
                self.ejected_until = now + ejection.min(MAX_EJECTION);
            }
        }
        let health = self.health(now);
        let previous = std::mem::replace(&mut self.health, health);
        (health != previous).then_some(health)
    }

    pub fn health(&self, now: Millis) -> Health {
        if self.is_ejected(now) {
            Health::Ejected
        } else if self.failure_rate(now) >= FAILING_RATE {
            Health::Failing
        } else {
            Health::Healthy
        }
    }

    /// Another node could not reach the engine and probes it.
    pub fn report_unreachable(&mut self, until: Millis) {
        self.reported_unreachable_until = until;
    }

    /// The engine has been reached again, by another node, or by this one after a silence.
    pub fn report_reachable(&mut self) {
        self.consecutive_unreachable = 0;
        self.ejected_until = 0;
        self.reported_unreachable_until = 0;
    }

    /// Whether another node reports the engine as unreachable and probes it, so that this node need
    /// not.
    pub fn is_reported_unreachable(&self, now: Millis) -> bool {
        now < self.reported_unreachable_until
    }

    /// Expected failure rate.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let factor = decay(now.saturating_sub(self.updated_at), HALF_LIFE_MS);
        self.failures * factor / (PRIOR_SUCCESSES + (self.successes + self.failures) * factor)
    }

    /// Whether the engine gets no requests now, as it could not be reached.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until || self.is_reported_unreachable(now)
    }

    /// Whether the latest attempt to reach the engine failed.
    pub fn is_unreachable(&self, now: Millis) -> bool {
        let failed_own_attempts =
            self.consecutive_unreachable > 0 && now < self.ejected_until + UNREACHABLE_TTL;
        failed_own_attempts || self.is_reported_unreachable(now)
    }

    fn decay(&mut self, now: Millis) {
        let factor = decay(now.saturating_sub(self.updated_at), HALF_LIFE_MS);
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = now;
    }
}
