//! The list of engines, as nodes distribute it to each other.

mod nodes;
mod parts;
#[path = "../support/mod.rs"]
mod support;

use hgw_direct::{
    ChangePosition, Cursor, EngineInfo, EngineState, Engines, Era, ListChanges, ListUpdateKind,
    ListVersion, StartTime, polls_store,
};
use support::{engine_info, engines};

fn at(offset: u64) -> Cursor {
    Cursor::new(Era::FIRST, offset)
}

fn version(offset: u64) -> ListVersion {
    ListVersion::at_position(at(offset))
}

/// Position of a node that no other node has sent an update.
const UNSEEN: ChangePosition = ChangePosition::new(0, 0);

fn many_engines(count: usize) -> Engines {
    let mut engines = Engines::default();
    for number in 0..count {
        engines.upsert(engine_info(&format!("e{number}"), "a", &["m"]));
    }
    engines
}

/// Guards against sending the complete list to nodes that need only the latest changes.
#[test]
fn changes_are_sent_from_the_receivers_version() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"]), ("e3", "a", &["m"])]);
    let mut changes_log = ListChanges::default();
    changes_log.update(&engines, at(100));
    assert!(changes_log.is_up_to_date(Some(version(100)), UNSEEN));
    engines.get_mut(&"e1".into()).unwrap().info.state =
        EngineState::Leaving { terminates_at: None };
    engines.remove(&"e2".into(), Cursor::default());
    changes_log.update(&engines, at(140));
    let update = changes_log.changes_since(&engines, Some(version(120)), UNSEEN);
    assert_eq!((update.kind, update.version), (ListUpdateKind::Changes, version(140)));
    assert!(update.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{update:?}");
    assert!(update.engines[0].leaving && update.removed == [("e2".into(), at(0))], "{update:?}");
    assert!(changes_log.is_up_to_date(Some(version(140)), UNSEEN));
    // A node that has read further gets no changes, but every departure: it may have read only
    // newer entries of the engines that left.
    engines.get_mut(&"e3".into()).unwrap().info.slots = 2;
    changes_log.update(&engines, at(145));
    let update = changes_log.changes_since(&engines, Some(version(150)), UNSEEN);
    assert!(update.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{update:?}");
    assert!(update.engines[0].leaving && update.removed == [("e2".into(), at(0))], "{update:?}");
}

/// Guards against missing a change that was learned without reading on in the log.
#[test]
fn change_without_reading_on_gets_a_later_version() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut changes_log = ListChanges::default();
    changes_log.update(&engines, at(100));
    engines.remove(&"e1".into(), Cursor::default());
    changes_log.update(&engines, at(100));
    assert_eq!(
        changes_log.changes_since(&engines, Some(version(100)), UNSEEN).removed,
        [("e1".into(), at(0))]
    );
}

#[test]
fn node_that_lags_behind_gets_a_short_list_at_once() {
    let engines = many_engines(13);
    let mut changes_log = ListChanges::default();
    changes_log.update(&engines, at(100));
    let update = changes_log.changes_since(&engines, Some(version(50)), UNSEEN);
    assert_eq!((update.kind, update.has_more), (ListUpdateKind::Full, false));
    assert_eq!((update.engines.len(), update.version), (13, version(100)));
    assert_eq!(ListChanges::default().changes_since(&engines, None, UNSEEN).engines, []);
}

/// Guards against overloading the store when all nodes read a long list.
#[test]
fn few_nodes_read_a_long_list_when_nobody_reads_it_for_all() {
    let readers = |engines: &Engines, interval_factor| {
        (0..300).filter(|d| polls_store(engines, false, interval_factor, *d)).count()
    };
    assert_eq!(readers(&many_engines(3_000), 12), 25);
    assert_eq!(readers(&many_engines(112), 12), 300, "every node polls for a short list");
    assert_eq!(readers(&many_engines(3_000), 1), 300, "few nodes poll for any list");
}

/// Guards against a domain whose nodes all read the store while there is no leader: their hub must keep
/// reading, whatever number it drew.
#[test]
fn hub_reads_the_store_for_the_nodes_behind_it() {
    for count in [4_000, 8_000] {
        let engines = many_engines(count);
        assert!((0..300).all(|number| polls_store(&engines, true, 12, number)));
    }
}

/// Changes of state are returned once, and not for the first list.
#[test]
fn each_change_of_state_is_returned_once() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut changes_log = ListChanges::default();
    let mut reported = |engines: &Engines, at| {
        let changes = changes_log.update(engines, at);
        changes.iter().map(|c| format!("{} {c}", c.engine)).collect::<Vec<_>>().join(", ")
    };
    assert_eq!(reported(&engines, at(100)), "");
    engines.get_mut(&"e1".into()).unwrap().info.state =
        EngineState::Leaving { terminates_at: None };
    engines.get_mut(&"e2".into()).unwrap().info.warmup_ms_left = 50;
    assert_eq!(reported(&engines, at(110)), "e1 leaving");
    engines.remove(&"e1".into(), Cursor::default());
    engines.upsert(engine_info("e3", "a", &["m"]));
    assert_eq!(reported(&engines, at(120)), "e3 ready, e1 gone");
    assert_eq!(reported(&engines, at(130)), "");
}

/// Guards against removing an engine whose entry expired and returned between two updates.
#[test]
fn engine_that_came_back_is_not_reported_as_removed() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut changes_log = ListChanges::default();
    changes_log.update(&engines, at(100));
    engines.remove(&"e1".into(), Cursor::default());
    changes_log.update(&engines, at(110));
    engines.upsert(EngineInfo { position: at(115), ..engine_info("e1", "a", &["m"]) });
    changes_log.update(&engines, at(120));
    let update = changes_log.changes_since(&engines, Some(version(100)), UNSEEN);
    assert!(update.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{update:?}");
    assert_eq!(update.removed, []);
}

/// Guards against missing changes of a new leader that has not learned what the previous one had.
#[test]
fn reading_on_is_newer_than_a_change_found_without() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let (mut first, mut second) = (ListChanges::default(), ListChanges::default());
    first.update(&engines, at(100));
    second.update(&engines, at(100));
    let mut found = engines.clone();
    found.observe_start(&"e2".into(), StartTime(Some(200)));
    first.update(&found, at(100));
    let reported = first.changes_since(&found, Some(version(100)), UNSEEN).version;
    engines.upsert(EngineInfo {
        position: at(100),
        state: EngineState::Leaving { terminates_at: None },
        ..engine_info("e1", "a", &["m"])
    });
    second.update(&engines, at(101));
    let update = second.changes_since(&engines, Some(reported), UNSEEN);
    assert!(update.engines.iter().any(|e| e.engine == "e1".into() && e.leaving), "{update:?}");
}

/// Guards against missing changes after a restore from a shorter, equal or longer log.
#[test]
fn changes_are_sent_across_eras() {
    for end in [60, 100, 140] {
        let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
        let mut changes_log = ListChanges::default();
        changes_log.update(&engines, at(100));
        let later = |offset| Cursor::new("1".parse().unwrap(), offset);
        changes_log.update(&engines, later(end));
        engines.upsert(EngineInfo {
            position: later(end),
            state: EngineState::Leaving { terminates_at: None },
            ..engine_info("e1", "a", &["m"])
        });
        changes_log.update(&engines, later(end + 1));
        let update = changes_log.changes_since(&engines, Some(version(100)), UNSEEN);
        assert!(update.engines.iter().any(|e| e.engine == "e1".into() && e.leaving), "{update:?}");
        assert!(changes_log.is_up_to_date(Some(ListVersion::at_position(later(end + 1))), UNSEEN));
    }
}
