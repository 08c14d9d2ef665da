//! Orders for adapters at engines that have less memory than slots, and other figures than those of another service.

use hgw_standins::fleet::deployment::{Fleet, configuration, holds, wait};
use hgw_standins::fleet::{EngineMemory, EngineSettings};
use http::StatusCode;

use crate::new_fleet;

/// Sends a stream for each adapter at the same time and waits for all. Returns how many were served.
fn served_at_once(fleet: &Fleet, node: usize, path: &str, models: &[String]) -> usize {
    std::thread::scope(|scope| {
        let asks: Vec<_> = models
            .iter()
            .map(|model| {
                let id = format!("{}-{model}", path.trim_matches('/')).replace('/', "-");
                scope.spawn(move || {
                    let response = fleet.nodes[node].stream(path, &id, model);
                    response.is_ok_and(|r| r.status == StatusCode::OK)
                })
            })
            .collect();
        asks.into_iter().map(|ask| usize::from(ask.join().unwrap())).sum()
    })
}

fn adapters(model: &str, count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("{model}/a{n}")).collect()
}

fn too_much(fleet: &Fleet) -> Vec<(u32, Vec<String>)> {
    let records = fleet.engines.iter().map(|engine| engine.record());
    records.filter(|r| r.too_much > 0).map(|r| (r.too_much, r.orders)).collect()
}

/// Guards against orders beyond an engine's memory where its models leave room for fewer adapters than it has slots.
#[test]
fn adapters_are_ordered_within_the_memory_that_models_leave() {
    let memory = EngineMemory { total_mb: 150_000.0, model_mb: 70_000.0, adapter_mb: 4_000.0 };
    let engine = |id: &str| EngineSettings {
        id: id.into(),
        holds: holds(&[("m", &[]), ("n", &[])]),
        memory: Some(memory),
        ..EngineSettings::default()
    };
    let mut fleet = new_fleet(vec![engine("i-1"), engine("i-2")]);
    let mut config = configuration(2);
    let pool = &mut config["services"][1]["engine"];
    pool["weightsMb"] = memory.total_mb.into();
    for model in 0..2 {
        pool["models"][model]["adapterMb"] = memory.adapter_mb.into();
    }
    fleet.publish(&config);
    let node = fleet.start("a");
    wait("an adapter is served", || served_at_once(&fleet, node, "/ask/", &["m/a0".into()]) == 1);
    for _ in 0..3 {
        served_at_once(&fleet, node, "/ask/", &adapters("m", 6));
    }
    assert_eq!(too_much(&fleet), []);
    wait("the last adapter is served", || {
        served_at_once(&fleet, node, "/ask/", &["n/a9".into()]) == 1
    });
}

/// Guards against orders beyond an engine's slots where the engines of another service have more of them.
#[test]
fn adapters_are_ordered_within_the_slots_of_the_service() {
    let engine = |id: &str, service: &str, model: &str, adapters: usize| EngineSettings {
        id: id.into(),
        service: service.into(),
        holds: holds(&[(model, &[])]),
        adapters,
        ..EngineSettings::default()
    };
    let mut fleet =
        new_fleet(vec![engine("i-1", "models", "m", 8), engine("i-2", "drafts", "d", 3)]);
    let mut config = configuration(2);
    let mut drafts = config["services"][1].clone();
    config["services"][1]["engine"]["adapterSlots"] = 8.into();
    drafts["name"] = "drafts".into();
    drafts["engine"]["adapterSlots"] = 3.into();
    drafts["engine"]["models"].as_array_mut().unwrap().truncate(1);
    drafts["engine"]["models"][0]["name"] = "d".into();
    config["services"].as_array_mut().unwrap().push(drafts);
    let mut draft = config["routes"][2].clone();
    (draft["name"], draft["prefix"], draft["service"]) =
        ("draft".into(), "/draft/".into(), "drafts".into());
    config["routes"].as_array_mut().unwrap().push(draft);
    fleet.publish(&config);
    let node = fleet.start("a");
    wait("an adapter is served", || served_at_once(&fleet, node, "/draft/", &["d/a0".into()]) == 1);
    for _ in 0..3 {
        served_at_once(&fleet, node, "/draft/", &adapters("d", 8));
    }
    assert_eq!(too_much(&fleet), []);
}
