//! Placement of models and adapters.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use hgw_direct::engine_speed::SpeedSums;
use hgw_direct::placement::{
    AdapterAction, AllowedActions, LoadRateLimiter, LoadRateLimits, ModelLoad, PendingLoads,
    ReportedLoads, WeightSource, count_evicting, free_adapter_slots, model_fits, needed_evictions,
    next_missing_adapter, next_model_load, place_adapter,
};
use hgw_direct::{
    Catalog, Cursor, Demand, Engine, EngineInfo, Engines, Model, ModelPool, Rates, Service,
    SoftwareVersion,
};
use support::{engine_info, engines, model_ref};

/// A service whose engines have memory for three models.
fn pool(models: &[&str]) -> ModelPool {
    let model = Model {
        weights_mb: 70_000.0,
        store_load_time: Duration::from_secs(4),
        disk_load_time: Duration::from_secs(1),
        memory_load_time: Duration::from_millis(500),
        adapters: 8,
        adapter_mb: 60.0,
    };
    ModelPool {
        slots: 64,
        weights_mb: 220_000.0,
        adapter_slots: 2,
        loads_per_s: 1.5,
        models: models.iter().map(|m| ((*m).to_owned(), model.clone())).collect(),
        ..ModelPool::default()
    }
}

const ALL: AllowedActions = AllowedActions { load_from_store: true, evict: true };

fn all_refs(engines: &Engines) -> Vec<&Engine> {
    engines.iter().collect()
}

fn rates(all: &[(&str, f64)]) -> Rates {
    let mut rates = Rates::default();
    for (text, rate) in all {
        let model_ref = model_ref(text);
        *rates.models.entry(model_ref.model.clone()).or_default() += rate;
        if model_ref.adapter.is_some() {
            rates.adapters.insert(model_ref, *rate);
        }
    }
    rates
}

fn next_load(engines: &Engines, models: &[&str], demand: &[(&str, f64)]) -> Option<ModelLoad> {
    let pool = pool(models);
    next_model_load(&all_refs(engines), &pool, &rates(demand), &PendingLoads::new(), ALL, 1_000)
}

#[test]
fn model_that_is_nowhere_is_loaded_first() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let step = next_load(&engines, &["m", "n"], &[("m", 500.0)]);
    assert_matches!(step, Some(ModelLoad { model, evict, .. }) if model == "n" && evict.is_empty());
}

#[test]
fn model_in_demand_gets_copies_by_its_rate() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m", "n"]), ("e3", "a", &["n"])]);
    // One copy with 64 slots serves 6.4 requests per second.
    assert_eq!(next_load(&engines, &["m", "n"], &[("m", 12.0), ("n", 6.0)]), None);
    let step = next_load(&engines, &["m", "n"], &[("m", 18.0), ("n", 0.5)]);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 == "e3" && model == "m");
}

/// Guards against copies of a model that are each alone at their software version: no stream could go on if one is lost.
#[test]
fn copies_of_a_model_are_of_one_software_version_if_engines_allow() {
    let mut engines = Engines::default();
    for (id, version, models) in [
        ("e1", "v1", &["m", "n"][..]),
        ("e2", "v2", &["n"]),
        ("e3", "v1", &["n"]),
        ("e4", "v2", &["n"]),
    ] {
        let software = Some(SoftwareVersion::from(version));
        engines.upsert(EngineInfo { software, ..engine_info(id, "a", models) });
    }
    let step = next_load(&engines, &["m", "n"], &[("m", 12.0), ("n", 6.0)]);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 == "e3" && model == "m");
    // A copy at another version is better than none.
    engines.remove(&"e3".into(), Cursor::default());
    let step = next_load(&engines, &["m", "n"], &[("m", 12.0), ("n", 6.0)]);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 != "e1" && model == "m");
}

