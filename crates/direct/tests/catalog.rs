//! Matching of requests to routes.

use std::time::Duration;

use hgw_direct::{
    ApiKey, Catalog, Customer, CustomerId, Customers, Route, RouteKind, RouteTable, ServiceId,
    Target,
};
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: ServiceId::from(*service),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        first_byte_objective: Duration::from_millis(100),
        max_event_gap: None,
        priority: 1,
        is_public: false,
        max_attempts: 2,
        targets: targets.iter().map(target).collect(),
    }
}

fn catalog() -> Catalog {
    let routes = vec![
        route("all", "a.example", "/x/", &[("one", 1)]),
        route("deep", "a.example", "/x/y/", &[("two", 1)]),
        route("split", "b.example", "/", &[("one", 90), ("none", 0), ("two", 10)]),
    ];
    Catalog { version: 1, routes: RouteTable::new(routes, None), ..Catalog::default() }
}

fn found(host: &str, path: &str, draw: f64) -> Option<(String, String)> {
    let catalog = catalog();
    let found = catalog.find(host, path, draw)?;
    Some((found.route.name.clone(), found.service.0.clone()))
}

macro_rules! finds {
    ($($name:ident: $host:literal $path:literal $draw:literal => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let expected: Option<(&str, &str)> = $expected;
            let found = found($host, $path, $draw);
            let found = found.as_ref().map(|(route, service)| (route.as_str(), service.as_str()));
            assert_eq!(found, expected);
        })*
    };
}

finds! {
    longest_prefix_wins: "a.example" "/x/y/z" 0.0 => Some(("deep", "two"));
    shorter_prefix_takes_the_rest: "a.example" "/x/z" 0.0 => Some(("all", "one"));
    prefix_ends_with_its_slash: "a.example" "/x" 0.0 => None;
    hosts_are_apart: "c.example" "/x/y/z" 0.0 => None;
    port_and_case_of_a_host_do_not_matter: "A.example:8080" "/x/z" 0.0 => Some(("all", "one"));
    split_follows_the_draw: "b.example" "/q" 0.89 => Some(("split", "one"));
    split_skips_a_weight_of_nothing: "b.example" "/q" 0.91 => Some(("split", "two"));
    split_covers_the_whole_draw: "b.example" "/q" 1.0 => Some(("split", "two"));
}

/// A host, prefix or path of few letters, so that many are alike.
fn text(pattern: &'static str) -> impl Strategy<Value = String> {
    proptest::string::string_regex(pattern).unwrap()
}

prop_compose! {
    fn any_route()(
        host in text("[aA]|b"),
        prefix in text("/([xy]/){0,3}"),
        service in text("one|two"),
        weight in 0_u32..2,
        priority in 0_u8..4,
        is_public: bool,
    ) -> Route {
        let route = route("any", &host, &prefix, &[(&service, weight)]);
        Route { priority, is_public, ..route }
    }
}

fn any_customers() -> impl Strategy<Value = Option<Customers>> {
    let priorities = proptest::collection::vec(proptest::option::of(0_u8..4), 0..3);
    proptest::option::of(priorities.prop_map(|priorities| {
        let mut customers = Customers::default();
        for (n, priority) in priorities.into_iter().enumerate() {
            let customer = Customer { priority, quota: None };
            customers.add(
                CustomerId(format!("c{n}")),
                customer,
                vec![ApiKey::new(format!("k{n}"))],
            );
        }
        customers
    }))
}

proptest! {
    /// Guards against an index that finds another route than a look at each of them.
    #[test]
    fn index_finds_what_a_look_at_each_route_finds(
        routes in proptest::collection::vec(any_route(), 0..12),
        host in text("[aA]|b|c"),
        path in text("/([xy]/){0,4}[xy]?"),
    ) {
        let table = RouteTable::new(routes.clone(), None);
        let catalog = Catalog { routes: table, ..Catalog::default() };
        let of_host = routes.iter().filter(|r| r.host.eq_ignore_ascii_case(&host));
        let expected = of_host.filter(|r| path.starts_with(&r.prefix)).max_by_key(|r| r.prefix.len());
        let expected = expected.filter(|route| route.targets[0].weight > 0);
        let found = catalog.find(&host, &path, 0.5).map(|found| found.route);
        prop_assert_eq!(found, expected);
    }

    /// Guards against urgent requests that wait for none, or do not wait, as the priority of a customer was left out.
    #[test]
    fn least_urgent_is_what_a_look_at_each_route_finds(
        routes in proptest::collection::vec(any_route(), 0..8),
        customers in any_customers(),
        priority in 0_u8..4,
    ) {
        let service = ServiceId::from("one");
        let is_less_urgent = |r: &Route| match &customers {
            None => r.priority > priority,
            Some(customers) => {
                customers.all().any(|(_, c)| c.priority.unwrap_or(r.priority) > priority)
                    || r.is_public && r.priority > priority
            }
        };
        let leads_there = |r: &&Route| r.targets.iter().any(|t| t.service == service && t.weight > 0);
        let expected = routes.iter().filter(leads_there).any(is_less_urgent);
        let table = RouteTable::new(routes.clone(), customers.as_ref());
        let catalog = Catalog { routes: table, customers, ..Catalog::default() };
        prop_assert_eq!(catalog.has_less_urgent(&service, priority), expected);
    }
}
