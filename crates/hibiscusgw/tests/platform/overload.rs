//! Services without models that get more requests than their engines complete.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hgw_standins::client::Caller;
use hgw_standins::fleet::EngineSettings;
use hgw_standins::fleet::deployment::{Node, configuration, wait};
use http::{Method, StatusCode};
use serde_json::json;

use crate::{Stop, new_fleet};

/// Callers of each node that send one request after the other.
const CALLERS: usize = 10;

fn slow_engine(id: &str) -> EngineSettings {
    EngineSettings {
        id: id.into(),
        service: "slow".into(),
        slots: 3,
        pause: Duration::from_millis(50),
        ..EngineSettings::default()
    }
}

/// Number of services to which a node limits requests.
fn overloaded_services(node: &Node) -> usize {
    let metrics = Caller::new(node.metrics).unwrap();
    let text = metrics.call(Method::GET, "/metrics", &[], "").unwrap().body;
    let value = text.lines().find_map(|line| line.strip_prefix("hgw_overloaded_services "));
    value.and_then(|value| value.trim().parse::<f64>().ok()).unwrap_or(0.0) as usize
}

/// Guards against a decision of the leader that does not reach all nodes, or that goes on after the overload.
#[test]
fn all_nodes_limit_an_overloaded_service_until_the_overload_ends() {
    let mut fleet = new_fleet(["s-1", "s-2"].map(slow_engine).to_vec());
    fleet.enabled = "overload-control";
    let mut config = configuration(2);
    let mut route = config["routes"][0].clone();
    (route["name"], route["prefix"]) = ("slow".into(), "/slow/".into());
    (route["service"], route["timeoutMs"]) = ("slow".into(), 5_000.into());
    config["routes"].as_array_mut().unwrap().push(route);
    let service = json!({ "name": "slow", "healthPath": "/health", "maxConns": 96 });
    config["services"].as_array_mut().unwrap().push(service);
    fleet.publish(&config);
    fleet.start_with_leader(3, &["a", "b"]);
    let (stop, refused) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        let _stopping = Stop(&stop);
        for (node, caller) in (0..3).flat_map(|node| (0..CALLERS).map(move |n| (node, n))) {
            let (fleet, stop, refused) = (&fleet, &stop, &refused);
            scope.spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("{node}-{caller}-{n}");
                    let answer = fleet.nodes[node].plain("/slow/", &id).unwrap();
                    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                        let after = answer.headers["retry-after"].to_str().unwrap().to_owned();
                        refused.lock().unwrap().push(after.parse::<f64>().unwrap());
                    }
                }
            });
        }
        wait("all nodes limit requests", || {
            fleet.nodes.iter().all(|node| overloaded_services(node) == 1)
        });
        wait("requests are refused", || !refused.lock().unwrap().is_empty());
    });
    wait("no node limits requests", || {
        fleet.nodes.iter().all(|node| overloaded_services(node) == 0)
    });
    assert_eq!(fleet.nodes[1].plain("/slow/", "later").unwrap().status, StatusCode::OK);
    let latest = refused.into_inner().unwrap().into_iter().fold(0.0, f64::max);
    assert!(latest <= 5.0 / 3.0, "{latest}");
}
