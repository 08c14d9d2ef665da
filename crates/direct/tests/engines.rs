//! The list of known engines, across restarts of engines and restores of the store.

mod support;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    AttemptOutcome, Cursor, EngineId, EngineInfo, EngineState, Engines, Era, Load, LoadedModel,
    SendId, StartTime,
};
use proptest::collection::vec;
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use support::{engine_info, engines};

fn started_at(at: u64, holds: &[&str]) -> EngineInfo {
    EngineInfo { started_at: StartTime(Some(at)), ..engine_info("e1", "a", holds) }
}

fn engines_in_use() -> Engines {
    let mut engines = engines(&[("e1", "a", &[])]);
    engines.upsert(started_at(100, &["m"]));
    let engine = engines.get_mut(&id()).unwrap();
    engine.own_requests = 7;
    engine.accepted_orders = 3;
    engine.reported_load =
        Some((Load { running: 60, waiting: 4, slots: 64, ..Load::default() }, 10, 7));
    engine.placement_reported_at = Some(10);
    engine.prefill_backlog.add_own(SendId(1), 900, 10);
    engine.health.record(10, AttemptOutcome::Unreachable);
    engine.expect_adapter(&"m/a1".parse().unwrap());
    engines
}

fn id() -> EngineId {
    EngineId::from("e1")
}

#[test]
fn later_start_discards_all_known_state() {
    let mut engines = engines_in_use();
    engines.upsert(started_at(200, &[]));
    let engine = engines.get(&id()).unwrap();
    assert_eq!(
        (
            engine.own_requests,
            engine.accepted_orders,
            engine.reported_load,
            engine.placement_reported_at
        ),
        (0, 0, None, None)
    );
    assert_eq!((engine.prefill_backlog.tokens(20), engine.adapter_slots_used()), (0, 0));
    assert!(!engine.health.is_ejected(20) && engine.info.loaded.is_empty());
    assert_eq!(engines.take_restarted().len(), 1);
    assert!(engines.take_restarted().is_empty());
}

#[test]
fn entry_of_an_earlier_start_changes_nothing() {
    let mut engines = engines_in_use();
    engines.upsert(started_at(200, &["n"]));
    let mut late = started_at(100, &["m"]);
    late.state = EngineState::Leaving { terminates_at: None };
    engines.upsert(late);
    let engine = engines.get(&id()).unwrap();
    assert!(engine.accepts_requests() && engine.has_model("n") && !engine.has_model("m"));
}

/// Guards against applying a report about an earlier incarnation after a restart.
#[test]
fn report_of_a_later_start_replaces_an_earlier_one() {
    let mut engines = engines_in_use();
    let engine = engines.observe_start(&id(), StartTime(Some(200))).unwrap();
    assert!(engine.info.loaded.is_empty() && engine.own_requests == 0);
    engine.accepted_orders = 1;
    assert!(engines.observe_start(&id(), StartTime(Some(100))).is_none());
    assert_eq!(engines.observe_start(&id(), StartTime(Some(200))).unwrap().accepted_orders, 1);
}

fn loaded(adapters: &[&str]) -> Vec<LoadedModel> {
    let adapters = adapters.iter().map(|a| (*a).to_owned()).collect();
    vec![LoadedModel { model: "m".to_owned(), adapters }]
}

/// Guards against what an earlier leader knew taking back what a later one has surveyed, at whatever counts of orders.
#[test]
fn models_that_an_earlier_leader_reports_change_nothing() {
    let mut engines = engines_in_use();
    let engine = engines.get_mut(&id()).unwrap();
    assert!(engine.apply_reported_models(Some(7), 5, loaded(&["a1", "a2"]), 20));
    for (fence, orders) in [(Some(7), 4), (Some(6), 5), (Some(6), 9), (None, 4)] {
        assert!(!engine.apply_reported_models(fence, orders, loaded(&["a1"]), 30));
    }
    assert_eq!((&engine.info.loaded, engine.accepted_orders), (&loaded(&["a1", "a2"]), 5));
    assert_eq!(engine.placement_reported_at, Some(20));
}

