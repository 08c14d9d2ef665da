//! Moves model copies so that the load of the engines is balanced.

use super::capacity::free_mb;
use super::models::{Bounds, MIN_NEED, ModelLoad, Planner};
use super::targets::{IN_DEMAND_RATE, copy_rate};
use crate::{Engine, LoadedModel};

/// Minimum load difference, as a part of the mean load, that justifies the time of another load.
const MIN_IMBALANCE: f64 = 0.4;

/// Minimum load, as a part of the mean, of an engine that takes over a rarely requested model.
const BUSY_LOAD_RATIO: f64 = 0.7;

impl Planner<'_> {
    /// Plans another copy of a model whose copies are all busy, at an engine with little load; or
    /// makes room for it there.
    ///
    /// Prevents engines from being idle because they hold models that are no longer requested.
    pub(super) fn balance(&self) -> Option<ModelLoad> {
        let uneven = MIN_IMBALANCE * self.distribution.mean();
        let levels = self.copy_loads();
        let copy = |(model, level): &(&str, f64)| {
            let bounds = Bounds { min_load: 0.0, max_load: level - uneven, max_loss: uneven };
            self.plan_load(model, uneven, &bounds)
        };
        levels.iter().find_map(copy).or_else(|| {
            let room = |(model, level): &(&str, f64)| self.move_last_copy(model, level - uneven);
            levels.iter().filter(|_| !self.is_moving()).find_map(room)
        })
    }

    /// Models in demand with the load of their least loaded copy, highest first.
    fn copy_loads(&self) -> Vec<(&str, f64)> {
        let least = copy_rate(self.pool);
        let in_demand = self.rates.models.iter().filter(|(_, rate)| **rate >= IN_DEMAND_RATE);
        let levels =
            in_demand.filter_map(|(m, _)| Some((m.as_str(), self.distribution.min_copy_load(m)?)));
        let mut levels: Vec<(&str, f64)> = levels.filter(|(_, level)| *level >= least).collect();
        levels.sort_by(|a, b| b.1.total_cmp(&a.1));
        levels
    }

    /// Whether a rarely requested model is being loaded at a second engine.
    fn is_moving(&self) -> bool {
        let held = |model: &String| self.copy_counts.contains_key(model.as_str());
        self.pending.values().any(|m| held(m) && self.rate(m) < IN_DEMAND_RATE)
    }

    /// Loads a last copy elsewhere if it is in the way of `model` at an engine with at most this
    /// load. Once there are two copies, the one here can be evicted.
    fn move_last_copy(&self, model: &str, most: f64) -> Option<ModelLoad> {
        let needs = self.pool.models.get(model)?.weights_mb;
        let idle = self.engines.iter().enumerate().filter(|(at, engine)| {
            let taken = self.pending.contains_key(&engine.info.id);
            self.distribution.load(*at) <= most && !taken && !engine.has_model(model)
        });
        let mut idle: Vec<(usize, &&Engine)> = idle.collect();
        idle.sort_by(|a, b| self.distribution.load(a.0).total_cmp(&self.distribution.load(b.0)));
        let bounds = Bounds {
            min_load: BUSY_LOAD_RATIO * self.distribution.mean(),
            max_load: f64::INFINITY,
            max_loss: MIN_IMBALANCE * self.distribution.mean(),
        };
        idle.into_iter().find_map(|(_, engine)| {
            let weights =
                |h: &LoadedModel| self.pool.models.get(&h.model).map_or(0.0, |m| m.weights_mb);
            let held = engine.info.loaded.iter();
            let spare: f64 = held.clone().filter(|h| self.is_spare(&h.model)).map(weights).sum();
            let lacks = needs - spare - free_mb(engine, self.pool, self.reserved_mb);
            let in_the_way = held.filter(|h| {
                let last = self.rate(&h.model) < IN_DEMAND_RATE && self.copies(&h.model) <= 1.0;
                last && weights(h) >= lacks
            });
            in_the_way.into_iter().find_map(|h| self.plan_load(&h.model, MIN_NEED, &bounds))
        })
    }
}
