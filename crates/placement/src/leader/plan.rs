//! Issues loads for missing items and evicts others to free memory for them.
//!
//! Requests are handled in order of priority. One that waits for memory or for the weight store
//! keeps its memory reservation, so that smaller ones of lower priority cannot starve it.

use std::cmp::Reverse;

use hgw_types::{MemSize, ModelId, Time, UpstreamId};
use indexmap::{IndexMap, IndexSet};

use super::Leader;
use super::load_requests::{LoadReason, LoadRequest};
use crate::{Item, LeaderAction};

/// Resources assigned so far in one plan.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Memory reserved for waiting loads, by engine.
    reserved: IndexMap<UpstreamId, MemSize>,
    /// Loads of the domain that use the weight store.
    running_loads: usize,
    /// Whether the domain's share of the weight store is used up for now.
    store_exhausted: bool,
}

impl Plan {
    fn reserved(&self, engine: &UpstreamId) -> MemSize {
        self.reserved.get(engine).copied().unwrap_or_default()
    }
}

impl Leader {
    pub(super) fn plan_loads(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        let settings = &self.settings;
        self.adapters.retain(|_, requested| now.since(*requested) < settings.adapter_demand_window);
        self.unmet_models
            .retain(|_, requested| now.since(*requested) < settings.unmet_demand_window);
        let running_loads = self.running_loads();
        self.weight_store.observe(now, running_loads);
        self.available = self.available_items();
        let mut plan = Plan { running_loads, ..Plan::default() };
        let mut placed = IndexSet::new();
        let mut unmet = Vec::new();
        for request in self.load_requests() {
            if self.place(now, &request, &mut plan, out) {
                placed.insert(request.item.model().clone());
            } else if request.reason == LoadReason::Floor {
                unmet.push(request);
            }
        }
        // Before the first placement, an engine that has not been read may already have the model.
        let unplaced =
            if self.first_published.is_some() { self.unplaced_models(now) } else { Vec::new() };
        for (model, reason) in unplaced {
            if !placed.contains(&model) {
                self.load_on_best_engine(now, &model, reason, &mut plan, out);
            }
        }
        self.free_memory_for_floor(now, &unmet, &mut plan, out);
    }

    /// Loads the model on the engine of the domain with most memory available for it.
    pub(super) fn load_on_best_engine(
        &mut self,
        now: Time,
        model: &ModelId,
        reason: LoadReason,
        plan: &mut Plan,
        out: &mut Vec<LeaderAction>,
    ) {
        let usable = self.usable_engines();
        let mut requests: Vec<LoadRequest> =
            usable.iter().filter_map(|id| self.load_request(id, model, reason)).collect();
        requests.sort_by_key(|w| {
            let reserved = plan.reserved(&w.engine);
            Reverse(self.engines[&w.engine].free_after_drains().saturating_sub(reserved))
        });
        let _ = requests.iter().any(|w| self.place(now, w, plan, out));
    }

    /// Issues the load or reserves the memory that it waits for; returns false if there is not
    /// enough memory and none can be freed.
    fn place(
        &mut self,
        now: Time,
        request: &LoadRequest,
        plan: &mut Plan,
        out: &mut Vec<LeaderAction>,
    ) -> bool {
        let Some(engine) = self.engines.get(&request.engine) else { return false };
        if let Some((order, size)) = engine.ledger.retryable(&request.item) {
            // Its memory is already reserved.
            if self.may_load(now, request, plan) {
                self.retry_recorded(now, &request.engine, order, request.item.load(size), out);
            }
            return true;
        }
        let reserved = plan.reserved(&request.engine);
        let needed = reserved + request.size;
        if engine.ledger.free() >= needed {
            if self.may_load(now, request, plan) {
                let ordered =
                    self.issue_order(now, &request.engine, request.item.load(request.size), out);
                if ordered.is_ok() {
                    return true;
                }
            }
        } else {
            let shortfall = needed.saturating_sub(engine.free_after_drains());
            let Some(victims) = self.victims(request, shortfall, false) else { return false };
            if let Some(e) = self.engines.get_mut(&request.engine) {
                victims.into_iter().for_each(|item| e.drain(now, item));
            }
        }
        plan.reserved.insert(request.engine.clone(), needed);
        true
    }

