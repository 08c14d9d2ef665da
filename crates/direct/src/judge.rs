//! Tracks the health of an engine by the outcomes of requests.

use derive_more::Display;

use crate::Millis;

/// Outcome of a request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A complete response.
    Good,
    /// The engine rejected the request because it is full.
    Full,
    /// An error, an incomplete response or an invalid one.
    Failed,
    /// The engine could not be reached or stopped responding.
    Silent,
}

/// Health state, as shown in logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Opinion {
    #[default]
    #[display("well")]
    Well,
    #[display("failing")]
    Failing,
    /// It could not be reached and gets no requests until its ejection ends.
    #[display("left alone")]
    LeftAlone,
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
pub struct Judge {
    good: f64,
    bad: f64,
    at: Millis,
    silent_in_a_row: u32,
    left_alone_until: Millis,
    /// End of the ejection that another node has reported.
    dark_until: Millis,
    opinion: Opinion,
}

impl Judge {
    /// Records an outcome; returns the health state if it changed.
    pub fn saw(&mut self, now: Millis, verdict: Verdict) -> Option<Opinion> {
        self.decay(now);
        match verdict {
            Verdict::Good => {
                self.good += 1.0;
                self.silent_in_a_row = 0;
                self.left_alone_until = 0;
                self.dark_until = 0;
            }
            Verdict::Full => self.silent_in_a_row = 0,
            Verdict::Failed => self.bad += 1.0,
            Verdict::Silent => {
                self.bad += 1.0;
                let pause = FIRST_PAUSE << self.silent_in_a_row.min(3);
                self.silent_in_a_row += 1;
                self.left_alone_until = now + pause.min(LONGEST_PAUSE);
            }
        }
        let opinion = self.opinion(now);
        let before = std::mem::replace(&mut self.opinion, opinion);
        (opinion != before).then_some(opinion)
    }

    pub fn opinion(&self, now: Millis) -> Opinion {
        if self.is_left_alone(now) {
            Opinion::LeftAlone
        } else if self.failing(now) >= FAILING {
            Opinion::Failing
        } else {
            Opinion::Well
        }
    }

    /// Another node could not reach the engine and probes it.
    pub fn told_dark(&mut self, until: Millis) {
        self.dark_until = until;
    }

    /// Another node has reached the engine again.
    pub fn told_back(&mut self) {
        self.silent_in_a_row = 0;
        self.left_alone_until = 0;
        self.dark_until = 0;
    }

    /// Whether another node reports the engine as unreachable and probes it, so that this node need
    /// not.
    pub fn is_dark(&self, now: Millis) -> bool {
        now < self.dark_until
    }

    /// Expected failure rate.
    pub fn failing(&self, now: Millis) -> f64 {
        let keep = decay(now.saturating_sub(self.at));
        self.bad * keep / (PRIOR + (self.good + self.bad) * keep)
    }

    /// Whether the engine gets no requests now, as it could not be reached.
    pub fn is_left_alone(&self, now: Millis) -> bool {
        now < self.left_alone_until || self.is_dark(now)
    }

    /// Whether the latest attempt to reach the engine failed.
    pub fn is_silent(&self, now: Millis) -> bool {
        let silent = self.silent_in_a_row > 0 && now < self.left_alone_until + SILENT_FOR;
        silent || self.is_dark(now)
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
