//! Rates of counted events.

use crate::Millis;
use crate::decay::decay;

/// Half-lives of the two averages: the fast one shows bursts, the slow one tells customers with few
/// requests apart.
const FAST_HALF_LIFE_MS: f64 = 200.0;
const SLOW_HALF_LIFE_MS: f64 = 1_000.0;

/// Events in the fast average, by weight, from which on it alone counts: its error is then some 15 in 100.
const CERTAIN_EVENTS: f64 = 40.0;

/// Factor between the averages above which the rate is rising.
const RISING_FACTOR: f64 = 1.5;

/// Events in the fast average, by weight, below which a rise may be chance.
const MIN_RISING_EVENTS: f64 = 12.0;

/// How far the difference of the averages is extrapolated while the rate is rising, as reports are half a
/// second old.
const TREND_WEIGHT: f64 = 1.0;

/// Events per second, from counts that arrive in lumps.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EventRate {
    fast: f64,
    slow: f64,
    updated_at: Millis,
}

impl EventRate {
    pub(super) fn record(&mut self, now: Millis, count: f64) {
        let age = now.saturating_sub(self.updated_at);
        self.fast = self.fast * decay(age, FAST_HALF_LIFE_MS) + count;
        self.slow = self.slow * decay(age, SLOW_HALF_LIFE_MS) + count;
        self.updated_at = now;
    }

    /// The rate expected now, if events have been counted since `since`.
    pub(super) fn per_second(&self, since: Millis, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let fast_events = self.decayed(now);
        let slow_events = self.slow * decay(age, SLOW_HALF_LIFE_MS);
        let fast = per_second(fast_events, FAST_HALF_LIFE_MS, since, now);
        let slow = per_second(slow_events, SLOW_HALF_LIFE_MS, since, now);
        if fast > RISING_FACTOR * slow && fast_events >= MIN_RISING_EVENTS {
            return fast + TREND_WEIGHT * (fast - slow);
        }
        let certainty = (fast_events / CERTAIN_EVENTS).min(1.0);
        certainty * fast + (1.0 - certainty) * slow
    }

    /// Sum of the recent counts, weighted by age.
    pub(super) fn decayed(&self, now: Millis) -> f64 {
        self.fast * decay(now.saturating_sub(self.updated_at), FAST_HALF_LIFE_MS)
    }
}

fn per_second(events: f64, half_life: f64, since: Millis, now: Millis) -> f64 {
    let counted_share = 1.0 - decay(now.saturating_sub(since), half_life);
    if counted_share <= 0.0 {
        return 0.0;
    }
    events * std::f64::consts::LN_2 * 1_000.0 / half_life / counted_share
}
