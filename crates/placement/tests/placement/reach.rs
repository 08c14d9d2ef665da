//! Every model must stay reachable, as far as one leader can ensure it.

use std::time::Duration;

use hgw_config::Fencing::{self, Ignores, Refuses};
use hgw_placement::{Item, LeaderEvent};
use hgw_types::{ModelId, UpstreamId};
use indexmap::IndexMap;

use crate::support::{STEP, World, changed, document, id};

/// Maximum time until the last of several versions serves.
const NEWEST_SERVES: Duration = Duration::from_secs(6);

/// Two engines of size 100 and one replica of each model in the domain.
fn two_engines(fencing: Fencing, models: &[(&str, &str, u64)]) -> World {
    let engines = [("e1", "d1", 100, fencing), ("e2", "d1", 100, fencing)];
    let mut world = World::new(document(&engines, models), 2);
    world.claim(0);
    world.run_secs(6);
    world.check(models.iter().map(|(m, v, _)| (*m, *v)).collect::<Vec<_>>().as_slice());
    world
}

/// The engines that have this version.
fn engines_with(world: &World, model: &str, version: &str) -> Vec<String> {
    let item = Item::Model(id(model), id(version));
    let loaded = world.engines.iter().filter(|(_, e)| e.loaded.contains_key(&item));
    loaded.map(|(id, _)| id.to_string()).collect()
}

/// The models of a failed engine must be loaded on the other one, even if the log is down. Engines
/// that ignore fencing tokens get no unrecorded orders, so theirs wait for the log.
fn engine_dies(fencing: Fencing, log_up: bool) {
    let mut world = two_engines(fencing, &[("a", "1", 40), ("b", "1", 40)]);
    let dead = engines_with(&world, "a", "1").remove(0);
    world.set_log(log_up);
    world.engine(&dead).up = false;
    world.run_secs(10);
    let may_order = log_up || fencing == Refuses;
    assert_eq!(world.is_reachable("a", "1"), may_order, "{}", world.transcript);
    world.set_log(true);
    world.run_secs(10);
    world.check(&[("a", "1"), ("b", "1")]);
    world.engine(&dead).up = true;
    world.engine(&dead).restart();
    world.run_secs(20);
    world.check(&[("a", "1"), ("b", "1")]);
}

/// If the leader dies at any step of a version change, the old or the new version must be ready at
/// each step.
fn leader_dies_during_version_change(fencing: Fencing) {
    for steps in (0..80).step_by(4) {
        let mut world = two_engines(fencing, &[("a", "1", 40), ("b", "1", 40)]);
        let engines = [("e1", "d1", 100, fencing), ("e2", "d1", 100, fencing)];
        world.configure(document(&engines, &[("a", "2", 40), ("b", "1", 40)]));
        world.run(STEP * steps);
        world.kill(0);
        world.claim(1);
        for _ in 0..400 {
            world.step();
            let serves = world.is_reachable("a", "1") || world.is_reachable("a", "2");
            assert!(serves, "after {steps} steps\n{}", world.transcript);
        }
        world.check(&[("a", "2"), ("b", "1")]);
        assert_eq!(engines_with(&world, "a", "1"), Vec::<String>::new(), "{}", world.transcript);
    }
}

/// In a domain without the log, a model that callers request may replace a demand replica but never
/// a floor replica.
fn isolated_domain(fencing: Fencing) {
    let engines =
        [("e1", "d1", 100, fencing), ("f1", "d3", 100, fencing), ("f2", "d3", 100, fencing)];
    let models = [("a", "1", 40), ("b", "1", 40), ("c", "1", 40), ("d", "1", 40)];
    let mut world = World::new(document(&engines, &models), 1);
    world.claim(0);
    world.run_secs(5);
    let floor = world.floor_of("e1");
    assert_eq!(floor.len(), 2, "the floor fills the engine");
    let mut not_in_floor =
        models.iter().map(|(m, ..)| *m).filter(|m| !floor.contains(&(*m).to_string()));
    let requested = not_in_floor.next().expect("a model elsewhere");
    world.set_log(false);
    world.request_model(0, requested);
    world.run_secs(10);
    assert!(
        !world.is_reachable(requested, "1"),
        "loaded in place of a floor replica\n{}",
        world.transcript
    );
    floor.iter().for_each(|m| world.check(&[(m, "1")]));
}

