use indexmap::IndexMap;

use super::models::Pending;
use crate::{Engine, Rates};

/// Parts in which the demand for a model is dealt out over its copies.
const PARTS: u32 = 16;

/// Rounds of dealing: in the second each model knows where all others went.
const ROUNDS: u32 = 2;

/// How the demand for all models spreads over the copies that there are, when each request goes to the least
/// loaded copy.
///
/// Load: as many copies as a model's share of the engines may all stand beside copies of other models in
/// demand, while engines that hold only rare models have nothing to do.
#[derive(Debug)]
pub(super) struct Spread<'a> {
    /// Requests a second at each engine, in the order of the engines.
    loads: Vec<f64>,
    /// Engines that hold each model, or soon will, by their places in that order.
    holders: IndexMap<&'a str, Vec<usize>>,
}

impl<'a> Spread<'a> {
    /// Spreads the demand over what the engines hold and what is on its way to them.
    pub(super) fn of(engines: &[&'a Engine], pending: &'a Pending, rates: &Rates) -> Spread<'a> {
        let mut holders: IndexMap<&str, Vec<usize>> = IndexMap::new();
        for (at, engine) in engines.iter().enumerate() {
            for held in &engine.listed.held {
                holders.entry(&held.model).or_default().push(at);
            }
            let coming = pending.get(&engine.listed.id).filter(|m| !engine.holds_model(m));
            if let Some(model) = coming {
                holders.entry(model).or_default().push(at);
            }
        }
        let mut spread = Spread { loads: vec![0.0; engines.len()], holders };
        spread.deal(rates);
        spread
    }

    fn deal(&mut self, rates: &Rates) {
        // What has least choice goes first.
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

    /// Requests a second at the engine with this place.
    pub(super) fn load(&self, at: usize) -> f64 {
        self.loads[at]
    }

    /// Requests a second at the least loaded copy of a model.
    pub(super) fn level(&self, model: &str) -> Option<f64> {
        let holders = self.holders.get(model)?;
        holders.iter().map(|at| self.loads[*at]).min_by(f64::total_cmp)
    }

    /// Requests a second at the most loaded engine.
    pub(super) fn most(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Mean of all engines.
    pub(super) fn mean(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }
}
