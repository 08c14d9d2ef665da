//! How many copies each model should have, and how urgent the next one is.

use indexmap::IndexMap;

use crate::{Engine, ModelPool, Rates};

/// Requests per second that one copy serves, per slot of its engine. With more, the gaps between
/// the events of streams exceed their target: a request holds a slot for one to two seconds, and the
/// gaps grow from about a quarter of the slots in use on.
const COPY_RATE_PER_SLOT: f64 = 0.1;

/// Minimum number of copies of a model in demand; one engine may fail.
const MIN_COPIES_IN_DEMAND: usize = 2;

/// Requests per second from which a model counts as in demand.
pub(super) const IN_DEMAND_RATE: f64 = 6.0;

/// Maximum number of requests per second that one copy serves, per slot of its engine. Beyond that,
/// callers give up while their requests are queued.
const MAX_RATE_PER_SLOT: f64 = 0.25;

/// Need of a model that no engine has, in unserved requests per second.
const NO_COPY_NEED: f64 = 3.0;

/// Weight of the demand per copy in the need for another copy.
const LOAD_WEIGHT: f64 = 0.05;

/// Requests per second from which an adapter gets a slot of its own.
const ADAPTER_MIN_RATE: f64 = 0.2;

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
    for (model_ref, _) in rates.adapters.iter().filter(|(_, rate)| **rate >= ADAPTER_MIN_RATE) {
        *adapters.entry(model_ref.model.as_str()).or_default() += 1;
    }
    let target = |model: &str| {
        // One slot per requested adapter: replacing an adapter has to wait for its requests.
        let adapters = adapters.get(model).copied().unwrap_or(0);
        let by_adapters = adapters.div_ceil(pool.adapter_slots.max(1) as usize);
        let rate = rate(model);
        // A model that gets more than its share of the engines takes them from others.
        let by_share = (count as f64 * rate / sum.max(f64::EPSILON)).ceil() as usize;
        let by_rate = ((rate / copy_rate).ceil() as usize).min(by_share);
        if rate < IN_DEMAND_RATE {
            return 1;
        }
        let min_copies = MIN_COPIES_IN_DEMAND.max(by_rate);
        min_copies.max(by_adapters).min(count.max(1))
    };
    pool.models.keys().map(|m| (m.clone(), target(m))).collect()
}

/// Requests per second that one copy serves.
pub(super) fn copy_rate(pool: &ModelPool) -> f64 {
    (f64::from(pool.slots) * COPY_RATE_PER_SLOT).max(1.0)
}

/// Need for another copy, in requests per second: the unserved requests that one copy can serve,
/// plus an amount if no engine has the model, plus a part of the load per copy.
///
/// Unserved requests are limited to what one copy serves; otherwise the most requested model would
/// get all copies first.
pub(super) fn need(rate: f64, copies: usize, pool: &ModelPool) -> f64 {
    let copy_capacity = f64::from(pool.slots) * MAX_RATE_PER_SLOT;
    let served = copies as f64 * copy_capacity;
    let unserved = (rate - served).clamp(0.0, copy_capacity);
    let no_copy = if copies == 0 { NO_COPY_NEED } else { 0.0 };
    unserved + no_copy + LOAD_WEIGHT * rate / copies.max(1) as f64
}
