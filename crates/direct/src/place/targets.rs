//! How many copies each model should have, and how urgent the next one is.

use indexmap::IndexMap;

use crate::{Engine, Pool, Rates};

/// Requests a second that one copy of a model serves, as a part of its engine's slots. A usual request holds a
/// slot for one to two seconds, and from about a quarter of the slots on the pauses between the events of
/// a stream grow beyond what is on time: measured, 16 in 100 streams are late beside 8 others, 42 beside 24.
const COPY_RATE_OF_SLOTS: f64 = 0.1;

/// Copies that a model in demand has at least: the loss of one engine must not make it unreachable.
const LEAST_IN_DEMAND: usize = 2;

/// Requests a second from which a model counts as in demand.
pub(super) const IN_DEMAND: f64 = 6.0;

/// Requests a second that one copy serves at the most, as a part of its engine's slots: beyond, requests
/// wait at it until their callers leave.
const MOST_RATE_OF_SLOTS: f64 = 0.25;

/// What a model that is nowhere counts as, in requests a second that are not served.
const NOWHERE: f64 = 3.0;

/// What a request a second counts that has its copy to itself.
const SPREAD: f64 = 0.05;

/// Requests a second from which an adapter is to have a place of its own.
const ADAPTER_IN_USE: f64 = 0.2;

/// How many copies each model should have, by its share of the demand.
pub(super) fn targets(
    engines: &[&Engine],
    pool: &Pool,
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
        // One place for each adapter that is asked for: a place that changes hands waits for its requests.
        let adapters = adapters.get(model).copied().unwrap_or(0);
        let by_adapters = adapters.div_ceil(pool.adapter_slots.max(1) as usize);
        let rate = rate(model);
        // More than its share of the engines would take them from other models.
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

/// Requests a second that one copy serves.
pub(super) fn copy_rate(pool: &Pool) -> f64 {
    (f64::from(pool.slots) * COPY_RATE_OF_SLOTS).max(1.0)
}

/// How urgent another copy is, in requests a second: those that the copies which are there cannot serve and one more
/// can, then that a model is nowhere, then that demand is spread thinner.
///
/// Load: a third of the engines is lost, and each model in demand has too few copies. Counted by all that is not served,
/// the model that is asked for most got twenty copies one after the other, and one with a single copy and a
/// hundred requests a second got none before.
pub(super) fn need(rate: f64, copies: usize, pool: &Pool) -> f64 {
    let one_serves = f64::from(pool.slots) * MOST_RATE_OF_SLOTS;
    let served = copies as f64 * one_serves;
    let unserved = (rate - served).clamp(0.0, one_serves);
    let nowhere = if copies == 0 { NOWHERE } else { 0.0 };
    unserved + nowhere + SPREAD * rate / copies.max(1) as f64
}
