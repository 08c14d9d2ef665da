use serde::{Deserialize, Serialize};

/// What a node asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// So much at the most.
    pub most: f64,
    /// What requests wait for; the rest is asked ahead.
    pub needed: f64,
    /// The least that is of use: what one request lacks.
    pub least: f64,
    /// What one more request needs.
    pub step: f64,
    /// What requests have needed since the last question, whether they got it or not.
    pub new: f64,
}

impl Want {
    /// What to give of so much. Less than a request needs would lapse unused.
    ///
    /// Load: a customer asks for four times its limit through 62 nodes. Shared out to the last token, one in sixteen of
    /// what it may use was left over in pieces that no request fitted into.
    pub fn of(&self, there: f64) -> f64 {
        if there >= self.most {
            return self.most;
        }
        if there < self.least || self.step <= 0.0 {
            return 0.0;
        }
        self.least + ((there - self.least) / self.step).floor() * self.step
    }
}