/// Guards against idle engines while copies of busy models share others.
#[test]
fn engine_with_nothing_to_do_gets_a_copy() {
    let engines =
        engines(&[("e1", "a", &["m", "n"]), ("e2", "a", &["m", "n"]), ("e3", "a", &["x", "y"])]);
    let models = ["m", "n", "x", "y"];
    let uneven = next_load(&engines, &models, &[("m", 30.0), ("n", 30.0)]);
    assert_matches!(uneven, Some(ModelLoad { engine, evict, .. }) if engine.0 == "e3" && evict.is_empty());
    assert_eq!(next_load(&engines, &models, &[("m", 6.0), ("n", 6.0)]), None, "the load is low");
}

/// Guards against an engine that stays idle because it has the last copies of rarely requested
/// models.
#[test]
fn last_copies_move_away_from_an_engine_with_nothing_to_do() {
    let busy = ["m", "old", "a"];
    let moved = ["m", "x", "a"];
    let last = [("e3", "a", &["x", "y", "z"] as &[&str])];
    let models = ["m", "a", "old", "x", "y", "z"];
    let demand = [("m", 60.0), ("x", 0.2)];
    let before = engines(
        &[&[("e1", "a", &busy as &[&str]), ("e2", "a", &["m", "old", "a"])], &last[..]].concat(),
    );
    let first = next_load(&before, &models, &demand);
    assert_matches!(first, Some(ModelLoad { engine, evict, model, .. })
        if engine.0 != "e3" && evict.len() == 1 && ["x", "y", "z"].contains(&model.as_str()));
    let after = engines(
        &[&[("e1", "a", &moved as &[&str]), ("e2", "a", &["m", "old", "a"])], &last[..]].concat(),
    );
    let second = next_load(&after, &models, &demand);
    assert_matches!(second, Some(ModelLoad { engine, evict, model, .. })
        if engine.0 == "e3" && evict == ["x"] && model == "m");
}

/// Guards against using an engine with little load for a rarely requested model.
#[test]
fn model_that_is_hardly_asked_for_goes_to_a_busy_engine() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["n"])]);
    let step = next_load(&engines, &["m", "n", "x"], &[("m", 6.2), ("n", 5.0)]);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 == "e1" && model == "x");
}

/// Guards against evicting a model that is in use, when a load elsewhere is complete sooner.
#[test]
fn model_whose_requests_still_run_is_not_dropped_in_a_hurry() {
    let mut engines = engines(&[
        ("e1", "a", &["m", "x", "gone"]),
        ("e2", "a", &["old", "y", "z"]),
        ("e3", "a", &["old", "gone", "w"]),
    ]);
    engines.get_mut(&"e2".into()).unwrap().info.cached.on_disk = vec!["m".to_owned()];
    let pool = pool(&["gone", "m", "old", "w", "x", "y", "z"]);
    let mut rates = rates(&[("m", 60.0)]);
    let plan = |rates: &Rates| {
        next_model_load(&all_refs(&engines), &pool, rates, &PendingLoads::new(), ALL, 1_000)
            .unwrap()
    };
    assert_eq!(plan(&rates).engine.0, "e2", "no request runs there");
    rates.recent.insert("old".to_owned(), 30.0);
    let step = plan(&rates);
    assert_eq!((step.engine.0.as_str(), step.evict.as_slice()), ("e3", &["gone".to_owned()][..]));
}

/// Guards against evicting both copies of a model in one plan.
#[test]
fn two_loads_of_one_plan_leave_a_last_copy() {
    let mut engines = engines(&[
        ("e1", "a", &["m", "a", "b"]),
        ("e2", "a", &["n", "c", "d"]),
        ("e3", "a", &["old", "x", "y"]),
        ("e4", "a", &["old", "z", "w"]),
    ]);
    let pool = pool(&["a", "b", "c", "d", "m", "n", "old", "w", "x", "y", "z"]);
    let rates = rates(&[("m", 40.0), ("n", 40.0)]);
    let mut pending = PendingLoads::new();
    let mut evicted = 0;
    while let Some(step) = next_model_load(&all_refs(&engines), &pool, &rates, &pending, ALL, 1_000)
    {
        evicted += step.evict.iter().filter(|model| *model == "old").count();
        step.apply_evictions(&mut engines);
        pending.insert(step.engine, step.model);
    }
    assert_eq!(evicted, 1);
}