/// Guards against news of the leader that are taken for old: of an equal count, after an order that did not count, and of a
/// lower one than an earlier leader had counted.
#[test]
fn models_that_the_newest_leader_reports_are_taken() {
    let mut engines = engines_in_use();
    let engine = engines.get_mut(&id()).unwrap();
    for (fence, orders) in [(Some(7), 5), (Some(7), 5), (Some(7), 6), (None, 6), (Some(8), 4)] {
        assert!(engine.apply_reported_models(fence, orders, loaded(&["a1"]), 20));
        assert_eq!(engine.accepted_orders, orders);
    }
    assert_eq!(engine.surveyed_under, 8);
}

/// Some engines do not report their start time, or not everywhere.
#[test]
fn report_without_a_start_applies_to_the_known_one() {
    let mut engines = engines_in_use();
    engines.upsert(engine_info("e1", "a", &["m", "n"]));
    let engine = engines.observe_start(&id(), StartTime(None)).unwrap();
    assert_eq!((engine.own_requests, engine.info.started_at), (7, StartTime(Some(100))));
    assert!(engines.take_restarted().is_empty());
}

#[test]
fn engine_whose_entry_cannot_be_read_is_not_used_until_one_can() {
    let mut engines = engines_in_use();
    engines.mark_unreadable(&id(), Cursor::default());
    assert!(!engines.get(&id()).unwrap().accepts_requests());
    engines.upsert(started_at(100, &["m"]));
    let engine = engines.get(&id()).unwrap();
    assert!(engine.accepts_requests() && engine.own_requests == 7);
}

/// Guards against applying loads of an earlier incarnation, however the restart became known.
#[test]
fn engine_is_found_by_the_key_of_its_latest_start_only() {
    let key = |started_at| EngineKey::of(&"e1".into(), StartTime(started_at));
    let mut engines = engines(&[("e1", "a", &["m"])]);
    assert!(engines.by_key(key(None)).is_some());
    let entry = |started_at| EngineInfo {
        started_at: StartTime(started_at),
        ..engine_info("e1", "a", &["m"])
    };
    engines.upsert(entry(Some(1)));
    assert!(engines.by_key(key(None)).is_none() && engines.by_key(key(Some(1))).is_some());
    engines.upsert(entry(Some(2)));
    assert!(engines.by_key(key(Some(1))).is_none() && engines.by_key(key(Some(2))).is_some());
    engines.observe_start(&"e1".into(), StartTime(Some(3)));
    assert!(engines.by_key(key(Some(2))).is_none() && engines.by_key(key(Some(3))).is_some());
    engines.remove(&"e1".into(), Cursor::default());
    assert!(engines.by_key(key(Some(3))).is_none());
}

fn at(era: &str, offset: u64) -> Cursor {
    Cursor::new(era.parse().unwrap(), offset)
}

fn entry(at: Cursor, state: EngineState) -> EngineInfo {
    EngineInfo { position: at, state, ..engine_info("e1", "a", &["m"]) }
}

const LEAVING: EngineState = EngineState::Leaving { terminates_at: None };

fn state(engines: &Engines) -> Option<EngineState> {
    engines.get(&id()).map(|engine| engine.info.state)
}

/// Guards against a delayed response of the store that makes a leaving engine ready again.
#[test]
fn older_answer_does_not_bring_back_an_engine_that_leaves() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.upsert(entry(at("0", 9), LEAVING));
    engines.apply_snapshot(vec![entry(at("0", 5), EngineState::Ready)], at("0", 8), false);
    assert_eq!(state(&engines), Some(LEAVING));
}

/// Guards against a delayed response that restores a removed engine or removes a new one.
#[test]
fn older_answer_neither_brings_back_nor_takes_away() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.remove(&id(), at("0", 9));
    engines.upsert(EngineInfo { position: at("0", 10), ..engine_info("e2", "a", &["m"]) });
    engines.apply_snapshot(vec![entry(at("0", 5), EngineState::Ready)], at("0", 8), false);
    assert_eq!(state(&engines), None);
    assert!(engines.get(&"e2".into()).is_some());
    engines.upsert(entry(at("0", 11), EngineState::Ready));
    assert_eq!(state(&engines), Some(EngineState::Ready), "its entry had expired");
}

/// Guards against sending to a leaving engine after a restore from a backup in which it was ready.
#[test]
fn engine_that_leaves_does_not_come_back_with_the_store() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.upsert(entry(at("0", 9), LEAVING));
    engines.set_backup_end(at("1", 7));
    engines.apply_snapshot(vec![entry(at("1", 5), EngineState::Ready)], at("1", 7), true);
    assert_eq!(state(&engines), Some(LEAVING));
    engines.upsert(entry(at("1", 7), EngineState::Ready));
    assert_eq!(state(&engines), Some(LEAVING), "a heartbeat from before the restore");
}

