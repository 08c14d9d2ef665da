//! Plans which engine loads which model next.

use std::time::Duration;

use derive_more::Display;
use indexmap::IndexMap;

use super::capacity::{free_mb, reserved_mb};
use super::spread::Spread;
use super::targets::{IN_DEMAND, need, targets};
use crate::{Engine, EngineId, Engines, Millis, Model, ModelPool, ModelRef, Rates};

/// Models that engines are being ordered to load.
pub type PendingLoads = IndexMap<EngineId, String>;

/// A model to load at one more engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelLoad {
    pub engine: EngineId,
    /// Models to evict first, in this order.
    pub evict: Vec<String>,
    pub model: String,
    pub source: WeightSource,
}

impl ModelLoad {
    /// Removes the evicted models from the engine's entry, so that the next plan does not evict the
    /// last copy.
    pub fn apply_evictions(&self, engines: &mut Engines) {
        let Some(engine) = engines.get_mut(&self.engine) else { return };
        for model in &self.evict {
            engine.remove_loaded(&ModelRef { model: model.clone(), adapter: None });
        }
    }
}

/// Where weights are loaded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum WeightSource {
    /// Memory of the engine's VM.
    #[display("memory")]
    Memory,
    /// Disk of the engine.
    #[display("disk")]
    Disk,
    /// The weight store, whose loads are limited.
    #[display("store")]
    Store,
}

impl WeightSource {
    /// Fastest source for an engine to load a model from.
    pub fn fastest(engine: &Engine, model: &str) -> WeightSource {
        let has = |all: &[String]| all.iter().any(|m| m == model);
        if has(&engine.info.cached.in_memory) {
            WeightSource::Memory
        } else if has(&engine.info.cached.on_disk) {
            WeightSource::Disk
        } else {
            WeightSource::Store
        }
    }

    pub fn load_time(self, model: &Model) -> Duration {
        match self {
            WeightSource::Memory => model.memory_load_time,
            WeightSource::Disk => model.disk_load_time,
            WeightSource::Store => model.store_load_time,
        }
    }
}

/// What a plan may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedActions {
    /// Whether to load from the weight store.
    pub load_from_store: bool,
    /// Whether to evict models. A new leader has to observe demand first.
    pub evict: bool,
}

/// Factor on demand by which a copy must be spare to be evicted; prevents an engine from loading
/// and evicting the same two models in turn.
const SPARE: f64 = 1.3;

/// Minimum need of any requested copy, in requests per second.
pub(super) const LEAST_NEED: f64 = 2.0;

/// Recent requests per second from which a model is probably in use at each of its copies.
const IN_USE: f64 = 0.5;

/// Time until the requests of an evicted model have ended; the engine takes no other order before.
const RUNS_OUT: Duration = Duration::from_millis(3_500);

/// Models with at least this part of the highest need count as equally urgent; the fastest load
/// among them goes first.
const AS_URGENT: f64 = 0.5;

/// Maximum number of equally urgent models to compare; bounds the time of a plan.
const MOST_URGENT: usize = 6;

/// Number of engines that evict models for a load that has not started. Counted by engine, as one
/// that has disappeared may be in only one of the two lists.
pub fn count_evicting(pending: &PendingLoads, loading: &IndexMap<EngineId, Millis>) -> usize {
    pending.keys().filter(|engine| !loading.contains_key(*engine)).count()
}

/// The most useful load, if any. Engines in `pending` take no order now.
pub fn next_model_load(
    engines: &[&Engine],
    pool: &ModelPool,
    rates: &Rates,
    pending: &PendingLoads,
    allowed: AllowedActions,
    now: Millis,
) -> Option<ModelLoad> {
    let kept = targets(engines, pool, rates, SPARE);
    let targets = targets(engines, pool, rates, 1.0);
    let held = held(engines);
    let copies = |model: &str| {
        let held = held.get(model).copied().unwrap_or(0);
        held + pending.values().filter(|m| *m == model).count()
    };
    let rate = |model: &str| rates.of_model(model);
    let mut lacking: Vec<(&String, f64)> = targets
        .iter()
        .filter_map(|(model, target)| {
            let copies = copies(model);
            if copies >= *target {
                return None;
            }
            Some((model, need(rate(model), copies, pool)))
        })
        .collect();
    lacking.sort_by(|a, b| b.1.total_cmp(&a.1));
    let reserved = reserved_mb(pool);
    let spread = Spread::of(engines, pending, rates);
    let wants = Candidates {
        engines,
        pool,
        rates,
        pending,
        spread: &spread,
        kept: &kept,
        held: &held,
        reserved,
        allowed,
        now,
    };
    let most = lacking.first().map_or(0.0, |(_, need)| *need);
    let (urgent, rest): (Vec<_>, Vec<_>) =
        lacking.into_iter().partition(|(_, need)| *need >= AS_URGENT * most);
    let step = |(model, need): (&String, f64)| wants.step(model, need, &Bounds::NONE);
    let quickest = urgent.into_iter().take(MOST_URGENT).filter_map(step);
    quickest
        .min_by_key(|step| wants.time(step))
        .or_else(|| rest.into_iter().find_map(step))
        .or_else(|| wants.evening_out())
}

