//! Which upstream holds which model, as far as this node knows. Routes are hints: a dispatcher that
//! does not find the model at its upstream says so, and nothing has run.

use hgw_config::{Document, ServiceKind};
use hgw_dispatch::Candidate;
use hgw_placement::Floor;
use hgw_types::{
    AdapterId, DomainId, ModelId, NodeId, RegionId, ServiceId, Term, UpstreamId, VersionId,
};
use hgw_wire::peer::{Holding, Placement};
use indexmap::{IndexMap, IndexSet};

/// What a keeper has said of its failure domain.
#[derive(Debug)]
struct DomainRoutes {
    keeper: NodeId,
    term: Term,
    number: u64,
    engines: IndexMap<UpstreamId, Holding>,
}

/// What became of a placement message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is in force.
    InForce,
    /// It is older than what is in force.
    Old,
    /// Some before it are missing: the keeper is to be asked for the whole.
    Gap,
}

#[derive(Debug, Default)]
pub(crate) struct Routes {
    domains: IndexMap<DomainId, DomainRoutes>,
    floors: IndexMap<RegionId, Floor>,
    /// Upstreams that the platform's list or their own reports call leaving.
    leaving: IndexSet<UpstreamId>,
}

impl Routes {
    /// Takes a placement message.
    ///
    /// A keeper that was superseded may still be sending: its routes would lead to models that its
    /// successor has evicted. Only messages of the newest term known count, in their order.
    pub(crate) fn place(&mut self, from: &NodeId, message: Placement) -> Taken {
        let known = self.domains.get(&message.domain).map(|d| (d.term, d.number));
        if known.is_some_and(|(term, number)| {
            message.term < term
                || (message.term == term && message.number <= number && !message.whole)
        }) {
            return Taken::Old;
        }
        if message.whole {
            self.place_whole(from, message);
            return Taken::InForce;
        }
        match self.domains.get_mut(&message.domain) {
            Some(d) if d.term == message.term && d.number + 1 == message.number => {
                d.number = message.number;
                d.engines.extend(message.engines);
                Taken::InForce
            }
            _ => Taken::Gap,
        }
    }

    /// A new keeper speaks before it has asked every engine: what it does not name yet stays as its
    /// predecessor said, so that a takeover does not make models unreachable.
    fn place_whole(&mut self, from: &NodeId, message: Placement) {
        let Placement { domain, term, number, engines, .. } = message;
        let known = self.domains.entry(domain).or_insert_with(|| DomainRoutes {
            keeper: from.clone(),
            term,
            number,
            engines: IndexMap::new(),
        });
        known.keeper = from.clone();
        known.term = term;
        known.number = number;
        known.engines.extend(engines);
    }

    pub(crate) fn set_floor(&mut self, region: RegionId, floor: Floor) {
        self.floors.insert(region, floor);
    }

    pub(crate) fn set_leaving(&mut self, leaving: IndexSet<UpstreamId>) {
        self.leaving = leaving;
    }

    pub(crate) fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.leaving.contains(upstream)
    }

    pub(crate) fn leaving(&self) -> &IndexSet<UpstreamId> {
        &self.leaving
    }

    /// The keeper of a failure domain whose placement is in force.
    pub(crate) fn keeper(&self, domain: &DomainId) -> Option<&NodeId> {
        self.domains.get(domain).map(|d| &d.keeper)
    }

    pub(crate) fn holding(&self, domain: &DomainId, upstream: &UpstreamId) -> Option<&Holding> {
        self.domains.get(domain)?.engines.get(upstream)
    }

    pub(crate) fn engines(
        &self,
        domain: &DomainId,
    ) -> impl Iterator<Item = (&UpstreamId, &Holding)> {
        self.domains.get(domain).into_iter().flat_map(|d| d.engines.iter())
    }

    /// The version of `model` that `upstream` can run: the one wanted, or else the one it still
    /// holds while a version change is under way.
    pub(crate) fn version_at(
        &self,
        domain: &DomainId,
        upstream: &UpstreamId,
        model: &ModelId,
        wanted: &VersionId,
    ) -> Option<VersionId> {
        let held = &self.holding(domain, upstream)?.models;
        let of_model = || held.iter().filter(|(m, _)| m == model).map(|(_, v)| v);
        of_model().find(|v| *v == wanted).or_else(|| of_model().next()).cloned()
    }

    /// Whether `upstream` holds an adapter, in any version.
    pub(crate) fn has_adapter(
        &self,
        domain: &DomainId,
        upstream: &UpstreamId,
        model: &ModelId,
        adapter: &AdapterId,
    ) -> bool {
        let held = |h: &Holding| h.adapters.iter().any(|(m, a, _)| m == model && a == adapter);
        self.holding(domain, upstream).is_some_and(held)
    }

    /// Upstreams that could take a model request from `home`, nearest first.
    pub(crate) fn for_model(
        &self,
        document: &Document,
        home: &DomainId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) -> Vec<Candidate> {
        let usable = |id: &UpstreamId| self.is_usable(document, id);
        let mut found: IndexMap<UpstreamId, Candidate> = IndexMap::new();
        for (id, holding) in self.engines(home) {
            if holding.models.iter().any(|(m, _)| m == model) && usable(id) {
                let has_adapter = adapter.is_none_or(|a| self.has_adapter(home, id, model, a));
                found.insert(
                    id.clone(),
                    Candidate { upstream: id.clone(), distance: 0, has_adapter },
                );
            }
        }
        let known_home = self.domains.contains_key(home);
        for id in self.floors.values().filter_map(|f| f.models.get(model)).flatten() {
            let Some(upstream) = document.upstreams.get(id) else { continue };
            let at_home = upstream.domain == *home;
            if found.contains_key(id) || !usable(id) || (at_home && known_home) {
                continue;
            }
            let distance = distance(document, home, &upstream.domain);
            let has_adapter = adapter.is_none();
            found.insert(id.clone(), Candidate { upstream: id.clone(), distance, has_adapter });
        }
        nearest_first(found.into_values().collect())
    }

    /// Upstreams of a plain service, nearest first.
    pub(crate) fn for_plain(
        &self,
        document: &Document,
        home: &DomainId,
        service: &ServiceId,
    ) -> Vec<Candidate> {
        let of_service = document.upstreams.iter().filter(|(_, u)| u.service == *service);
        let candidates =
            of_service.filter(|(id, _)| self.is_usable(document, id)).map(|(id, u)| Candidate {
                upstream: id.clone(),
                distance: distance(document, home, &u.domain),
                has_adapter: true,
            });
        nearest_first(candidates.collect())
    }

    fn is_usable(&self, document: &Document, id: &UpstreamId) -> bool {
        document.upstreams.get(id).is_some_and(|u| !u.leaving) && !self.is_leaving(id)
    }
}

fn nearest_first(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by_key(|c| c.distance);
    candidates
}

/// 0 within a failure domain, 1 within a region, 2 beyond.
fn distance(document: &Document, home: &DomainId, there: &DomainId) -> u8 {
    if home == there {
        return 0;
    }
    let region = |d: &DomainId| document.domains.get(d).map(|d| &d.region);
    if region(home).is_some() && region(home) == region(there) { 1 } else { 2 }
}

/// The model service that a model belongs to.
pub(crate) fn service_of<'a>(document: &'a Document, model: &ModelId) -> Option<&'a ServiceId> {
    let mut services = document.services.iter();
    services
        .find(|(_, s)| s.kind == ServiceKind::Model && s.models.contains_key(model))
        .map(|(id, _)| id)
}
