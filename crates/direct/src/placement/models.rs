//! Plans which engine loads which model next.

use std::time::Duration;

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};

use super::capacity::{free_mb, reserved_mb, weights_mb};
use super::load_distribution::LoadDistribution;
use super::targets::{IN_DEMAND_RATE, need, targets};
use crate::{Engine, EngineId, Engines, Millis, Model, ModelPool, ModelRef, Rates, VersionKey};

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
        let contains = |all: &[String]| all.iter().any(|m| m == model);
        if contains(&engine.info.cached.in_memory) {
            WeightSource::Memory
        } else if contains(&engine.info.cached.on_disk) {
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
const SPARE_FACTOR: f64 = 1.3;

/// Minimum need of any requested copy, in requests per second.
pub(super) const MIN_NEED: f64 = 2.0;

/// Recent requests per second from which a model is probably in use at each of its copies.
const IN_USE_RATE: f64 = 0.5;

/// Time until the requests of an evicted model have ended; the engine takes no other order before.
/// Streams run for two seconds on average, and for ten at most.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// Cost of an engine with a rate limit, in requests per second: it is the last resort.
const LIMITED_COST: f64 = 1e6;

/// Models with at least this part of the highest need count as equally urgent; the fastest load
/// among them goes first. After a crash, engines return empty with models on their disks a second away,
/// while a load from the weight store takes six.
const URGENT_RATIO: f64 = 0.5;

/// Maximum number of equally urgent models to compare; bounds the time of a plan.
const MAX_URGENT: usize = 6;

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
    let kept_copies = targets(engines, pool, rates, SPARE_FACTOR);
    let targets = targets(engines, pool, rates, 1.0);
    let copy_counts = copy_counts(engines);
    let distribution = LoadDistribution::of(engines, pending, rates, now);
    // A copy at an engine that takes fewer requests than it gets is not counted.
    let taking =
        engines.iter().enumerate().filter(|(index, _)| !distribution.exceeds_limit(*index));
    let taking: Vec<&Engine> = taking.map(|(_, engine)| *engine).collect();
    let counted = self::copy_counts(&taking);
    let copies = |model: &str| {
        let loaded = counted.get(model).copied().unwrap_or(0);
        loaded + pending.values().filter(|m| *m == model).count()
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
    let reserved_mb = reserved_mb(pool);
    let planner = Planner {
        engines,
        pool,
        rates,
        pending,
        distribution: &distribution,
        kept: &kept_copies,
        copy_counts: &copy_counts,
        reserved_mb,
        allowed,
        now,
    };
    let max_need = lacking.first().map_or(0.0, |(_, need)| *need);
    let (urgent, rest): (Vec<_>, Vec<_>) =
        lacking.into_iter().partition(|(_, need)| *need >= URGENT_RATIO * max_need);
    let plan = |(model, need): (&String, f64)| planner.plan_load(model, need, &Bounds::NONE);
    let fastest = urgent.into_iter().take(MAX_URGENT).filter_map(plan);
    fastest
        .min_by_key(|plan| planner.duration(plan))
        .or_else(|| rest.into_iter().find_map(plan))
        .or_else(|| planner.balance())
}

/// Number of engines that have each model, counted once per plan to keep plans fast.
fn copy_counts<'a>(engines: &[&'a Engine]) -> IndexMap<&'a str, usize> {
    let mut counts = IndexMap::new();
    for model in engines.iter().flat_map(|e| &e.info.loaded) {
        *counts.entry(model.model.as_str()).or_default() += 1;
    }
    counts
}

/// Bounds on the load of an engine that gets a copy, and on the loss by eviction, in requests per
/// second.
pub(super) struct Bounds {
    pub(super) min_load: f64,
    pub(super) max_load: f64,
    pub(super) max_loss: f64,
}

impl Bounds {
    const NONE: Bounds = Bounds { min_load: 0.0, max_load: f64::INFINITY, max_loss: f64::INFINITY };
}

/// Input of a plan.
pub(super) struct Planner<'a> {
    pub(super) engines: &'a [&'a Engine],
    pub(super) pool: &'a ModelPool,
    pub(super) rates: &'a Rates,
    pub(super) pending: &'a PendingLoads,
    pub(super) distribution: &'a LoadDistribution<'a>,
    /// Number of copies that each model keeps.
    pub(super) kept: &'a IndexMap<String, usize>,
    /// Number of engines that have each model.
    pub(super) copy_counts: &'a IndexMap<&'a str, usize>,
    /// Memory per engine that is reserved for adapters, in megabytes.
    pub(super) reserved_mb: f64,
    pub(super) allowed: AllowedActions,
    pub(super) now: Millis,
}

