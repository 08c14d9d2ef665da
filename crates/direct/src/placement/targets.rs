//! How many copies each model should have, and how urgent the next one is.

use indexmap::IndexMap;

use crate::{Engine, ModelPool, Rates};

/// Requests per second that one copy serves, per slot of its engine. With more, the gaps between
/// the events of streams exceed their target.
const COPY_RATE_OF_SLOTS: f64 = 0.1;

/// Minimum number of copies of a model in demand; one engine may fail.
const LEAST_IN_DEMAND: usize = 2;

/// Requests per second from which a model counts as in demand.
pub(super) const IN_DEMAND: f64 = 6.0;

/// Maximum number of requests per second that one copy serves, per slot of its engine. Beyond that,
/// callers give up while their requests are queued.
const MOST_RATE_OF_SLOTS: f64 = 0.25;

/// Need of a model that no engine has, in unserved requests per second.
const NOWHERE: f64 = 3.0;

/// Weight of the demand per copy in the need for another copy.
const SPREAD: f64 = 0.05;

/// Requests per second from which an adapter gets a slot of its own.
const ADAPTER_IN_USE: f64 = 0.2;

/// Number of copies that each model should have, by its share of the demand.
pub(super) fn targets(
    engines: &[&Engine],
    pool: &ModelPool,
    rates: &Rates,
    margin: f64,
) -> IndexMap<String, usize> {
    let rate = |model: &str| margin * rates.of_model(model);
    let sum: f64 = rates.models.values().sum();
    let count = engines.len();
    let copy_rate = copy_rate(pool);
    let mut adapters: IndexMap<&str, usize> = IndexMap::new();
    for (wanted, _) in rates.adapters.iter().filter(|(_, rate)| **rate >= ADAPTER_IN_USE) {
        *adapters.entry(wanted.model.as_str()).or_default() += 1;
    }
    let target = |model: &str| {
        // One slot per requested adapter: replacing an adapter has to wait for its requests.
        let adapters = adapters.get(model).copied().unwrap_or(0);
        let by_adapters = adapters.div_ceil(pool.adapter_slots.max(1) as usize);
        let rate = rate(model);
        // A model that gets more than its share of the engines takes them from others.
        let by_share = (count as f64 * rate / sum.max(f64::EPSILON)).ceil() as usize;
        let by_rate = ((rate / copy_rate).ceil() as usize).min(by_share);
        if rate < IN_DEMAND {
            return 1;
        }
        let least = LEAST_IN_DEMAND.max(by_rate);
        least.max(by_adapters).min(count.max(1))
    };
    pool.models.keys().map(|m| (m.clone(), target(m))).collect()
}

/// Requests per second that one copy serves.
pub(super) fn copy_rate(pool: &ModelPool) -> f64 {
    (f64::from(pool.slots) * COPY_RATE_OF_SLOTS).max(1.0)
}

/// Need for another copy, in requests per second: the unserved requests that one copy can serve,
/// plus an amount if no engine has the model, plus a part of the load per copy.
///
/// Unserved requests are limited to what one copy serves; otherwise the most requested model would
/// get all copies first.
pub(super) fn need(rate: f64, copies: usize, pool: &ModelPool) -> f64 {
    let one_serves = f64::from(pool.slots) * MOST_RATE_OF_SLOTS;
    let served = copies as f64 * one_serves;
    let unserved = (rate - served).clamp(0.0, one_serves);
    let nowhere = if copies == 0 { NOWHERE } else { 0.0 };
    unserved + nowhere + SPREAD * rate / copies.max(1) as f64
}
