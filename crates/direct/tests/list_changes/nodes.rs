//! Nodes that read the list of engines and tell each other, in any order of events.

use hgw_direct::{
    ChangePosition, Cursor, EngineId, EngineInfo, EngineState, Engines, Era, ListChanges,
    ListReceiver, ListUpdate, ListVersion, StartTime,
};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::support::engine_info;

const NODES: usize = 3;
const ENGINES: usize = 2;
const LEAVING: EngineState = EngineState::Leaving { terminates_at: None };

fn at(offset: usize) -> Cursor {
    Cursor::new(Era::FIRST, offset as u64)
}

fn engine_id(engine: usize) -> EngineId {
    EngineId(format!("e{engine}"))
}

/// A record of the store: an engine and what it wrote, none if its entry was removed.
type StoreRecord = (usize, Option<(u64, EngineState)>);

#[derive(Debug, Default)]
struct Store {
    log: Vec<StoreRecord>,
    /// The current incarnation of each engine.
    started_at: [u64; ENGINES],
}

impl Store {
    fn write(&mut self, engine: usize, state: EngineState) {
        self.log.push((engine, Some((self.started_at[engine], state))));
    }

    fn info(&self, position: usize) -> Option<EngineInfo> {
        let (engine, entry) = self.log[position];
        let (started_at, state) = entry?;
        let info = engine_info(&engine_id(engine).0, "a", &["m"]);
        let started_at = StartTime(Some(started_at));
        Some(EngineInfo { position: at(position), started_at, state, ..info })
    }

    /// The newest record of each engine that has one.
    fn newest(&self) -> Vec<EngineInfo> {
        let newest = |engine| self.log.iter().rposition(|(written, _)| *written == engine);
        (0..ENGINES).filter_map(newest).filter_map(|position| self.info(position)).collect()
    }
}

#[derive(Debug, Default)]
struct TestNode {
    engines: Engines,
    changes: ListChanges,
    receiver: ListReceiver,
    version: Option<ListVersion>,
    /// Position in the changes of the node that sent the last update.
    seen: ChangePosition,
    /// Records of the store that it has read by itself since it last read the newest ones.
    read: Option<usize>,
    /// A response that has not arrived, and what its sender knew.
    pending: Option<(ListUpdate, Vec<Fact>)>,
}

/// That an engine is not to be used any more.
#[derive(Debug, Clone)]
enum Fact {
    Leaving(EngineId, StartTime),
    Removed(EngineId, Cursor),
}

impl TestNode {
    fn start(process_id: u64, max_entries: usize) -> TestNode {
        let changes = ListChanges::new(process_id).with_max_entries(max_entries);
        TestNode { changes, ..TestNode::default() }
    }

    fn record(&mut self, version: ListVersion) {
        self.version = self.version.max(Some(version));
        self.changes.update(&self.engines, version.position());
    }

    fn read_newest(&mut self, store: &Store) {
        let end = at(store.log.len());
        self.engines.apply_snapshot(store.newest(), end, false);
        self.receiver.discard();
        self.read = Some(store.log.len());
        self.record(ListVersion::at_position(end));
    }

    fn read_on(&mut self, store: &Store) {
        let Some(read) = self.read else { return self.read_newest(store) };
        for position in read..store.log.len() {
            match store.info(position) {
                Some(info) => self.engines.upsert(info),
                None => self.engines.remove(&engine_id(store.log[position].0), at(position)),
            }
        }
        self.read = Some(store.log.len());
        self.engines.record_complete(at(store.log.len()));
        self.record(ListVersion::at_position(at(store.log.len())));
    }

    /// Reads on right after an outage of the store, when removals may only mean missed heartbeats.
    fn read_on_after_outage(&mut self, store: &Store) {
        let Some(read) = self.read else { return };
        for position in read..store.log.len() {
            match store.info(position) {
                Some(info) => self.engines.upsert(info),
                None => self.engines.skip_removal(),
            }
        }
        self.read = Some(store.log.len());
        self.engines.record_complete(at(store.log.len()));
        self.record(ListVersion::at_position(at(store.log.len())));
    }

    /// An engine with another id answers at the engine's address.
    fn find_other_engine(&mut self, engine: usize) {
        let id = engine_id(engine);
        let Some(position) = self.engines.get(&id).map(|e| e.info.position) else { return };
        self.engines.remove(&id, position);
        let Some(version) = self.version else { return };
        self.record(version);
    }

    fn respond_to(&self, poller: &TestNode) -> (ListUpdate, Vec<Fact>) {
        let (version, seen) = if poller.receiver.is_incomplete() {
            (ListVersion::default(), poller.seen)
        } else if poller.engines.has_skipped_removals() {
            Default::default()
        } else {
            (poller.version.unwrap_or_default(), poller.seen)
        };
        (self.changes.changes_since(&self.engines, Some(version), seen), self.facts())
    }

    fn facts(&self) -> Vec<Fact> {
        let mut facts = Vec::new();
        for id in (0..ENGINES).map(engine_id) {
            match (self.engines.get(&id), self.engines.removed_at(&id)) {
                (Some(engine), _) if engine.info.state == LEAVING => {
                    facts.push(Fact::Leaving(id, engine.info.started_at));
                }
                (None, Some(position)) => facts.push(Fact::Removed(id, position)),
                _ => {}
            }
        }
        facts
    }

