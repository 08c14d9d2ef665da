//! The planner role: publishes the residency floor of a region.

use hgw_claim::Action as ClaimAction;
use hgw_config::Document;
use hgw_events::Event as LogEvent;
use hgw_placement::{Floor, floor};
use hgw_types::{DomainId, NodeId, Offset, RecordId, RegionId, Scope, StreamName, UpstreamId};
use indexmap::IndexMap;

use crate::codec::{decode, encode};
use crate::context::Context;
use crate::scope::{ScopeLog, TermEvents};
use crate::view::View;
use crate::{PlatformError, ReadOutcome};

/// Nodes that may claim a region's scope. Were all nodes to, a cut would have each of them append a
/// claim.
const CANDIDATES: usize = 3;

/// This node's part in planning one region. Every node reads the floors of all regions; only nodes of
/// the region itself claim its scope.
#[derive(Debug)]
pub(crate) struct PlannerRole {
    region: RegionId,
    scope: ScopeLog,
    /// Engines that the keepers of the region have lost.
    lost: IndexMap<DomainId, Vec<UpstreamId>>,
    current: Option<Floor>,
    /// What the last proposal was made from, so that it is made once.
    proposed: Option<(Offset, Vec<UpstreamId>)>,
}

impl PlannerRole {
    pub(crate) fn new(cx: &Context<'_>, region: RegionId) -> Self {
        let events = TermEvents {
            gained: LogEvent::PlannerGained,
            lost: LogEvent::PlannerLost,
            field: "region",
            value: region.to_string(),
        };
        let scope = ScopeLog::new(cx, Scope::planner(&region), events);
        PlannerRole { region, scope, lost: IndexMap::new(), current: None, proposed: None }
    }

    pub(crate) fn region(&self) -> &RegionId {
        &self.region
    }

    pub(crate) fn stream(&self) -> &StreamName {
        self.scope.stream()
    }

    pub(crate) fn is_held(&self) -> bool {
        self.scope.held().is_some()
    }

    /// The node that plans the region, to which keepers tell the engines that they have lost.
    pub(crate) fn holder(&self) -> Option<&NodeId> {
        self.scope.holder()
    }

    pub(crate) fn on_lost_engines(&mut self, domain: DomainId, engines: Vec<UpstreamId>) {
        self.lost.insert(domain, engines);
    }

    /// Takes the answer to a read and gives the newest floor, if it changed.
    pub(crate) fn on_read(&mut self, cx: &mut Context<'_>, outcome: ReadOutcome) -> Option<Floor> {
        let acts = self.scope.on_read(cx, outcome);
        self.take(cx, acts)
    }

    pub(crate) fn on_appended(
        &mut self,
        cx: &mut Context<'_>,
        id: RecordId,
        outcome: Result<Offset, PlatformError>,
    ) -> Option<Floor> {
        let acts = self.scope.on_appended(cx, id, outcome);
        self.take(cx, acts)
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) -> Option<Floor> {
        let acts = self.scope.on_tick(cx);
        self.take(cx, acts)
    }

    /// Claims the region when due, and plans it while this node holds it.
    pub(crate) fn review(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        version: Offset,
    ) -> Option<Floor> {
        let order = self.candidates(view);
        let candidate = order.iter().take(CANDIDATES).any(|n| n == view.me);
        let preferred = order.first() == Some(view.me);
        // Whoever is no candidate leaves the scope alone, as if its holder lived.
        let acts = self.scope.review(cx, preferred, |n| !candidate || view.members.is_alive(n));
        let changed = self.take(cx, acts);
        if self.is_held() && version != Offset(0) {
            return self.plan(cx, version, view.document).or(changed);
        }
        changed
    }

    /// The live nodes that may plan the region, the one that should first.
    fn candidates(&self, view: &View<'_>) -> Vec<NodeId> {
        let in_region =
            |d: &DomainId| view.document.domains.get(d).is_some_and(|d| d.region == self.region);
        let domains = view.document.domains.keys().filter(|d| in_region(d));
        let nodes = domains.flat_map(|d| view.members.representatives(d));
        let key = Scope::planner(&self.region);
        hgw_membership::rank::order(key.as_str().as_bytes(), nodes)
    }

    /// Proposes a floor when the configuration or the set of lost engines has changed. Load does not
    /// enter: the floor must stay still while demand moves.
    fn plan(
        &mut self,
        cx: &mut Context<'_>,
        version: Offset,
        document: &Document,
    ) -> Option<Floor> {
        let mut lost: Vec<UpstreamId> = self.lost.values().flatten().cloned().collect();
        lost.sort();
        let from = (version, lost);
        if self.proposed.as_ref() == Some(&from) {
            return None;
        }
        let wanted = floor(&self.of_region(document), version, &from.1, self.current.as_ref());
        self.proposed = Some(from);
        if self.current.as_ref() == Some(&wanted) {
            return None;
        }
        let id = cx.record();
        let acts = self.scope.propose(cx, id, encode(&wanted));
        self.take(cx, acts)
    }

    /// The configuration with the upstreams of the region only.
    fn of_region(&self, document: &Document) -> Document {
        let mut document = document.clone();
        let domains = document.domains.clone();
        let in_region = |d: &DomainId| domains.get(d).is_some_and(|d| d.region == self.region);
        document.upstreams.retain(|_, u| in_region(&u.domain));
        document
    }

    fn take(&mut self, cx: &mut Context<'_>, acts: Vec<ClaimAction>) -> Option<Floor> {
        let mut changed = None;
        for act in acts {
            match act {
                ClaimAction::Apply { data, .. } | ClaimAction::Restore { data, .. } => {
                    let Some(floor) = decode::<Floor>(&data) else { continue };
                    self.current = Some(floor.clone());
                    changed = Some(floor);
                }
                ClaimAction::SnapshotDue => {
                    let Some(floor) = &self.current else { continue };
                    let acts = self.scope.snapshot(cx, encode(floor));
                    changed = self.take(cx, acts).or(changed);
                }
                // A floor that was lost is made anew from the configuration.
                ClaimAction::NoSnapshot => {
                    let acts = self.scope.begin_empty(cx);
                    changed = self.take(cx, acts).or(changed);
                }
                // A refused proposal, or a new term, is followed by a fresh one.
                ClaimAction::Dropped { .. }
                | ClaimAction::LeaseAcquired(_)
                | ClaimAction::LeaseLost(_) => {
                    self.proposed = None;
                }
                ClaimAction::LeaderChanged(_) | ClaimAction::Append { .. } => {}
            }
        }
        changed
    }

    pub(crate) fn release(&mut self, cx: &mut Context<'_>) {
        let acts = self.scope.release(cx);
        self.take(cx, acts);
    }
}
