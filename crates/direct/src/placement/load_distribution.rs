//! Estimates how demand distributes over the copies of models.

use indexmap::IndexMap;

use super::models::PendingLoads;
use crate::engine_speed::MeanSpeed;
use crate::{Engine, Millis, Rates};

/// Number of parts in which the demand for a model is distributed over its copies.
const PARTS: u32 = 16;

/// Rounds of distribution; in the second, each model takes all others into account.
const ROUNDS: u32 = 2;

/// Distribution of the demand for all models, if each request goes to the least loaded copy. Loads are in requests per
/// second at an engine of mean speed: a slower engine is loaded more by the same requests.
///
/// The number of copies alone does not show that copies of busy models share an engine while others
/// are idle.
#[derive(Debug)]
pub(super) struct LoadDistribution<'a> {
    /// Load of each engine, in the order of the engines.
    loads: Vec<f64>,
    /// Load by one request per second at each engine.
    slowness: Vec<f64>,
    /// Requests per second that each engine takes.
    limits: Vec<f64>,
    /// Indices of the engines that have, or are loading, each model.
    copies: IndexMap<&'a str, Vec<usize>>,
}

impl<'a> LoadDistribution<'a> {
    pub(super) fn of(
        engines: &[&'a Engine],
        pending: &'a PendingLoads,
        rates: &Rates,
        now: Millis,
    ) -> LoadDistribution<'a> {
        let mut copies: IndexMap<&str, Vec<usize>> = IndexMap::new();
        for (index, engine) in engines.iter().enumerate() {
            for loaded in &engine.info.loaded {
                copies.entry(&loaded.model).or_default().push(index);
            }
            let loading = pending.get(&engine.info.id).filter(|m| !engine.has_model(m));
            if let Some(model) = loading {
                copies.entry(model).or_default().push(index);
            }
        }
        let limit = |engine: &&Engine| engine.rate_limit.map_or(f64::INFINITY, |r| r.per_second());
        let limits = engines.iter().map(limit).collect();
        let mean = MeanSpeed::of(engines.iter().map(|engine| &engine.speed));
        let slowness = engines.iter().map(|engine| mean.slowness(&engine.speed, now)).collect();
        let loads = vec![0.0; engines.len()];
        let mut distribution = LoadDistribution { loads, slowness, limits, copies };
        distribution.distribute(rates);
        distribution
    }

    fn distribute(&mut self, rates: &Rates) {
        // Models with the fewest copies have the least choice and go first.
        self.copies.sort_by(|_, a, _, b| a.len().cmp(&b.len()));
        let mut assigned: Vec<Vec<f64>> =
            self.copies.values().map(|h| vec![0.0; h.len()]).collect();
        for _ in 0..ROUNDS {
            for ((model, copies), assigned) in self.copies.iter().zip(&mut assigned) {
                let part = rates.of_model(model) / f64::from(PARTS);
                if part == 0.0 {
                    continue;
                }
                for (index, share) in copies.iter().zip(assigned.iter_mut()) {
                    self.loads[*index] -= std::mem::take(share);
                }
                for _ in 0..PARTS {
                    let (loads, limits) = (&self.loads, &self.limits);
                    let added = |index: usize| part * self.slowness[index];
                    // An engine that gets what it takes is the last resort.
                    let rank = |copy: usize| {
                        let index = copies[copy];
                        let load = loads[index] + added(index);
                        (load > limits[index] * self.slowness[index], load)
                    };
                    let min = (0..copies.len()).min_by(|a, b| {
                        let ((a_full, a_load), (b_full, b_load)) = (rank(*a), rank(*b));
                        a_full.cmp(&b_full).then(a_load.total_cmp(&b_load))
                    });
                    let Some(min) = min else { break };
                    let added = added(copies[min]);
                    self.loads[copies[min]] += added;
                    assigned[min] += added;
                }
            }
        }
    }

    /// Load of the engine with this index.
    pub(super) fn load(&self, index: usize) -> f64 {
        self.loads[index]
    }

    /// Whether the engine with this index gets more requests than it takes.
    pub(super) fn exceeds_limit(&self, index: usize) -> bool {
        self.loads[index] > self.limits[index] * self.slowness[index]
    }

    /// Load by one request per second at the engine with this index.
    pub(super) fn slowness(&self, index: usize) -> f64 {
        self.slowness[index]
    }

    /// Load of the least loaded copy of a model.
    pub(super) fn min_copy_load(&self, model: &str) -> Option<f64> {
        let copies = self.copies.get(model)?;
        copies.iter().map(|index| self.loads[*index]).min_by(f64::total_cmp)
    }

    /// Load of the most loaded engine.
    pub(super) fn max(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    pub(super) fn mean(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }
}