#[test]
fn adapters_in_demand_get_enough_places() {
    let engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"]), ("e3", "a", &["n"])]);
    let demand = [("m/a", 1.3), ("m/b", 1.3), ("m/c", 1.3), ("m/d", 1.3), ("m/e", 1.3)];
    let step = next_load(&engines, &["m", "n"], &demand);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 == "e3" && model == "m");
}

#[test]
fn spare_copy_makes_way_and_a_last_one_never_does() {
    let full = ["a", "b", "c"];
    let engines = engines(&[("e1", "a", &full), ("e2", "a", &full)]);
    let first = next_load(&engines, &["a", "b", "c", "d"], &[("a", 20.0)]);
    assert_matches!(first, Some(ModelLoad { evict, model, .. }) if model == "d" && (evict == ["b"] || evict == ["c"]));
    let mut single = Engines::default();
    single.upsert(engine_info("e1", "a", &full));
    assert_eq!(next_load(&single, &["a", "b", "c", "d"], &[("d", 20.0)]), None);
}

/// Guards against evicting and loading the same copy in turn.
#[test]
fn copy_that_is_spare_by_little_is_kept() {
    let full = ["a", "b", "c"];
    let engines = engines(&[("e1", "a", &full), ("e2", "a", &["a", "x", "y"])]);
    let models = ["a", "b", "c", "x", "y", "z"];
    assert_eq!(next_load(&engines, &models, &[("a", 15.0)]), None);
    let without_demand = next_load(&engines, &models, &[]);
    assert_matches!(without_demand, Some(ModelLoad { evict, model, .. }) if model == "z" && evict == ["a"]);
}

#[test]
fn engine_with_an_order_under_way_gets_no_other() {
    let engines = engines(&[("e1", "a", &["m"])]);
    let pending = PendingLoads::from_iter([("e1".into(), "n".to_owned())]);
    let pool = pool(&["m", "n", "o"]);
    let step = next_model_load(&all_refs(&engines), &pool, &Rates::default(), &pending, ALL, 0);
    assert_eq!(step, None);
}

/// Guards against evicting models at several engines for a single load.
#[test]
fn one_need_empties_one_engine() {
    let full = ["a", "b", "c"];
    let engines = engines(&[("e1", "a", &full), ("e2", "a", &full), ("e3", "a", &full)]);
    let pool = pool(&["a", "b", "c", "d"]);
    let mut pending = PendingLoads::new();
    let first =
        next_model_load(&all_refs(&engines), &pool, &Rates::default(), &pending, ALL, 0).unwrap();
    pending.insert(first.engine, first.model);
    assert_eq!(
        next_model_load(&all_refs(&engines), &pool, &Rates::default(), &pending, ALL, 0),
        None
    );
}

/// Guards against loading from the weight store when an engine has the weights on its disk.
#[test]
fn model_is_loaded_where_its_weights_are_cached() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["n"]), ("e3", "a", &["n"])]);
    let pool = pool(&["m", "n"]);
    let demand = rates(&[("m", 15.0), ("n", 8.0)]);
    engines.get_mut(&"e3".into()).unwrap().info.cached.on_disk = vec!["m".to_owned()];
    let plan = |allowed| {
        next_model_load(&all_refs(&engines), &pool, &demand, &PendingLoads::new(), allowed, 1_000)
    };
    let step = plan(ALL).unwrap();
    assert_eq!((step.engine.0.as_str(), step.source), ("e3", WeightSource::Disk));
    let without_store = plan(AllowedActions { load_from_store: false, evict: true }).unwrap();
    assert_eq!(without_store.source, WeightSource::Disk);
}

