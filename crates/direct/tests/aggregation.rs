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
    hub: Option<usize>,
    /// The leader, which it asks if it has no hub.
    leader: Option<usize>,
    hubs: Vec<usize>,
}

/// Nodes that report their loads at one engine to each other.
struct World {
    aggregators: Vec<Aggregator>,
    views: Vec<View>,
    own_loads: Vec<u32>,
    in_transit: VecDeque<Vec<(usize, OutgoingUpdate)>>,
    now: u64,
}

impl World {
    fn new(nodes: usize, own: u32) -> World {
        World {
            aggregators: (0..nodes).map(|_| Aggregator::default()).collect(),
            views: vec![View::default(); nodes],
            own_loads: vec![own; nodes],
            in_transit: VecDeque::from(vec![Vec::new(); DELAY]),
            now: 0,
        }
    }

    /// Forms domains of `size` nodes; the first of each is its hub, and the hubs know each other.
    fn settle(&mut self, size: usize) {
        let hubs: Vec<usize> = (0..self.views.len()).step_by(size).collect();
        for node in 0..self.views.len() {
            let hub = node - node % size;
            self.views[node] = View {
                hub: (hub != node).then_some(hub),
                leader: None,
                hubs: if hub == node { hubs.clone() } else { Vec::new() },
            };
        }
    }

    fn asks(&self, node: usize, other: usize) -> bool {
        let view = &self.views[node];
        view.hub == Some(other) || view.hub.is_none() && view.leader == Some(other)
    }

    fn relation(&self, node: usize, other: usize) -> Relation {
        let view = &self.views[node];
        if view.hub == Some(other) {
            Relation::Hub
        } else if view.hub.is_none() && view.hubs.contains(&other) {
            Relation::OtherHub
        } else if self.asks(other, node) {
            Relation::Child
        } else {
            Relation::Unrelated
        }
    }

    fn neighbors(&self, node: usize) -> Neighbors {
        let those = |relation| {
            let all = (0..self.aggregators.len()).filter(|other| *other != node);
            all.filter(|other| self.relation(node, *other) == relation).map(addr).collect()
        };
        Neighbors {
            hub: self.views[node].hub.map(addr),
            hubs: those(Relation::OtherHub),
            children: those(Relation::Child),
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for (from, update) in self.in_transit.pop_front().unwrap_or_default() {
            for to in &update.to {
                let to = usize::from(to.port()) - 1;
                let relation = self.relation(to, from);
                self.aggregators[to].apply(
                    addr(from),
                    relation,
                    update.scope,
                    &update.update,
                    self.now,
                );
            }
        }
        let mut sent = Vec::new();
        for node in 0..self.aggregators.len() {
            let load =
                InFlightLoad { requests: self.own_loads[node], prompts: 0, tokens: 0, held: 0 };
            let own = IndexMap::from([(engine(), load)]);
            let neighbors = self.neighbors(node);
            let updates = self.aggregators[node].next_updates(self.now, own, &neighbors);
            sent.extend(updates.into_iter().map(|update| (node, update)));
        }
        self.in_transit.push_back(sent);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK {
            self.tick();
        }
    }

    /// Highest load at the engine that any node believes in.
    fn max_believed(&self) -> u32 {
        let believed_load = |n: usize| {
            self.aggregators[n].in_flight_elsewhere(engine()).requests + self.own_loads[n]
        };
        (0..self.aggregators.len()).map(believed_load).max().unwrap_or(0)
    }

    fn is_known_to_all(&self, sum: u32) -> bool {
        let believed_load = |n: usize| {
            self.aggregators[n].in_flight_elsewhere(engine()).requests + self.own_loads[n]
        };
        (0..self.aggregators.len())
            .all(|n| self.aggregators[n].is_fresh() && believed_load(n) == sum)
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
fn stopping_leader_makes_no_engine_look_full() {
    let mut world = World::new(15, 3);
    world.settle(5);
    world.run(400);
    world.views[0].hub = Some(1);
    for hub in [1, 5, 10] {
        let hubs = if hub == 1 { vec![5, 10] } else { vec![0, 1, 5, 10] };
        world.views[hub] = View { hub: None, leader: Some(0), hubs };
    }
    for _ in 0..3_000 / TICK {
        world.tick();
        assert!(world.max_believed() <= 45 + 15, "{} at {} ms", world.max_believed(), world.now);
    }
    world.settle(5);
    world.run(3_000);
    assert!(world.is_known_to_all(45));
}

/// Three hubs ask each other in a ring.
#[test]
fn ring_of_hubs_adds_nothing_up() {
    let mut world = World::new(12, 3);
    world.settle(4);
    world.run(400);
    for (node, next) in [(0, 4), (4, 8), (8, 0)] {
        world.views[node] = View { hub: Some(next), leader: None, hubs: vec![0, 4, 8] };
    }
    for _ in 0..6_000 / TICK {
        world.tick();
        assert!(world.max_believed() <= 36 + 12, "{} at {} ms", world.max_believed(), world.now);
    }
    // No load remains after all requests have ended.
    world.own_loads = vec![0; 12];
    world.run(3_000);
    assert_eq!(world.max_believed(), 0);
}

/// Guards against counting the load of a node at both its former and its new hub.
#[test]
fn replaced_hub_leaves_nothing_counted_twice() {
    let mut world = World::new(15, 3);
    world.settle(5);
    world.run(400);
    for node in 1..5 {
        world.views[node].hub = (node != 1).then_some(1);
    }
    world.views[1].hubs = vec![5, 10];
    for hub in [5, 10] {
        world.views[hub].hubs = vec![1, 5, 10];
    }
    world.aggregators[0] = Aggregator::default();
    world.views[0].hubs = Vec::new();
    world.own_loads[0] = 0;
    world.run(3_000);
    let believed_load =
        world.aggregators[7].in_flight_elsewhere(engine()).requests + world.own_loads[7];
    assert_eq!(believed_load, 42);
}

/// Guards against cycles between the levels of sums.
#[test]
fn no_report_can_be_added_to_itself() {
    let all = [Relation::Hub, Relation::OtherHub, Relation::Child, Relation::Unrelated];
    let counts = |scope, subtotal| -> Vec<Relation> {
        all.into_iter().filter(|r| subtotal_for(scope, *r) == Some(subtotal)).collect()
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
    vec(view.prop_map(|(hub, leader, hubs)| View { hub, leader, hubs }), nodes)
}

proptest! {
    /// Whatever nodes believe about hubs, the loads they believe in stay bounded, and become right
    /// once all agree.
    #[test]
    fn loads_stay_bounded_while_nodes_disagree_on_hubs(
        stages in vec((views(8), 1_u64..80), 1..6),
    ) {
        const OWN: u32 = 2;
        const NODES: u32 = 8;
        let mut world = World::new(NODES as usize, OWN);
        for (views, ticks) in stages {
            for (node, mut view) in views.into_iter().enumerate() {
                view.hub = view.hub.filter(|hub| *hub != node);
                view.hubs.retain(|hub| *hub != node);
                world.views[node] = view;
            }
            for _ in 0..ticks {
                world.tick();
                // The load of each node at each hub, and that of each hub at each other one.
                prop_assert!(world.max_believed() <= OWN * NODES * NODES);
            }
        }
        world.settle(4);
        world.run(3_000);
        prop_assert!(world.is_known_to_all(OWN * NODES));
    }
}