    /// Whether the load may begin now; if so, it is counted.
    fn may_load(&mut self, now: Time, request: &LoadRequest, plan: &mut Plan) -> bool {
        if plan.store_exhausted || !self.may_order(now, request) {
            return false;
        }
        let allowed = self.weight_store.try_acquire(now, plan.running_loads);
        plan.store_exhausted = !allowed;
        plan.running_loads += usize::from(allowed);
        allowed
    }

    fn may_order(&self, now: Time, request: &LoadRequest) -> bool {
        let paused = self.engines.get(&request.engine).is_none_or(|e| now < e.paused_until);
        let recordable = self.log_up || self.domain.rejects_old_fences(&request.engine);
        !paused && recordable && self.in_flight(&request.engine) < self.settings.orders_per_engine
    }

    /// Selects items to evict for the load. Never selects a floor replica, and returns `None` if
    /// the eviction would not free enough memory. With `force`, it may select the only serving
    /// replica of a model in the domain.
    pub(super) fn victims(
        &self,
        request: &LoadRequest,
        shortfall: MemSize,
        force: bool,
    ) -> Option<Vec<Item>> {
        if shortfall == MemSize::default() {
            return Some(Vec::new());
        }
        let engine = self.engines.get(&request.engine)?;
        let may_evict = |item: &&Item| {
            let serves = engine.serves(item);
            serves
                && match request.reason {
                    LoadReason::Demand => false,
                    LoadReason::Adapter => !item.is_model(),
                    _ if item.model() == request.item.model() => false,
                    _ if !item.is_model() => true,
                    _ => {
                        self.is_evictable(&request.engine, item)
                            || force && self.is_outside_floor(&request.engine, item)
                    }
                }
        };
        let mut candidates: Vec<&Item> = engine.ledger.loaded().keys().filter(may_evict).collect();
        // For an adapter, evicts the oldest adapters first; for a model, adapters and then the
        // least used replicas.
        candidates.sort_by_key(|item| match request.reason {
            LoadReason::Adapter => (false, 0),
            _ => (!item.is_model(), engine.ledger.loaded()[*item].active),
        });
        let mut victims: Vec<Item> = Vec::new();
        let mut freed = MemSize::default();
        for item in candidates {
            if freed >= shortfall {
                break;
            }
            if victims.iter().any(|v| v.is_model() && v.model() == item.model()) {
                continue;
            }
            freed += engine.memory_freed_by(item);
            victims.push(item.clone());
        }
        (freed >= shortfall).then_some(victims)
    }

    /// Whether the model here is a demand replica that can be evicted: not in the floor on this
    /// engine, and served elsewhere in the domain if the floor has it in the domain.
    pub(super) fn is_evictable(&self, engine: &UpstreamId, item: &Item) -> bool {
        if !self.is_outside_floor(engine, item) {
            return false;
        }
        let of_floor = self.domain.floor_models().contains_key(item.model());
        !of_floor || self.serves_elsewhere(engine, item)
    }

    /// Whether the floor does not include the model on the engine.
    pub(super) fn is_outside_floor(&self, engine: &UpstreamId, item: &Item) -> bool {
        self.domain.rank(engine, item.model()).is_none()
    }

    /// Whether another usable engine serves the same version.
    pub(super) fn serves_elsewhere(&self, engine: &UpstreamId, item: &Item) -> bool {
        let mut others = self.engines.iter().filter(|(id, _)| *id != engine && self.is_usable(id));
        others.any(|(_, e)| e.serves(item))
    }
}
