//! The keeper's side: the floor, demand replicas, the weight store; memory is checked at each load.

use std::time::Duration;

use hgw_config::{Document, Fencing};
use hgw_placement::{EngineView, PlannedLoad, ReplicaView, WeightStoreShare};
use hgw_types::{MemSize, ModelId, Offset, Time, UpstreamId};

use super::policy::Placing;
use super::world::{Event, World};

/// From the withdrawal of a model's routes until its memory is free.
const EVICTION: Duration = Duration::from_millis(500);
const PLAN_EVERY: u64 = 2;

/// What the weight store allows: each domain its share, but placement by recency, which one place
/// decides, the whole.
#[derive(Debug)]
pub(super) struct Store {
    shares: Vec<WeightStoreShare>,
    interval: Duration,
    parallel: usize,
    next: Time,
    running: [usize; 4],
}

impl Store {
    pub(super) fn new(document: &Document) -> Store {
        let store = &document.weight_store;
        let share = |domain| {
            let mut share = WeightStoreShare::new(Time::ZERO);
            share.configure(document, domain);
            share
        };
        Store {
            shares: document.domains.keys().map(share).collect(),
            interval: Duration::from_secs_f64(1.0 / store.loads_per_second.as_per_second()),
            parallel: store.parallel as usize,
            next: Time::ZERO,
            running: [0; 4],
        }
    }

    fn take(&mut self, now: Time, domain: usize, whole: bool) -> bool {
        let may = if whole {
            self.running.iter().sum::<usize>() < self.parallel && now >= self.next
        } else {
            self.shares[domain].try_acquire(now, self.running[domain])
        };
        if may {
            self.next = now + self.interval;
            self.running[domain] += 1;
        }
        may
    }

    fn tick(&mut self, now: Time) {
        for (share, running) in self.shares.iter_mut().zip(self.running) {
            share.observe(now, running);
        }
    }
}

