//! Chooses the node through which requests go while this one reaches no engine.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::{Millis, ModelRef, ServiceId};

/// Own requests at a node of the same failure domain up to which it is preferred to one of another domain,
/// whose traffic costs more.
const OTHER_DOMAIN_COST: f64 = 3.0;

/// Time for which a node is the last resort after it refused a request or could not be reached. It doubles
/// with each further refusal.
const MIN_SKIP: Millis = 500;
const MAX_SKIP: Millis = 4_000;

/// Time for which no node is asked for what others could not run either.
const HOPELESS_TTL: Millis = 1_000;

/// Maximum number of services and models that are remembered as hopeless; callers can name any model.
const MAX_HOPELESS: usize = 1_024;

/// Maximum number of nodes that are remembered.
const MAX_FORWARDERS: usize = 64;

/// A node that may forward requests.
#[derive(Debug, Clone, Default)]
struct Forwarder {
    /// Failure domain, if known.
    domain: Option<String>,
    /// Requests of this node that it is running.
    in_flight: u32,
    /// Services of which it refused requests since it last served one.
    refusals: IndexMap<ServiceId, Refusals>,
}

/// Requests that a node refused in a row.
#[derive(Debug, Clone, Copy, Default)]
struct Refusals {
    count: u32,
    skipped_until: Millis,
}

impl Forwarder {
    fn refusals(&self, service: &ServiceId) -> Refusals {
        self.refusals.get(service).copied().unwrap_or_default()
    }
}

/// What this node knows of the nodes that may forward its requests.
#[derive(Debug, Default)]
pub struct Forwarders {
    nodes: IndexMap<SocketAddr, Forwarder>,
    /// Requests that no engine could run by way of other nodes either, and until when that is believed.
    hopeless: IndexMap<(ServiceId, Option<ModelRef>), Millis>,
}

impl Forwarders {
    /// Adds nodes that may help. Forgets nodes without requests if there are too many.
    pub fn add(&mut self, nodes: impl IntoIterator<Item = (SocketAddr, Option<String>)>) {
        for (addr, domain) in nodes {
            let known = self.nodes.entry(addr).or_default();
            known.domain = domain.or(known.domain.take());
        }
        let mut excess = self.nodes.len().saturating_sub(MAX_FORWARDERS);
        self.nodes.retain(|_, node| {
            let is_forgotten = excess > 0 && node.in_flight == 0;
            excess -= usize::from(is_forgotten);
            !is_forgotten
        });
    }

    /// Takes these nodes for all that there are.
    pub fn set_all(&mut self, nodes: impl Iterator<Item = SocketAddr>) {
        let nodes: Vec<SocketAddr> = nodes.collect();
        self.nodes.retain(|addr, node| nodes.contains(addr) || node.in_flight > 0);
        self.add(nodes.into_iter().map(|addr| (addr, None)));
    }

    /// The node that is expected to serve a request for a service best, none if all known ones were tried. Nodes that
    /// refused requests are the last resort. `random` gives a number in `0..1` for each node.
    pub fn choose(
        &self,
        service: &ServiceId,
        own_domain: &str,
        tried: &[SocketAddr],
        now: Millis,
        mut random: impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        let is_near = |node: &Forwarder| node.domain.as_deref() == Some(own_domain);
        // A whole domain may be cut off, and a request is not to try all of it.
        let has_tried_near = tried.iter().any(|addr| self.nodes.get(addr).is_some_and(is_near));
        let candidates = self.nodes.iter().filter(|(addr, _)| !tried.contains(addr));
        let costs = candidates.map(|(addr, node)| {
            let is_preferred = is_near(node) != has_tried_near;
            let domain_cost = if is_preferred { 0.0 } else { OTHER_DOMAIN_COST };
            let cost = f64::from(node.in_flight) + domain_cost + random();
            // One that refused requests earlier is asked again, but only as the first choice of a request.
            let refusals = node.refusals(service);
            let is_asked_again = refusals.skipped_until <= now && tried.is_empty();
            (if is_asked_again { 0 } else { refusals.count }, cost, *addr)
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, addr)| addr)
    }

    /// Number of nodes that have not refused a request for the service lately.
    pub fn usable(&self, service: &ServiceId, now: Millis) -> usize {
        self.nodes.values().filter(|node| node.refusals(service).skipped_until <= now).count()
    }

    pub fn record_start(&mut self, node: SocketAddr) {
        self.nodes.entry(node).or_default().in_flight += 1;
    }

    pub fn record_end(&mut self, node: SocketAddr) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.in_flight = node.in_flight.saturating_sub(1);
        }
    }

    /// Records that a node of this domain has sent a request to an engine of the service.
    pub fn record_served(&mut self, node: SocketAddr, service: &ServiceId, domain: &str) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.refusals.swap_remove(service);
            node.domain = Some(domain.to_owned());
        }
    }

    /// Records that a node could not be reached, or does not help with this service now.
    pub fn record_refused(&mut self, node: SocketAddr, service: &ServiceId, now: Millis) {
        if let Some(node) = self.nodes.get_mut(&node) {
            let refusals = node.refusals.entry(service.clone()).or_default();
            let skip = (MIN_SKIP << refusals.count.min(3)).min(MAX_SKIP);
            *refusals = Refusals { count: refusals.count + 1, skipped_until: now + skip };
        }
    }

    /// Records that other nodes reach no engine either that could run such requests.
    pub fn record_hopeless(&mut self, service: &ServiceId, model: Option<&ModelRef>, now: Millis) {
        if self.hopeless.len() >= MAX_HOPELESS {
            self.hopeless.retain(|_, until| *until > now);
        }
        if self.hopeless.len() < MAX_HOPELESS {
            self.hopeless.insert((service.clone(), model.cloned()), now + HOPELESS_TTL);
        }
    }

    /// Whether other nodes reach no engine either that could run such requests.
    pub fn is_hopeless(&self, service: &ServiceId, model: Option<&ModelRef>, now: Millis) -> bool {
        let until = self.hopeless.get(&(service.clone(), model.cloned()));
        until.is_some_and(|until| now < *until)
    }
}
