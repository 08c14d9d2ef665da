//! Aggregation of in-flight loads, also while nodes disagree on which of them are hubs.

use std::collections::VecDeque;
use std::net::SocketAddr;

use hgw_direct::StartTime;
use hgw_direct::aggregation::{
    Aggregator, Neighbors, OutgoingUpdate, Relation, ReportScope, Subtotal, subtotal_for,
};
use hgw_direct::in_flight::{EngineKey, InFlightLoad};
use indexmap::IndexMap;
use proptest::collection::vec;
use proptest::prelude::{Strategy, prop_assert, proptest};

/// Interval of reports.
const TICK: u64 = 40;

/// Network delay of each report, in ticks.
const DELAY: usize = 1;

fn engine() -> EngineKey {
    EngineKey::of(&"i-1".into(), StartTime(None))
}

fn addr(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], node as u16 + 1))
}

/// What a node believes about hubs.
#[derive(Debug, Clone, Default)]
struct View {
    /// Its hub, if it has one.
    head: Option<usize>,
    /// The leader, which it asks if it has no hub.
    keeper: Option<usize>,
    heads: Vec<usize>,
}

/// Nodes that report their loads at one engine to each other.
struct World {
    sums: Vec<Aggregator>,
    views: Vec<View>,
    own: Vec<u32>,
    under_way: VecDeque<Vec<(usize, OutgoingUpdate)>>,
    now: u64,
}

impl World {
    fn new(nodes: usize, own: u32) -> World {
        World {
            sums: (0..nodes).map(|_| Aggregator::default()).collect(),
            views: vec![View::default(); nodes],
            own: vec![own; nodes],
            under_way: VecDeque::from(vec![Vec::new(); DELAY]),
            now: 0,
        }
    }

    /// Forms domains of `size` nodes; the first of each is its hub, and the hubs know each other.
    fn settle(&mut self, size: usize) {
        let heads: Vec<usize> = (0..self.views.len()).step_by(size).collect();
        for node in 0..self.views.len() {
            let head = node - node % size;
            self.views[node] = View {
                head: (head != node).then_some(head),
                keeper: None,
                heads: if head == node { heads.clone() } else { Vec::new() },
            };
        }
    }

    fn asks(&self, node: usize, other: usize) -> bool {
        let view = &self.views[node];
        view.head == Some(other) || view.head.is_none() && view.keeper == Some(other)
    }

    fn relation(&self, node: usize, other: usize) -> Relation {
        let view = &self.views[node];
        if view.head == Some(other) {
            Relation::Hub
        } else if view.head.is_none() && view.heads.contains(&other) {
            Relation::OtherHub
        } else if self.asks(other, node) {
            Relation::Child
        } else {
            Relation::Unrelated
        }
    }