impl World<'_> {
    /// All engines hold their floor when the run begins.
    pub(super) fn hold_floor(&mut self) {
        self.floor = hgw_placement::floor(&self.document, Offset(0), &[], None);
        for (u, model) in self.floor_copies() {
            self.upstreams[u].engine.models.insert(model, true);
            self.check_memory(u);
        }
    }

    fn floor_copies(&self) -> Vec<(usize, usize)> {
        let place = |id: &UpstreamId| self.upstreams.iter().position(|u| u.id == *id);
        let copies = (0..self.deployment.models()).flat_map(|m| {
            let engines = self.floor.models.get(&self.deployment.model(m)).into_iter().flatten();
            engines.filter_map(move |id| Some((place(id)?, m)))
        });
        copies.collect()
    }

    pub(super) fn size(&self, model: usize) -> MemSize {
        let model = &self.document.services[0].models[model];
        model.size + model.adapters.values().map(|a| a.size).sum()
    }

    fn used(&self, u: usize) -> MemSize {
        self.upstreams[u].engine.models.keys().map(|m| self.size(*m)).sum()
    }

    fn check_memory(&self, u: usize) {
        assert!(self.used(u) <= self.upstreams[u].memory, "memory overcommitted at upstream {u}");
    }

    /// Regular work of the keepers, each second.
    pub(super) fn place(&mut self) {
        self.store.tick(self.now);
        self.note_lost_engines();
        if self.policy.placing == Placing::Lru {
            return;
        }
        self.repair_floor();
        let second = self.now.as_micros() / 1_000_000;
        if self.policy.placing == Placing::Demand && second.is_multiple_of(PLAN_EVERY) {
            for domain in 0..self.domains.len() {
                self.plan(domain);
            }
        }
    }

    fn note_lost_engines(&mut self) {
        let mut changed = false;
        for upstream in &mut self.upstreams {
            if upstream.lost && upstream.listed {
                upstream.listed = false;
                upstream.engine.models.clear();
                changed = true;
            }
        }
        if changed && self.policy.placing != Placing::Lru {
            let lost = self.upstreams.iter().filter(|u| u.lost).map(|u| u.id.clone());
            let lost: Vec<_> = lost.collect();
            let floor = hgw_placement::floor(&self.document, Offset(0), &lost, Some(&self.floor));
            self.floor = floor;
        }
    }

    /// Loads floor copies that are missing, in place of demand replicas where need be.
    fn repair_floor(&mut self) {
        for (u, model) in self.floor_copies() {
            let held = &self.upstreams[u].engine.models;
            if held.contains_key(&model) {
                continue;
            }
            let mut free = self.upstreams[u].memory.saturating_sub(self.used(u));
            let mut evict = Vec::new();
            for &other in held.keys().filter(|m| !self.is_floor(u, **m)) {
                if free >= self.size(model) {
                    break;
                }
                free += self.size(other);
                evict.push(other);
            }
            if free >= self.size(model) {
                self.load(u, model, &evict);
            }
        }
    }

    fn is_floor(&self, u: usize, model: usize) -> bool {
        let engines = self.floor.models.get(&self.deployment.model(model));
        engines.is_some_and(|e| e.contains(&self.upstreams[u].id))
    }

    fn plan(&mut self, domain: usize) {
        let demand = self.tally.take_demand(domain, self.deployment);
        let views: Vec<EngineView> = (0..self.upstreams.len())
            .filter(|u| {
                let up = &self.upstreams[*u];
                up.domain == domain && up.memory.0 > 0 && up.listed
            })
            .map(|u| self.view(u))
            .collect();
        let planner = &mut self.planners[domain];
        planner.observe(self.now, &demand);
        for order in planner.plan(self.now, &self.document, &views) {
            self.carry_out(&order);
        }
    }

    fn view(&self, u: usize) -> EngineView {
        let upstream = &self.upstreams[u];
        let held = |(&m, &ready): (&usize, &bool)| ReplicaView {
            model: self.deployment.model(m),
            size: self.size(m),
            floor: self.is_floor(u, m),
            ready,
        };
        EngineView {
            upstream: upstream.id.clone(),
            memory: upstream.memory,
            reserved: self.used(u),
            slots: upstream.engine.slots as u32,
            models: upstream.engine.models.iter().map(held).collect(),
        }
    }

    fn carry_out(&mut self, order: &PlannedLoad) {
        let models = &self.document.services[0].models;
        let place = |id: &ModelId| models.get_index_of(id);
        let Some(u) = self.upstreams.iter().position(|u| u.id == order.upstream) else { return };
        let Some(model) = place(&order.model) else { return };
        let evict: Vec<usize> = order.evict.iter().filter_map(place).collect();
        self.load(u, model, &evict);
    }

    /// Begins a load, if the weight store and the log allow it.
    fn load(&mut self, u: usize, model: usize, evict: &[usize]) {
        let ignores = self.document.upstreams[u].fencing == Fencing::Ignores;
        let blocked = !self.upstreams[u].engine.up || (self.log_down && ignores);
        let whole = self.policy.placing == Placing::Lru;
        if blocked || !self.store.take(self.now, self.upstreams[u].domain, whole) {
            return;
        }
        let engine = &mut self.upstreams[u].engine;
        for m in evict {
            engine.models.shift_remove(m);
        }
        engine.models.insert(model, false);
        self.check_memory(u);
        self.tally.outcome.moves += 1 + evict.len() as u32;
        let wait = if evict.is_empty() { Duration::ZERO } else { EVICTION };
        self.after(wait + self.deployment.load_time(model), Event::Loaded(u, model));
    }

    pub(super) fn loaded(&mut self, u: usize, model: usize) {
        self.store.running[self.upstreams[u].domain] -= 1;
        if let Some(ready) = self.upstreams[u].engine.models.get_mut(&model) {
            *ready = true;
        }
    }

    /// Placement by recency: a model whose holders are all full is loaded where there is least to do,
    /// in place of what was used least recently, but of no last copy.
    pub(super) fn place_by_recency(&mut self, r: usize) {
        let Some(model) = self.requests[r].model.filter(|_| self.requests[r].urgent) else {
            return;
        };
        let loading = self.upstreams.iter().any(|u| u.engine.models.get(&model) == Some(&false));
        let domain = self.requests[r].domain;
        let room =
            |u: &usize| self.reported_load(*u, domain) < self.upstreams[*u].engine.slots as u32;
        if loading || self.holders(r).iter().any(room) {
            return;
        }
        let fits = |u: &usize| {
            let upstream = &self.upstreams[*u];
            let able = upstream.listed && upstream.engine.up && self.reaches(domain, *u);
            able && upstream.memory.0 > 0 && !upstream.engine.models.contains_key(&model) && room(u)
        };
        let engines = (0..self.upstreams.len()).filter(fits);
        let Some(u) = engines.min_by_key(|u| self.reported_load(*u, domain)) else { return };
        if let Some(evict) = self.least_recent(u, self.size(model)) {
            self.load(u, model, &evict);
        }
    }

    fn least_recent(&self, u: usize, size: MemSize) -> Option<Vec<usize>> {
        let upstream = &self.upstreams[u];
        let copies = |m: &usize| {
            let holds = |e: &&super::world::Upstream| e.engine.models.get(m) == Some(&true);
            self.upstreams.iter().filter(holds).count()
        };
        let ready = upstream.engine.models.iter().filter(|(_, ready)| **ready).map(|(m, _)| *m);
        let mut can_go: Vec<usize> = ready.filter(|m| copies(m) > 1).collect();
        can_go.sort_by_key(|m| upstream.used.get(m).copied().unwrap_or(Time::ZERO));
        let mut free = upstream.memory.saturating_sub(self.used(u));
        let mut evict = Vec::new();
        for m in can_go {
            if free >= size {
                break;
            }
            free += self.size(m);
            evict.push(m);
        }
        (free >= size).then_some(evict)
    }
}