/// As `isolated_domain`, with a demand replica at `e2` that can be evicted.
fn isolated_domain_with_replica() {
    let engines =
        [("e1", "d1", 100, Refuses), ("e2", "d1", 100, Refuses), ("f1", "d3", 300, Refuses)];
    let mut world = World::new(document(&engines, &[("a", "1", 60), ("b", "1", 60)]), 1);
    world.set_floor(|f| f.models = floor_of(&[("a", &["e1", "e2"]), ("b", &["f1"])]));
    world.claim(0);
    world.run_secs(5);
    world.set_floor(|f| f.models = floor_of(&[("a", &["e1"]), ("b", &["f1"])]));
    world.set_log(false);
    world.request_model(0, "b");
    world.run_secs(10);
    world.check(&[("a", "1"), ("b", "1")]);
    assert_eq!(engines_with(&world, "a", "1"), ["e1"], "{}", world.transcript);
}

fn floor_of(models: &[(&str, &[&str])]) -> IndexMap<ModelId, Vec<UpstreamId>> {
    models.iter().map(|(m, engines)| (id(m), engines.iter().map(|e| id(e)).collect())).collect()
}

/// A leaving engine must get no load and keep serving while its models are loaded elsewhere.
fn leaving(how: impl Fn(&mut World, &str)) {
    let mut world = two_engines(Refuses, &[("a", "1", 40), ("b", "1", 40)]);
    let leaving_engine = engines_with(&world, "a", "1").remove(0);
    how(&mut world, &leaving_engine);
    world.run_secs(1);
    world.transcript.clear();
    world.run_secs(10);
    assert!(
        !world.transcript.contains(&format!("-> {leaving_engine}: load")),
        "{}",
        world.transcript
    );
    assert_eq!(engines_with(&world, "a", "1").len(), 2, "{}", world.transcript);
    world.check(&[("a", "1"), ("b", "1")]);
}

fn by_configuration(world: &mut World, engine: &str) {
    let doc = world.document();
    world.configure(changed(&doc, |d| {
        d.upstreams.get_mut(&id::<UpstreamId>(engine)).expect("engine").leaving = true;
    }));
}

/// If the only engine fits one version, the new one must replace the old one in the end.
fn version_change_on_full_engine() {
    let engines = [("e1", "d1", 100, Refuses)];
    let mut world = World::new(document(&engines, &[("a", "1", 70)]), 1);
    world.claim(0);
    world.run_secs(5);
    world.configure(document(&engines, &[("a", "2", 70)]));
    world.run_secs(50);
    world.check(&[("a", "1")]);
    world.run_secs(30);
    world.check(&[("a", "2")]);
}

/// If another engine fits the new version, it must be loaded there before the old one is evicted.
fn version_change_on_another_engine() {
    let mut world = two_engines(Refuses, &[("a", "1", 70), ("b", "1", 20)]);
    let engines = [("e1", "d1", 100, Refuses), ("e2", "d1", 100, Refuses)];
    world.configure(document(&engines, &[("a", "2", 70), ("b", "1", 20)]));
    for _ in 0..600 {
        world.step();
        assert!(
            world.is_reachable("a", "1") || world.is_reachable("a", "2"),
            "{}",
            world.transcript
        );
    }
    world.check(&[("a", "2"), ("b", "1")]);
    assert_eq!(engines_with(&world, "a", "1"), Vec::<String>::new(), "{}", world.transcript);
}