/// Guards against a new leader that evicts busy models because it has not observed demand yet.
#[test]
fn nothing_is_dropped_before_demand_has_been_seen() {
    let full = ["a", "b", "c"];
    let engines = engines(&[("e1", "a", &full), ("e2", "a", &full)]);
    let pool = pool(&["a", "b", "c", "d"]);
    let allowed = AllowedActions { load_from_store: true, evict: false };
    let step = next_model_load(
        &all_refs(&engines),
        &pool,
        &Rates::default(),
        &PendingLoads::new(),
        allowed,
        0,
    );
    assert_eq!(step, None);
}

#[test]
fn adapter_takes_a_free_place_where_its_model_is() {
    let engines =
        engines(&[("e1", "a", &["m/x", "m/y"]), ("e2", "a", &["m/x"]), ("e3", "a", &["n"])]);
    let step = place_adapter(
        &all_refs(&engines),
        &pool(&["m", "n"]),
        &Demand::default(),
        &model_ref("m/z"),
        "a",
        0,
    );
    assert_eq!(step, AdapterAction::Load { engine: "e2".into(), evict: Vec::new() });
}

/// Guards against waiting for an adapter in use while an idle one could be evicted.
#[test]
fn idle_adapter_makes_way_before_one_in_use() {
    let engines = engines(&[("e1", "a", &["m/x", "m/y"])]);
    let mut demand = Demand::default();
    for at in (0..9_000).step_by(100) {
        demand.record(at, &model_ref("m/y"), 1.0);
    }
    demand.record(9_900, &model_ref("m/x"), 0.1);
    let pool = pool(&["m"]);
    let step = place_adapter(&all_refs(&engines), &pool, &demand, &model_ref("m/z"), "a", 10_500);
    assert_eq!(step, AdapterAction::Load { engine: "e1".into(), evict: vec![model_ref("m/x")] });
    demand.record(10_400, &model_ref("m/x"), 0.1);
    let step = place_adapter(&all_refs(&engines), &pool, &demand, &model_ref("m/z"), "a", 13_000);
    assert_matches!(step, AdapterAction::Load { evict, .. } if evict.len() == 1);
}

#[test]
fn adapter_without_its_model_is_placed_nowhere() {
    let engines = engines(&[("e1", "a", &["n"])]);
    let pool = pool(&["m", "n"]);
    let step =
        place_adapter(&all_refs(&engines), &pool, &Demand::default(), &model_ref("m/z"), "a", 0);
    assert_eq!(step, AdapterAction::NotPossible);
}

/// A service whose engines have room for three adapters of `m` or one of `n` beside two models, and four slots.
fn tight_pool() -> ModelPool {
    let mut pool = pool(&["m", "n"]);
    (pool.adapter_slots, pool.weights_mb) = (4, 140_300.0);
    pool.models[0].adapter_mb = 100.0;
    pool.models[1].adapter_mb = 300.0;
    pool
}

fn place_at(engines: &Engines, pool: &ModelPool, adapter: &str) -> AdapterAction {
    place_adapter(&all_refs(engines), pool, &Demand::default(), &model_ref(adapter), "a", 0)
}

/// Guards against adapters beyond an engine's memory where it has free slots.
#[test]
fn adapter_beyond_the_memory_takes_the_place_of_another() {
    let two = engines(&[("e1", "a", &["m/x", "m/y", "n"])]);
    let full = engines(&[("e1", "a", &["m/x", "m/y", "m/z", "n"])]);
    let evicted = |engines| match place_at(engines, &tight_pool(), "m/w") {
        AdapterAction::Load { evict, .. } => evict.len(),
        AdapterAction::NotPossible => panic!("not possible"),
    };
    assert_eq!((evicted(&two), evicted(&full)), (0, 1));
}

/// Guards against adapters beyond the memory after the response to an order was lost.
#[test]
fn adapter_that_may_be_loading_takes_its_memory() {
    let mut engines = engines(&[("e1", "a", &["m/x", "m/y", "n"])]);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    engine.expect_adapter(&model_ref("m/z"));
    assert_matches!(place_at(&engines, &tight_pool(), "m/w"), AdapterAction::Load { evict, .. } if evict.len() == 1);
}

