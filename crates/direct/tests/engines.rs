//! What is believed of engines that start anew.

mod support;

use hgw_direct::flights::EngineKey;
use hgw_direct::{EngineId, Engines, Listed, Load, SendId, Standing, Start, Verdict};
use support::{engines, listed};

fn born(at: u64, holds: &[&str]) -> Listed {
    Listed { start: Start(Some(at)), ..listed("e1", "a", holds) }
}

fn used() -> Engines {
    let mut engines = engines(&[("e1", "a", &[])]);
    engines.list(born(100, &["m"]));
    let engine = engines.get_mut(&id()).unwrap();
    engine.own = 7;
    engine.orders = 3;
    engine.told = Some((Load { running: 60, waiting: 4, slots: 64 }, 10, 7));
    engine.told_at = Some(10);
    engine.unread.send(SendId(1), 900, 10);
    engine.judge.saw(10, Verdict::Silent);
    engine.expect(&"m/a1".parse().unwrap());
    engines
}

fn id() -> EngineId {
    EngineId::from("e1")
}

#[test]
fn later_start_ends_all_that_was_believed() {
    let mut engines = used();
    engines.list(born(200, &[]));
    let engine = engines.get(&id()).unwrap();
    assert_eq!((engine.own, engine.orders, engine.told, engine.told_at), (0, 0, None, None));
    assert_eq!((engine.unread.tokens(20), engine.places_taken()), (0, 0));
    assert!(!engine.judge.is_left_alone(20) && engine.listed.held.is_empty());
    assert_eq!(engines.take_anew().len(), 1);
    assert!(engines.take_anew().is_empty());
}

#[test]
fn entry_of_an_earlier_start_changes_nothing() {
    let mut engines = used();
    engines.list(born(200, &["n"]));
    let mut late = born(100, &["m"]);
    late.standing = Standing::Leaving { gone_at: None };
    engines.list(late);
    let engine = engines.get(&id()).unwrap();
    assert!(engine.takes_work() && engine.holds_model("n") && !engine.holds_model("m"));
}

/// Another node has read of the later start first, and tells of the engine: what it tells holds for that start, and
/// what others tell of the earlier one does not any more.
#[test]
fn word_of_a_later_start_goes_before_one_of_the_earlier() {
    let mut engines = used();
    let engine = engines.meet(&id(), Start(Some(200))).unwrap();
    assert!(engine.listed.held.is_empty() && engine.own == 0);
    engine.orders = 1;
    assert!(engines.meet(&id(), Start(Some(100))).is_none());
    assert_eq!(engines.meet(&id(), Start(Some(200))).unwrap().orders, 1);
}

/// Some engines say nothing of their start, or not everywhere.
#[test]
fn word_without_a_start_holds_for_the_start_that_is_known() {
    let mut engines = used();
    engines.list(listed("e1", "a", &["m", "n"]));
    let engine = engines.meet(&id(), Start(None)).unwrap();
    assert_eq!((engine.own, engine.listed.start), (7, Start(Some(100))));
    assert!(engines.take_anew().is_empty());
}

#[test]
fn engine_whose_entry_cannot_be_read_is_not_used_until_one_can() {
    let mut engines = used();
    engines.spoil(&id());
    assert!(!engines.get(&id()).unwrap().takes_work());
    engines.list(born(100, &["m"]));
    let engine = engines.get(&id()).unwrap();
    assert!(engine.takes_work() && engine.own == 7);
}

/// What other nodes have at an engine is told under the short name of one start of it. Told of an earlier start it must
/// find nothing, whether a new entry, another node's word, or an entry that first says when it started ended that.
#[test]
fn engine_is_found_by_the_name_of_its_newest_start_alone() {
    let named = |born| EngineKey::of(&"e1".into(), Start(born));
    let mut engines = engines(&[("e1", "a", &["m"])]);
    assert!(engines.by_key(named(None)).is_some());
    let entry = |born| Listed { start: Start(born), ..listed("e1", "a", &["m"]) };
    engines.list(entry(Some(1)));
    assert!(engines.by_key(named(None)).is_none() && engines.by_key(named(Some(1))).is_some());
    engines.list(entry(Some(2)));
    assert!(engines.by_key(named(Some(1))).is_none() && engines.by_key(named(Some(2))).is_some());
    engines.meet(&"e1".into(), Start(Some(3)));
    assert!(engines.by_key(named(Some(2))).is_none() && engines.by_key(named(Some(3))).is_some());
    engines.unlist(&"e1".into());
    assert!(engines.by_key(named(Some(3))).is_none());
}
