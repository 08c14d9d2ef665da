//! What is at engines, told in sums: each node tells the head of its domain, heads tell each other the sums of their
//! domains, and their nodes what is there in all.
//!
//! Nobody waits for a word: a node that hears none chooses by the loads that answers tell.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::flights::{
    EngineKey, Flight, Place, Relation, Scope, Share, Tellers, Telling, Told, place_of,
};
use hgw_direct::heads::{Parent, candidates};
use hgw_direct::{Millis, tells_sends};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::shared::Node;

use super::sends::Word;

/// Time between two words. On its way through two heads what is sent is known everywhere within a tenth of a second, in
/// which one engine in nine gets a request.
const TICK: Duration = Duration::from_millis(40);

/// The same where there are so few nodes that each tells all others of each request.
const IDLE: Duration = Duration::from_millis(500);

/// Time after the last word after which loads are not known by them any more: two words in a row that tell all there is
/// were lost.
const FRESH_FOR: Millis = 2_200;

/// Part of the other heads that must be heard: with fewer much of what is at engines is not known, and they look idle.
const HEARD_SHARE: f64 = 0.66;

/// Heads that tell each other. While more nodes ask the keeper itself, as at the start, nobody tells anything.
const MOST_HEADS: usize = 40;

/// What this node was told, and told others.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    /// By nodes that ask this one.
    near: RefCell<Tellers>,
    /// By the head of this node's domain, or by the heads of others.
    far: RefCell<Tellers>,
    up: RefCell<Telling>,
    down: RefCell<Telling>,
    fresh: Cell<bool>,
    /// The head that this node told last.
    told: Cell<Option<SocketAddr>>,
}

impl Flights {
    /// Whether loads are known by what nodes tell each other.
    pub(crate) fn are_fresh(&self) -> bool {
        self.fresh.get()
    }
}

/// Who tells what: the nodes that this one listens to, and those that it tells.
pub(super) struct Places {
    /// The head of its domain, where that is another node.
    pub(super) head: Option<SocketAddr>,
    /// Heads of other domains, where it is one.
    pub(super) heads: Vec<SocketAddr>,
    /// Nodes that ask it.
    pub(super) children: Vec<SocketAddr>,
}

impl Places {
    pub(super) fn of(node: &Node) -> Places {
        let (me, view) = (node.settings.borrow().peers, View::of(node));
        let is = |relation| move |addr: &SocketAddr| view.relation(node, *addr) == relation;
        let others = node.sends.others().into_iter().filter(|addr| *addr != me);
        let heads = others.filter(is(Relation::OtherHead)).collect();
        let children = node.children.all().into_iter().filter(is(Relation::Child)).collect();
        Places { head: view.head, heads, children }
    }

    /// Whether all that counts is known.
    fn are_heard(&self, far: &Tellers, now: Millis) -> bool {
        let heard = far.heard_within(FRESH_FOR, now) as f64;
        let all = if self.head.is_some() { 1 } else { self.heads.len() };
        all > 0 && heard >= HEARD_SHARE * all as f64
    }
}

/// By what a node tells what others are to it.
#[derive(Debug, Clone, Copy)]
struct View {
    head: Option<SocketAddr>,
    /// Whether it is one of the heads that tell each other.
    tells_heads: bool,
}

impl View {
    fn of(node: &Node) -> View {
        let head = match node.parent() {
            Some((Parent::Head(addr), _)) => Some(addr),
            _ => None,
        };
        let me = node.settings.borrow().peers;
        let tells_heads = head.is_none() && node.sends.count_but(me) <= MOST_HEADS;
        View { head, tells_heads }
    }

    fn relation(self, node: &Node, other: SocketAddr) -> Relation {
        if self.head == Some(other) {
            Relation::Head
        } else if self.tells_heads && node.sends.knows(other) {
            Relation::OtherHead
        } else if node.children.has(other) {
            Relation::Child
        } else {
            Relation::Stranger
        }
    }
}

/// What another node is to this one.
pub(super) fn relation(node: &Node, other: SocketAddr) -> Relation {
    View::of(node).relation(node, other)
}

/// Tells other nodes what is at engines, until the process ends.
pub(crate) async fn tell(node: Node) {
    loop {
        if tells_sends(node.state.borrow().nodes) || node.state.borrow().nodes < 2 {
            sleep(IDLE).await;
            continue;
        }
        sleep(TICK).await;
        step(&node);
    }
}

