//! Packs one service's models into the engines of one region.

use std::cmp::Reverse;

use hgw_config::{Model, Service};
use hgw_types::{DomainId, MemSize, ModelId, UpstreamId};
use indexmap::IndexMap;

use crate::Floor;

/// An engine and its free memory.
#[derive(Debug, Clone)]
pub(super) struct EngineSpace<'a> {
    id: &'a UpstreamId,
    domain: &'a DomainId,
    /// Free memory if each model is given space for its largest adapter.
    free: MemSize,
    /// Free memory if only the models themselves are counted.
    free_without_adapters: MemSize,
}

impl<'a> EngineSpace<'a> {
    pub(super) fn new(id: &'a UpstreamId, domain: &'a DomainId, memory: MemSize) -> Self {
        EngineSpace { id, domain, free: memory, free_without_adapters: memory }
    }
}

/// Strategy that selects an engine among those that fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    /// Most free memory: spreads the load.
    Worst,
    /// Least free memory: fits more models.
    Best,
}

/// Replicas of one service's models in one region.
#[derive(Debug, Clone)]
pub(super) struct Packing<'a> {
    engines: Vec<EngineSpace<'a>>,
    fit: Fit,
    /// Indexes into `engines`, by model; the primary replica first.
    replicas: IndexMap<&'a ModelId, Vec<usize>>,
}

impl<'a> Packing<'a> {
    /// Returns the packing that places the most models, counting first those without a replica in
    /// an earlier region. Among equals it prefers keeping previous replicas, then spreading them.
    pub(super) fn best(
        service: &'a Service,
        engines: Vec<EngineSpace<'a>>,
        elsewhere: &Floor,
        previous: Option<&Floor>,
    ) -> Self {
        let covered = |id: &ModelId| elsewhere.models.get(id).is_some_and(|e| !e.is_empty());
        let mut order: Vec<(&ModelId, &Model)> = service.models.iter().collect();
        order.sort_by_key(|(id, m)| (covered(id), Reverse(m.size), *id));
        let score = |p: &Packing<'_>| {
            let only_here = p.replicas.keys().filter(|id| !covered(id)).count();
            (only_here, p.replicas.len())
        };
        let mut best =
            Packing { engines: engines.clone(), fit: Fit::Worst, replicas: IndexMap::new() };
        let attempts = [(previous, Fit::Worst), (None, Fit::Worst), (None, Fit::Best)];
        for (previous, fit) in attempts {
            let mut packing = Packing { engines: engines.clone(), fit, replicas: IndexMap::new() };
            packing.fill(&order, previous);
            if score(&packing) > score(&best) {
                best = packing;
            }
            if best.replicas.len() == order.len() {
                break;
            }
        }
        best
    }

    /// Places the first replicas of all models before any second one; previous placements before
    /// new ones; engines with space for an adapter before those without.
    fn fill(&mut self, order: &[(&'a ModelId, &'a Model)], previous: Option<&Floor>) {
        let before: Vec<Vec<usize>> =
            order.iter().map(|(id, _)| self.previous_engines(id, previous)).collect();
        for (i, (id, model)) in order.iter().enumerate() {
            if let Some(&engine) =
                before[i].iter().find(|r| self.engines[**r].free_without_adapters >= model.size)
            {
                self.place(id, model, engine);
            }
        }
        for with_adapter in [true, false] {
            for (id, model) in order {
                if !self.replicas.contains_key(id)
                    && let Some(engine) = self.choose_engine(model, with_adapter)
                {
                    self.place(id, model, engine);
                }
            }
        }
        self.fill_second(order, &before);
    }

    /// Places second replicas, each in another failure domain than the first. Keeps enough memory
    /// free on one engine for a version change of the largest model.
    fn fill_second(&mut self, order: &[(&'a ModelId, &'a Model)], before: &[Vec<usize>]) {
        let largest = order.iter().map(|(_, m)| size_with_adapter(m)).max().unwrap_or_default();
        let spare = (0..self.engines.len()).max_by_key(|r| (self.engines[*r].free, Reverse(*r)));
        let spare = spare.filter(|r| self.engines[*r].free >= largest);
        for only_kept in [true, false] {
            for (i, (id, model)) in order.iter().enumerate() {
                let Some(&[first]) = self.replicas.get(id).map(Vec::as_slice) else { continue };
                let other = |r: &usize| self.engines[*r].domain != self.engines[first].domain;
                let engine = if only_kept {
                    // A previous replica may use the reserved memory, so that the floor changes
                    // little.
                    let fits = |r: &usize| {
                        other(r) && self.engines[*r].free_without_adapters >= model.size
                    };
                    before[i].iter().copied().find(fits)
                } else {
                    let available = |r: &usize| self.available(*r, spare, largest);
                    let fits = (0..self.engines.len())
                        .filter(|r| other(r) && available(r) >= size_with_adapter(model));
                    fits.max_by_key(|r| (available(r), Reverse(*r)))
                };
                if let Some(engine) = engine {
                    self.place(id, model, engine);
                }
            }
        }
    }

    /// Memory of an engine available for new second replicas.
    fn available(&self, engine: usize, spare: Option<usize>, largest: MemSize) -> MemSize {
        let free = self.engines[engine].free;
        if spare == Some(engine) { free.saturating_sub(largest) } else { free }
    }

    fn choose_engine(&self, model: &Model, with_adapter: bool) -> Option<usize> {
        let free = |r: &usize| {
            if with_adapter {
                self.engines[*r].free
            } else {
                self.engines[*r].free_without_adapters
            }
        };
        let needed = if with_adapter { size_with_adapter(model) } else { model.size };
        let fits = (0..self.engines.len()).filter(|r| free(r) >= needed);
        match self.fit {
            Fit::Worst => fits.max_by_key(|r| (free(r), Reverse(*r))),
            Fit::Best => fits.min_by_key(|r| (free(r), *r)),
        }
    }

    fn place(&mut self, id: &'a ModelId, model: &Model, engine: usize) {
        let space = &mut self.engines[engine];
        space.free = space.free.saturating_sub(size_with_adapter(model));
        space.free_without_adapters = space.free_without_adapters.saturating_sub(model.size);
        self.replicas.entry(id).or_default().push(engine);
    }

    /// Engines of the model in the previous floor, as indexes into `engines`.
    fn previous_engines(&self, model: &ModelId, previous: Option<&Floor>) -> Vec<usize> {
        let ids = previous.and_then(|f| f.models.get(model)).into_iter().flatten();
        ids.filter_map(|e| self.engines.iter().position(|r| r.id == e)).collect()
    }

    pub(super) fn add_to(self, floor: &mut Floor) {
        for (model, replicas) in self.replicas {
            let engines = replicas.into_iter().map(|r| self.engines[r].id.clone());
            floor.models.entry(model.clone()).or_default().extend(engines);
        }
    }
}

/// Memory of the model with its largest adapter.
fn size_with_adapter(model: &Model) -> MemSize {
    model.size + model.adapters.values().map(|a| a.size).max().unwrap_or_default()
}
