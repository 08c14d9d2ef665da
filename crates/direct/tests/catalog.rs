//! Matching of requests to routes.

use std::time::Duration;

use hgw_direct::{Catalog, Route, RouteKind, ServiceId, Target};

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
    Catalog { version: 1, routes, ..Catalog::default() }
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
