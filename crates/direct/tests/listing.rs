//! The list of engines, passed on from the node that reads it to the others.

mod support;

use hgw_direct::{Engines, ListPart, Listing, Standing, reads_on};
use support::{engines, listed};

fn many(count: usize) -> Engines {
    let mut engines = Engines::default();
    for number in 0..count {
        engines.list(listed(&format!("e{number}"), "a", &["m"]));
    }
    engines
}

/// A node that has read the list itself is told what came after, and by any node that has followed it since: with
/// numbers of its own a new reader sent everybody the whole list.
#[test]
fn changes_are_told_from_where_the_other_list_ends() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"]), ("e3", "a", &["m"])]);
    let mut listing = Listing::default();
    listing.look(&engines, 100);
    assert!(listing.has_nothing_since(Some(100)));
    engines.get_mut(&"e1".into()).unwrap().listed.standing = Standing::Leaving { gone_at: None };
    engines.unlist(&"e2".into());
    listing.look(&engines, 140);
    let news = listing.since(&engines, Some(120));
    assert_eq!((news.part, news.cursor), (ListPart::Changes, 140));
    assert!(news.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{news:?}");
    assert!(news.engines[0].leaving && news.gone == ["e2".into()], "{news:?}");
    assert!(listing.has_nothing_since(Some(140)));
    assert!(listing.since(&engines, Some(150)).engines.is_empty(), "that node has read further");
}

/// Another node has found out that an engine is another one now; nothing was read of the log since.
#[test]
fn change_without_reading_on_is_told_as_a_later_one() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut listing = Listing::default();
    listing.look(&engines, 100);
    engines.unlist(&"e1".into());
    listing.look(&engines, 100);
    assert_eq!(listing.since(&engines, Some(100)).gone, ["e1".into()]);
}

#[test]
fn node_that_lags_behind_is_told_a_short_list_and_reads_a_long_one() {
    let (short, long) = (many(13), many(3_000));
    for (engines, part) in [(&short, ListPart::Whole), (&long, ListPart::ReadAnew)] {
        let mut listing = Listing::default();
        listing.look(engines, 100);
        let news = listing.since(engines, Some(50));
        assert_eq!(news.part, part);
        assert_eq!(news.engines.len(), if part == ListPart::Whole { 13 } else { 0 });
    }
    assert_eq!(Listing::default().since(&short, None).engines, []);
}

/// Three hundred nodes and three thousand engines: the store gives eighty megabytes a second, and what the engines
/// write is more than half a megabyte a second for each reader.
#[test]
fn few_nodes_read_a_long_list_when_nobody_reads_it_for_all() {
    let readers =
        |engines: &Engines, crowd| (0..300).filter(|d| reads_on(engines, crowd, *d)).count();
    assert_eq!(readers(&many(3_000), 12), 25);
    assert_eq!(
        readers(&many(112), 12),
        300,
        "a short list is read by all, within the time to follow it"
    );
    assert_eq!(readers(&many(3_000), 1), 300, "so is any by few nodes");
}

/// What a node believes of an engine's standing is told once for each change, and not for the list that it begins with.
#[test]
fn each_change_of_standing_is_told_once() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut listing = Listing::default();
    let mut told = |engines: &Engines, at| {
        let changes = listing.look(engines, at);
        changes.iter().map(|c| format!("{} {c}", c.engine)).collect::<Vec<_>>().join(", ")
    };
    assert_eq!(told(&engines, 100), "");
    engines.get_mut(&"e1".into()).unwrap().listed.standing = Standing::Leaving { gone_at: None };
    engines.get_mut(&"e2".into()).unwrap().listed.cold_ms = 50;
    assert_eq!(told(&engines, 110), "e1 leaving");
    engines.unlist(&"e1".into());
    engines.list(listed("e3", "a", &["m"]));
    assert_eq!(told(&engines, 120), "e3 ready, e1 gone");
    assert_eq!(told(&engines, 130), "");
}

/// An engine's entry lapses and is back before another node asks again. That node must not take it for gone: it would
/// send nothing there until the engine changes once more.
#[test]
fn engine_that_came_back_is_not_told_as_gone() {
    let mut engines = engines(&[("e1", "a", &["m"]), ("e2", "a", &["m"])]);
    let mut listing = Listing::default();
    listing.look(&engines, 100);
    engines.unlist(&"e1".into());
    listing.look(&engines, 110);
    engines.list(listed("e1", "a", &["m"]));
    listing.look(&engines, 120);
    let news = listing.since(&engines, Some(100));
    assert!(news.engines.iter().map(|e| e.engine.0.as_str()).eq(["e1"]), "{news:?}");
    assert_eq!(news.gone, []);
}