fn step(node: &Node) {
    let now = node.now();
    if node.holding.borrow().is_mine() {
        know_heads(node);
    }
    let places = Places::of(node);
    let flights = &node.flights;
    {
        let mut near = flights.near.borrow_mut();
        near.keep(now, |addr| places.children.contains(addr));
        let mut far = flights.far.borrow_mut();
        far.keep(now, |addr| Some(*addr) == places.head || places.heads.contains(addr));
        flights.fresh.set(places.are_heard(&far, now));
    }
    let before = flights.told.replace(places.head);
    if before != places.head {
        leave(node, before);
    }
    let domain = add(own(node), &flights.near.borrow());
    for told in flights.up.borrow_mut().next(now, &domain) {
        node.sends
            .tell_to(places.head.iter().chain(&places.heads), &Word::Flights(Scope::Part, told));
    }
    if !places.children.is_empty() {
        let all = add(domain, &flights.far.borrow());
        for told in flights.down.borrow_mut().next(now, &all) {
            node.sends.tell_to(places.children.iter(), &Word::Flights(Scope::All, told));
        }
    }
    apply_to_all(node, places.head.is_some());
}

/// Another head counts what this node has from now on: the one before is to count none of it.
fn leave(node: &Node, before: Option<SocketAddr>) {
    let nothing = Told { all_of: Some(Share { part: 0, parts: 1 }), rows: Vec::new() };
    node.sends.tell_to(before.iter(), &Word::Flights(Scope::Part, nothing));
    *node.flights.up.borrow_mut() = Telling::default();
}

/// The keeper names those that ask it to each other: they are the heads. The nodes of the domain that it was the head of
/// ask it once more before they know that it is the keeper.
fn know_heads(node: &Node) {
    let members = node.members.borrow();
    let mut by_domain = IndexMap::new();
    let mut heads = node.children.all();
    heads.retain(|addr| {
        let domain = members.iter().find(|m| m.addr == *addr).map(|m| m.domain.as_str());
        let domain = domain.unwrap_or_default();
        let candidates = by_domain.entry(domain).or_insert_with(|| candidates(&members, domain));
        candidates.is_empty() || candidates.iter().any(|c| c.addr == *addr)
    });
    drop(by_domain);
    drop(members);
    heads.push(node.settings.borrow().peers);
    heads.sort_unstable();
    node.sends.know(heads);
}

/// What this node has at engines.
fn own(node: &Node) -> IndexMap<EngineKey, Flight> {
    let state = node.state.borrow();
    let used = state.engines.iter().filter(|e| e.own > 0);
    used.map(|e| (e.key(), e.own_flight())).collect()
}

fn add(mut flights: IndexMap<EngineKey, Flight>, told: &Tellers) -> IndexMap<EngineKey, Flight> {
    for (key, flight) in told.sums() {
        let sum = flights.entry(key).or_default();
        *sum = sum.plus(flight);
    }
    flights
}

/// Another node tells. What comes from elsewhere changes nothing: only those count that ask this node or that it asks,
/// and heads that the keeper has named.
pub(super) fn take_in(node: &Node, from: SocketAddr, scope: Scope, told: &Told) {
    let (now, flights) = (node.now(), &node.flights);
    let relation = relation(node, from);
    let tellers = match place_of(scope, relation) {
        Some(Place::Far) => &flights.far,
        Some(Place::Near) => &flights.near,
        None => return,
    };
    let concerned = tellers.borrow_mut().take(from, now, told);
    if !flights.are_fresh() {
        return;
    }
    let mut state = node.state.borrow_mut();
    for key in concerned {
        if let Some(engine) = state.engines.by_key(key) {
            engine.elsewhere = Some(elsewhere(node, key, relation == Relation::Head));
        }
    }
}

fn apply_to_all(node: &Node, behind_a_head: bool) {
    let fresh = node.flights.are_fresh();
    for engine in node.state.borrow_mut().engines.iter_mut() {
        engine.elsewhere = fresh.then(|| elsewhere(node, engine.key(), behind_a_head));
    }
    node.turns.next.notify_waiters();
}

/// What all other nodes have at an engine. What a head tells contains what this node told it.
fn elsewhere(node: &Node, key: EngineKey, behind_a_head: bool) -> Flight {
    let flights = &node.flights;
    let told = flights.far.borrow().sum(key).plus(flights.near.borrow().sum(key));
    if behind_a_head { told.minus(flights.up.borrow().sent(key)) } else { told }
}
