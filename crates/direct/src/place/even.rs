use super::models::{Bounds, Candidates, LEAST_NEED, ModelStep};
use super::room::free_mb;
use super::targets::{IN_DEMAND, copy_rate};
use crate::{Engine, Held};

/// How much more than an engine without a model its least loaded copy must have to do before that engine gets
/// one too, against the mean of all engines: below, the time of a load costs more than the difference.
const UNEVEN: f64 = 0.4;

/// What an engine must have to do, against the mean, to take a model over that is hardly asked for.
const BUSY: f64 = 0.7;

impl Candidates<'_> {
    /// Another copy of a model whose copies all have much to do, at an engine that has little; or room for it
    /// there.
    ///
    /// Load: demand moves to other models every few seconds. Engines that are left with models which nobody
    /// asks for stand idle, while the others are so full that streams pause for longer than is on time.
    pub(super) fn evening_out(&self) -> Option<ModelStep> {
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

    /// Models in demand and what their least loaded copies have to do, the most first.
    fn levels(&self) -> Vec<(&str, f64)> {
        let least = copy_rate(self.pool);
        let in_demand = self.rates.models.iter().filter(|(_, rate)| **rate >= IN_DEMAND);
        let levels = in_demand.filter_map(|(m, _)| Some((m.as_str(), self.spread.level(m)?)));
        let mut levels: Vec<(&str, f64)> = levels.filter(|(_, level)| *level >= least).collect();
        levels.sort_by(|a, b| b.1.total_cmp(&a.1));
        levels
    }

    /// Whether a model that is hardly asked for is on its way to a second place.
    fn is_moving(&self) -> bool {
        let held = |model: &String| self.held.contains_key(model.as_str());
        self.pending.values().any(|m| held(m) && self.rate(m) < IN_DEMAND)
    }

    /// Loads a last copy elsewhere that stands in the way of `model` at an engine with at most this much to do:
    /// once there are two, the one here makes way.
    fn move_away(&self, model: &str, most: f64) -> Option<ModelStep> {
        let needs = self.pool.models.get(model)?.weights_mb;
        let idle = self.engines.iter().enumerate().filter(|(at, engine)| {
            let taken = self.pending.contains_key(&engine.listed.id);
            self.spread.load(*at) <= most && !taken && !engine.holds_model(model)
        });
        let mut idle: Vec<(usize, &&Engine)> = idle.collect();
        idle.sort_by(|a, b| self.spread.load(a.0).total_cmp(&self.spread.load(b.0)));
        let bounds = Bounds {
            least: BUSY * self.spread.mean(),
            most: f64::INFINITY,
            loss: UNEVEN * self.spread.mean(),
        };
        idle.into_iter().find_map(|(_, engine)| {
            let weights = |h: &Held| self.pool.models.get(&h.model).map_or(0.0, |m| m.weights_mb);
            let held = engine.listed.held.iter();
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
