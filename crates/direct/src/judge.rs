use derive_more::Display;

use crate::Millis;

/// How an engine's answer to a request counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A whole answer.
    Good,
    /// It said that it is full.
    Full,
    /// It failed, broke off, or sent what is no answer.
    Failed,
    /// It could not be reached, or went silent.
    Silent,
}

/// What is thought of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Opinion {
    /// It answers.
    #[default]
    #[display("well")]
    Well,
    /// It fails much of what it is sent.
    #[display("failing")]
    Failing,
    /// It could not be reached, and is left alone for a while.
    #[display("left alone")]
    LeftAlone,
}

/// Part of the requests from which an engine counts as failing, for those who read of it.
const FAILING: f64 = 0.25;

/// Time after which half of what was seen is forgotten.
const HALF_LIFE_MS: f64 = 2_000.0;

/// First time for which an engine that cannot be reached is left alone.
const FIRST_PAUSE: Millis = 250;

/// Longest such time: an engine that is back must be found within it.
const LONGEST_PAUSE: Millis = 2_000;

/// Time after it was left alone for which an engine that nothing was sent to still counts as silent.
const SILENT_FOR: Millis = 2_000;

/// Answers that are assumed good before the first one has come, so that one failure does not condemn.
const PRIOR: f64 = 2.0;

/// What an engine's answers say of it; its own word on its health is only a hint.
///
/// Load: an engine that fails part of its requests is the quickest to answer and draws the more of them
/// the more it fails.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    good: f64,
    bad: f64,
    at: Millis,
    silent_in_a_row: u32,
    left_alone_until: Millis,
    /// Up to when it is left alone on the word of another node.
    dark_until: Millis,
    opinion: Opinion,
}

impl Judge {
    /// Takes in what became of a request; tells what is thought of the engine where that has changed.
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

    /// What is thought of it now.
    pub fn opinion(&self, now: Millis) -> Opinion {
        if self.is_left_alone(now) {
            Opinion::LeftAlone
        } else if self.failing(now) >= FAILING {
            Opinion::Failing
        } else {
            Opinion::Well
        }
    }

    /// Another node could not reach it.
    pub fn told_dark(&mut self, until: Millis) {
        self.dark_until = until;
    }

    /// Another node has reached it.
    pub fn told_back(&mut self) {
        self.silent_in_a_row = 0;
        self.left_alone_until = 0;
        self.dark_until = 0;
    }

    /// Whether another node could not reach it and looks whether it is back, so that nobody else need try.
    pub fn is_dark(&self, now: Millis) -> bool {
        now < self.dark_until
    }

    /// Part of the requests that it is expected to fail.
    pub fn failing(&self, now: Millis) -> f64 {
        let keep = decay(now.saturating_sub(self.at));
        self.bad * keep / (PRIOR + (self.good + self.bad) * keep)
    }

    /// Whether it is to be left alone now, because it could not be reached.
    pub fn is_left_alone(&self, now: Millis) -> bool {
        now < self.left_alone_until || self.is_dark(now)
    }

    /// Whether it could not be reached when that was last tried.
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
