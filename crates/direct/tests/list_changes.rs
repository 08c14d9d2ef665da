//! The list of engines, as nodes distribute it to each other.

mod support;

use hgw_direct::{
    Cursor, EngineInfo, EngineState, Engines, Era, ListChanges, ListUpdateKind, ListVersion,
    StartTime, polls_store,
};
use support::{engines, listed};

fn at(offset: u64) -> Cursor {
    Cursor::new(Era::FIRST, offset)
}

fn place(offset: u64) -> ListVersion {
    ListVersion::at_position(at(offset))
}

fn many(count: usize) -> Engines {
    let mut engines = Engines::default();
    for number in 0..count {
        engines.upsert(listed(&format!("e{number}"), "a", &["m"]));
    }
    engines
}

/// Guards against sending the complete list to nodes that need only the latest changes.
#[test]
fn changes_are_told_from_where_the_other_list_ends() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"]), ("e3", "a", &["m"])]);
    let mut listing = ListChanges::default();
    listing.update(&engines, at(100));
    assert!(listing.is_up_to_date(Some(place(100))));
    engines.get_mut(&"e1".into()).unwrap().info.state =
        EngineState::Leaving { terminates_at: None };
    engines.remove(&"e2".into(), Cursor::default());
    listing.update(&engines, at(140));
    let news = listing.changes_since(&engines, Some(place(120)));
    assert_eq!((news.kind, news.version), (ListUpdateKind::Changes, place(140)));
    assert!(news.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{news:?}");
    assert!(news.engines[0].leaving && news.removed == [("e2".into(), at(0))], "{news:?}");
    assert!(listing.is_up_to_date(Some(place(140))));
    assert!(
        listing.changes_since(&engines, Some(place(150))).engines.is_empty(),
        "that node has read further"
    );
}

/// Guards against missing a change that was learned without reading on in the log.
#[test]
fn change_without_reading_on_is_told_as_a_later_one() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut listing = ListChanges::default();
    listing.update(&engines, at(100));
    engines.remove(&"e1".into(), Cursor::default());
    listing.update(&engines, at(100));
    assert_eq!(listing.changes_since(&engines, Some(place(100))).removed, [("e1".into(), at(0))]);
}

#[test]
fn node_that_lags_behind_is_told_a_short_list_and_reads_a_long_one() {
    let (short, long) = (many(13), many(3_000));
    for (engines, part) in [(&short, ListUpdateKind::Full), (&long, ListUpdateKind::RereadStore)] {
        let mut listing = ListChanges::default();
        listing.update(engines, at(100));
        let news = listing.changes_since(engines, Some(place(50)));
        assert_eq!(news.kind, part);
        assert_eq!(news.engines.len(), if part == ListUpdateKind::Full { 13 } else { 0 });
    }
    assert_eq!(ListChanges::default().changes_since(&short, None).engines, []);
}

/// Guards against overloading the store when all nodes read a long list.
#[test]
fn few_nodes_read_a_long_list_when_nobody_reads_it_for_all() {
    let readers =
        |engines: &Engines, crowd| (0..300).filter(|d| polls_store(engines, crowd, *d)).count();
    assert_eq!(readers(&many(3_000), 12), 25);
    assert_eq!(
        readers(&many(112), 12),
        300,
        "a short list is read by all, within the time to follow it"
    );
    assert_eq!(readers(&many(3_000), 1), 300, "so is any by few nodes");
}

/// Changes of state are returned once, and not for the first list.
#[test]
fn each_change_of_standing_is_told_once() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut listing = ListChanges::default();
    let mut told = |engines: &Engines, at| {
        let changes = listing.update(engines, at);
        changes.iter().map(|c| format!("{} {c}", c.engine)).collect::<Vec<_>>().join(", ")
    };
    assert_eq!(told(&engines, at(100)), "");
    engines.get_mut(&"e1".into()).unwrap().info.state =
        EngineState::Leaving { terminates_at: None };
    engines.get_mut(&"e2".into()).unwrap().info.warmup_ms_left = 50;
    assert_eq!(told(&engines, at(110)), "e1 leaving");
    engines.remove(&"e1".into(), Cursor::default());
    engines.upsert(listed("e3", "a", &["m"]));
    assert_eq!(told(&engines, at(120)), "e3 ready, e1 gone");
    assert_eq!(told(&engines, at(130)), "");
}

/// Guards against removing an engine whose entry expired and returned between two updates.
#[test]
fn engine_that_came_back_is_not_told_as_gone() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut listing = ListChanges::default();
    listing.update(&engines, at(100));
    engines.remove(&"e1".into(), Cursor::default());
    listing.update(&engines, at(110));
    engines.upsert(EngineInfo { position: at(115), ..listed("e1", "a", &["m"]) });
    listing.update(&engines, at(120));
    let news = listing.changes_since(&engines, Some(place(100)));
    assert!(news.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{news:?}");
    assert_eq!(news.removed, []);
}

/// Guards against missing changes of a new leader that has not learned what the previous one had.
#[test]
fn who_reads_on_is_ahead_of_who_found_something_out() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let (mut first, mut second) = (ListChanges::default(), ListChanges::default());
    first.update(&engines, at(100));
    second.update(&engines, at(100));
    let mut found = engines.clone();
    found.observe_start(&"e2".into(), StartTime(Some(200)));
    first.update(&found, at(100));
    let told = first.changes_since(&found, Some(place(100))).version;
    engines.upsert(EngineInfo {
        position: at(100),
        state: EngineState::Leaving { terminates_at: None },
        ..listed("e1", "a", &["m"])
    });
    second.update(&engines, at(101));
    let news = second.changes_since(&engines, Some(told));
    assert!(news.engines.iter().any(|e| e.engine == "e1".into() && e.leaving), "{news:?}");
}

/// Guards against missing changes after a restore from a shorter, equal or longer log.
#[test]
fn changes_are_told_on_over_an_era() {
    for end in [60, 100, 140] {
        let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
        let mut listing = ListChanges::default();
        listing.update(&engines, at(100));
        let later = |offset| Cursor::new("1".parse().unwrap(), offset);
        listing.update(&engines, later(end));
        engines.upsert(EngineInfo {
            position: later(end),
            state: EngineState::Leaving { terminates_at: None },
            ..listed("e1", "a", &["m"])
        });
        listing.update(&engines, later(end + 1));
        let news = listing.changes_since(&engines, Some(place(100)));
        assert!(news.engines.iter().any(|e| e.engine == "e1".into() && e.leaving), "{news:?}");
        assert!(listing.is_up_to_date(Some(ListVersion::at_position(later(end + 1)))));
    }
}
