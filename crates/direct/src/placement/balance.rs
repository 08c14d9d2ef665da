//! Moves model copies so that the load of the engines is balanced.

use super::capacity::free_mb;
use super::models::{Bounds, Candidates, LEAST_NEED, ModelLoad};
use super::targets::{IN_DEMAND, copy_rate};
use crate::{Engine, LoadedModel};

/// Minimum load difference, as a part of the mean load, that justifies the time of another load.
const UNEVEN: f64 = 0.4;

/// Minimum load, as a part of the mean, of an engine that takes over a rarely requested model.
const BUSY: f64 = 0.7;

impl Candidates<'_> {
    /// Plans another copy of a model whose copies are all busy, at an engine with little load; or
    /// makes room for it there.
    ///
    /// Prevents engines from being idle because they hold models that are no longer requested.
    pub(super) fn evening_out(&self) -> Option<ModelLoad> {
        let uneven = UNEVEN * self.spread.mean();
        let levels = self.levels();
        let copy = |(model, level): &(&str, f64)| {
            let bounds = Bounds { least: 0.0, most: level - uneven, loss: uneven };
            self.step(model, uneven, &bounds)
        };
        levels.iter().find_map(copy).or_else(|| {
            let room = |(model, level): &(&str, f64)| self.move_away(model, level - uneven);
            levels.iter().filter(|_| !self.is_moving()).find_map(room)
        })
    }

    /// Models in demand with the load of their least loaded copy, highest first.
    fn levels(&self) -> Vec<(&str, f64)> {
        let least = copy_rate(self.pool);
        let in_demand = self.rates.models.iter().filter(|(_, rate)| **rate >= IN_DEMAND);
        let levels = in_demand.filter_map(|(m, _)| Some((m.as_str(), self.spread.level(m)?)));
        let mut levels: Vec<(&str, f64)> = levels.filter(|(_, level)| *level >= least).collect();
        levels.sort_by(|a, b| b.1.total_cmp(&a.1));
        levels
    }

    /// Whether a rarely requested model is being loaded at a second engine.
    fn is_moving(&self) -> bool {
        let held = |model: &String| self.held.contains_key(model.as_str());
        self.pending.values().any(|m| held(m) && self.rate(m) < IN_DEMAND)
    }

    /// Loads a last copy elsewhere if it is in the way of `model` at an engine with at most this
    /// load. Once there are two copies, the one here can be evicted.
    fn move_away(&self, model: &str, most: f64) -> Option<ModelLoad> {
        let needs = self.pool.models.get(model)?.weights_mb;
        let idle = self.engines.iter().enumerate().filter(|(at, engine)| {
            let taken = self.pending.contains_key(&engine.info.id);
            self.spread.load(*at) <= most && !taken && !engine.has_model(model)
        });
        let mut idle: Vec<(usize, &&Engine)> = idle.collect();
        idle.sort_by(|a, b| self.spread.load(a.0).total_cmp(&self.spread.load(b.0)));
        let bounds = Bounds {
            least: BUSY * self.spread.mean(),
            most: f64::INFINITY,
            loss: UNEVEN * self.spread.mean(),
        };
        idle.into_iter().find_map(|(_, engine)| {
            let weights =
                |h: &LoadedModel| self.pool.models.get(&h.model).map_or(0.0, |m| m.weights_mb);
            let held = engine.info.loaded.iter();
            let spare: f64 = held.clone().filter(|h| self.is_spare(&h.model)).map(weights).sum();
            let lacks = needs - spare - free_mb(engine, self.pool, self.reserved);
            let in_the_way = held.filter(|h| {
                let last = self.rate(&h.model) < IN_DEMAND && self.copies(&h.model) <= 1.0;
                last && weights(h) >= lacks
            });
            in_the_way.into_iter().find_map(|h| self.step(&h.model, LEAST_NEED, &bounds))
        })
    }
}
