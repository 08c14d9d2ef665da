//! The list of known engines, across restarts of engines and restores of the store.

mod support;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    AttemptOutcome, Cursor, EngineId, EngineInfo, EngineState, Engines, Load, SendId, StartTime,
};
use proptest::collection::vec;
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use support::{engines, listed};

fn born(at: u64, holds: &[&str]) -> EngineInfo {
    EngineInfo { started_at: StartTime(Some(at)), ..listed("e1", "a", holds) }
}

fn used() -> Engines {
    let mut engines = engines(&[("e1", "a", &[])]);
    engines.upsert(born(100, &["m"]));
    let engine = engines.get_mut(&id()).unwrap();
    engine.own_requests = 7;
    engine.accepted_orders = 3;
    engine.reported_load = Some((Load { running: 60, waiting: 4, slots: 64 }, 10, 7));
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
fn later_start_ends_all_that_was_believed() {
    let mut engines = used();
    engines.upsert(born(200, &[]));
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
    let mut engines = used();
    engines.upsert(born(200, &["n"]));
    let mut late = born(100, &["m"]);
    late.state = EngineState::Leaving { terminates_at: None };
    engines.upsert(late);
    let engine = engines.get(&id()).unwrap();
    assert!(engine.accepts_requests() && engine.has_model("n") && !engine.has_model("m"));
}

/// Guards against applying a report about an earlier incarnation after a restart.
#[test]
fn word_of_a_later_start_goes_before_one_of_the_earlier() {
    let mut engines = used();
    let engine = engines.observe_start(&id(), StartTime(Some(200))).unwrap();
    assert!(engine.info.loaded.is_empty() && engine.own_requests == 0);
    engine.accepted_orders = 1;
    assert!(engines.observe_start(&id(), StartTime(Some(100))).is_none());
    assert_eq!(engines.observe_start(&id(), StartTime(Some(200))).unwrap().accepted_orders, 1);
}

/// Some engines do not report their start time, or not everywhere.
#[test]
fn word_without_a_start_holds_for_the_start_that_is_known() {
    let mut engines = used();
    engines.upsert(listed("e1", "a", &["m", "n"]));
    let engine = engines.observe_start(&id(), StartTime(None)).unwrap();
    assert_eq!((engine.own_requests, engine.info.started_at), (7, StartTime(Some(100))));
    assert!(engines.take_restarted().is_empty());
}

#[test]
fn engine_whose_entry_cannot_be_read_is_not_used_until_one_can() {
    let mut engines = used();
    engines.mark_unreadable(&id(), Cursor::default());
    assert!(!engines.get(&id()).unwrap().accepts_requests());
    engines.upsert(born(100, &["m"]));
    let engine = engines.get(&id()).unwrap();
    assert!(engine.accepts_requests() && engine.own_requests == 7);
}

/// Guards against applying loads of an earlier incarnation, however the restart became known.
#[test]
fn engine_is_found_by_the_name_of_its_newest_start_alone() {
    let named = |born| EngineKey::of(&"e1".into(), StartTime(born));
    let mut engines = engines(&[("e1", "a", &["m"])]);
    assert!(engines.by_key(named(None)).is_some());
    let entry = |born| EngineInfo { started_at: StartTime(born), ..listed("e1", "a", &["m"]) };
    engines.upsert(entry(Some(1)));
    assert!(engines.by_key(named(None)).is_none() && engines.by_key(named(Some(1))).is_some());
    engines.upsert(entry(Some(2)));
    assert!(engines.by_key(named(Some(1))).is_none() && engines.by_key(named(Some(2))).is_some());
    engines.observe_start(&"e1".into(), StartTime(Some(3)));
    assert!(engines.by_key(named(Some(2))).is_none() && engines.by_key(named(Some(3))).is_some());
    engines.remove(&"e1".into(), Cursor::default());
    assert!(engines.by_key(named(Some(3))).is_none());
}

fn at(era: &str, offset: u64) -> Cursor {
    Cursor::new(era.parse().unwrap(), offset)
}

fn entry(at: Cursor, standing: EngineState) -> EngineInfo {
    EngineInfo { position: at, state: standing, ..listed("e1", "a", &["m"]) }
}

const LEAVING: EngineState = EngineState::Leaving { terminates_at: None };

fn standing(engines: &Engines) -> Option<EngineState> {
    engines.get(&id()).map(|engine| engine.info.state)
}

/// Guards against a delayed response of the store that makes a leaving engine ready again.
#[test]
fn older_answer_does_not_bring_back_an_engine_that_leaves() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.upsert(entry(at("0", 9), LEAVING));
    engines.apply_snapshot(vec![entry(at("0", 5), EngineState::Ready)], at("0", 8), false);
    assert_eq!(standing(&engines), Some(LEAVING));
}

