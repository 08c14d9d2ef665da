//! Tests of the loads that the demand planner selects.

use std::time::Duration;

use hgw_config::Document;
use hgw_placement::{DemandPlanner, DemandSettings, EngineView, PlannedLoad, ReplicaView};
use hgw_types::{MemSize, ModelId, Time, UpstreamId};
use hgw_wire::peer::Demand;

/// Two engines, e1 and e2, and models a to d of size 50.
fn document(move_cost: f64) -> Document {
    let model = |m: &str| format!(r#""{m}": {{"version": "1", "size": 50}}"#);
    let models = ["a", "b", "c", "d"].map(model).join(",");
    let engine = |e: &str| {
        format!(
            r#""{e}": {{"service": "s", "domain": "d", "addr": "127.0.0.1:1", "memory": 110, "slots": 8}}"#
        )
    };
    let text = format!(
        r#"{{"domains": {{"d": {{"region": "r"}}}},
            "services": {{"s": {{"kind": "model", "move_cost": {move_cost}, "default_class": "u",
                "classes": {{"u": {{"urgency": "urgent", "deadline_ms": 690}}}}, "models": {{{models}}}}}}},
            "upstreams": {{{}, {}}}}}"#,
        engine("e1"),
        engine("e2"),
    );
    serde_json::from_str(&text).unwrap()
}

/// An engine; prefix `f` marks a floor replica, `l` one that is loading.
fn engine(name: &str, models: &[&str]) -> EngineView {
    let replica = |text: &&str| ReplicaView {
        model: text.trim_start_matches(['f', 'l']).parse().unwrap(),
        size: MemSize(50),
        floor: text.starts_with('f'),
        ready: !text.starts_with('l'),
    };
    let models: Vec<ReplicaView> = models.iter().map(replica).collect();
    EngineView {
        upstream: name.parse().unwrap(),
        memory: MemSize(110),
        reserved: MemSize(50 * models.len() as u64),
        slots: 8,
        models,
    }
}

/// Demand in one second: urgent requests served, unmet, and the slots in use.
fn demand(model: &str, urgent: u32, unmet: u32, slots: f64) -> Demand {
    Demand {
        model: model.parse().unwrap(),
        urgent,
        deferrable: 0,
        unmet,
        busy_ms: (slots * 1000.0) as u64,
        adapters: Vec::new(),
    }
}

/// Reports the demand for some seconds, with a plan each second, and returns the first loads.
fn first_loads(
    seconds: u64,
    cost: f64,
    per_second: &[Demand],
    engines: &[EngineView],
) -> Vec<PlannedLoad> {
    let mut planner = DemandPlanner::new(DemandSettings::default(), 1);
    let document = document(cost);
    let mut loads = Vec::new();
    for second in 1..=seconds {
        let now = Time::from_millis(second * 1000);
        planner.observe(now, per_second);
        loads.extend(planner.plan(now, &document, engines));
        if !loads.is_empty() {
            break;
        }
    }
    loads
}

fn planned(upstream: &str, load: &str, evict: &[&str]) -> Vec<PlannedLoad> {
    let evict = evict.iter().map(|m| m.parse::<ModelId>().unwrap()).collect();
    vec![PlannedLoad {
        upstream: upstream.parse::<UpstreamId>().unwrap(),
        model: load.parse().unwrap(),
        evict,
    }]
}

macro_rules! cases {
    ($($name:ident: $seconds:expr, $cost:expr, $demand:expr, $engines:expr => $loads:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(first_loads($seconds, $cost, &$demand, &$engines), $loads);
        }
    )*};
}

cases! {
    loads_where_there_is_room: 30, 5.0, [demand("a", 20, 10, 6.0)],
        [engine("e1", &["fa", "fb"]), engine("e2", &["fc"])] => planned("e2", "a", &[]);
    leaves_all_where_nothing_is_refused: 60, 0.1, [demand("a", 30, 0, 7.0)],
        [engine("e1", &["fa"]), engine("e2", &["fc"])] => vec![];
    leaves_all_for_a_gain_below_the_cost: 60, 1000.0, [demand("a", 20, 10, 6.0)],
        [engine("e1", &["fa"]), engine("e2", &["fc"])] => vec![];
    leaves_all_where_every_engine_is_full: 60, 1.0,
        [demand("a", 20, 10, 7.0), demand("c", 20, 10, 7.0)],
        [engine("e1", &["fa"]), engine("e2", &["fc"])] => vec![];
    evicts_an_idle_replica: 30, 5.0, [demand("a", 20, 10, 6.0)],
        [engine("e1", &["fa", "fb"]), engine("e2", &["fc", "d"])] => planned("e2", "a", &["d"]);
    never_evicts_the_floor: 60, 1.0, [demand("a", 20, 10, 6.0)],
        [engine("e1", &["fa", "fb"]), engine("e2", &["fc", "fd"])] => vec![];
    keeps_a_replica_in_use: 60, 5.0, [demand("a", 20, 3, 6.0), demand("d", 20, 0, 5.0)],
        [engine("e1", &["fa", "fb"]), engine("e2", &["fc", "d"])] => vec![];
    waits_for_a_load_under_way: 60, 5.0, [demand("a", 20, 10, 6.0)],
        [engine("e1", &["fa", "fb"]), engine("e2", &["la"])] => vec![];
    loads_what_no_engine_here_holds: 30, 10.0, [demand("d", 0, 1, 0.0)],
        [engine("e1", &["fa", "fb"]), engine("e2", &["fc"])] => planned("e2", "d", &[]);
}

#[test]
fn a_new_replica_stays_for_the_cool_down() {
    let mut planner = DemandPlanner::new(DemandSettings::default(), 1);
    let document = document(1.0);
    let before = [engine("e1", &["fa", "fb"]), engine("e2", &["fc", "ld"])];
    let after = [engine("e1", &["fa", "fb"]), engine("e2", &["fc", "d"])];
    planner.plan(Time::from_millis(1000), &document, &before);
    let mut evicted = None;
    for second in 2..60 {
        let now = Time::from_millis(second * 1000);
        planner.observe(now, &[demand("a", 20, 10, 6.0)]);
        if !planner.plan(now, &document, &after).is_empty() {
            evicted.get_or_insert(now);
        }
    }
    let cool_down = DemandSettings::default().cool_down;
    assert!(evicted.is_some_and(|at| at >= Time::from_millis(1000) + cool_down), "{evicted:?}");
    assert!(cool_down >= Duration::from_secs(10));
}
