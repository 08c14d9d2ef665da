//! Moves model copies so that the load of the engines is balanced.

use super::capacity::{free_mb, weights_mb};
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
        let min_difference = MIN_IMBALANCE * self.distribution.mean();
        let copy_loads = self.copy_loads();
        let copy = |(model, copy_load): &(&str, f64)| {
            let bounds = Bounds {
                min_load: 0.0,
                max_load: copy_load - min_difference,
                max_loss: min_difference,
            };
            self.plan_load(model, min_difference, &bounds)
        };
        copy_loads.iter().find_map(copy).or_else(|| {
            let make_room = |(model, copy_load): &(&str, f64)| {
                self.move_last_copy(model, copy_load - min_difference)
            };
            copy_loads.iter().filter(|_| !self.is_moving()).find_map(make_room)
        })
    }

    /// Models in demand with the load of their least loaded copy, highest first.
    fn copy_loads(&self) -> Vec<(&str, f64)> {
        let min_load = copy_rate(self.pool);
        let in_demand = self.rates.models.iter().filter(|(_, rate)| **rate >= IN_DEMAND_RATE);
        let copy_loads =
            in_demand.filter_map(|(m, _)| Some((m.as_str(), self.distribution.min_copy_load(m)?)));
        let mut copy_loads: Vec<(&str, f64)> =
            copy_loads.filter(|(_, copy_load)| *copy_load >= min_load).collect();
        copy_loads.sort_by(|a, b| b.1.total_cmp(&a.1));
        copy_loads
    }

    /// Whether a rarely requested model is being loaded at a second engine.
    fn is_moving(&self) -> bool {
        let is_loaded = |model: &String| self.copy_counts.contains_key(model.as_str());
        self.pending.values().any(|m| is_loaded(m) && self.rate(m) < IN_DEMAND_RATE)
    }

    /// Loads a last copy elsewhere if it is in the way of `model` at an engine with at most this
    /// load. Once there are two copies, the one here can be evicted.
    fn move_last_copy(&self, model: &str, max_load: f64) -> Option<ModelLoad> {
        let needed_mb = self.pool.models.get(model)?.weights_mb;
        let idle = self.engines.iter().enumerate().filter(|(index, engine)| {
            let is_pending = self.pending.contains_key(&engine.info.id);
            self.distribution.load(*index) <= max_load && !is_pending && !engine.has_model(model)
        });
        let mut idle: Vec<(usize, &&Engine)> = idle.collect();
        idle.sort_by(|a, b| self.distribution.load(a.0).total_cmp(&self.distribution.load(b.0)));
        let bounds = Bounds {
            min_load: BUSY_LOAD_RATIO * self.distribution.mean(),
            max_load: f64::INFINITY,
            max_loss: MIN_IMBALANCE * self.distribution.mean(),
        };
        idle.into_iter().find_map(|(_, engine)| {
            let weights_mb = |h: &LoadedModel| weights_mb(self.pool, &h.model);
            let loaded = engine.info.loaded.iter();
            let spare_mb: f64 =
                loaded.clone().filter(|h| self.is_spare(&h.model)).map(weights_mb).sum();
            let missing_mb = needed_mb - spare_mb - free_mb(engine, self.pool, self.reserved_mb);
            let blocking = loaded.filter(|h| {
                let is_last = self.rate(&h.model) < IN_DEMAND_RATE && self.copies(&h.model) <= 1.0;
                is_last && weights_mb(h) >= missing_mb
            });
            blocking.into_iter().find_map(|h| self.plan_load(&h.model, MIN_NEED, &bounds))
        })
    }
}