/// Guards against an eviction that frees less than the new adapter takes.
#[test]
fn large_adapter_takes_the_place_of_several() {
    let engines = engines(&[("e1", "a", &["m/x", "m/y", "n"])]);
    let expected = vec![model_ref("m/x"), model_ref("m/y")];
    let step = place_at(&engines, &tight_pool(), "n/a1");
    assert_eq!(step, AdapterAction::Load { engine: "e1".into(), evict: expected });
}

/// Guards against adapters that are evicted although the eviction of a larger one is enough.
#[test]
fn no_more_adapters_are_evicted_than_needed() {
    let engines = engines(&[("e1", "a", &["m/x", "n/a1"])]);
    let mut pool = tight_pool();
    pool.weights_mb = 140_450.0;
    let engine = engines.iter().next().unwrap();
    let planned = || vec![model_ref("m/x"), model_ref("n/a1")];
    let needed = |pool: &ModelPool| needed_evictions(engine, pool, &model_ref("m/y"), planned());
    assert_eq!(needed(&pool), Some(vec![model_ref("n/a1")]));
    // The room that was missing has been made meanwhile.
    pool.weights_mb = 141_000.0;
    assert_eq!(needed(&pool), Some(Vec::new()));
}

/// Guards against an order that counts on an eviction that another order has made use of.
#[test]
fn eviction_of_an_adapter_that_has_gone_makes_no_room() {
    let engines = engines(&[("e1", "a", &["m/x", "m/y", "m/z", "n"])]);
    let engine = engines.iter().next().unwrap();
    let gone = vec![model_ref("m/v")];
    assert_eq!(needed_evictions(engine, &tight_pool(), &model_ref("m/w"), gone), None);
}

/// Guards against a request that waits for an adapter, and plans that circle, where models leave no room for it.
#[test]
fn adapter_that_no_engine_could_hold_is_placed_nowhere() {
    let engines = engines(&[("e1", "a", &["m/x", "n"])]);
    let mut pool = tight_pool();
    pool.models[1].adapter_mb = 301.0;
    assert_eq!(place_at(&engines, &pool, "n/a1"), AdapterAction::NotPossible);
    let mut demand = Demand::default();
    demand.record(0, &model_ref("n/a1"), 50.0);
    demand.record(0, &model_ref("m/y"), 5.0);
    let missing = next_missing_adapter(&all_refs(&engines), &pool, &demand, 1_000);
    assert_eq!(missing, Some(model_ref("m/y")));
}

/// Guards against engines that take no model any more as one that the configuration does not name fills them for good.
#[test]
fn model_that_the_configuration_dropped_makes_way() {
    let engines = engines(&[("e1", "a", &["gone"])]);
    let pool = pool(&["m"]);
    let engine = engines.iter().next().unwrap();
    assert!(!model_fits(engine, &pool, "m"));
    let step = next_load(&engines, &["m"], &[("m", 9.0)]);
    assert_matches!(step, Some(ModelLoad { model, evict, .. }) if model == "m" && evict == ["gone"]);
}

/// Guards against adapters that are refused at engines that still have a model which the configuration has dropped.
#[test]
fn size_of_a_dropped_model_is_known_while_it_is_loaded() {
    let catalog = |models: &[&str]| {
        let service = Service { max_conns: 64, health_path: None, pool: Some(pool(models)) };
        Catalog { services: [("s".into(), service)].into_iter().collect(), ..Catalog::default() }
    };
    let mut newer = catalog(&["m"]);
    newer.keep_dropped_models(&catalog(&["m", "n", "o"]), |model| model == "n");
    let mut newest = catalog(&["m", "o"]);
    newest.keep_dropped_models(&newer, |_| true);
    let pool = newest.services[0].pool.as_ref().unwrap();
    assert_eq!(pool.dropped_models.keys().collect::<Vec<_>>(), ["n"]);
    let engines = engines(&[("e1", "a", &["m", "n"])]);
    assert_matches!(place_at(&engines, pool, "m/x"), AdapterAction::Load { .. });
    assert!(model_fits(engines.iter().next().unwrap(), pool, "o"));
}

