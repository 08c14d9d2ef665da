//! Engine memory must never be overcommitted.
//!
//! Most cases share one setup: engine `e1` fits only one of the models `a` and `b`. Leader A orders
//! `a` and a fault occurs. Then the configuration replaces `a` by `b`, and B takes over. If B does
//! not count A's order, both models are loaded.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use hgw_config::Fencing::{self, Ignores, Refuses};
use hgw_placement::{Item, LeaderEntry, SEND_WINDOW};
use hgw_types::{Generation, MemSize, RecordId, Time};

use crate::support::{Fault, STEP, World, changed, document, id};

const ENGINE_MEMORY: u64 = 100;
/// Maximum delay of late orders of the tests' engines.
const LATE_ORDER: Duration = Duration::from_secs(20);

/// The setup up to A's order of `a`, which `fault` affects.
fn world_with_order(fencing: Fencing, fault: Fault) -> World {
    let mut world =
        World::new(document(&[("e1", "d1", ENGINE_MEMORY, fencing)], &[("a", "1", 60)]), 2);
    world.faults.push_back(fault);
    world.claim(0);
    world.run(Duration::from_millis(400));
    world
}

/// The configuration replaces `a` by `b`, and B claims the lease.
fn replace_model_and_take_over(world: &mut World, fencing: Fencing) {
    world.configure(document(&[("e1", "d1", ENGINE_MEMORY, fencing)], &[("b", "1", 60)]));
    world.claim(1);
}

/// `fault` affects A's order; B takes over and must in the end serve `b`.
fn fault_then_takeover(fencing: Fencing, fault: Fault) {
    let mut world = world_with_order(fencing, fault);
    replace_model_and_take_over(&mut world, fencing);
    world.run_secs(90);
    world.check(&[("b", "1")]);
}

/// As `fault_then_takeover`, with A's order arriving at every step of B's start.
fn order_arrives_during_takeover(fencing: Fencing) {
    for steps in 1..24 {
        let mut world = world_with_order(fencing, Fault::Delayed(STEP * steps));
        replace_model_and_take_over(&mut world, fencing);
        world.run_secs(40);
        world.check(&[("b", "1")]);
    }
}

/// A is paused for `secs` with an unsent order while B takes over.
fn paused_with_unsent_load(fencing: Fencing, secs: u64) {
    let mut world =
        World::new(document(&[("e1", "d1", ENGINE_MEMORY, fencing)], &[("a", "1", 60)]), 2);
    world.nodes[0].pauses_on_load = true;
    world.claim(0);
    world.run(Duration::from_millis(400));
    replace_model_and_take_over(&mut world, fencing);
    world.run_secs(secs);
    world.resume(0);
    world.run_secs(90);
    world.check(&[("b", "1")]);
}

/// A reads its intent back long after B has taken over. The entry is valid, but A must not send the
/// order, because B no longer counts it.
fn intent_read_back_after_takeover() {
    let mut world =
        World::new(document(&[("e1", "d1", ENGINE_MEMORY, Ignores)], &[("a", "1", 60)]), 2);
    world.claim(0);
    world.run(Duration::from_millis(50));
    world.nodes[0].reads_log = false;
    world.run(Duration::from_millis(100));
    assert!(world.transcript.contains("intent e1 load a@1"), "{}", world.transcript);
    assert!(!world.transcript.contains("-> e1"), "{}", world.transcript);
    replace_model_and_take_over(&mut world, Ignores);
    world.run_secs(60);
    world.check(&[("b", "1")]);
    world.nodes[0].reads_log = true;
    world.run_secs(10);
    world.check(&[("b", "1")]);
}

