//! Aggregates the in-flight loads that nodes report to each other.
//!
//! There are three levels: a node's own load, the sum of a domain and the sum of all domains. Each
//! is made from the one below only, so that no sum can be added to itself, even if nodes disagree
//! on which of them are hubs.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::in_flight::{
    EngineKey, InFlightLoad, InFlightUpdate, KeyPartition, PeerReports, UpdateTracker,
};

/// Time without a report after which loads are unknown; longer than two lost complete reports.
const FRESH_FOR: Millis = 2_200;

/// Minimum part of the other hubs that must be heard; with fewer, engines look less loaded than
/// they are.
const HEARD_SHARE: f64 = 0.66;

/// What a reported load covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportScope {
    /// One node.
    #[serde(rename = "Own")]
    Node,
    /// The nodes of one domain.
    #[serde(rename = "Part")]
    Domain,
    /// All nodes.
    #[serde(rename = "All")]
    Global,
}

/// What a node is to the one that receives its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// The hub of the receiver's domain.
    Hub,
    /// The hub of another domain.
    OtherHub,
    /// A node that asks the receiver.
    Child,
    Unrelated,
}

/// The sum that a report is added to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subtotal {
    /// Load of the nodes of this domain.
    Domain,
    /// Load of all other nodes.
    Remote,
}

/// The sum that a report is added to, if any. Only single nodes are added to a domain's sum, so
/// that no sum is counted again.
pub fn subtotal_for(scope: ReportScope, from: Relation) -> Option<Subtotal> {
    match (scope, from) {
        (ReportScope::Node, Relation::Child) => Some(Subtotal::Domain),
        // A node that has just become a hub, or still asks one, reports only its own load.
        (ReportScope::Node | ReportScope::Domain, Relation::OtherHub) => Some(Subtotal::Remote),
        (ReportScope::Global, Relation::Hub) => Some(Subtotal::Remote),
        _ => None,
    }
}

/// The nodes that a node exchanges reports with.
#[derive(Debug, Clone, Default)]
pub struct Neighbors {
    /// The hub of its domain, if that is another node.
    pub hub: Option<SocketAddr>,
    /// The hubs of other domains, if it is a hub.
    pub hubs: Vec<SocketAddr>,
    /// Nodes that ask it.
    pub children: Vec<SocketAddr>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingUpdate {
    pub to: Vec<SocketAddr>,
    pub scope: ReportScope,
    pub update: InFlightUpdate,
}

#[derive(Debug, Default)]
pub struct Aggregator {
    /// Reports of nodes that ask this one.
    near: PeerReports,
    /// Reports of the hub of this node's domain, or of other hubs.
    far: PeerReports,
    up: UpdateTracker,
    down: UpdateTracker,
    fresh: bool,
    /// The hub that this node reported to last.
    head: Option<SocketAddr>,
}

impl Aggregator {
    /// Whether the loads of other nodes are known.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Applies a report; returns the engines that it affects.
    pub fn apply(
        &mut self,
        from: SocketAddr,
        relation: Relation,
        scope: ReportScope,
        told: &InFlightUpdate,
        now: Millis,
    ) -> Vec<EngineKey> {
        match subtotal_for(scope, relation) {
            Some(Subtotal::Remote) => self.far.apply(from, now, told),
            Some(Subtotal::Domain) => self.near.apply(from, now, told),
            None => Vec::new(),
        }
    }

    /// The reports to send now, given the loads that this node has in flight.
    pub fn next_updates(
        &mut self,
        now: Millis,
        own: IndexMap<EngineKey, InFlightLoad>,
        circle: &Neighbors,
    ) -> Vec<OutgoingUpdate> {
        self.near.expire(now, |addr| circle.children.contains(addr));
        self.far.expire(now, |addr| Some(*addr) == circle.hub || circle.hubs.contains(addr));
        self.fresh = self.is_heard(circle, now);
        let mut sayings: Vec<OutgoingUpdate> = self.leave(circle.hub).into_iter().collect();
        let mut say = |to: &[SocketAddr], scope, words: Vec<InFlightUpdate>| {
            let all = words.into_iter().map(|told| OutgoingUpdate {
                to: to.to_vec(),
                scope,
                update: told,
            });
            sayings.extend(all.filter(|saying| !saying.to.is_empty()));
        };
        if let Some(head) = circle.hub {
            say(&[head], ReportScope::Node, self.up.next_updates(now, &own));
            return sayings;
        }
        let domain = add(own, &self.near);
        say(&circle.hubs, ReportScope::Domain, self.up.next_updates(now, &domain));
        if !circle.children.is_empty() {
            let all = add(domain, &self.far);
            say(&circle.children, ReportScope::Global, self.down.next_updates(now, &all));
        }
        sayings
    }

    /// On a change of hub: clears the load that the previous hub counts for this node.
    fn leave(&mut self, head: Option<SocketAddr>) -> Option<OutgoingUpdate> {
        let before = std::mem::replace(&mut self.head, head);
        if before == head {
            return None;
        }
        self.up = UpdateTracker::default();
        self.down = UpdateTracker::default();
        let told = InFlightUpdate {
            full_partition: Some(KeyPartition { part: 0, parts: 1 }),
            rows: Vec::new(),
        };
        before.map(|before| OutgoingUpdate {
            to: vec![before],
            scope: ReportScope::Node,
            update: told,
        })
    }

    fn is_heard(&self, circle: &Neighbors, now: Millis) -> bool {
        let heard = self.far.active_within(FRESH_FOR, now) as f64;
        let all = if circle.hub.is_some() { 1 } else { circle.hubs.len() };
        all > 0 && heard >= HEARD_SHARE * all as f64
    }

    /// Load that all other nodes have in flight at an engine.
    pub fn in_flight_elsewhere(&self, key: EngineKey) -> InFlightLoad {
        let far = self.far.sum(key);
        // The hub's sum includes what this node reported to it.
        let far = if self.head.is_some() { far.minus(self.up.last_sent(key)) } else { far };
        far.plus(self.near.sum(key))
    }
}

fn add(
    mut flights: IndexMap<EngineKey, InFlightLoad>,
    told: &PeerReports,
) -> IndexMap<EngineKey, InFlightLoad> {
    for (key, flight) in told.sums() {
        let sum = flights.entry(key).or_default();
        *sum = sum.plus(flight);
    }
    flights
}