/// Guards against exceeding an engine's adapter slots after the response to an order was lost.
#[test]
fn adapter_that_may_be_loading_takes_its_slot() {
    let mut engines = engines(&[("e1", "a", &["m/x"])]);
    let pool = pool(&["m"]);
    let engine = engines.get_mut(&"e1".into()).unwrap();
    assert_eq!(free_adapter_slots(engine, &pool), 1);
    engine.expect_adapter(&model_ref("m/y"));
    assert_eq!(free_adapter_slots(engine, &pool), 0);
    engine.add_loaded(&model_ref("m/y"));
    assert_eq!(free_adapter_slots(engine, &pool), 0);
}

#[test]
fn load_rate_limit_holds_over_a_window_and_a_takeover() {
    let limits = LoadRateLimits { loads_per_s: 1.6, window: 5_000 };
    let mut limiter = LoadRateLimiter::default();
    let start_loads = |limiter: &mut LoadRateLimiter, now| {
        let mut started = 0;
        while limiter.allows(now, &limits) {
            limiter.record_load(now);
            started += 1;
        }
        started
    };
    assert_eq!(start_loads(&mut limiter, 0), 10);
    assert_eq!(start_loads(&mut limiter, 4_900), 0);
    assert_eq!(start_loads(&mut limiter, 5_001), 10);
    let mut successor = LoadRateLimiter::default();
    successor.assume_full(0, &limits, 1);
    assert_eq!(start_loads(&mut successor, 0), 1);
}

/// Guards against blocked placement after engines disappear while they load.
#[test]
fn engine_that_vanished_while_loading_is_not_counted() {
    let pending = PendingLoads::from_iter([("e1".into(), "m".to_owned())]);
    let loading = [("e2".into(), 9_000), ("e3".into(), 9_000)].into_iter().collect();
    assert_eq!(count_evicting(&pending, &loading), 1);
}

/// Guards against a new leader that waits for a whole window before it loads models.
#[test]
fn new_leader_continues_from_reported_loads() {
    let limits = LoadRateLimits { loads_per_s: 1.0, window: 5_000 };
    let (mut known, mut unknown) = (LoadRateLimiter::default(), LoadRateLimiter::default());
    known.restore(10_000, &[8_000], 2);
    unknown.assume_full(10_000, &limits, 1);
    let loads = |limiter: &mut LoadRateLimiter, at| {
        let mut loads = 0;
        while limiter.allows(at, &limits) {
            limiter.record_load(at);
            loads += 1;
        }
        loads
    };
    assert_eq!((loads(&mut known, 10_000), loads(&mut unknown, 10_000)), (4, 1));
    // The window contains the loads of the previous leader, whether reported or assumed.
    assert_eq!(loads(&mut known, 13_001), 1);
    assert_eq!(known.load_ages(13_001), [3_001, 3_001, 3_001, 3_001, 3_001, 3_001, 0]);
}

/// Guards against more loads than the weight store allows after a change of leaders: a report of an earlier leader that comes
/// late says nothing of its successor's loads.
#[test]
fn loads_of_an_earlier_leader_do_not_replace_those_of_a_later_one() {
    let mut known = None;
    ReportedLoads::new(7, vec![100]).replace(&mut known);
    ReportedLoads::new(9, vec![200]).replace(&mut known);
    ReportedLoads::new(7, Vec::new()).replace(&mut known);
    assert_eq!(known, Some(ReportedLoads::new(9, vec![200])));
    ReportedLoads::new(9, Vec::new()).replace(&mut known);
    assert_eq!(known, Some(ReportedLoads::new(9, Vec::new())));
}