impl Planner<'_> {
    /// The best engine for one more copy of a model, with the models to evict there.
    pub(super) fn plan_load(&self, model: &str, need: f64, bounds: &Bounds) -> Option<ModelLoad> {
        let configured = self.pool.models.get(model)?;
        let needed_mb = configured.weights_mb;
        let versions = self.versions_with(model);
        let mut best: Option<(f64, &Engine, Vec<String>, WeightSource)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            let id = &engine.info.id;
            let load = self.distribution.load(index);
            if load < bounds.min_load || load > bounds.max_load {
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
            let Some((evict, loss)) = self.evictions(engine, needed_mb) else { continue };
            if loss > bounds.max_loss || (!evict.is_empty() && !self.allowed.evict) {
                continue;
            }
            // Requests that arrive until the load is complete are not served.
            let time = self.drain_time(&evict) + source.load_time(configured);
            let waiting = need.max(MIN_NEED) * time.as_secs_f64();
            let limited = if engine.rate_limit.is_some() { LIMITED_COST } else { 0.0 };
            let is_alone = !versions.is_empty() && !versions.contains(&engine.version_key());
            let stranded = if is_alone { self.rate(model) } else { 0.0 };
            let slow = self.slow_cost(model, index);
            let cost = loss + self.load_cost(model, load) + waiting + limited + stranded + slow;
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, engine, evict, source));
            }
        }
        let (_, engine, evict, source) = best?;
        let (engine, model) = (engine.info.id.clone(), model.to_owned());
        Some(ModelLoad { engine, evict, model, source })
    }

    /// Time until the load is complete.
    fn duration(&self, plan: &ModelLoad) -> Duration {
        let load = self.pool.models.get(&plan.model).map(|model| plan.source.load_time(model));
        self.drain_time(&plan.evict) + load.unwrap_or_default()
    }

    /// Cost of an engine with this load. A rarely requested model goes to a busy engine, to leave
    /// engines with little load to models in demand.
    fn load_cost(&self, model: &str, load: f64) -> f64 {
        if self.rate(model) < IN_DEMAND_RATE { self.distribution.max() - load } else { load }
    }

    /// Load that the copy's share of the demand adds at the engine with this index beyond that at an engine of mean
    /// speed, or saves. Rarely requested models leave the faster engines to models in demand.
    fn slow_cost(&self, model: &str, index: usize) -> f64 {
        let rate = self.rate(model);
        let extra = self.distribution.slowness(index) - 1.0;
        if rate < IN_DEMAND_RATE {
            -MIN_NEED * extra
        } else {
            rate / (self.copies(model) + 1.0) * extra
        }
    }

    /// Software versions of the engines that have a model. At another one no stream could go on if its engine is lost.
    fn versions_with(&self, model: &str) -> IndexSet<VersionKey> {
        let copies = self.engines.iter().filter(|e| e.has_model(model));
        copies.map(|e| e.version_key()).collect()
    }

    /// The models to evict so that `needed_mb` megabytes are free, and the resulting loss of demand.
    fn evictions(&self, engine: &Engine, needed_mb: f64) -> Option<(Vec<String>, f64)> {
        let mut free_mb = free_mb(engine, self.pool, self.reserved_mb);
        let mut evictable: Vec<(&str, f64)> = engine
            .info
            .loaded
            .iter()
            .filter(|h| self.is_spare(&h.model))
            .map(|h| (h.model.as_str(), self.rate(&h.model)))
            .collect();
        evictable.sort_by(|a, b| {
            let recent = |m: &str| self.recent(m);
            a.1.total_cmp(&b.1).then(recent(a.0).total_cmp(&recent(b.0)))
        });
        let (mut evict, mut loss) = (Vec::new(), 0.0);
        for (model, rate) in evictable {
            if free_mb >= needed_mb {
                break;
            }
            free_mb += weights_mb(self.pool, model);
            loss += 1.0 + rate;
            evict.push(model.to_owned());
        }
        (free_mb >= needed_mb).then_some((evict, loss))
    }

    /// Time until the models can be evicted.
    fn drain_time(&self, evict: &[String]) -> Duration {
        let in_use = evict.iter().any(|m| self.recent(m) >= IN_USE_RATE);
        if in_use { DRAIN_TIME } else { Duration::ZERO }
    }

    fn recent(&self, model: &str) -> f64 {
        self.rates.recent.get(model).copied().unwrap_or(0.0)
    }

    /// Whether one copy of a model may be evicted.
    pub(super) fn is_spare(&self, model: &str) -> bool {
        let kept_copies = self.kept.get(model).copied().unwrap_or(0);
        self.copies(model) > kept_copies as f64
    }

    pub(super) fn copies(&self, model: &str) -> f64 {
        self.copy_counts.get(model).copied().unwrap_or(0).max(1) as f64
    }

    pub(super) fn rate(&self, model: &str) -> f64 {
        self.rates.of_model(model)
    }
}