/// Guards against a delayed heartbeat that makes a leaving engine ready again.
#[test]
fn late_heartbeat_does_not_take_back_that_an_engine_leaves() {
    let mut engines = Engines::default();
    let started =
        |at, start, state| EngineInfo { started_at: StartTime(Some(start)), ..entry(at, state) };
    engines.upsert(started(at("0", 5), 100, EngineState::Ready));
    engines.upsert(started(at("0", 9), 100, LEAVING));
    engines.upsert(started(at("0", 11), 100, EngineState::Ready));
    assert_eq!(state(&engines), Some(LEAVING));
    engines.remove(&id(), at("0", 12));
    engines.upsert(started(at("0", 14), 100, EngineState::Ready));
    assert_eq!(state(&engines), Some(LEAVING));
    engines.upsert(started(at("0", 16), 200, EngineState::Ready));
    assert_eq!(state(&engines), Some(EngineState::Ready), "a later incarnation is not leaving");
}

/// Guards against using a removed engine that a restored backup still contains.
#[test]
fn removed_engine_returns_by_a_new_entry_only() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.remove(&id(), at("0", 9));
    engines.set_backup_end(at("1", 7));
    engines.apply_snapshot(vec![entry(at("1", 5), EngineState::Ready)], at("1", 7), true);
    assert_eq!(state(&engines), None);
    engines.upsert(entry(at("1", 8), EngineState::Ready));
    assert_eq!(state(&engines), Some(EngineState::Ready));
}

/// Guards against ignoring entries that were written after a restore.
/// Guards against using an engine that was removed before the node had heard of it: its entry may arrive
/// late, from a node that is behind.
#[test]
fn entry_from_before_a_complete_list_brings_no_unknown_engine() {
    let ready = |offset| entry(at("0", offset), EngineState::Ready);
    let mut engines = Engines::default();
    engines.apply_snapshot(Vec::new(), at("0", 30), false);
    engines.upsert(ready(20));
    assert_eq!(state(&engines), None);
    engines.apply_snapshot(vec![ready(20)], at("0", 25), false);
    assert_eq!(state(&engines), None, "also in a list that was read earlier");
    engines.record_complete(at("0", 40));
    engines.upsert(ready(35));
    assert_eq!(state(&engines), None);
    engines.apply_snapshot(vec![ready(35)], at("0", 41), false);
    assert_eq!(state(&engines), Some(EngineState::Ready), "a newer complete list is right");
}

#[test]
fn earliest_backup_end_counts() {
    let mut engines = Engines::default();
    engines.set_backup_end(at("1", 50));
    assert!(engines.is_from_backup(at("1", 45)) && !engines.is_from_backup(at("1", 50)));
    engines.set_backup_end(at("1", 40));
    assert!(!engines.is_from_backup(at("1", 45)) && engines.is_from_backup(at("1", 39)));
    engines.set_backup_end(at("0", 10));
    assert_eq!(engines.backup_end(), at("1", 40));
    engines.set_backup_end(at("2", 60));
    assert!(engines.is_from_backup(at("2", 45)) && !engines.is_from_backup(at("1", 39)));
    assert!(
        !Engines::default().is_from_backup(at("0", 0)),
        "nothing comes from a backup before a restore"
    );
}

/// Applies one change of the store's log.
fn apply_change(engines: &mut Engines, offset: u64, kind: u8) {
    let place = at("0", offset);
    match kind {
        0 => engines.upsert(entry(place, EngineState::Ready)),
        1 => engines.upsert(entry(place, LEAVING)),
        _ => engines.remove(&id(), place),
    }
}

