//! Counts how often each model and adapter is requested.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::decay::decay;
use crate::{Millis, ModelRef};

/// Half-lives of the two moving averages.
const FAST_HALF_LIFE_MS: f64 = 1_000.0;
const SLOW_HALF_LIFE_MS: f64 = 2_500.0;

/// How far the difference of the two averages is extrapolated, so that a model is loaded for the
/// demand expected once its load is complete: demand moves to other models within some five seconds,
/// and a load takes three to six.
const TREND_WEIGHT: f64 = 0.7;

/// Rate below which a model or an adapter counts as not requested, in requests per second.
const MIN_RATE: f64 = 0.05;

/// Maximum number of models and adapters that are tracked; several times as many as any known
/// deployment has.
const MAX_NAMES: usize = 8_192;

/// Maximum number of models in a snapshot; covers nearly all requests of a node.
const MAX_SNAPSHOT_MODELS: usize = 64;

/// Time after which an unused name can be dropped in favor of new ones.
const NAME_TTL: Millis = 30_000;

#[derive(Debug, Clone, Default)]
pub struct Demand {
    models: IndexMap<String, Rate>,
    model_refs: IndexMap<ModelRef, Rate>,
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
    updated_at: Millis,
    /// Time of the last request.
    last_requested: Millis,
}

impl Demand {
    /// Counts requests.
    pub fn record(&mut self, now: Millis, model_ref: &ModelRef, count: f64) {
        self.since.get_or_insert(now);
        self.expire_names(now);
        if !self.models.contains_key(&model_ref.model) {
            self.models.insert(model_ref.model.clone(), Rate::default());
        }
        if !self.model_refs.contains_key(model_ref) {
            self.model_refs.insert(model_ref.clone(), Rate::default());
        }
        let rates = [self.models.get_mut(&model_ref.model), self.model_refs.get_mut(model_ref)];
        for rate in rates.into_iter().flatten() {
            rate.record(now, count);
        }
    }

    /// Prevents unbounded growth, as callers can send arbitrary names.
    fn expire_names(&mut self, now: Millis) {
        if self.model_refs.len() >= MAX_NAMES {
            self.model_refs.retain(|_, rate| now.saturating_sub(rate.last_requested) < NAME_TTL);
            self.models.retain(|_, rate| now.saturating_sub(rate.last_requested) < NAME_TTL);
        }
        if self.model_refs.len() >= MAX_NAMES {
            self.model_refs.clear();
            self.models.clear();
        }
    }

    /// Number of tracked models and adapters.
    pub fn tracked_names(&self) -> usize {
        self.model_refs.len()
    }

    /// When the first request was counted.
    pub fn since(&self) -> Option<Millis> {
        self.since
    }

    /// The counts of the most requested models.
    pub fn snapshot(&self, now: Millis) -> Vec<DemandSnapshot> {
        let models = self.models.iter().filter(|(_, rate)| rate.slow(now) >= MIN_RATE);
        let mut snapshots: Vec<DemandSnapshot> = models
            .map(|(model, rate)| {
                let age = now.saturating_sub(rate.updated_at);
                let (fast, slow) = (
                    rate.fast * decay(age, FAST_HALF_LIFE_MS),
                    rate.slow * decay(age, SLOW_HALF_LIFE_MS),
                );
                DemandSnapshot { model: model.clone(), fast, slow }
            })
            .collect();
        snapshots.sort_by(|a, b| b.slow.total_cmp(&a.slow));
        snapshots.truncate(MAX_SNAPSHOT_MODELS);
        snapshots
    }

    /// Adds the counts of another node, which has counted since `since`.
    pub fn merge(&mut self, now: Millis, since: Option<Millis>, snapshots: &[DemandSnapshot]) {
        self.since = self.since.into_iter().chain(since).min();
        for DemandSnapshot { model, fast, slow } in snapshots {
            let rate = self.models.entry(model.clone()).or_default();
            rate.record(now, 0.0);
            rate.fast += fast;
            rate.slow += slow;
        }
    }

    /// Records that a request waits for it now; the request itself is counted by [`Demand::record`].
    pub fn mark_requested(&mut self, now: Millis, model_ref: &ModelRef) {
        self.model_refs.entry(model_ref.clone()).or_default().last_requested = now;
    }

    /// Recent requests per second for exactly this model or adapter.
    pub fn rate(&self, now: Millis, model_ref: &ModelRef) -> f64 {
        self.model_refs.get(model_ref).map_or(0.0, |rate| rate.slow(now))
    }

    /// When exactly this model or adapter was last requested.
    pub fn last_requested(&self, model_ref: &ModelRef) -> Option<Millis> {
        self.model_refs.get(model_ref).map(|rate| rate.last_requested)
    }

    /// The rates of everything that is being requested.
    pub fn rates(&self, now: Millis) -> Rates {
        let models = self.models.iter().map(|(model, rate)| (model.clone(), rate.expected(now)));
        let recent = self.models.iter().map(|(model, rate)| (model.clone(), rate.slow(now)));
        let adapters = self.model_refs.iter().filter(|(model_ref, _)| model_ref.adapter.is_some());
        let adapters = adapters.map(|(model_ref, rate)| (model_ref.clone(), rate.slow(now)));
        Rates {
            models: models.filter(|(_, rate)| *rate >= MIN_RATE).collect(),
            recent: recent.filter(|(_, rate)| *rate >= MIN_RATE).collect(),
            adapters: adapters.filter(|(_, rate)| *rate >= MIN_RATE).collect(),
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
    fn record(&mut self, now: Millis, count: f64) {
        let age = now.saturating_sub(self.updated_at);
        self.fast = self.fast * decay(age, FAST_HALF_LIFE_MS) + count;
        self.slow = self.slow * decay(age, SLOW_HALF_LIFE_MS) + count;
        self.updated_at = now;
        self.last_requested = now;
    }

    fn fast(&self, now: Millis) -> f64 {
        per_second(self.fast, now.saturating_sub(self.updated_at), FAST_HALF_LIFE_MS)
    }

    fn slow(&self, now: Millis) -> f64 {
        per_second(self.slow, now.saturating_sub(self.updated_at), SLOW_HALF_LIFE_MS)
    }

    fn expected(&self, now: Millis) -> f64 {
        let (fast, slow) = (self.fast(now), self.slow(now));
        (fast + TREND_WEIGHT * (fast - slow)).max(0.0)
    }
}

fn per_second(average: f64, age: Millis, half_life: f64) -> f64 {
    average * decay(age, half_life) * std::f64::consts::LN_2 * 1000.0 / half_life
}