    /// Whether the node may send requests to an engine that is not to be used any more.
    fn contradicts(&self, fact: &Fact) -> bool {
        match fact {
            Fact::Leaving(id, started_at) => self.engines.get(id).is_some_and(|engine| {
                engine.accepts_requests() && engine.info.started_at <= *started_at
            }),
            Fact::Removed(id, position) => self.engines.get(id).is_some_and(|engine| {
                engine.accepts_requests() && engine.info.position <= *position
            }),
        }
    }
}

/// Whether the node uses an engine whose entry was removed before the position that its list goes to.
fn uses_removed_engine(node: &TestNode, store: &Store, engine: usize) -> bool {
    let Some(version) = node.version else { return false };
    let known = &store.log[..version.position().offset as usize];
    let newest = known.iter().rposition(|(written, _)| *written == engine);
    let removed_at = newest.filter(|position| known[*position].1.is_none()).map(at);
    let used = node.engines.get(&engine_id(engine)).filter(|e| e.accepts_requests());
    used.zip(removed_at).is_some_and(|(e, removed_at)| e.info.position < removed_at)
}

#[derive(Debug, Clone)]
enum Op {
    Heartbeat(usize),
    Leave(usize),
    Remove(usize),
    RestartEngine(usize),
    ReadNewest(usize),
    ReadOn(usize),
    ReadOnAfterOutage(usize),
    FindOther(usize, usize),
    Poll(usize, usize),
    Deliver(usize),
    RestartNode(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let (node, engine) = (0..NODES, 0..ENGINES);
    prop_oneof![
        2 => engine.clone().prop_map(Op::Heartbeat),
        2 => engine.clone().prop_map(Op::Leave),
        2 => engine.clone().prop_map(Op::Remove),
        1 => engine.clone().prop_map(Op::RestartEngine),
        2 => node.clone().prop_map(Op::ReadNewest),
        3 => node.clone().prop_map(Op::ReadOn),
        1 => node.clone().prop_map(Op::ReadOnAfterOutage),
        1 => (node.clone(), engine).prop_map(|(n, e)| Op::FindOther(n, e)),
        4 => (node.clone(), node.clone()).prop_map(|(n, other)| Op::Poll(n, other)),
        4 => node.clone().prop_map(Op::Deliver),
        1 => node.prop_map(Op::RestartNode),
    ]
}

#[derive(Debug)]
struct Nodes {
    store: Store,
    nodes: Vec<TestNode>,
    /// Processes that have been started.
    started: u64,
    /// Maximum number of engines in one update.
    max_entries: usize,
}

impl Default for Nodes {
    fn default() -> Self {
        Nodes::with_max_entries(ENGINES)
    }
}

impl Nodes {
    fn with_max_entries(max_entries: usize) -> Nodes {
        let nodes = (1..=NODES as u64).map(|id| TestNode::start(id, max_entries)).collect();
        Nodes { store: Store::default(), nodes, started: NODES as u64, max_entries }
    }

