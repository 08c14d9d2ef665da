use std::time::Duration;

use hgw_types::Time;

/// Limits of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed for each first try.
    pub share: f64,
    /// Retries that can be saved up.
    pub burst: f64,
    /// Time in which a saved retry loses half its worth.
    pub half_life: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings { share: 0.1, burst: 10.0, half_life: Duration::from_secs(30) }
    }
}

/// Allows retries as a share of first tries.
///
/// Load: an outage, when every try fails. Harm: each caller's request becomes several, and the load
/// of the retries keeps down what has just come back. Limit: a tenth of the first tries, which is
/// far more than single failures need; saved retries are bounded and fade, so that a quiet hour
/// does not pay for a storm.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    saved: f64,
    at: Time,
}

impl RetryBudget {
    /// An empty budget: it never allows more than the share of the first tries so far.
    pub fn new(settings: RetrySettings) -> Self {
        RetryBudget { settings, saved: 0.0, at: Time::ZERO }
    }

    /// A request is sent for the first time.
    pub fn first(&mut self, now: Time) {
        self.fade(now);
        self.saved = (self.saved + self.settings.share).min(self.settings.burst);
    }

    /// Takes one retry, if there is one.
    pub fn allow(&mut self, now: Time) -> bool {
        self.fade(now);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    fn fade(&mut self, now: Time) {
        let half_lives = now.since(self.at).as_secs_f64() / self.settings.half_life.as_secs_f64();
        // One whole retry stays: a quiet node could never mend anything otherwise.
        if self.saved > 1.0 {
            self.saved = (self.saved * 0.5_f64.powf(half_lives)).max(1.0);
        }
        self.at = now;
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(RetrySettings::default())
    }
}
