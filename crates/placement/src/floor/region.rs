use std::cmp::Reverse;

use hgw_config::{Model, Service};
use hgw_types::{DomainId, MemSize, ModelId, UpstreamId};
use indexmap::IndexMap;

use crate::Floor;

/// An engine with what is left of its memory.
#[derive(Debug, Clone)]
pub(super) struct Room<'a> {
    id: &'a UpstreamId,
    domain: &'a DomainId,
    free: MemSize,
}

impl<'a> Room<'a> {
    pub(super) fn new(id: &'a UpstreamId, domain: &'a DomainId, free: MemSize) -> Self {
        Room { id, domain, free }
    }
}

/// Which engine of those that fit takes a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    /// The one with most room: spreads the work.
    Worst,
    /// The one with least room: packs more.
    Best,
}

/// The copies of one service's models in one region.
#[derive(Debug, Clone)]
pub(super) struct Packing<'a> {
    rooms: Vec<Room<'a>>,
    fit: Fit,
    /// Positions in `rooms`, the first copy first.
    copies: IndexMap<&'a ModelId, Vec<usize>>,
}

impl<'a> Packing<'a> {
    /// The packing that leaves out the fewest models; of equals the one that moves least, and of
    /// those the one that spreads most.
    pub(super) fn best(
        service: &'a Service,
        rooms: Vec<Room<'a>>,
        elsewhere: &Floor,
        previous: Option<&Floor>,
    ) -> Self {
        let covered = |id: &ModelId| elsewhere.models.get(id).is_some_and(|e| !e.is_empty());
        let mut order: Vec<(&ModelId, &Model)> = service.models.iter().collect();
        order.sort_by_key(|(id, m)| (covered(id), Reverse(m.size), *id));
        let tries = [
            (previous, Fit::Worst, true),
            (None, Fit::Worst, true),
            (None, Fit::Best, true),
            (None, Fit::Best, false),
        ];
        let mut best: Option<Packing<'a>> = None;
        for (previous, fit, with_adapter) in tries {
            let mut packing = Packing { rooms: rooms.clone(), fit, copies: IndexMap::new() };
            packing.fill(&order, previous, with_adapter);
            if best.as_ref().is_none_or(|b| b.copies.len() < packing.copies.len()) {
                best = Some(packing);
            }
            if best.as_ref().is_some_and(|b| b.copies.len() == order.len()) {
                break;
            }
        }
        best.unwrap_or(Packing { rooms, fit: Fit::Worst, copies: IndexMap::new() })
    }

    fn fill(
        &mut self,
        order: &[(&'a ModelId, &'a Model)],
        previous: Option<&Floor>,
        with_adapter: bool,
    ) {
        let before: Vec<Vec<usize>> = order.iter().map(|(id, _)| self.kept(id, previous)).collect();
        let need: Vec<MemSize> = order.iter().map(|(_, m)| need(m, with_adapter)).collect();
        // First copies of all models go before any second copy; kept ones before new ones.
        for (i, (id, _)) in order.iter().enumerate() {
            if let Some(&room) = before[i].iter().find(|r| self.rooms[**r].free >= need[i]) {
                self.put(id, room, need[i]);
            }
        }
        for (i, (id, _)) in order.iter().enumerate() {
            if !self.copies.contains_key(id)
                && let Some(room) = self.choose(need[i])
            {
                self.put(id, room, need[i]);
            }
        }
        self.fill_second(order, &before, &need);
    }

    /// Second copies, in another failure domain than the first, in what the first ones leave but for
    /// the room that a version change of the largest model needs on one engine.
    fn fill_second(
        &mut self,
        order: &[(&'a ModelId, &'a Model)],
        before: &[Vec<usize>],
        need: &[MemSize],
    ) {
        let largest = need.iter().copied().max().unwrap_or_default();
        let spare = (0..self.rooms.len()).max_by_key(|r| (self.rooms[*r].free, Reverse(*r)));
        let spare = spare.filter(|r| self.rooms[*r].free >= largest);
        let kept = |p: &Self, i: usize, first: usize| {
            let other = |r: &&usize| p.rooms[**r].domain != p.rooms[first].domain;
            before[i].iter().filter(other).copied().find(|r| p.left(*r, spare, largest) >= need[i])
        };
        for only_kept in [true, false] {
            for (i, (id, _)) in order.iter().enumerate() {
                let Some(&[first]) = self.copies.get(id).map(Vec::as_slice) else { continue };
                let room = if only_kept {
                    kept(self, i, first)
                } else {
                    self.choose_second(need[i], first, spare, largest)
                };
                if let Some(room) = room {
                    self.put(id, room, need[i]);
                }
            }
        }
    }

    fn choose(&self, need: MemSize) -> Option<usize> {
        let fits = (0..self.rooms.len()).filter(|r| self.rooms[*r].free >= need);
        match self.fit {
            Fit::Worst => fits.max_by_key(|r| (self.rooms[*r].free, Reverse(*r))),
            Fit::Best => fits.min_by_key(|r| (self.rooms[*r].free, *r)),
        }
    }

    fn choose_second(
        &self,
        need: MemSize,
        first: usize,
        spare: Option<usize>,
        largest: MemSize,
    ) -> Option<usize> {
        let fits = (0..self.rooms.len()).filter(|r| {
            self.rooms[*r].domain != self.rooms[first].domain
                && self.left(*r, spare, largest) >= need
        });
        fits.max_by_key(|r| (self.left(*r, spare, largest), Reverse(*r)))
    }

    /// What second copies may take of an engine.
    fn left(&self, room: usize, spare: Option<usize>, largest: MemSize) -> MemSize {
        let free = self.rooms[room].free;
        if spare == Some(room) { free.saturating_sub(largest) } else { free }
    }

    fn put(&mut self, model: &'a ModelId, room: usize, need: MemSize) {
        self.rooms[room].free = self.rooms[room].free.saturating_sub(need);
        self.copies.entry(model).or_default().push(room);
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

/// Memory that a copy is given: the model and, where that fits, room for its largest adapter.
fn need(model: &Model, with_adapter: bool) -> MemSize {
    let adapter = model.adapters.values().map(|a| a.size).max().unwrap_or_default();
    if with_adapter { model.size + adapter } else { model.size }
}