/// Old versions must not block the newest one when versions are published faster than they load.
/// With `in_use`, a long request uses the first version, which must not be evicted.
fn versions_in_quick_succession(fencing: Fencing, in_use: bool) {
    let engines = [("e1", "d1", 160, fencing)];
    let mut world = World::new(document(&engines, &[("a", "1", 50)]), 1);
    world.claim(0);
    world.run_secs(6);
    let first = Item::Model(id("a"), id("1"));
    world.engine("e1").active.insert(first.clone(), u32::from(in_use));
    for version in ["2", "3", "4", "5"] {
        world.configure(document(&engines, &[("a", version, 50)]));
        run_checking_placement(&mut world, "a", Duration::from_secs(1));
    }
    run_checking_placement(&mut world, "a", NEWEST_SERVES);
    world.check(&[("a", "5")]);
    assert!(!in_use || world.is_reachable("a", "1"), "evicted in use\n{}", world.transcript);
    world.engine("e1").active.clear();
    run_checking_placement(&mut world, "a", Duration::from_secs(30));
    world.check(&[("a", "5")]);
    let loaded: Vec<String> = world.engine("e1").loaded.keys().map(Item::to_string).collect();
    assert_eq!(loaded, ["a@5"], "{}", world.transcript);
}

/// Runs for `time`; at each step the placement must offer the model, and only in versions that are
/// ready.
fn run_checking_placement(world: &mut World, model: &str, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        world.step();
        let placement = world.nodes[0].leader.placement().values();
        let offered: Vec<_> = placement.flat_map(|h| &h.models).collect();
        assert!(offered.iter().any(|(m, _)| m.as_str() == model), "{}", world.transcript);
        for (m, v) in offered {
            assert!(world.is_reachable(m.as_str(), v.as_str()), "{m}@{v}\n{}", world.transcript);
        }
    }
}

/// An item must be evicted only after it was withdrawn from the placement and a read shows no
/// request for it.
fn eviction_waits_for_routes() {
    let mut world = two_engines(Refuses, &[("a", "1", 40), ("b", "1", 40)]);
    let engines = [("e1", "d1", 100, Refuses), ("e2", "d1", 100, Refuses)];
    world.run_secs(10);
    world.configure(document(&engines, &[("a", "1", 40)]));
    let engine = engines_with(&world, "b", "1").remove(0);
    let item = Item::Model(id("b"), id("1"));
    world.engine(&engine).active.insert(item.clone(), 1);
    world.run_secs(20);
    assert!(
        world.engine(&engine).loaded.contains_key(&item),
        "evicted in use\n{}",
        world.transcript
    );
    assert!(world.transcript.ends_with(&format!("placement {engine}: \n")), "{}", world.transcript);
    world.engine(&engine).active.clear();
    world.run_secs(6);
    assert!(!world.engine(&engine).loaded.contains_key(&item), "{}", world.transcript);
}

/// A requested adapter must be loaded where its model is, and its new version next to the old one.
fn adapter_on_demand() {
    let mut world = two_engines(Ignores, &[("a", "1", 40), ("b", "1", 40)]);
    world.request_adapter(0, "a", "a-a");
    world.run_secs(3);
    let engine = engines_with(&world, "a", "1").remove(0);
    let adapter = |v: &str| Item::Adapter(id("a"), id("a-a"), id(v));
    assert!(world.engine(&engine).loaded.contains_key(&adapter("1")), "{}", world.transcript);
    let doc = world.document();
    world.configure(changed(&doc, |d| {
        let adapters = &mut d.services[0].models[0].adapters;
        adapters[0].version = id("2");
    }));
    world.run_secs(10);
    let loaded = &world.engine(&engine).loaded;
    assert!(loaded.contains_key(&adapter("2")) && !loaded.contains_key(&adapter("1")));
    world.check(&[("a", "1")]);
}

fn engine_restarts(fencing: Fencing) {
    let mut world = two_engines(fencing, &[("a", "1", 40), ("b", "1", 40)]);
    world.restart("e1");
    world.restart("e2");
    world.run_secs(15);
    world.check(&[("a", "1"), ("b", "1")]);
}

/// A model with unmet demand must get a replica in memory that the floor leaving_engine free.
fn burst_gets_a_replica() {
    let mut world = two_engines(Refuses, &[("a", "1", 40), ("b", "1", 40)]);
    world.run_secs(10);
    for _ in 0..20 {
        world.request_model(0, "a");
        world.run(Duration::from_secs(1));
    }
    assert_eq!(engines_with(&world, "a", "1").len(), 2, "{}", world.transcript);
    world.check(&[("a", "1"), ("b", "1")]);
}