    fn circle(&self, node: usize) -> Neighbors {
        let those = |relation| {
            let all = (0..self.sums.len()).filter(|other| *other != node);
            all.filter(|other| self.relation(node, *other) == relation).map(addr).collect()
        };
        Neighbors {
            hub: self.views[node].head.map(addr),
            hubs: those(Relation::OtherHub),
            children: those(Relation::Child),
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for (from, saying) in self.under_way.pop_front().unwrap_or_default() {
            for to in &saying.to {
                let to = usize::from(to.port()) - 1;
                let relation = self.relation(to, from);
                self.sums[to].apply(addr(from), relation, saying.scope, &saying.update, self.now);
            }
        }
        let mut said = Vec::new();
        for node in 0..self.sums.len() {
            let flight = InFlightLoad { requests: self.own[node], prompts: 0, tokens: 0 };
            let own = IndexMap::from([(engine(), flight)]);
            let circle = self.circle(node);
            let sayings = self.sums[node].next_updates(self.now, own, &circle);
            said.extend(sayings.into_iter().map(|saying| (node, saying)));
        }
        self.under_way.push_back(said);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK {
            self.tick();
        }
    }

    /// Highest load at the engine that any node believes in.
    fn most(&self) -> u32 {
        let believed = |n: usize| self.sums[n].in_flight_elsewhere(engine()).requests + self.own[n];
        (0..self.sums.len()).map(believed).max().unwrap_or(0)
    }

    fn is_known_to_all(&self, sum: u32) -> bool {
        let believed = |n: usize| self.sums[n].in_flight_elsewhere(engine()).requests + self.own[n];
        (0..self.sums.len()).all(|n| self.sums[n].is_fresh() && believed(n) == sum)
    }
}

#[test]
fn all_nodes_know_what_there_is_in_all() {
    let mut world = World::new(15, 3);
    world.settle(5);
    world.run(400);
    assert!(world.is_known_to_all(45));
}

/// Guards against two nodes that take each other for hubs and add each other's sums up without end.
#[test]
fn keeper_that_stops_makes_no_engine_look_full() {
    let mut world = World::new(15, 3);
    world.settle(5);
    world.run(400);
    world.views[0].head = Some(1);
    for head in [1, 5, 10] {
        let heads = if head == 1 { vec![5, 10] } else { vec![0, 1, 5, 10] };
        world.views[head] = View { head: None, keeper: Some(0), heads };
    }
    for _ in 0..3_000 / TICK {
        world.tick();
        assert!(world.most() <= 45 + 15, "{} at {} ms", world.most(), world.now);
    }
    world.settle(5);
    world.run(3_000);
    assert!(world.is_known_to_all(45));
}

/// Three hubs ask each other in a ring.
#[test]
fn ring_of_heads_adds_nothing_up() {
    let mut world = World::new(12, 3);
    world.settle(4);
    world.run(400);
    for (node, next) in [(0, 4), (4, 8), (8, 0)] {
        world.views[node] = View { head: Some(next), keeper: None, heads: vec![0, 4, 8] };
    }
    for _ in 0..6_000 / TICK {
        world.tick();
        assert!(world.most() <= 36 + 12, "{} at {} ms", world.most(), world.now);
    }
    // No load remains after all requests have ended.
    world.own = vec![0; 12];
    world.run(3_000);
    assert_eq!(world.most(), 0);
}

/// Guards against counting the load of nodes whose hub was replaced twice.
#[test]
fn head_that_falls_silent_leaves_nothing_counted_twice() {
    let mut world = World::new(15, 3);
    world.settle(5);
    world.run(400);
    for node in 1..5 {
        world.views[node].head = (node != 1).then_some(1);
    }
    world.views[1].heads = vec![5, 10];
    for head in [5, 10] {
        world.views[head].heads = vec![1, 5, 10];
    }
    world.sums[0] = Aggregator::default();
    world.views[0].heads = Vec::new();
    world.own[0] = 0;
    world.run(3_000);
    let believed = world.sums[7].in_flight_elsewhere(engine()).requests + world.own[7];
    assert_eq!(believed, 42);
}

/// Guards against cycles between the levels of sums.
#[test]
fn no_word_counts_where_it_could_come_back_into_itself() {
    let all = [Relation::Hub, Relation::OtherHub, Relation::Child, Relation::Unrelated];
    let counts = |scope, place| -> Vec<Relation> {
        all.into_iter().filter(|r| subtotal_for(scope, *r) == Some(place)).collect()
    };
    assert_eq!(counts(ReportScope::Node, Subtotal::Domain), [Relation::Child]);
    assert_eq!(counts(ReportScope::Domain, Subtotal::Domain), []);
    assert_eq!(counts(ReportScope::Global, Subtotal::Domain), []);
    assert_eq!(counts(ReportScope::Node, Subtotal::Remote), [Relation::OtherHub]);
    assert_eq!(counts(ReportScope::Domain, Subtotal::Remote), [Relation::OtherHub]);
    assert_eq!(counts(ReportScope::Global, Subtotal::Remote), [Relation::Hub]);
}

fn views(nodes: usize) -> impl Strategy<Value = Vec<View>> {
    use proptest::option::of;
    let view = (of(0..nodes), of(0..nodes), vec(0..nodes, 0..nodes));
    vec(view.prop_map(|(head, keeper, heads)| View { head, keeper, heads }), nodes)
}

proptest! {
    /// Whatever nodes believe about hubs, the loads they believe in stay bounded, and become right
    /// once all agree.
    #[test]
    fn beliefs_do_not_grow_whatever_nodes_take_each_other_for(
        stages in vec((views(8), 1_u64..80), 1..6),
    ) {
        const OWN: u32 = 2;
        const NODES: u32 = 8;
        let mut world = World::new(NODES as usize, OWN);
        for (views, ticks) in stages {
            for (node, mut view) in views.into_iter().enumerate() {
                view.head = view.head.filter(|head| *head != node);
                view.heads.retain(|head| *head != node);
                world.views[node] = view;
            }
            for _ in 0..ticks {
                world.tick();
                // The load of each node at each hub, and that of each hub at each other one.
                prop_assert!(world.most() <= OWN * NODES * NODES);
            }
        }
        world.settle(4);
        world.run(3_000);
        prop_assert!(world.is_known_to_all(OWN * NODES));
    }
}
