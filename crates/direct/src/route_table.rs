//! The routes of a configuration, indexed so that a request costs the same however many there are.

use indexmap::IndexMap;

use crate::{Customers, Route, ServiceId};

#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    routes: Vec<Route>,
    /// Index of a route by host in lower case and prefix; of equal ones the last.
    by_host: IndexMap<String, IndexMap<String, usize>>,
    /// Highest priority number of requests that may go to a service.
    least_urgent: IndexMap<ServiceId, u8>,
}

impl RouteTable {
    /// The routes of a configuration with these customers, if only customers may send requests.
    pub fn new(routes: Vec<Route>, customers: Option<&Customers>) -> RouteTable {
        let mut table = RouteTable::default();
        for (at, route) in routes.iter().enumerate() {
            let prefixes = table.by_host.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), at);
        }
        for route in &routes {
            let Some(priority) = least_urgent_of(route, customers) else { continue };
            for target in route.targets.iter().filter(|t| t.weight > 0) {
                let least = table.least_urgent.entry(target.service.clone()).or_default();
                *least = (*least).max(priority);
            }
        }
        RouteTable { routes, ..table }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// The route of a host with the longest prefix of a path. Prefixes end with a slash.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(&*host.to_ascii_lowercase())?;
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let at = ends.into_iter().find_map(|prefix| prefixes.get(prefix))?;
        self.routes.get(*at)
    }

    /// Highest priority number of requests that may go to a service; none if no route leads there.
    pub(crate) fn least_urgent(&self, service: &ServiceId) -> Option<u8> {
        self.least_urgent.get(service).copied()
    }
}

/// Highest priority number that a request on a route may have.
fn least_urgent_of(route: &Route, customers: Option<&Customers>) -> Option<u8> {
    let Some(customers) = customers else { return Some(route.priority) };
    let of_customers = customers.all().map(|(_, c)| c.priority.unwrap_or(route.priority));
    of_customers.chain(route.is_public.then_some(route.priority)).max()
}
