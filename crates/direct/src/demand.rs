//! Counts how often each model and adapter is requested.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Millis, ModelRef};

/// Half-lives of the two moving averages.
const FAST_MS: f64 = 1_000.0;
const SLOW_MS: f64 = 2_500.0;

/// How far the difference of the two averages is extrapolated, so that a model is loaded for the
/// demand expected once its load is complete.
const TREND: f64 = 0.7;

/// Rate below which a model or an adapter counts as not requested, in requests per second.
const SILENT: f64 = 0.05;

/// Maximum number of models and adapters that are tracked; several times as many as any known
/// deployment has.
const MOST_NAMES: usize = 8_192;

/// Maximum number of models in a snapshot; covers nearly all requests of a node.
const MOST_PAST: usize = 64;

/// Time after which an unused name can be dropped in favor of new ones.
const FORGOTTEN_AFTER: Millis = 30_000;

#[derive(Debug, Clone, Default)]
pub struct Demand {
    models: IndexMap<String, Rate>,
    wanted: IndexMap<ModelRef, Rate>,
    since: Option<Millis>,
}

/// A node's counts for one model, from which another node continues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandSnapshot {
    pub model: String,
    fast: f64,
    slow: f64,
}

/// Requests per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rates {
    /// By model, including its adapters: the rate expected by the time that a load is complete.
    pub models: IndexMap<String, f64>,
    /// By model: the recent rate. Requests may still run there although demand has moved on.
    pub recent: IndexMap<String, f64>,
    /// By adapter: the recent rate. Single adapters are requested too rarely to show a trend.
    pub adapters: IndexMap<ModelRef, f64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    fast: f64,
    slow: f64,
    /// Time up to which the averages have decayed.
    at: Millis,
    /// Time of the last request.
    asked: Millis,
}

impl Demand {
    /// Counts requests.
    pub fn record(&mut self, now: Millis, wanted: &ModelRef, count: f64) {
        self.since.get_or_insert(now);
        self.forget(now);
        if !self.models.contains_key(&wanted.model) {
            self.models.insert(wanted.model.clone(), Rate::default());
        }
        if !self.wanted.contains_key(wanted) {
            self.wanted.insert(wanted.clone(), Rate::default());
        }
        let rates = [self.models.get_mut(&wanted.model), self.wanted.get_mut(wanted)];
        for rate in rates.into_iter().flatten() {
            rate.saw(now, count);
        }
    }

    /// Prevents unbounded growth, as callers can send arbitrary names.
    fn forget(&mut self, now: Millis) {
        if self.wanted.len() >= MOST_NAMES {
            self.wanted.retain(|_, rate| now.saturating_sub(rate.asked) < FORGOTTEN_AFTER);
            self.models.retain(|_, rate| now.saturating_sub(rate.asked) < FORGOTTEN_AFTER);
        }
        if self.wanted.len() >= MOST_NAMES {
            self.wanted.clear();
            self.models.clear();
        }
    }

    /// Number of tracked models and adapters.
    pub fn tracked_names(&self) -> usize {
        self.wanted.len()
    }

    /// When the first request was counted.
    pub fn since(&self) -> Option<Millis> {
        self.since
    }

    /// The counts of the most requested models.
    pub fn snapshot(&self, now: Millis) -> Vec<DemandSnapshot> {
        let models = self.models.iter().filter(|(_, rate)| rate.slow(now) >= SILENT);
        let mut past: Vec<DemandSnapshot> = models
            .map(|(model, rate)| {
                let age = now.saturating_sub(rate.at);
                let (fast, slow) =
                    (rate.fast * decay(age, FAST_MS), rate.slow * decay(age, SLOW_MS));
                DemandSnapshot { model: model.clone(), fast, slow }
            })
            .collect();
        past.sort_by(|a, b| b.slow.total_cmp(&a.slow));
        past.truncate(MOST_PAST);
        past
    }

    /// Adds the counts of another node, which has counted since `since`.
    pub fn merge(&mut self, now: Millis, since: Option<Millis>, past: &[DemandSnapshot]) {
        self.since = self.since.into_iter().chain(since).min();
        for DemandSnapshot { model, fast, slow } in past {
            let rate = self.models.entry(model.clone()).or_default();
            rate.saw(now, 0.0);
            rate.fast += fast;
            rate.slow += slow;
        }
    }

    /// Records that a request waits for it now; the request itself is counted by [`Demand::record`].
    pub fn mark_requested(&mut self, now: Millis, wanted: &ModelRef) {
        self.wanted.entry(wanted.clone()).or_default().asked = now;
    }

    /// Recent requests per second for exactly this model or adapter.
    pub fn rate(&self, now: Millis, wanted: &ModelRef) -> f64 {
        self.wanted.get(wanted).map_or(0.0, |rate| rate.slow(now))
    }

    /// When exactly this model or adapter was last requested.
    pub fn last_requested(&self, wanted: &ModelRef) -> Option<Millis> {
        self.wanted.get(wanted).map(|rate| rate.asked)
    }

    /// The rates of everything that is being requested.
    pub fn rates(&self, now: Millis) -> Rates {
        let models = self.models.iter().map(|(model, rate)| (model.clone(), rate.expected(now)));
        let recent = self.models.iter().map(|(model, rate)| (model.clone(), rate.slow(now)));
        let adapters = self.wanted.iter().filter(|(wanted, _)| wanted.adapter.is_some());
        let adapters = adapters.map(|(wanted, rate)| (wanted.clone(), rate.slow(now)));
        Rates {
            models: models.filter(|(_, rate)| *rate >= SILENT).collect(),
            recent: recent.filter(|(_, rate)| *rate >= SILENT).collect(),
            adapters: adapters.filter(|(_, rate)| *rate >= SILENT).collect(),
        }
    }
}

impl Rates {
    /// Expected requests per second for a model, including its adapters.
    pub fn of_model(&self, model: &str) -> f64 {
        self.models.get(model).copied().unwrap_or(0.0)
    }
}

impl Rate {
    fn saw(&mut self, now: Millis, count: f64) {
        let age = now.saturating_sub(self.at);
        self.fast = self.fast * decay(age, FAST_MS) + count;
        self.slow = self.slow * decay(age, SLOW_MS) + count;
        self.at = now;
        self.asked = now;
    }

    fn fast(&self, now: Millis) -> f64 {
        per_second(self.fast, now.saturating_sub(self.at), FAST_MS)
    }

    fn slow(&self, now: Millis) -> f64 {
        per_second(self.slow, now.saturating_sub(self.at), SLOW_MS)
    }

    fn expected(&self, now: Millis) -> f64 {
        let (fast, slow) = (self.fast(now), self.slow(now));
        (fast + TREND * (fast - slow)).max(0.0)
    }
}

fn per_second(weight: f64, age: Millis, half_life: f64) -> f64 {
    weight * decay(age, half_life) * std::f64::consts::LN_2 * 1000.0 / half_life
}

fn decay(age: Millis, half_life: f64) -> f64 {
    0.5_f64.powf(age as f64 / half_life)
}
