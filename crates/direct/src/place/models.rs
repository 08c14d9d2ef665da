use indexmap::IndexMap;

use super::{Room, room};
use crate::{Engine, EngineId, Millis, Pool, Rates, Wanted};

/// What the keeper has begun at an engine and not seen the end of.
pub type Pending = IndexMap<EngineId, String>;

/// The next order for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ModelStep {
    /// Load it.
    Load {
        /// Where.
        engine: EngineId,
        /// What.
        model: String,
    },
    /// Make room.
    Unload {
        /// Where.
        engine: EngineId,
        /// What.
        model: String,
    },
}

/// Requests a second that one copy of a model serves, as a part of its engine's slots: a usual request holds
/// a slot for about a second, so that a quarter of them is in use and demand may double before more than
/// half is.
const COPY_RATE_OF_SLOTS: f64 = 0.25;

/// Demand by which a copy must be spare before it makes way, against that which asks for one: without
/// the difference one engine drops and loads the same two models in turn.
const SPARE: f64 = 1.3;

/// Copies that a model in demand has at least: the loss of one engine must not make it unreachable.
const LEAST_IN_DEMAND: usize = 2;

/// Requests a second from which a model counts as in demand.
const IN_DEMAND: f64 = 1.0;

/// How many copies each model should have, by its share of the demand.
pub(super) fn targets(
    engines: &[&Engine],
    pool: &Pool,
    rates: &Rates,
    margin: f64,
) -> IndexMap<String, usize> {
    let rate = |model: &str| -> f64 {
        rates.iter().filter(|(w, _)| w.model == model).map(|(_, r)| *r * margin).sum()
    };
    let count = engines.len();
    let copy_rate = (f64::from(pool.slots) * COPY_RATE_OF_SLOTS).max(1.0);
    let target = |model: &str| {
        let rate = rate(model);
        if rate < IN_DEMAND {
            return 1;
        }
        let by_rate = (rate / copy_rate).ceil() as usize;
        // One place for each adapter that is asked for: a place that changes hands waits for its requests.
        let adapters = rates.keys().filter(|w| w.model == model && w.adapter.is_some()).count();
        let by_adapters = adapters.div_ceil(pool.adapter_slots.max(1) as usize);
        by_rate.max(by_adapters).max(LEAST_IN_DEMAND).min(count.max(1))
    };
    pool.models.keys().map(|m| (m.clone(), target(m))).collect()
}

/// The order that helps most, or none. `busy` engines take no order now.
pub fn next_model_step(
    engines: &[&Engine],
    pool: &Pool,
    rates: &Rates,
    pending: &Pending,
    may_load: bool,
    now: Millis,
) -> Option<ModelStep> {
    let kept = targets(engines, pool, rates, SPARE);
    let targets = targets(engines, pool, rates, 1.0);
    let copies = |model: &str| {
        let held = engines.iter().filter(|e| e.holds_model(model)).count();
        held + pending.values().filter(|m| *m == model).count()
    };
    let rate = |model: &str| -> f64 {
        rates.iter().filter(|(w, _)| w.model == model).map(|(_, r)| *r).sum()
    };
    let mut lacking: Vec<(&String, f64)> = targets
        .iter()
        .filter_map(|(model, target)| {
            let copies = copies(model);
            if copies >= *target {
                return None;
            }
            // A model that is nowhere comes first, then the one whose copies have most to do.
            let need = if copies == 0 { 1e9 + rate(model) } else { rate(model) / copies as f64 };
            Some((model, need))
        })
        .collect();
    lacking.sort_by(|a, b| b.1.total_cmp(&a.1));
    for (model, _) in lacking {
        let mut wants = Candidates { engines, pool, rates, pending, kept: &kept, now };
        if let Some(step) = wants.step(model, may_load) {
            return Some(step);
        }
    }
    None
}

struct Candidates<'a> {
    engines: &'a [&'a Engine],
    pool: &'a Pool,
    rates: &'a Rates,
    pending: &'a Pending,
    /// Copies that each model keeps.
    kept: &'a IndexMap<String, usize>,
    now: Millis,
}

impl Candidates<'_> {
    fn step(&mut self, model: &str, may_load: bool) -> Option<ModelStep> {
        let needs = self.pool.models.get(model)?.weights_mb;
        let mut best: Option<(f64, &Engine, Vec<String>)> = None;
        for engine in self.engines {
            let id = &engine.listed.id;
            if self.pending.contains_key(id) || engine.holds_model(model) {
                continue;
            }
            if engine.judge.is_left_alone(self.now) {
                continue;
            }
            let Some((victims, loss)) = self.victims(engine, needs) else { continue };
            let cost = loss + self.burden(engine);
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, engine, victims));
            }
        }
        let (_, engine, victims) = best?;
        let engine = engine.listed.id.clone();
        match victims.into_iter().next() {
            Some(victim) => Some(ModelStep::Unload { engine, model: victim }),
            None if may_load => Some(ModelStep::Load { engine, model: model.to_owned() }),
            None => None,
        }
    }

    /// Demand that an engine already has to serve.
    fn burden(&self, engine: &Engine) -> f64 {
        engine.listed.held.iter().map(|h| self.rate(&h.model) / self.copies(&h.model)).sum()
    }

    /// Models to drop so that `needs` fits, and the demand that loses a copy by it.
    fn victims(&self, engine: &Engine, needs: f64) -> Option<(Vec<String>, f64)> {
        let Room { mut free_mb, .. } = room(engine, self.pool);
        let mut droppable: Vec<(&str, f64)> = engine
            .listed
            .held
            .iter()
            .filter(|h| {
                let kept = self.kept.get(&h.model).copied().unwrap_or(0);
                self.copies(&h.model) > kept as f64
            })
            .map(|h| (h.model.as_str(), self.rate(&h.model)))
            .collect();
        droppable.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (mut victims, mut loss) = (Vec::new(), 0.0);
        for (model, rate) in droppable {
            if free_mb >= needs {
                break;
            }
            free_mb += self.pool.models.get(model).map_or(0.0, |m| m.weights_mb);
            loss += 1.0 + rate;
            victims.push(model.to_owned());
        }
        (free_mb >= needs).then_some((victims, loss))
    }

    fn copies(&self, model: &str) -> f64 {
        let held = self.engines.iter().filter(|e| e.holds_model(model)).count();
        held.max(1) as f64
    }

    fn rate(&self, model: &str) -> f64 {
        let of_model = |w: &Wanted| w.model == model;
        self.rates.iter().filter(|(w, _)| of_model(w)).map(|(_, r)| *r).sum()
    }
}
