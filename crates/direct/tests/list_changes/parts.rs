//! Full lists that are sent in several updates.

use hgw_direct::{
    ChangePosition, EngineId, Engines, ListChanges, ListReceiver, ListUpdate, ListUpdateKind,
    ListVersion,
};

use crate::support::engine_info;
use crate::{at, many_engines, version};

/// Maximum size of a message between nodes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Maximum number of engines in one update.
const MAX_ENTRIES: usize = 400;

/// The node that sends the list.
struct Sender {
    engines: Engines,
    changes: ListChanges,
}

impl Sender {
    fn new(engines: Engines) -> Sender {
        let mut changes = ListChanges::new(7);
        changes.update(&engines, at(100));
        Sender { engines, changes }
    }
}

/// The node that polls it.
#[derive(Default)]
struct Poller {
    engines: Engines,
    receiver: ListReceiver,
    seen: ChangePosition,
    version: Option<ListVersion>,
}

impl Poller {
    fn poll(&mut self, sender: &Sender) -> ListUpdate {
        let version = self.version.filter(|_| !self.receiver.is_incomplete()).unwrap_or_default();
        let update = sender.changes.changes_since(&sender.engines, Some(version), self.seen);
        self.seen = update.seen;
        let version = self.receiver.apply(update.clone(), &mut self.engines);
        self.version = self.version.max(version);
        update
    }

    fn ids(&self) -> Vec<&EngineId> {
        let mut ids: Vec<&EngineId> = self.engines.iter().map(|e| &e.info.id).collect();
        ids.sort_unstable();
        ids
    }
}

/// Updates until the poller has the whole list.
fn updates_to_complete(sender: &Sender, poller: &mut Poller) -> Vec<ListUpdate> {
    let mut updates = Vec::new();
    while updates.last().is_none_or(|update: &ListUpdate| update.has_more) {
        updates.push(poller.poll(sender));
    }
    updates
}

/// Guards against a store that all nodes read at once: a list that fits in no message came from there
/// for each of them.
#[test]
fn long_list_comes_from_another_node_in_parts_of_bounded_size() {
    for count in [4_000, 8_000] {
        let sender = Sender::new(many_engines(count));
        let mut poller = Poller::default();
        let updates = updates_to_complete(&sender, &mut poller);
        assert_eq!(updates.len(), count.div_ceil(MAX_ENTRIES));
        let entries: usize = updates.iter().map(|update| update.engines.len()).sum();
        assert_eq!(entries, count, "each engine is sent once");
        for update in &updates {
            let bytes = serde_json::to_vec(update).unwrap().len();
            assert!(
                update.engines.len() <= MAX_ENTRIES && bytes < MAX_MESSAGE_BYTES / 4,
                "{bytes}"
            );
        }
        assert_eq!(poller.version, Some(version(100)));
        assert_eq!(poller.ids().len(), count);
    }
}

/// Guards against sending the list again to a node that has it: what a change costs must not depend on the
/// number of engines.
#[test]
fn change_costs_the_same_in_a_list_of_any_length() {
    for count in [4_000, 8_000] {
        let mut sender = Sender::new(many_engines(count));
        let mut poller = Poller::default();
        updates_to_complete(&sender, &mut poller);
        assert!(sender.changes.is_up_to_date(poller.version, poller.seen));
        sender.engines.remove(&"e17".into(), at(100));
        sender.changes.update(&sender.engines, at(101));
        let update = poller.poll(&sender);
        assert_eq!(update.kind, ListUpdateKind::Changes);
        assert_eq!((update.engines.len(), update.removed.len()), (0, 1));
        assert_eq!(poller.ids().len(), count - 1);
    }
}

/// A node serves with the part of the list that it has.
#[test]
fn engines_are_known_before_the_list_is_complete() {
    let sender = Sender::new(many_engines(4_000));
    let mut poller = Poller::default();
    let update = poller.poll(&sender);
    assert!(update.has_more && update.kind == ListUpdateKind::Full);
    assert_eq!((poller.ids().len(), poller.version), (MAX_ENTRIES, None));
}

/// Guards against a list that lacks what changes while it is sent, and keeps what is removed.
#[test]
fn changes_while_the_list_is_sent_are_in_it() {
    let mut sender = Sender::new(many_engines(1_000));
    let mut poller = Poller::default();
    // Engines that the sender does not have.
    poller.engines.upsert(engine_info("old", "a", &["m"]));
    assert!(poller.poll(&sender).has_more);
    sender.engines.remove(&"e0".into(), at(100));
    sender.engines.remove(&"e999".into(), at(100));
    sender.engines.upsert(engine_info("new", "a", &["m"]));
    sender.engines.get_mut(&"e1".into()).unwrap().info.slots = 99;
    sender.changes.update(&sender.engines, at(110));
    updates_to_complete(&sender, &mut poller);
    let mut expected: Vec<&EngineId> = sender.engines.iter().map(|e| &e.info.id).collect();
    expected.sort_unstable();
    assert_eq!(poller.ids(), expected);
    assert_eq!(poller.engines.get(&"e1".into()).unwrap().info.slots, 99);
    assert_eq!(poller.version, Some(version(110)));
}

/// Guards against a list made of the parts of two nodes.
#[test]
fn list_of_another_node_begins_anew() {
    let mut poller = Poller::default();
    assert!(poller.poll(&Sender::new(many_engines(1_000))).has_more);
    let mut engines = many_engines(900);
    engines.remove(&"e5".into(), at(100));
    let mut other = Sender { engines, changes: ListChanges::new(8) };
    other.changes.update(&other.engines, at(100));
    let updates = updates_to_complete(&other, &mut poller);
    assert_eq!(updates[0].kind, ListUpdateKind::Full);
    assert_eq!(poller.ids().len(), 899);
    assert!(poller.engines.get(&"e5".into()).is_none());
}