proptest! {
    /// The latest position wins in any order of updates, and a leaving engine never becomes ready.
    #[test]
    fn latest_position_counts_in_any_order(
        log in vec(0_u8..3, 1..12),
        order in vec(0_usize..12, 0..40),
    ) {
        let mut engines = Engines::default();
        let mut read = order;
        read.retain(|n| *n < log.len());
        let Some(last) = read.iter().copied().max() else { return Ok(()) };
        let heard: Vec<u8> = read.iter().map(|n| log[*n]).collect();
        for n in read {
            apply_change(&mut engines, n as u64, log[n]);
        }
        let left = heard.contains(&1);
        let expected = match log[last] {
            2 => None,
            _ if left => Some(LEAVING),
            _ => Some(EngineState::Ready),
        };
        prop_assert_eq!(state(&engines), expected);
    }

    /// No restore from a backup makes a leaving or removed engine ready.
    #[test]
    fn backup_brings_nothing_back(log in vec(0_u8..3, 1..12), copied in 0_usize..12) {
        let mut engines = Engines::default();
        for (n, kind) in log.iter().enumerate() {
            apply_change(&mut engines, n as u64, *kind);
        }
        let before = state(&engines);
        let copy = &log[..copied.min(log.len())];
        let end = at("1", copy.len() as u64);
        engines.set_backup_end(end);
        for (n, kind) in copy.iter().enumerate() {
            match kind {
                0 => engines.upsert(entry(at("1", n as u64), EngineState::Ready)),
                1 => engines.upsert(entry(at("1", n as u64), LEAVING)),
                _ => {}
            }
        }
        if before != Some(EngineState::Ready) {
            prop_assert!(state(&engines) != Some(EngineState::Ready));
        }
    }
}

/// Key of the first start.
fn first_key() -> EngineKey {
    EngineKey::of(&id(), StartTime(Some(100)))
}

fn entry_at(offset: u64, info: EngineInfo) -> EngineInfo {
    EngineInfo { position: Cursor::new(Era::FIRST, offset), ..info }
}

/// Guards against an entry that lapses and comes back, and with it the requests that the engine did not want.
#[test]
fn rest_outlives_the_removal_and_the_return_of_an_entry() {
    let mut engines = engines_in_use();
    assert!(engines.record_rest(first_key(), 5_000, 1_000));
    assert!(!engines.record_rest(first_key(), 4_000, 1_000), "an earlier end changes nothing");
    engines.remove(&id(), Cursor::new(Era::FIRST, 5));
    engines.upsert(entry_at(6, started_at(100, &["m"])));
    let rest = |engines: &Engines, now| engines.get(&id()).unwrap().rest_for(true, now);
    assert_eq!(rest(&engines, 2_000), Some(3_000));
    assert_eq!(rest(&engines, 5_000), None);
    engines.upsert(entry_at(7, started_at(200, &["m"])));
    assert_eq!(rest(&engines, 2_000), None, "the next start has asked for none");
}

/// Guards against a rest that is told while the entry is away.
#[test]
fn rest_that_is_told_while_the_entry_is_gone_counts() {
    let mut engines = engines_in_use();
    engines.remove(&id(), Cursor::new(Era::FIRST, 5));
    engines.record_rest(first_key(), 5_000, 1_000);
    engines.upsert(entry_at(6, started_at(100, &["m"])));
    assert_eq!(engines.get(&id()).unwrap().rest_for(true, 2_000), Some(3_000));
}

/// Guards against a restored store, a late heartbeat or an entry that comes back: each said that the engine is ready.
#[test]
fn engine_that_said_that_it_leaves_stays_so_until_its_next_start() {
    let mut engines = engines_in_use();
    assert!(engines.record_leaving(first_key()));
    assert!(!engines.record_leaving(first_key()), "known");
    let accepts = |engines: &Engines| engines.get(&id()).unwrap().accepts_requests();
    engines.upsert(entry_at(6, started_at(100, &["m"])));
    assert!(!accepts(&engines));
    engines.remove(&id(), Cursor::new(Era::FIRST, 7));
    engines.upsert(entry_at(8, started_at(100, &["m"])));
    assert!(!accepts(&engines));
    engines.upsert(entry_at(9, started_at(200, &["m"])));
    assert!(accepts(&engines));
    assert!(!engines.record_leaving(first_key()), "the earlier start says nothing of this one");
    assert!(accepts(&engines));
}

/// Guards against a notice that is lost as the entry is away when it comes.
#[test]
fn engine_that_said_it_leaves_while_its_entry_is_gone_comes_back_leaving() {
    let mut engines = engines_in_use();
    engines.remove(&id(), Cursor::new(Era::FIRST, 5));
    assert!(!engines.record_leaving(first_key()), "nobody uses it");
    engines.upsert(entry_at(6, started_at(100, &["m"])));
    assert!(!engines.get(&id()).unwrap().accepts_requests());
}
