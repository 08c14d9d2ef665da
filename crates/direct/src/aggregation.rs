//! Aggregates the in-flight loads that nodes report to each other.
//!
//! There are three levels: a node's own load, the sum of a domain and the sum of all domains. Each
//! is made from the one below only, so that no sum can be added to itself, even if nodes disagree
//! on which of them are hubs.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::in_flight::{
    EngineKey, InFlightLoad, InFlightUpdate, KeyPartition, PeerReports, UpdateTracker,
};
use crate::{Engines, Millis};

/// Time without a report after which loads are unknown; longer than two lost complete reports.
const REPORT_TTL: Millis = 2_200;

/// Minimum part of the other hubs that must have reported; with fewer, engines look less loaded
/// than they are.
const MIN_HUBS_RATIO: f64 = 0.66;

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
    domain: PeerReports,
    /// Reports of the hub of this node's domain, or of other hubs.
    remote: PeerReports,
    upward: UpdateTracker,
    downward: UpdateTracker,
    fresh: bool,
    /// The hub that this node reported to last.
    hub: Option<SocketAddr>,
    /// What is not in the engines yet.
    outdated: Outdated,
}

/// Engines whose recorded loads are to be updated.
#[derive(Debug, Default)]
struct Outdated {
    /// Whether all of them are.
    all: bool,
    keys: IndexSet<EngineKey>,
    /// Insertions into the list of engines at the last update.
    insertions: u64,
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
        update: &InFlightUpdate,
        now: Millis,
    ) -> Vec<EngineKey> {
        match subtotal_for(scope, relation) {
            Some(Subtotal::Remote) => self.remote.apply(from, now, update),
            Some(Subtotal::Domain) => self.domain.apply(from, now, update),
            None => Vec::new(),
        }
    }

    /// The reports to send now, given the loads that this node has in flight.
    pub fn next_updates(
        &mut self,
        now: Millis,
        own: IndexMap<EngineKey, InFlightLoad>,
        neighbors: &Neighbors,
    ) -> Vec<OutgoingUpdate> {
        let children: IndexSet<&SocketAddr> = neighbors.children.iter().collect();
        self.outdated.keys.extend(self.domain.expire(now, |addr| children.contains(addr)));
        let is_remote =
            |addr: &SocketAddr| Some(*addr) == neighbors.hub || neighbors.hubs.contains(addr);
        self.outdated.keys.extend(self.remote.expire(now, is_remote));
        let is_fresh = self.has_enough_reports(neighbors, now);
        self.outdated.all |= std::mem::replace(&mut self.fresh, is_fresh) != is_fresh;
        let mut updates: Vec<OutgoingUpdate> = self.leave_hub(neighbors.hub).into_iter().collect();
        let mut send = |to: &[SocketAddr], scope, messages: Vec<InFlightUpdate>| {
            let outgoing = messages.into_iter().map(|update| OutgoingUpdate {
                to: to.to_vec(),
                scope,
                update,
            });
            updates.extend(outgoing.filter(|update| !update.to.is_empty()));
        };
        if let Some(hub) = neighbors.hub {
            // The hub's sums include what this node has sent.
            self.outdated.keys.extend(self.upward.changed_loads(&own).iter().map(|row| row.0));
            send(&[hub], ReportScope::Node, self.upward.next_updates(now, &own));
            return updates;
        }
        let domain = add_reports(own, &self.domain);
        send(&neighbors.hubs, ReportScope::Domain, self.upward.next_updates(now, &domain));
        if !neighbors.children.is_empty() {
            let global = add_reports(domain, &self.remote);
            send(
                &neighbors.children,
                ReportScope::Global,
                self.downward.next_updates(now, &global),
            );
        }
        updates
    }

    /// On a change of hub: clears the load that the previous hub counts for this node.
    fn leave_hub(&mut self, hub: Option<SocketAddr>) -> Option<OutgoingUpdate> {
        let previous = std::mem::replace(&mut self.hub, hub);
        if previous == hub {
            return None;
        }
        self.outdated.all = true;
        self.upward = UpdateTracker::default();
        self.downward = UpdateTracker::default();
        let update = InFlightUpdate {
            full_partition: Some(KeyPartition { part: 0, parts: 1 }),
            rows: Vec::new(),
            held: Vec::new(),
        };
        previous.map(|previous| OutgoingUpdate {
            to: vec![previous],
            scope: ReportScope::Node,
            update,
        })
    }

    fn has_enough_reports(&self, neighbors: &Neighbors, now: Millis) -> bool {
        let active = self.remote.active_within(REPORT_TTL, now) as f64;
        let expected = if neighbors.hub.is_some() { 1 } else { neighbors.hubs.len() };
        expected > 0 && active >= MIN_HUBS_RATIO * expected as f64
    }

    /// Records in the engines what other nodes have in flight there. Returns the number of engines
    /// that were looked at: those whose load has changed other than by a report, which
    /// [`Aggregator::apply`] returns, or all of them if there are new ones.
    pub fn update_engines(&mut self, engines: &mut Engines) -> usize {
        let outdated = std::mem::take(&mut self.outdated);
        self.outdated.insertions = engines.insertions();
        if outdated.all || outdated.insertions != engines.insertions() {
            for engine in engines.iter_mut() {
                engine.in_flight_elsewhere =
                    self.fresh.then(|| self.in_flight_elsewhere(engine.key()));
            }
            return engines.iter().count();
        }
        if !self.fresh {
            return 0;
        }
        for key in &outdated.keys {
            if let Some(engine) = engines.by_key(*key) {
                engine.in_flight_elsewhere = Some(self.in_flight_elsewhere(*key));
            }
        }
        outdated.keys.len()
    }

    /// Load that all other nodes have in flight at an engine.
    pub fn in_flight_elsewhere(&self, key: EngineKey) -> InFlightLoad {
        let remote = self.remote.sum(key);
        // The hub's sum includes what this node reported to it.
        let remote =
            if self.hub.is_some() { remote.minus(self.upward.last_sent(key)) } else { remote };
        remote.plus(self.domain.sum(key))
    }
}

fn add_reports(
    mut loads: IndexMap<EngineKey, InFlightLoad>,
    reports: &PeerReports,
) -> IndexMap<EngineKey, InFlightLoad> {
    for (key, load) in reports.sums() {
        let sum = loads.entry(key).or_default();
        *sum = sum.plus(load);
    }
    loads
}
