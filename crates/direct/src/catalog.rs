//! The routing configuration: routes, services, models and limits for callers.

use std::time::Duration;

use derive_more::{Display, From};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Customers, RouteTable};

#[derive(
    Debug, Clone, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(String, &str)]
pub struct ServiceId(pub String);

/// The active routing configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Increases with each change, not always by one.
    pub version: u64,
    pub routes: RouteTable,
    pub services: IndexMap<ServiceId, Service>,
    /// If set, only these customers may send requests.
    pub customers: Option<Customers>,
    pub limits: CallerLimits,
    /// Names of fields that are ignored because of their values, once for each service.
    pub ignored_fields: Vec<&'static str>,
}

/// Where the requests for a host and path prefix go, and with which limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    pub kind: RouteKind,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub first_byte_objective: Duration,
    /// Target for the longest gap between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether callers without a key are served.
    pub is_public: bool,
    /// Maximum number of engines that one request is sent to.
    pub max_attempts: u32,
    pub targets: Vec<Target>,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    pub service: ServiceId,
    /// Share, relative to the sum of all weights.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events. It continues at another engine if it is resumable; otherwise it runs at
    /// most once.
    Stream {
        /// Whether another engine can continue after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may already have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Stream { resumable: true })
    }

    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Maximum number of connections to one engine, over all nodes.
    pub max_conns: u32,
    /// Path of an engine's health check, if it has one.
    pub health_path: Option<String>,
    /// Set if the engines of this service serve models.
    pub pool: Option<ModelPool>,
}

/// The models of a service and the capacity of one of its engines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelPool {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory for weights and adapters.
    pub weights_mb: f64,
    /// Maximum number of adapters that an engine has loaded at the same time.
    pub adapter_slots: u32,
    /// Limit on loads from the weight store, over all engines.
    pub loads_per_s: f64,
    /// Tokens in one event of a stream, if known.
    pub tokens_per_event: Option<u32>,
    /// Tokens that an engine's memory holds for requests and cached parts of prompts, if known.
    pub memory_tokens: Option<u32>,
    pub models: IndexMap<String, Model>,
    /// Models that an earlier configuration named and this one does not. Engines may still have them loaded.
    pub dropped_models: IndexMap<String, Model>,
}

impl ModelPool {
    /// A model by its name, also one that the configuration does not name any more.
    pub(crate) fn known_model(&self, model: &str) -> Option<&Model> {
        self.models.get(model).or_else(|| self.dropped_models.get(model))
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    pub weights_mb: f64,
    /// Time to load it from the weight store.
    pub store_load_time: Duration,
    /// Time to load it from the engine's disk.
    pub disk_load_time: Duration,
    /// Time to load it from the memory of the engine's VM.
    pub memory_load_time: Duration,
    /// Number of its adapters.
    pub adapters: u32,
    /// Size of one adapter.
    pub adapter_mb: f64,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch<'a> {
    pub route: &'a Route,
    pub service: &'a ServiceId,
}

impl Catalog {
    /// Keeps the sizes of models that `previous` knows and this configuration does not name, while they are loaded.
    pub fn keep_dropped_models(&mut self, previous: &Catalog, is_loaded: impl Fn(&str) -> bool) {
        for (id, service) in &mut self.services {
            let known = previous.services.get(id).and_then(|known| known.pool.as_ref());
            let (Some(pool), Some(known)) = (&mut service.pool, known) else { continue };
            let all = known.models.iter().chain(&known.dropped_models);
            let dropped = all.filter(|(model, _)| !pool.models.contains_key(*model));
            let kept = dropped.filter(|(model, _)| is_loaded(model.as_str()));
            let kept: Vec<(String, Model)> =
                kept.map(|(m, size)| (m.clone(), size.clone())).collect();
            pool.dropped_models.extend(kept);
        }
    }

    /// Finds the route with the longest matching prefix for a host. `random`, in `0..1`, selects the
    /// service by weight.
    pub fn find(&self, host: &str, path: &str, random: f64) -> Option<RouteMatch<'_>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let route = self.routes.find(host, path)?;
        Some(RouteMatch { route, service: route.select_service(random)? })
    }

    /// Whether requests less urgent than `priority` may go to the service. A customer's priority
    /// overrides the priority of a route.
    pub fn has_less_urgent(&self, service: &ServiceId, priority: u8) -> bool {
        self.routes.least_urgent(service).is_some_and(|least| least > priority)
    }
}

impl Route {
    fn select_service(&self, random: f64) -> Option<&ServiceId> {
        let sum: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut remaining = random * sum;
        for target in self.targets.iter().filter(|t| t.weight > 0) {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|t| t.weight > 0).map(|t| &t.service)
    }
}
