//! Aggregates the in-flight loads that nodes report to each other.
//!
//! There are three levels: a node's own load, the sum of a domain and the sum of all domains. Each
//! is made from the one below only, so that no sum can be added to itself, even if nodes disagree
//! on which of them are hubs.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::flights::{EngineKey, Flight, Share, Tellers, Telling, Told};

/// Time without a report after which loads are unknown; longer than two lost complete reports.
const FRESH_FOR: Millis = 2_200;

/// Minimum part of the other hubs that must be heard; with fewer, engines look less loaded than
/// they are.
const HEARD_SHARE: f64 = 0.66;

/// What a reported load covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// One node.
    Own,
    /// The nodes of one domain.
    Part,
    /// All nodes.
    All,
}

/// What a node is to the one that receives its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// The hub of the receiver's domain.
    Head,
    /// The hub of another domain.
    OtherHead,
    /// A node that asks the receiver.
    Child,
    Stranger,
}

/// The sum that a report is added to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Load of the nodes of this domain.
    Near,
    /// Load of all other nodes.
    Far,
}

/// The sum that a report is added to, if any. Only single nodes are added to a domain's sum, so
/// that no sum is counted again.
pub fn place_of(scope: Scope, from: Relation) -> Option<Place> {
    match (scope, from) {
        (Scope::Own, Relation::Child) => Some(Place::Near),
        // A node that has just become a hub, or still asks one, reports only its own load.
        (Scope::Own | Scope::Part, Relation::OtherHead) => Some(Place::Far),
        (Scope::All, Relation::Head) => Some(Place::Far),
        _ => None,
    }
}

/// The nodes that a node exchanges reports with.
#[derive(Debug, Clone, Default)]
pub struct Circle {
    /// The hub of its domain, if that is another node.
    pub head: Option<SocketAddr>,
    /// The hubs of other domains, if it is a hub.
    pub heads: Vec<SocketAddr>,
    /// Nodes that ask it.
    pub children: Vec<SocketAddr>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Saying {
    pub to: Vec<SocketAddr>,
    pub scope: Scope,
    pub told: Told,
}

#[derive(Debug, Default)]
pub struct Sums {
    /// Reports of nodes that ask this one.
    near: Tellers,
    /// Reports of the hub of this node's domain, or of other hubs.
    far: Tellers,
    up: Telling,
    down: Telling,
    fresh: bool,
    /// The hub that this node reported to last.
    head: Option<SocketAddr>,
}

impl Sums {
    /// Whether the loads of other nodes are known.
    pub fn are_fresh(&self) -> bool {
        self.fresh
    }

    /// Applies a report; returns the engines that it affects.
    pub fn take(
        &mut self,
        from: SocketAddr,
        relation: Relation,
        scope: Scope,
        told: &Told,
        now: Millis,
    ) -> Vec<EngineKey> {
        match place_of(scope, relation) {
            Some(Place::Far) => self.far.take(from, now, told),
            Some(Place::Near) => self.near.take(from, now, told),
            None => Vec::new(),
        }
    }

    /// The reports to send now, given the loads that this node has in flight.
    pub fn next(
        &mut self,
        now: Millis,
        own: IndexMap<EngineKey, Flight>,
        circle: &Circle,
    ) -> Vec<Saying> {
        self.near.keep(now, |addr| circle.children.contains(addr));
        self.far.keep(now, |addr| Some(*addr) == circle.head || circle.heads.contains(addr));
        self.fresh = self.is_heard(circle, now);
        let mut sayings: Vec<Saying> = self.leave(circle.head).into_iter().collect();
        let mut say = |to: &[SocketAddr], scope, words: Vec<Told>| {
            let all = words.into_iter().map(|told| Saying { to: to.to_vec(), scope, told });
            sayings.extend(all.filter(|saying| !saying.to.is_empty()));
        };
        if let Some(head) = circle.head {
            say(&[head], Scope::Own, self.up.next(now, &own));
            return sayings;
        }
        let domain = add(own, &self.near);
        say(&circle.heads, Scope::Part, self.up.next(now, &domain));
        if !circle.children.is_empty() {
            let all = add(domain, &self.far);
            say(&circle.children, Scope::All, self.down.next(now, &all));
        }
        sayings
    }

    /// On a change of hub: clears the load that the previous hub counts for this node.
    fn leave(&mut self, head: Option<SocketAddr>) -> Option<Saying> {
        let before = std::mem::replace(&mut self.head, head);
        if before == head {
            return None;
        }
        self.up = Telling::default();
        self.down = Telling::default();
        let told = Told { all_of: Some(Share { part: 0, parts: 1 }), rows: Vec::new() };
        before.map(|before| Saying { to: vec![before], scope: Scope::Own, told })
    }

    fn is_heard(&self, circle: &Circle, now: Millis) -> bool {
        let heard = self.far.heard_within(FRESH_FOR, now) as f64;
        let all = if circle.head.is_some() { 1 } else { circle.heads.len() };
        all > 0 && heard >= HEARD_SHARE * all as f64
    }

    /// Load that all other nodes have in flight at an engine.
    pub fn elsewhere(&self, key: EngineKey) -> Flight {
        let far = self.far.sum(key);
        // The hub's sum includes what this node reported to it.
        let far = if self.head.is_some() { far.minus(self.up.sent(key)) } else { far };
        far.plus(self.near.sum(key))
    }
}

fn add(mut flights: IndexMap<EngineKey, Flight>, told: &Tellers) -> IndexMap<EngineKey, Flight> {
    for (key, flight) in told.sums() {
        let sum = flights.entry(key).or_default();
        *sum = sum.plus(flight);
    }
    flights
}
