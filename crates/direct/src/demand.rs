use indexmap::IndexMap;

use crate::{Millis, Wanted};

/// Time after which half of the counted requests are forgotten: demand moves within some five seconds and
/// a load takes three to six, so that half a load's time is as quick as a rate can be trusted.
const HALF_LIFE_MS: f64 = 1_500.0;

/// Requests a second below which a model or an adapter counts as silent.
const SILENT: f64 = 0.05;

/// How often each model and adapter is asked for.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    rates: IndexMap<Wanted, Rate>,
}

/// Requests a second by model or adapter.
pub type Rates = IndexMap<Wanted, f64>;

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    weight: f64,
    at: Millis,
    last: Millis,
}

impl Demand {
    /// So many requests for it came, of which `cost` is the work of one against a usual one.
    pub fn saw(&mut self, now: Millis, wanted: &Wanted, count: f64) {
        let rate = match self.rates.get_mut(wanted) {
            Some(rate) => rate,
            None => self.rates.entry(wanted.clone()).or_default(),
        };
        rate.weight = rate.weight * decay(now.saturating_sub(rate.at)) + count;
        rate.at = now;
        rate.last = now;
    }

    /// Requests a second.
    pub fn rate(&self, now: Millis, wanted: &Wanted) -> f64 {
        self.rates.get(wanted).map_or(0.0, |rate| per_second(rate, now))
    }

    /// When it was last asked for.
    pub fn last(&self, wanted: &Wanted) -> Option<Millis> {
        self.rates.get(wanted).map(|rate| rate.last)
    }

    /// All that is not silent.
    pub fn rates(&self, now: Millis) -> Rates {
        let rates = self.rates.iter().map(|(wanted, rate)| (wanted.clone(), per_second(rate, now)));
        rates.filter(|(_, rate)| *rate >= SILENT).collect()
    }
}

fn per_second(rate: &Rate, now: Millis) -> f64 {
    let ln2 = std::f64::consts::LN_2;
    rate.weight * decay(now.saturating_sub(rate.at)) * ln2 * 1000.0 / HALF_LIFE_MS
}

fn decay(age: Millis) -> f64 {
    0.5_f64.powf(age as f64 / HALF_LIFE_MS)
}
