//! What is at engines, told in sums: each node tells the head of its domain, heads tell each other the sums of their
//! domains, and their nodes what is there in all.
//!
//! Nobody waits for a word: a node that hears none chooses by the loads that answers tell.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::aggregation::{Neighbors, Relation, ReportScope};
use hgw_direct::broadcasts_sends;
use hgw_direct::hubs::{Parent, candidates};
use hgw_direct::in_flight::{EngineKey, InFlightLoad, InFlightUpdate};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::shared::Node;

use super::sends::Word;

/// Time between two words. On its way through two heads what is sent is known everywhere within a tenth of a second, in
/// which one engine in nine gets a request.
const TICK: Duration = Duration::from_millis(40);

/// The same where there are so few nodes that each tells all others of each request.
const IDLE: Duration = Duration::from_millis(500);

/// Heads that tell each other. While more nodes ask the keeper itself, as at the start, nobody tells anything.
const MOST_HEADS: usize = 40;

/// The nodes that this one listens to, and those that it tells.
pub(super) fn circle(node: &Node) -> Neighbors {
    let (me, view) = (node.settings.borrow().peers, View::of(node));
    let is = |relation| move |addr: &SocketAddr| view.relation(node, *addr) == relation;
    let others = node.sends.others().into_iter().filter(|addr| *addr != me);
    let heads = others.filter(is(Relation::OtherHub)).collect();
    let children = node.children.all().into_iter().filter(is(Relation::Child)).collect();
    Neighbors { hub: view.head, hubs: heads, children }
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
            Some((Parent::Hub(addr), _)) => Some(addr),
            _ => None,
        };
        let me = node.settings.borrow().peers;
        let tells_heads = head.is_none() && node.sends.count_but(me) <= MOST_HEADS;
        View { head, tells_heads }
    }

    fn relation(self, node: &Node, other: SocketAddr) -> Relation {
        if self.head == Some(other) {
            Relation::Hub
        } else if self.tells_heads && node.sends.knows(other) {
            Relation::OtherHub
        } else if node.children.has(other) {
            Relation::Child
        } else {
            Relation::Unrelated
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
        if broadcasts_sends(node.state.borrow().nodes) || node.state.borrow().nodes < 2 {
            sleep(IDLE).await;
            continue;
        }
        sleep(TICK).await;
        step(&node);
    }
}

fn step(node: &Node) {
    if node.holding.borrow().is_mine() {
        know_heads(node);
    }
    let said = node.sums.borrow_mut().next_updates(node.now(), own(node), &circle(node));
    for saying in said {
        node.sends.tell_to(saying.to.iter(), &Word::Flights(saying.scope, saying.update));
    }
    apply_to_all(node);
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
fn own(node: &Node) -> IndexMap<EngineKey, InFlightLoad> {
    let state = node.state.borrow();
    let used = state.engines.iter().filter(|e| e.own_requests > 0);
    used.map(|e| (e.key(), e.own_in_flight())).collect()
}

/// Another node tells. What comes from elsewhere changes nothing: only those count that ask this node or that it asks,
/// and heads that the keeper has named.
pub(super) fn take_in(node: &Node, from: SocketAddr, scope: ReportScope, told: &InFlightUpdate) {
    let mut sums = node.sums.borrow_mut();
    let concerned = sums.apply(from, relation(node, from), scope, told, node.now());
    if !sums.is_fresh() {
        return;
    }
    let mut state = node.state.borrow_mut();
    for key in concerned {
        if let Some(engine) = state.engines.by_key(key) {
            engine.in_flight_elsewhere = Some(sums.in_flight_elsewhere(key));
        }
    }
}

fn apply_to_all(node: &Node) {
    let sums = node.sums.borrow();
    for engine in node.state.borrow_mut().engines.iter_mut() {
        engine.in_flight_elsewhere =
            sums.is_fresh().then(|| sums.in_flight_elsewhere(engine.key()));
    }
    node.turns.next.notify_waiters();
}