    /// Returns a departure that a responding node knew of and the node that got its response does not.
    fn play(&mut self, op: Op) -> Option<Fact> {
        let Nodes { store, nodes, started, max_entries } = self;
        match op {
            Op::Heartbeat(engine) => store.write(engine, EngineState::Ready),
            Op::Leave(engine) => store.write(engine, LEAVING),
            Op::Remove(engine) => store.log.push((engine, None)),
            Op::RestartEngine(engine) => {
                store.started_at[engine] += 1;
                store.write(engine, EngineState::Ready);
            }
            Op::ReadNewest(node) => nodes[node].read_newest(store),
            Op::ReadOn(node) => nodes[node].read_on(store),
            Op::ReadOnAfterOutage(node) => nodes[node].read_on_after_outage(store),
            Op::FindOther(node, engine) => nodes[node].find_other_engine(engine),
            Op::Poll(node, other) if node != other && nodes[other].version.is_some() => {
                nodes[node].pending = Some(nodes[other].respond_to(&nodes[node]));
            }
            Op::Poll(..) => {}
            Op::Deliver(node) => {
                let (update, facts) = nodes[node].pending.take()?;
                let node = &mut nodes[node];
                node.seen = update.seen;
                let version = node.receiver.apply(update, &mut node.engines);
                if let Some(version) = version.or(node.version) {
                    node.record(version);
                }
                // The departures may be in the rest.
                version?;
                return facts.into_iter().find(|fact| node.contradicts(fact));
            }
            Op::RestartNode(node) => {
                *started += 1;
                nodes[node] = TestNode::start(*started, *max_entries);
            }
        }
        None
    }
}

fn play_all(ops: &[Op]) -> Option<Fact> {
    let mut nodes = Nodes::default();
    ops.iter().find_map(|op| nodes.play(op.clone()))
}

/// Guards against a node that alone uses an engine which has left: a heartbeat that is written late
/// hides the departure from a node that reads only the newest entries.
#[test]
fn departure_that_the_store_no_longer_shows_is_told() {
    let ops = [
        Op::Leave(1),
        Op::ReadNewest(2),
        Op::Heartbeat(1),
        Op::ReadNewest(0),
        Op::Poll(0, 2),
        Op::Deliver(0),
    ];
    assert!(play_all(&ops).is_none());
}

/// Guards against a node that alone uses an engine which has left: two nodes count the changes that
/// they learned without reading on, and one node follows the first and then the second.
#[test]
fn counts_of_different_nodes_are_not_compared() {
    let ops = [
        Op::Heartbeat(0),
        Op::Heartbeat(1),
        Op::ReadNewest(0),
        Op::ReadNewest(1),
        Op::ReadNewest(2),
        Op::FindOther(1, 0),
        Op::FindOther(2, 1),
        Op::Poll(0, 1),
        Op::Deliver(0),
        Op::Poll(0, 2),
        Op::Deliver(0),
    ];
    assert!(play_all(&ops).is_none());
}

/// Guards against a node that alone uses an engine which has left: the node that it polls has read the
/// engine's first entry and its removal at once.
#[test]
fn engine_listed_and_removed_between_two_reads_is_told_as_removed() {
    let ops = [
        Op::ReadOn(2),
        Op::Heartbeat(0),
        Op::ReadOn(1),
        Op::Remove(0),
        Op::ReadOn(2),
        Op::Poll(1, 2),
        Op::Deliver(1),
    ];
    assert!(play_all(&ops).is_none());
}

/// Guards against a node that alone uses an engine which has left: the node that it polls has read only
/// the newest entries, and neither the engine's entry nor its removal.
#[test]
fn node_with_an_entry_that_the_responder_never_read_gets_the_full_list() {
    let ops = [
        Op::ReadNewest(2),
        Op::Heartbeat(0),
        Op::ReadNewest(1),
        Op::Remove(0),
        Op::ReadNewest(2),
        Op::Poll(1, 2),
        Op::Deliver(1),
    ];
    let mut nodes = Nodes::default();
    for op in ops {
        nodes.play(op);
    }
    assert!(!uses_removed_engine(&nodes.nodes[1], &nodes.store, 0));
}

/// Guards against a node that alone uses an engine which has left: it skips the removal right after an
/// outage of the store, and then follows a leader that never had the engine.
#[test]
fn node_that_has_skipped_a_removal_gets_the_full_list() {
    let ops = [
        Op::Heartbeat(0),
        Op::ReadNewest(0),
        Op::Remove(0),
        Op::ReadOnAfterOutage(0),
        Op::ReadNewest(1),
        Op::Poll(0, 1),
        Op::Deliver(0),
    ];
    let mut nodes = Nodes::default();
    for op in ops {
        nodes.play(op);
    }
    assert!(!uses_removed_engine(&nodes.nodes[0], &nodes.store, 0));
    assert!(!nodes.nodes[0].engines.has_skipped_removals());
}

/// Guards against a node that alone uses an engine which has left: the node that it polls got its list from
/// one that had removed the engine by itself, and has not read the removal in the store.
#[test]
fn engine_that_the_senders_source_removed_by_itself_is_told_as_removed() {
    let ops = [
        Op::RestartEngine(0),
        Op::ReadNewest(1),
        Op::ReadNewest(0),
        Op::FindOther(0, 0),
        Op::Poll(2, 0),
        Op::Remove(0),
        Op::Deliver(2),
        Op::ReadOn(2),
        Op::Poll(1, 2),
        Op::Deliver(1),
    ];
    let mut nodes = Nodes::default();
    for op in ops {
        nodes.play(op);
    }
    assert!(!uses_removed_engine(&nodes.nodes[1], &nodes.store, 0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a node that alone uses an engine which has left: once it has applied a response,
    /// it knows of every departure that the responding node knew of.
    #[test]
    fn departures_reach_every_node_that_polls(
        ops in vec(op(), 1..40),
        max_entries in 1..=ENGINES,
    ) {
        let mut nodes = Nodes::with_max_entries(max_entries);
        for op in ops {
            let ignored = nodes.play(op);
            prop_assert!(ignored.is_none(), "{:?} was told in vain", ignored);
        }
    }

    /// Guards against using a removed engine: an entry that arrives late must not count at a node whose
    /// list goes beyond the removal, whether or not it ever knew the engine.
    #[test]
    fn no_node_uses_an_engine_that_was_removed_before_its_version(
        ops in vec(op(), 1..40),
        max_entries in 1..=ENGINES,
    ) {
        let mut nodes = Nodes::with_max_entries(max_entries);
        // Removals that are skipped on purpose are used for a while.
        for op in ops.into_iter().filter(|op| !matches!(op, Op::ReadOnAfterOutage(_))) {
            nodes.play(op);
            for (number, node) in nodes.nodes.iter().enumerate() {
                for engine in 0..ENGINES {
                    prop_assert!(
                        !uses_removed_engine(node, &nodes.store, engine),
                        "node {} uses engine {}", number, engine
                    );
                }
            }
        }
    }
}
