use std::time::Duration;

use derive_more::{Display, From};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Customers;

/// Name of a service.
#[derive(
    Debug, Clone, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(String, &str)]
pub struct ServiceId(pub String);

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<Route>,
    /// What they go to.
    pub services: IndexMap<ServiceId, Service>,
    /// Who may send, where only customers may.
    pub customers: Option<Customers>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Requests of one host below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs and counters.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub gap: Option<Duration>,
    /// 0 is served first.
    pub priority: u8,
    /// Whether it is open to callers without a key.
    pub is_open: bool,
    /// Most engines that one request may be sent to.
    pub attempts: u32,
    /// Services and their shares of the requests.
    pub targets: Vec<Target>,
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share, against the sum of all.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Unsafe,
    /// Events in order; goes on at another engine where it may be resumed, else runs once at most.
    Stream {
        /// Whether another engine can go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// What routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one of its engines takes from all nodes together.
    pub max_conns: u32,
    /// Its models, where its engines serve models.
    pub pool: Option<Pool>,
}

/// The models of a service and the room that one engine has for them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pool {
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// Megabytes for weights and adapters.
    pub weights_mb: f64,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Loads from the weight store a second, over all engines.
    pub loads_per_s: f64,
    /// By name.
    pub models: IndexMap<String, Model>,
}

/// A model as configured.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    /// Megabytes of its weights.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a load from the engine's own disk.
    pub from_disk: Duration,
    /// Time of a load from the memory of the engine's machine.
    pub from_memory: Duration,
    /// Number of its adapters.
    pub adapters: u32,
    /// Megabytes of one adapter.
    pub adapter_mb: f64,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest time without a request on a connection.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            head: 16 << 10,
            body: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// Which route takes a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service that this request goes to.
    pub service: &'a ServiceId,
}

impl Catalog {
    /// The route with the longest prefix among those of the host. `draw` in `0..1` chooses among the
    /// services of a route that is split.
    pub fn find(&self, host: &str, path: &str, draw: f64) -> Option<RouteMatch<'_>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host));
        let route = of_host
            .filter(|r| path.starts_with(r.prefix.as_str()))
            .max_by_key(|r| r.prefix.len())?;
        Some(RouteMatch { route, service: route.target(draw)? })
    }
}

impl Catalog {
    /// Whether requests that are less urgent than these go to a service. A customer's priority goes before the route's.
    pub fn has_less_urgent(&self, service: &ServiceId, priority: u8) -> bool {
        let leads_there =
            |r: &&Route| r.targets.iter().any(|t| t.service == *service && t.weight > 0);
        let mut routes = self.routes.iter().filter(leads_there);
        let Some(customers) = &self.customers else {
            return routes.any(|r| r.priority > priority);
        };
        let of =
            |r: &Route| customers.all().any(|(_, c)| c.priority.unwrap_or(r.priority) > priority);
        routes.any(|r| of(r) || r.is_open && r.priority > priority)
    }
}

impl Route {
    fn target(&self, draw: f64) -> Option<&ServiceId> {
        let sum: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(sum);
        for target in self.targets.iter().filter(|t| t.weight > 0) {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|t| t.weight > 0).map(|t| &t.service)
    }
}
