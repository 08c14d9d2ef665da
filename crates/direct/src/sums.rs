//! What one node tells of requests at engines, and what it believes of those of others.
//!
//! Load: the keeper stops as planned, and for two seconds nodes do not agree on who passes on to whom. As long as a word
//! that adds up others could be added up again, two nodes that took each other for one below them told each other the
//! sum of both, again and again: the belief of what is at engines rose from 5 requests to 350 within two seconds, while
//! engines rejected nothing, and 2,100 requests were refused as if all engines were full.
//!
//! A word therefore says what it adds up, and there are two levels and no more: a node's own, then the sum of a domain,
//! then what there is in all. Each is made only from the ones before it, so that no word comes back into itself,
//! whatever nodes believe of each other. What is lost: the nodes that ask one which itself has a head tell nobody, and
//! hear nothing, until they ask that head.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::flights::{EngineKey, Flight, Share, Tellers, Telling, Told};

/// Time after the last word after which loads are not known by them any more: two words in a row that tell all there is
/// were lost.
const FRESH_FOR: Millis = 2_200;

/// Part of the other heads that must be heard: with fewer much of what is at engines is not known, and they look idle.
const HEARD_SHARE: f64 = 0.66;

/// What a word adds up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// What one node has.
    Own,
    /// What the nodes of a domain have: the words of single nodes, added up.
    Part,
    /// What there is in all: the sums of domains, added up.
    All,
}

/// What a node is to another that hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// The head of its domain.
    Head,
    /// The head of another domain.
    OtherHead,
    /// A node that asks it.
    Child,
    /// None of these.
    Stranger,
}

/// Where a word counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// With what nodes of this domain have.
    Near,
    /// With what is elsewhere.
    Far,
}

/// Where a word counts, if it does. Only a node's own counts with a domain's, so that no sum is added up again.
pub fn place_of(scope: Scope, from: Relation) -> Option<Place> {
    match (scope, from) {
        (Scope::Own, Relation::Child) => Some(Place::Near),
        // One that has just become a head, or still has one, has no domain to add up.
        (Scope::Own | Scope::Part, Relation::OtherHead) => Some(Place::Far),
        (Scope::All, Relation::Head) => Some(Place::Far),
        _ => None,
    }
}

/// The nodes that one listens to, and that it tells.
#[derive(Debug, Clone, Default)]
pub struct Circle {
    /// The head of its domain, where that is another node.
    pub head: Option<SocketAddr>,
    /// Heads of other domains, where it is one.
    pub heads: Vec<SocketAddr>,
    /// Nodes that ask it.
    pub children: Vec<SocketAddr>,
}

/// What nodes are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Saying {
    /// These.
    pub to: Vec<SocketAddr>,
    /// What it adds up.
    pub scope: Scope,
    /// What is at engines.
    pub told: Told,
}

/// What a node was told, and told others.
#[derive(Debug, Default)]
pub struct Sums {
    /// By nodes that ask this one.
    near: Tellers,
    /// By the head of this node's domain, or by the heads of others.
    far: Tellers,
    up: Telling,
    down: Telling,
    fresh: bool,
    /// The head that this node told last.
    head: Option<SocketAddr>,
}

impl Sums {
    /// Whether loads are known by what nodes tell each other.
    pub fn are_fresh(&self) -> bool {
        self.fresh
    }

    /// A node tells; gives the engines that this concerns.
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

    /// What there is to tell now, where this node has so much at engines.
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

    /// Another head counts what this node has from now on: the one before is to count none of it.
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

    /// What all other nodes have at an engine. What a head tells contains what this node told it.
    pub fn elsewhere(&self, key: EngineKey) -> Flight {
        let far = self.far.sum(key);
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
