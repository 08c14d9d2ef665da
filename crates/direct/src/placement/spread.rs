//! Estimates how demand distributes over the copies of models.

use indexmap::IndexMap;

use super::models::PendingLoads;
use crate::{Engine, Rates};

/// Number of parts in which the demand for a model is distributed over its copies.
const PARTS: u32 = 16;

/// Rounds of distribution; in the second, each model takes all others into account.
const ROUNDS: u32 = 2;

/// Distribution of the demand for all models, if each request goes to the least loaded copy.
///
/// The number of copies alone does not show that copies of busy models share an engine while others
/// are idle.
#[derive(Debug)]
pub(super) struct Spread<'a> {
    /// Requests per second at each engine, in the order of the engines.
    loads: Vec<f64>,
    /// Indices of the engines that have, or are loading, each model.
    holders: IndexMap<&'a str, Vec<usize>>,
}

impl<'a> Spread<'a> {
    pub(super) fn of(
        engines: &[&'a Engine],
        pending: &'a PendingLoads,
        rates: &Rates,
    ) -> Spread<'a> {
        let mut holders: IndexMap<&str, Vec<usize>> = IndexMap::new();
        for (at, engine) in engines.iter().enumerate() {
            for held in &engine.info.loaded {
                holders.entry(&held.model).or_default().push(at);
            }
            let coming = pending.get(&engine.info.id).filter(|m| !engine.has_model(m));
            if let Some(model) = coming {
                holders.entry(model).or_default().push(at);
            }
        }
        let mut spread = Spread { loads: vec![0.0; engines.len()], holders };
        spread.deal(rates);
        spread
    }

    fn deal(&mut self, rates: &Rates) {
        // Models with the fewest copies have the least choice and go first.
        self.holders.sort_by(|_, a, _, b| a.len().cmp(&b.len()));
        let mut dealt: Vec<Vec<f64>> = self.holders.values().map(|h| vec![0.0; h.len()]).collect();
        for _ in 0..ROUNDS {
            for ((model, holders), dealt) in self.holders.iter().zip(&mut dealt) {
                let part = rates.of_model(model) / f64::from(PARTS);
                if part == 0.0 {
                    continue;
                }
                for (at, share) in holders.iter().zip(dealt.iter_mut()) {
                    self.loads[*at] -= std::mem::take(share);
                }
                for _ in 0..PARTS {
                    let loads = &self.loads;
                    let least = (0..holders.len())
                        .min_by(|a, b| loads[holders[*a]].total_cmp(&loads[holders[*b]]));
                    let Some(least) = least else { break };
                    self.loads[holders[least]] += part;
                    dealt[least] += part;
                }
            }
        }
    }

    /// Requests per second at the engine with this index.
    pub(super) fn load(&self, at: usize) -> f64 {
        self.loads[at]
    }

    /// Requests per second at the least loaded copy of a model.
    pub(super) fn level(&self, model: &str) -> Option<f64> {
        let holders = self.holders.get(model)?;
        holders.iter().map(|at| self.loads[*at]).min_by(f64::total_cmp)
    }

    /// Requests per second at the most loaded engine.
    pub(super) fn most(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    pub(super) fn mean(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }
}