/// Guards against a delayed response that restores a removed engine or removes a new one.
#[test]
fn older_answer_neither_brings_back_nor_takes_away() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.remove(&id(), at("0", 9));
    engines.upsert(EngineInfo { position: at("0", 10), ..listed("e2", "a", &["m"]) });
    engines.apply_snapshot(vec![entry(at("0", 5), EngineState::Ready)], at("0", 8), false);
    assert_eq!(standing(&engines), None);
    assert!(engines.get(&"e2".into()).is_some());
    engines.upsert(entry(at("0", 11), EngineState::Ready));
    assert_eq!(standing(&engines), Some(EngineState::Ready), "its entry had lapsed");
}

/// Guards against sending to a leaving engine after a restore from a backup in which it was ready.
#[test]
fn engine_that_leaves_does_not_come_back_with_the_store() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.upsert(entry(at("0", 9), LEAVING));
    engines.set_backup_end(at("1", 7));
    engines.apply_snapshot(vec![entry(at("1", 5), EngineState::Ready)], at("1", 7), true);
    assert_eq!(standing(&engines), Some(LEAVING));
    engines.upsert(entry(at("1", 7), EngineState::Ready));
    assert_eq!(standing(&engines), Some(LEAVING), "a heartbeat from before, written again");
}

/// Guards against a delayed heartbeat that makes a leaving engine ready again.
#[test]
fn late_heartbeat_does_not_take_back_that_an_engine_leaves() {
    let mut engines = Engines::default();
    let born = |at, start, standing| EngineInfo {
        started_at: StartTime(Some(start)),
        ..entry(at, standing)
    };
    engines.upsert(born(at("0", 5), 100, EngineState::Ready));
    engines.upsert(born(at("0", 9), 100, LEAVING));
    engines.upsert(born(at("0", 11), 100, EngineState::Ready));
    assert_eq!(standing(&engines), Some(LEAVING));
    engines.remove(&id(), at("0", 12));
    engines.upsert(born(at("0", 14), 100, EngineState::Ready));
    assert_eq!(standing(&engines), Some(LEAVING));
    engines.upsert(born(at("0", 16), 200, EngineState::Ready));
    assert_eq!(standing(&engines), Some(EngineState::Ready), "a later start has said nothing");
}

/// Guards against using a removed engine that a restored backup still contains.
#[test]
fn engine_that_is_gone_comes_back_by_its_own_word_only() {
    let mut engines = Engines::default();
    engines.upsert(entry(at("0", 5), EngineState::Ready));
    engines.remove(&id(), at("0", 9));
    engines.set_backup_end(at("1", 7));
    engines.apply_snapshot(vec![entry(at("1", 5), EngineState::Ready)], at("1", 7), true);
    assert_eq!(standing(&engines), None);
    engines.upsert(entry(at("1", 8), EngineState::Ready));
    assert_eq!(standing(&engines), Some(EngineState::Ready));
}

/// Guards against ignoring entries that were written after a restore.
#[test]
fn earliest_end_of_a_copy_counts() {
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
        "nothing is copied before the store went away"
    );
}

/// Applies one change of the store's log.
fn takes(engines: &mut Engines, offset: u64, kind: u8) {
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
    fn last_place_counts_in_whatever_order_words_come(
        log in vec(0_u8..3, 1..12),
        order in vec(0_usize..12, 0..40),
    ) {
        let mut engines = Engines::default();
        let mut read = order;
        read.retain(|n| *n < log.len());
        let Some(last) = read.iter().copied().max() else { return Ok(()) };
        let heard: Vec<u8> = read.iter().map(|n| log[*n]).collect();
        for n in read {
            takes(&mut engines, n as u64, log[n]);
        }
        let left = heard.contains(&1);
        let expected = match log[last] {
            2 => None,
            _ if left => Some(LEAVING),
            _ => Some(EngineState::Ready),
        };
        prop_assert_eq!(standing(&engines), expected);
    }

    /// No restore from a backup makes a leaving or removed engine ready.
    #[test]
    fn copy_brings_nothing_back(log in vec(0_u8..3, 1..12), copied in 0_usize..12) {
        let mut engines = Engines::default();
        for (n, kind) in log.iter().enumerate() {
            takes(&mut engines, n as u64, *kind);
        }
        let before = standing(&engines);
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
            prop_assert!(standing(&engines) != Some(EngineState::Ready));
        }
    }
}
