//! Loads of other nodes, as recorded in the list of engines.

mod support;

use std::net::SocketAddr;

use hgw_direct::aggregation::{Aggregator, Neighbors, Relation, ReportScope};
use hgw_direct::in_flight::{EngineKey, InFlightLoad, InFlightRow, InFlightUpdate};
use hgw_direct::{EngineId, Engines};
use indexmap::IndexMap;
use proptest::collection::vec;
use proptest::prelude::*;
use support::{engine_info, engines};

/// Interval of reports, in milliseconds.
const TICK: u64 = 40;

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn engine_id(number: usize) -> EngineId {
    EngineId(format!("e{number}"))
}

fn load(requests: u32) -> InFlightLoad {
    InFlightLoad { requests, prompts: 0, tokens: 0, held: 0 }
}

/// A node behind a hub.
struct Follower {
    aggregator: Aggregator,
    engines: Engines,
    own: IndexMap<EngineKey, InFlightLoad>,
    hub: u16,
    now: u64,
}

impl Follower {
    fn new(listed: usize) -> Follower {
        let mut follower = Follower {
            aggregator: Aggregator::default(),
            engines: engines(&[]),
            own: IndexMap::new(),
            hub: 1,
            now: 0,
        };
        for number in 0..listed {
            follower.engines.upsert(engine_info(&engine_id(number).0, "a", &["m"]));
        }
        follower
    }

    fn key(&self, number: usize) -> EngineKey {
        self.engines.get(&engine_id(number)).expect("the engine is listed").key()
    }

    fn receive(&mut self, number: usize, requests: u32) {
        let update = InFlightUpdate {
            full_partition: None,
            rows: vec![InFlightRow(self.key(number), requests, 0, 0)],
            held: Vec::new(),
        };
        let hub = addr(self.hub);
        let affected =
            self.aggregator.apply(hub, Relation::Hub, ReportScope::Global, &update, self.now);
        for key in affected.into_iter().filter(|_| self.aggregator.is_fresh()) {
            let engine = self.engines.by_key(key).expect("the engine is listed");
            engine.in_flight_elsewhere = Some(self.aggregator.in_flight_elsewhere(key));
        }
    }

    /// Returns the number of engines that were looked at.
    fn tick(&mut self) -> usize {
        self.now += TICK;
        let neighbors = Neighbors { hub: Some(addr(self.hub)), ..Neighbors::default() };
        self.aggregator.next_updates(self.now, self.own.clone(), &neighbors);
        self.aggregator.update_engines(&mut self.engines)
    }

    fn is_exact(&self) -> bool {
        let expected = |key| {
            let is_fresh = self.aggregator.is_fresh();
            is_fresh.then(|| self.aggregator.in_flight_elsewhere(key))
        };
        self.engines.iter().all(|engine| engine.in_flight_elsewhere == expected(engine.key()))
    }
}

/// Guards against work that grows with the engines where nothing happens: small VMs had no time left for
/// requests.
#[test]
fn work_follows_changes_and_not_the_number_of_engines() {
    for count in [4_000, 8_000] {
        let mut follower = Follower::new(count);
        follower.receive(0, 5);
        assert_eq!(follower.tick(), count, "the first report concerns every engine");
        assert_eq!(follower.tick(), 0, "nothing has changed");
        let key = follower.key(1);
        follower.own.insert(key, load(1));
        assert_eq!(follower.tick(), 1, "this node's own request");
        follower.receive(2, 7);
        assert_eq!(follower.tick(), 0, "a report is recorded as it arrives");
        follower.engines.upsert(engine_info("new", "a", &["m"]));
        assert_eq!(follower.tick(), count + 1, "an engine is new");
        assert!(follower.is_exact());
    }
}

#[derive(Debug, Clone)]
enum Op {
    Receive(usize, u32),
    Own(usize, u32),
    Insert(usize),
    Remove(usize),
    ChangeHub(u16),
    Tick,
    Silence,
}

/// Engines that are listed from the beginning.
const LISTED: usize = 4;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..LISTED, 0..4u32).prop_map(|(e, n)| Op::Receive(e, n)),
        3 => (0..LISTED, 0..3u32).prop_map(|(e, n)| Op::Own(e, n)),
        1 => (LISTED..9).prop_map(Op::Insert),
        1 => (LISTED..9).prop_map(Op::Remove),
        1 => (1..3u16).prop_map(Op::ChangeHub),
        5 => Just(Op::Tick),
        1 => Just(Op::Silence),
    ]
}

proptest! {
    /// Guards against an engine whose load is not brought up to date: requests would pile up there.
    #[test]
    fn loads_are_those_that_a_look_at_each_engine_would_give(ops in vec(op(), 1..60)) {
        let mut follower = Follower::new(LISTED);
        for op in ops {
            match op {
                Op::Receive(engine, requests) => follower.receive(engine, requests),
                Op::Own(engine, 0) => {
                    let key = follower.key(engine);
                    follower.own.swap_remove(&key);
                }
                Op::Own(engine, requests) => {
                    let key = follower.key(engine);
                    follower.own.insert(key, load(requests));
                }
                Op::Insert(engine) => {
                    follower.engines.upsert(engine_info(&engine_id(engine).0, "a", &["m"]));
                }
                Op::Remove(engine) => follower.engines.remove(&engine_id(engine), Default::default()),
                Op::ChangeHub(hub) => follower.hub = hub,
                Op::Tick => {
                    follower.tick();
                    prop_assert!(follower.is_exact());
                }
                Op::Silence => follower.now += 3_000,
            }
        }
        follower.tick();
        prop_assert!(follower.is_exact());
    }
}