/// A version change while the old version is in use and a third model needs memory. Both versions
/// count until the engine confirms the eviction, so only one of the two new items fits at first.
fn version_change(fencing: Fencing, takeover: bool, fault: Fault) {
    let engines = [("e1", "d1", ENGINE_MEMORY, fencing)];
    let mut world = World::new(document(&engines, &[("a", "1", 40)]), 2);
    world.claim(0);
    world.run_secs(3);
    let old = Item::Model(id("a"), id("1"));
    world.engine("e1").active.insert(old.clone(), 1);
    world.faults.push_back(fault);
    world.configure(document(&engines, &[("a", "2", 40), ("c", "1", 30)]));
    world.run_secs(1);
    if takeover {
        world.claim(1);
    }
    world.run_secs(40);
    world.check(&[("a", "1")]);
    assert!(world.engine("e1").loaded.contains_key(&old), "evicted in use\n{}", world.transcript);
    let others = [world.is_reachable("a", "2"), world.is_reachable("c", "1")];
    assert_ne!(others[0], others[1], "memory for one of them\n{}", world.transcript);
    world.engine("e1").active.clear();
    world.run_secs(90);
    world.check(&[("a", "2"), ("c", "1")]);
}

/// `fault` affects the order of a leader that stays; `a` must be loaded once.
fn fault_without_takeover(fencing: Fencing, fault: Fault) {
    let mut world = world_with_order(fencing, fault);
    world.run_secs(40);
    world.check(&[("a", "1")]);
    let loaded = world.transcript.matches("e1 load a@1: Done").count();
    assert!((1..=2).contains(&loaded), "{}", world.transcript);
}

/// A late copy of an order that was retried must not overcommit an engine that restarted and forgot
/// the order's id.
fn late_copy_after_restart(fencing: Fencing) {
    let mut world = world_with_order(fencing, Fault::Delayed(Duration::from_secs(12)));
    world.run_secs(6);
    world.check(&[("a", "1")]);
    world.configure(document(&[("e1", "d1", ENGINE_MEMORY, fencing)], &[("b", "1", 60)]));
    world.restart("e1");
    world.run_secs(60);
    world.check(&[("b", "1")]);
}

/// As `paused_with_unsent_load`, with an engine restart before A resumes: a restart does not prove that an order
/// cannot arrive later.
fn paused_during_engine_restart() {
    let mut world =
        World::new(document(&[("e1", "d1", ENGINE_MEMORY, Ignores)], &[("a", "1", 60)]), 2);
    world.nodes[0].pauses_on_load = true;
    world.claim(0);
    world.run(Duration::from_millis(400));
    replace_model_and_take_over(&mut world, Ignores);
    world.run_secs(2);
    world.restart("e1");
    world.run_secs(5);
    world.resume(0);
    world.run_secs(60);
    world.check(&[("b", "1")]);
}

/// A's order is late, B takes over and is paused with an unsent load, then C takes over.
fn two_takeovers(fencing: Fencing) {
    let mut world = world_with_order(fencing, Fault::Delayed(Duration::from_secs(25)));
    replace_model_and_take_over(&mut world, fencing);
    world.nodes[1].pauses_on_load = true;
    world.run_secs(5);
    let c = world.add_node();
    world.claim(c);
    world.run_secs(15);
    world.resume(1);
    world.run_secs(90);
    world.check(&[("b", "1")]);
}

/// The memory of a previous leader's late adapter order must stay reserved.
fn late_adapter(fencing: Fencing) {
    let engines = [("e1", "d1", 62, fencing)];
    let mut world = World::new(document(&engines, &[("a", "1", 60)]), 2);
    world.claim(0);
    world.run_secs(3);
    world.faults.push_back(Fault::Delayed(Duration::from_secs(8)));
    world.request_adapter(0, "a", "a-a");
    world.run_secs(1);
    world.claim(1);
    let doc = document(&engines, &[("a", "1", 60)]);
    world.configure(changed(&doc, |d| {
        let adapters = &mut d.services[0].models[0].adapters;
        let adapter = adapters.shift_remove_index(0).expect("an adapter").1;
        adapters.insert(id("other"), adapter);
    }));
    world.request_adapter(1, "a", "other");
    world.run_secs(60);
    world.check(&[("a", "1")]);
}