/// The floor swaps the models of two full engines. With a third engine both must serve all the
/// time; without one each may be gone for the time of its load.
fn engines_swap(engines: &[(&str, &str, u64, Fencing)]) {
    let mut world = World::new(document(engines, &[("a", "1", 60), ("b", "1", 60)]), 1);
    world.set_floor(|f| f.models = floor_of(&[("a", &["e1"]), ("b", &["e2"])]));
    world.claim(0);
    world.run_secs(5);
    world.set_floor(|f| f.models = floor_of(&[("a", &["e2"]), ("b", &["e1"])]));
    for _ in 0..2000 {
        world.step();
        let both = world.is_reachable("a", "1") && world.is_reachable("b", "1");
        assert!(both || engines.len() < 3, "{}", world.transcript);
    }
    world.check(&[("a", "1"), ("b", "1")]);
    let (a, b) = (engines_with(&world, "a", "1"), engines_with(&world, "b", "1"));
    assert!(a.contains(&"e2".into()) && b.contains(&"e1".into()), "{}", world.transcript);
}

/// A start or leader change must load no more than the floor, although one engine is read before
/// the other.
fn starts_move_no_more_than_the_floor() {
    let engines = [("e1", "d1", 100, Refuses), ("e2", "d1", 100, Ignores)];
    let mut world = World::new(document(&engines, &[("a", "1", 40), ("b", "1", 45)]), 2);
    world.claim(0);
    world.run_secs(10);
    world.claim(1);
    world.run_secs(60);
    let orders = ["-> e1: load", "-> e2: load", "evict"];
    let moves: usize = orders.iter().map(|o| world.transcript.matches(o).count()).sum();
    assert_eq!(moves, 2, "{}", world.transcript);
}

cases! {
    engines_swap_by_way_of_a_third => engines_swap(&[
        ("e1", "d1", 100, Refuses), ("e2", "d1", 100, Refuses), ("e3", "d1", 100, Refuses)]);
    engines_swap_without_a_third
        => engines_swap(&[("e1", "d1", 100, Refuses), ("e2", "d1", 100, Refuses)]);
    start_and_takeover_load_the_floor_only => starts_move_no_more_than_the_floor();
    engine_dies_refusing => engine_dies(Refuses, true);
    engine_dies_ignoring => engine_dies(Ignores, true);
    engine_dies_with_the_log_down_refusing => engine_dies(Refuses, false);
    engine_dies_with_the_log_down_ignoring => engine_dies(Ignores, false);
    leader_dies_during_version_change_refusing => leader_dies_during_version_change(Refuses);
    leader_dies_during_version_change_ignoring => leader_dies_during_version_change(Ignores);
    cut_off_spares_the_floor => isolated_domain(Refuses);
    cut_off_gives_up_a_replica => isolated_domain_with_replica();
    leaving_by_configuration => leaving(by_configuration);
    leaving_by_the_platforms_list
        => leaving(|w, e| w.handle(0, LeaderEvent::Leaving(vec![id(e)])));
    leaving_by_its_own_report => leaving(|w, e| w.engine(e).leaving = true);
    new_version_without_room_for_both => version_change_on_full_engine();
    new_version_next_door => version_change_on_another_engine();
    five_versions_a_second_apart_refusing => versions_in_quick_succession(Refuses, false);
    five_versions_a_second_apart_ignoring => versions_in_quick_succession(Ignores, false);
    five_versions_with_the_first_in_use_refusing => versions_in_quick_succession(Refuses, true);
    five_versions_with_the_first_in_use_ignoring => versions_in_quick_succession(Ignores, true);
    eviction_follows_withdrawn_routes => eviction_waits_for_routes();
    adapter_comes_on_demand_and_changes_version => adapter_on_demand();
    engines_restart_refusing => engine_restarts(Refuses);
    engines_restart_ignoring => engine_restarts(Ignores);
    burst_of_demand => burst_gets_a_replica();
}