/// Number of engines that have each model, counted once per plan to keep plans fast.
fn held<'a>(engines: &[&'a Engine]) -> IndexMap<&'a str, usize> {
    let mut held = IndexMap::new();
    for model in engines.iter().flat_map(|e| &e.info.loaded) {
        *held.entry(model.model.as_str()).or_default() += 1;
    }
    held
}

/// Bounds on the load of an engine that gets a copy, and on the loss by eviction, in requests per
/// second.
pub(super) struct Bounds {
    pub(super) least: f64,
    pub(super) most: f64,
    pub(super) loss: f64,
}

impl Bounds {
    const NONE: Bounds = Bounds { least: 0.0, most: f64::INFINITY, loss: f64::INFINITY };
}

/// Input of a plan.
pub(super) struct Candidates<'a> {
    pub(super) engines: &'a [&'a Engine],
    pub(super) pool: &'a ModelPool,
    pub(super) rates: &'a Rates,
    pub(super) pending: &'a PendingLoads,
    pub(super) spread: &'a Spread<'a>,
    /// Number of copies that each model keeps.
    pub(super) kept: &'a IndexMap<String, usize>,
    /// Number of engines that have each model.
    pub(super) held: &'a IndexMap<&'a str, usize>,
    /// Memory per engine that is reserved for adapters, in megabytes.
    pub(super) reserved: f64,
    pub(super) allowed: AllowedActions,
    pub(super) now: Millis,
}

impl Candidates<'_> {
    /// The best engine for one more copy of a model, with the models to evict there.
    pub(super) fn step(&self, model: &str, need: f64, bounds: &Bounds) -> Option<ModelLoad> {
        let configured = self.pool.models.get(model)?;
        let needs = configured.weights_mb;
        let mut best: Option<(f64, &Engine, Vec<String>, WeightSource)> = None;
        for (at, engine) in self.engines.iter().enumerate() {
            let id = &engine.info.id;
            let load = self.spread.load(at);
            if load < bounds.least || load > bounds.most {
                continue;
            }
            if self.pending.contains_key(id) || engine.has_model(model) {
                continue;
            }
            if engine.health.is_ejected(self.now) {
                continue;
            }
            let source = WeightSource::fastest(engine, model);
            if source == WeightSource::Store && !self.allowed.load_from_store {
                continue;
            }
            let Some((victims, loss)) = self.victims(engine, needs) else { continue };
            if loss > bounds.loss || (!victims.is_empty() && !self.allowed.evict) {
                continue;
            }
            // Requests that arrive until the load is complete are not served.
            let time = self.runs_out(&victims) + source.load_time(configured);
            let waits = need.max(LEAST_NEED) * time.as_secs_f64();
            let cost = loss + self.burden(model, load) + waits;
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, engine, victims, source));
            }
        }
        let (_, engine, victims, source) = best?;
        let (engine, load) = (engine.info.id.clone(), model.to_owned());
        Some(ModelLoad { engine, evict: victims, model: load, source })
    }

    /// Time until the load is complete.
    fn time(&self, step: &ModelLoad) -> Duration {
        let load = self.pool.models.get(&step.model).map(|model| step.source.load_time(model));
        self.runs_out(&step.evict) + load.unwrap_or_default()
    }

    /// Cost of an engine with this load. A rarely requested model goes to a busy engine, to leave
    /// engines with little load to models in demand.
    fn burden(&self, model: &str, load: f64) -> f64 {
        if self.rate(model) < IN_DEMAND { self.spread.most() - load } else { load }
    }

    /// The models to evict so that `needs` megabytes are free, and the resulting loss of demand.
    fn victims(&self, engine: &Engine, needs: f64) -> Option<(Vec<String>, f64)> {
        let mut free_mb = free_mb(engine, self.pool, self.reserved);
        let mut droppable: Vec<(&str, f64)> = engine
            .info
            .loaded
            .iter()
            .filter(|h| self.is_spare(&h.model))
            .map(|h| (h.model.as_str(), self.rate(&h.model)))
            .collect();
        droppable.sort_by(|a, b| {
            let recent = |m: &str| self.recent(m);
            a.1.total_cmp(&b.1).then(recent(a.0).total_cmp(&recent(b.0)))
        });
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

    /// Time until the models can be evicted.
    fn runs_out(&self, victims: &[String]) -> Duration {
        let in_use = victims.iter().any(|m| self.recent(m) >= IN_USE);
        if in_use { RUNS_OUT } else { Duration::ZERO }
    }

    fn recent(&self, model: &str) -> f64 {
        self.rates.recent.get(model).copied().unwrap_or(0.0)
    }

    /// Whether one copy of a model may be evicted.
    pub(super) fn is_spare(&self, model: &str) -> bool {
        let kept = self.kept.get(model).copied().unwrap_or(0);
        self.copies(model) > kept as f64
    }

    pub(super) fn copies(&self, model: &str) -> f64 {
        self.held.get(model).copied().unwrap_or(0).max(1) as f64
    }

    pub(super) fn rate(&self, model: &str) -> f64 {
        self.rates.of_model(model)
    }
}