/// An engine that restarts may execute A's order, undone before, a second time next to B's order.
/// With more memory reserved than there is, C must not retry A's order.
fn more_memory_reserved_than_available() {
    let engines = [("e1", "d1", ENGINE_MEMORY, Ignores)];
    let (a, b) = (document(&engines, &[("a", "1", 60)]), document(&engines, &[("b", "1", 60)]));
    let mut world = World::new(Arc::clone(&a), 3);
    world.claim(0);
    world.run(Duration::from_millis(400));
    world.claim(1);
    world.run_secs(2);
    world.configure(b);
    while !world.transcript.contains("-> e1: load b@1") {
        assert!(world.now < Time::from_millis(30_000), "{}", world.transcript);
        world.step();
    }
    world.restart("e1");
    world.configure(a);
    world.claim(2);
    world.run_secs(120);
    world.check(&[("a", "1")]);
}

/// An order that B retries just before it would expire must still count when B reads its new record
/// late.
fn retried_order_is_counted_again() {
    let engines = [("e1", "d1", ENGINE_MEMORY, Ignores)];
    let (a, b) = (document(&engines, &[("a", "1", 60)]), document(&engines, &[("b", "1", 60)]));
    let mut world = World::new(Arc::clone(&a), 2);
    world.nodes[0].pauses_on_load = true;
    world.claim(0);
    world.run(Duration::from_millis(400));
    world.configure(Arc::clone(&b));
    world.claim(1);
    world.run_secs(25);
    world.nodes[1].reads_log = false;
    world.configure(a);
    world.run_secs(7);
    world.configure(b);
    world.run_secs(1);
    world.nodes[1].reads_log = true;
    world.run_secs(90);
    world.check(&[("b", "1")]);
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// The intent of an engine removed from the configuration must stay as long as the order may take
/// effect and then be settled; otherwise it would stay in every snapshot.
fn intent_of_a_removed_engine(fault: Fault, takeover: bool) {
    let mut world = world_with_order(Ignores, fault);
    world.configure(document(&[], &[]));
    let leader = usize::from(takeover);
    let mut expires_after = LATE_ORDER;
    if takeover {
        world.claim(leader);
        expires_after += SEND_WINDOW;
    }
    world.run(expires_after);
    assert_eq!(world.open_intents(leader), 1, "{}", world.transcript);
    world.run_secs(2);
    assert_eq!(world.open_intents(leader), 0, "{}", world.transcript);
    world.check(&[]);
}

/// `e1` is removed with A's order in flight, B takes over, and `e1` is added again for `b` after
/// `secs`. B must still count the order.
fn removed_engine_is_added_again(secs: u64) {
    let mut world = world_with_order(Ignores, Fault::Delayed(Duration::from_secs(19)));
    world.configure(document(&[], &[]));
    world.claim(1);
    world.run_secs(secs);
    world.configure(document(&[("e1", "d1", ENGINE_MEMORY, Ignores)], &[("b", "1", 60)]));
    world.run_secs(90);
    world.check(&[("b", "1")]);
    assert_eq!(world.open_intents(1), 0, "{}", world.transcript);
}

/// An intent recorded without the bound for late orders must never expire.
fn intent_without_its_bound() {
    let entry = LeaderEntry::Intent {
        upstream: id("e1"),
        generation: Generation(1),
        order: RecordId { boot: 1, seq: 1 },
        kind: Item::Model(id("a"), id("1")).load(MemSize(60)),
        late_order_ms: 20_000,
    };
    let mut old = serde_json::to_value(&entry).expect("an entry");
    old["Intent"].as_object_mut().expect("an intent").remove("late_order_ms");
    let read: LeaderEntry = serde_json::from_value(old).expect("an entry without the bound");
    assert_matches!(read, LeaderEntry::Intent { late_order_ms: u64::MAX, .. });
}

cases! {
    load_lost_then_takeover_refusing => fault_then_takeover(Refuses, Fault::Lost);
    load_lost_then_takeover_ignoring => fault_then_takeover(Ignores, Fault::Lost);
    load_late_then_takeover_refusing => fault_then_takeover(Refuses, Fault::Delayed(secs(8)));
    load_late_then_takeover_ignoring => fault_then_takeover(Ignores, Fault::Delayed(secs(8)));
    load_very_late_then_takeover_ignoring => fault_then_takeover(Ignores, Fault::Delayed(secs(19)));
    load_late_into_a_takeover_refusing => order_arrives_during_takeover(Refuses);
    load_late_into_a_takeover_ignoring => order_arrives_during_takeover(Ignores);
    load_answered_late_refusing => fault_then_takeover(Refuses, Fault::ResponseDelayed(secs(10)));
    load_answered_late_ignoring => fault_then_takeover(Ignores, Fault::ResponseDelayed(secs(10)));
    load_answer_lost_then_takeover_refusing => fault_then_takeover(Refuses, Fault::ResponseLost);
    load_answer_lost_then_takeover_ignoring => fault_then_takeover(Ignores, Fault::ResponseLost);
    frozen_with_load_in_hand_refusing => paused_with_unsent_load(Refuses, 5);
    frozen_with_load_in_hand_ignoring => paused_with_unsent_load(Ignores, 5);
    frozen_past_every_bound_refusing => paused_with_unsent_load(Refuses, 60);
    frozen_past_every_bound_ignoring => paused_with_unsent_load(Ignores, 60);
    intent_read_back_late => intent_read_back_after_takeover();
    old_version_still_answering_refusing => version_change(Refuses, false, Fault::None);
    old_version_still_answering_ignoring => version_change(Ignores, false, Fault::None);
    load_lost => fault_without_takeover(Refuses, Fault::Lost);
    load_lost_ignoring => fault_without_takeover(Ignores, Fault::Lost);
    load_answer_lost_refusing => fault_without_takeover(Refuses, Fault::ResponseLost);
    load_answer_lost_ignoring => fault_without_takeover(Ignores, Fault::ResponseLost);
    load_not_sent_ignoring => fault_without_takeover(Ignores, Fault::NotSent);
    two_at_once_late_copy_and_restart_refusing => late_copy_after_restart(Refuses);
    two_at_once_late_copy_and_restart_ignoring => late_copy_after_restart(Ignores);
    two_at_once_frozen_and_restart => paused_during_engine_restart();
    two_at_once_late_and_two_takeovers_refusing => two_takeovers(Refuses);
    two_at_once_late_and_two_takeovers_ignoring => two_takeovers(Ignores);
    two_at_once_version_change_and_takeover_refusing
        => version_change(Refuses, true, Fault::Delayed(secs(4)));
    two_at_once_version_change_and_takeover_ignoring
        => version_change(Ignores, true, Fault::Delayed(secs(4)));
    found_more_reserved_than_there_is => more_memory_reserved_than_available();
    intent_of_a_removed_engine_stays_until_its_bound
        => intent_of_a_removed_engine(Fault::Lost, false);
    intent_of_a_removed_engine_stays_until_its_bound_over_a_takeover
        => intent_of_a_removed_engine(Fault::Lost, true);
    intent_without_its_bound_is_kept => intent_without_its_bound();
    removed_engine_comes_back_before_a_late_order => removed_engine_is_added_again(5);
    removed_engine_comes_back_after_a_late_order => removed_engine_is_added_again(25);
    removed_engine_comes_back_after_its_bound => removed_engine_is_added_again(40);
    repeated_order_counts_anew => retried_order_is_counted_again();
    adapter_late_then_takeover_refusing => late_adapter(Refuses);
    adapter_late_then_takeover_ignoring => late_adapter(Ignores);
}
