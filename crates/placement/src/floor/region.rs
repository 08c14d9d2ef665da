use std::cmp::Reverse;

use hgw_config::{Model, Service};
use hgw_types::{DomainId, MemSize, ModelId, UpstreamId};
use indexmap::IndexMap;

use crate::Floor;

/// An engine and its free memory.
#[derive(Debug, Clone)]
pub(super) struct Room<'a> {
    id: &'a UpstreamId,
    domain: &'a DomainId,
    /// Free memory if each model is given space for its largest adapter.
    free: MemSize,
    /// Free memory if only the models themselves are counted.
    bare: MemSize,
}

impl<'a> Room<'a> {
    pub(super) fn new(id: &'a UpstreamId, domain: &'a DomainId, memory: MemSize) -> Self {
        Room { id, domain, free: memory, bare: memory }
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
    rooms: Vec<Room<'a>>,
    fit: Fit,
    /// Indexes into `rooms`, by model; the primary replica first.
    copies: IndexMap<&'a ModelId, Vec<usize>>,
}

impl<'a> Packing<'a> {
    /// Returns the packing that places the most models, counting first those without a replica in
    /// an earlier region. Among equals it prefers keeping previous replicas, then spreading them.
    pub(super) fn best(
        service: &'a Service,
        rooms: Vec<Room<'a>>,
        elsewhere: &Floor,
        previous: Option<&Floor>,
    ) -> Self {
        let covered = |id: &ModelId| elsewhere.models.get(id).is_some_and(|e| !e.is_empty());
        let mut order: Vec<(&ModelId, &Model)> = service.models.iter().collect();
        order.sort_by_key(|(id, m)| (covered(id), Reverse(m.size), *id));
        let score = |p: &Packing<'_>| {
            let only_here = p.copies.keys().filter(|id| !covered(id)).count();
            (only_here, p.copies.len())
        };
        let mut best = Packing { rooms: rooms.clone(), fit: Fit::Worst, copies: IndexMap::new() };
        let tries = [(previous, Fit::Worst), (None, Fit::Worst), (None, Fit::Best)];
        for (previous, fit) in tries {
            let mut packing = Packing { rooms: rooms.clone(), fit, copies: IndexMap::new() };
            packing.fill(&order, previous);
            if score(&packing) > score(&best) {
                best = packing;
            }
            if best.copies.len() == order.len() {
                break;
            }
        }
        best
    }

    /// Places the first replicas of all models before any second one; previous placements before
    /// new ones; engines with space for an adapter before those without.
    fn fill(&mut self, order: &[(&'a ModelId, &'a Model)], previous: Option<&Floor>) {
        let before: Vec<Vec<usize>> = order.iter().map(|(id, _)| self.kept(id, previous)).collect();
        for (i, (id, model)) in order.iter().enumerate() {
            if let Some(&room) = before[i].iter().find(|r| self.rooms[**r].bare >= model.size) {
                self.put(id, model, room);
            }
        }
        for with_adapter in [true, false] {
            for (id, model) in order {
                if !self.copies.contains_key(id)
                    && let Some(room) = self.choose(model, with_adapter)
                {
                    self.put(id, model, room);
                }
            }
        }
        self.fill_second(order, &before);
    }

    /// Places second replicas, each in another failure domain than the first. Keeps enough memory
    /// free on one engine for a version change of the largest model.
    fn fill_second(&mut self, order: &[(&'a ModelId, &'a Model)], before: &[Vec<usize>]) {
        let largest = order.iter().map(|(_, m)| need(m)).max().unwrap_or_default();
        let spare = (0..self.rooms.len()).max_by_key(|r| (self.rooms[*r].free, Reverse(*r)));
        let spare = spare.filter(|r| self.rooms[*r].free >= largest);
        for only_kept in [true, false] {
            for (i, (id, model)) in order.iter().enumerate() {
                let Some(&[first]) = self.copies.get(id).map(Vec::as_slice) else { continue };
                let other = |r: &usize| self.rooms[*r].domain != self.rooms[first].domain;
                let room = if only_kept {
                    // A previous replica may use the reserved memory, so that the floor changes
                    // little.
                    let fits = |r: &usize| other(r) && self.rooms[*r].bare >= model.size;
                    before[i].iter().copied().find(fits)
                } else {
                    let left = |r: &usize| self.left(*r, spare, largest);
                    let fits = (0..self.rooms.len()).filter(|r| other(r) && left(r) >= need(model));
                    fits.max_by_key(|r| (left(r), Reverse(*r)))
                };
                if let Some(room) = room {
                    self.put(id, model, room);
                }
            }
        }
    }

    /// Memory of an engine available for new second replicas.
    fn left(&self, room: usize, spare: Option<usize>, largest: MemSize) -> MemSize {
        let free = self.rooms[room].free;
        if spare == Some(room) { free.saturating_sub(largest) } else { free }
    }

    fn choose(&self, model: &Model, with_adapter: bool) -> Option<usize> {
        let room = |r: &usize| if with_adapter { self.rooms[*r].free } else { self.rooms[*r].bare };
        let need = if with_adapter { need(model) } else { model.size };
        let fits = (0..self.rooms.len()).filter(|r| room(r) >= need);
        match self.fit {
            Fit::Worst => fits.max_by_key(|r| (room(r), Reverse(*r))),
            Fit::Best => fits.min_by_key(|r| (room(r), *r)),
        }
    }

    fn put(&mut self, id: &'a ModelId, model: &Model, room: usize) {
        let taken = &mut self.rooms[room];
        taken.free = taken.free.saturating_sub(need(model));
        taken.bare = taken.bare.saturating_sub(model.size);
        self.copies.entry(id).or_default().push(room);
    }

    /// Where the floor before had the model, as positions in `rooms`.
    fn kept(&self, model: &ModelId, previous: Option<&Floor>) -> Vec<usize> {
        let engines = previous.and_then(|f| f.models.get(model)).into_iter().flatten();
        engines.filter_map(|e| self.rooms.iter().position(|r| r.id == e)).collect()
    }

    pub(super) fn add_to(self, floor: &mut Floor) {
        for (model, copies) in self.copies {
            let engines = copies.into_iter().map(|r| self.rooms[r].id.clone());
            floor.models.entry(model.clone()).or_default().extend(engines);
        }
    }
}

/// Memory of the model with its largest adapter.
fn need(model: &Model) -> MemSize {
    model.size + model.adapters.values().map(|a| a.size).max().unwrap_or_default()
}