/// Guards against giving all copies to the most requested model while another has only one.
#[test]
fn model_whose_copies_have_most_to_do_gets_the_next_copy() {
    let engines = engines(&[
        ("e1", "a", &["m"]),
        ("e2", "a", &["m"]),
        ("e3", "a", &["m"]),
        ("e4", "a", &["m"]),
        ("e5", "a", &["n"]),
        ("e6", "a", &[]),
    ]);
    let step = next_load(&engines, &["m", "n"], &[("m", 600.0), ("n", 250.0)]);
    assert_matches!(step, Some(ModelLoad { model, .. }) if model == "n");
}

/// Guards against a slow load that takes the engine on which another urgent model is cached.
#[test]
fn of_two_urgent_models_the_quicker_goes_first() {
    let mut engines = engines(&[("e1", "a", &["m", "n"]), ("e2", "a", &[])]);
    let cached = &mut engines.get_mut(&"e2".into()).unwrap().info.cached;
    cached.on_disk = vec!["n".to_owned()];
    let step = next_load(&engines, &["m", "n"], &[("m", 120.0), ("n", 100.0)]);
    let expected = (WeightSource::Disk, "n".to_owned());
    assert_eq!(step.map(|s| (s.source, s.model)), Some(expected));
}

fn limit(engines: &mut Engines, engine: &str, per_second: f64) {
    let engine = engines.get_mut(&engine.into()).unwrap();
    engine.rate_limit = Some(per_second.try_into().unwrap());
}

/// Guards against a model whose only copy is at an engine that takes fewer requests than come for it.
#[test]
fn model_gets_another_copy_where_its_engine_takes_too_few_requests() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["n"]), ("e3", "a", &["n"])]);
    let demand = [("m", 4.0), ("n", 1.0)];
    assert_eq!(next_load(&engines, &["m", "n"], &demand), None);
    limit(&mut engines, "e1", 2.9);
    let step = next_load(&engines, &["m", "n"], &demand);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 != "e1" && model == "m");
    // It takes all that comes.
    assert_eq!(next_load(&engines, &["m", "n"], &[("m", 2.0), ("n", 1.0)]), None);
}

/// Guards against loading a model at an engine in need while another one has room.
#[test]
fn engine_with_a_limit_is_loaded_last() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    limit(&mut engines, "e1", 2.9);
    let step = next_load(&engines, &["m", "n"], &[("m", 2.0), ("n", 1.0)]);
    assert_matches!(step, Some(ModelLoad { engine, .. }) if engine.0 == "e2");
    limit(&mut engines, "e2", 2.9);
    assert_matches!(next_load(&engines, &["m", "n"], &[("m", 2.0), ("n", 1.0)]), Some(_));
}

/// Guards against an adapter that is loaded only at an engine in need while another one has its model.
#[test]
fn adapter_is_loaded_at_an_engine_without_a_limit() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "b", &["m"])]);
    limit(&mut engines, "e1", 2.9);
    let all = all_refs(&engines);
    let step = place_adapter(&all, &pool(&["m"]), &Demand::default(), &model_ref("m/a1"), "a", 0);
    assert_matches!(step, AdapterAction::Load { engine, .. } if engine.0 == "e2");
}

/// Guards against copies of a busy model at slow engines while fast ones have as much room, and against its load being
/// counted as if all engines were equally fast.
#[test]
fn busy_model_goes_to_faster_engines() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &[]), ("e3", "a", &[])]);
    for (id, event_ms) in [("e1", 50.0), ("e2", 90.0), ("e3", 30.0)] {
        let events = 1_000.0;
        let sums = SpeedSums { events, event_ms: events * event_ms, ..SpeedSums::default() };
        engines.get_mut(&id.into()).unwrap().speed.add(sums, 0);
    }
    let (pool, rates) = (pool(&["m"]), rates(&[("m", 20.0)]));
    let all = all_refs(&engines);
    let step = next_model_load(&all, &pool, &rates, &PendingLoads::default(), ALL, 0);
    assert_matches!(step, Some(ModelLoad { engine, model, .. }) if engine.0 == "e3" && model == "m");
}
