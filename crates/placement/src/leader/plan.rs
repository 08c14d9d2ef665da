//! Issues loads for missing items and evicts others to free memory for them.
//!
//! Requests are handled in order of priority. One that waits for memory or for the weight store
//! keeps its memory reservation, so that smaller ones of lower priority cannot starve it.

use std::cmp::Reverse;

use hgw_types::{MemSize, ModelId, Time, UpstreamId};
use indexmap::{IndexMap, IndexSet};

use super::Leader;
use super::load_requests::{Cause, LoadRequest};
use crate::{Item, LeaderAction};

/// Resources assigned so far in one plan.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Memory reserved for waiting loads, by engine.
    claims: IndexMap<UpstreamId, MemSize>,
    /// Loads of the domain that use the weight store.
    running: usize,
    /// Whether the domain's share of the weight store is used up for now.
    used_up: bool,
}

impl Plan {
    fn claimed(&self, engine: &UpstreamId) -> MemSize {
        self.claims.get(engine).copied().unwrap_or_default()
    }
}

impl Leader {
    pub(super) fn plan_loads(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        let settings = &self.settings;
        self.adapters.retain(|_, asked| now.since(*asked) < settings.adapter_want);
        self.missing.retain(|_, asked| now.since(*asked) < settings.missing_want);
        let running = self.loads_running();
        self.shares.observe(now, running);
        self.available = self.available_items();
        let mut plan = Plan { running, ..Plan::default() };
        let mut placed = IndexSet::new();
        let mut unmet = Vec::new();
        for want in self.load_requests() {
            if self.place(now, &want, &mut plan, out) {
                placed.insert(want.item.model().clone());
            } else if want.cause == Cause::Floor {
                unmet.push(want);
            }
        }
        // Before the first placement, an engine that has not been read may already have the model.
        let homeless =
            if self.first_published.is_some() { self.unplaced_models(now) } else { Vec::new() };
        for (model, cause) in homeless {
            if !placed.contains(&model) {
                self.load_on_best_engine(now, &model, cause, &mut plan, out);
            }
        }
        self.free_memory_for_floor(now, &unmet, &mut plan, out);
    }

    /// Loads the model on the engine of the domain with most memory available for it.
    pub(super) fn load_on_best_engine(
        &mut self,
        now: Time,
        model: &ModelId,
        cause: Cause,
        plan: &mut Plan,
        out: &mut Vec<LeaderAction>,
    ) {
        let usable = self.usable();
        let mut wants: Vec<LoadRequest> =
            usable.iter().filter_map(|id| self.load_request(id, model, cause)).collect();
        wants.sort_by_key(|w| {
            let claim = plan.claimed(&w.engine);
            Reverse(self.engines[&w.engine].free_after_drains().saturating_sub(claim))
        });
        let _ = wants.iter().any(|w| self.place(now, w, plan, out));
    }

    /// Issues the load or reserves the memory that it waits for; returns false if there is not
    /// enough memory and none can be freed.
    fn place(
        &mut self,
        now: Time,
        want: &LoadRequest,
        plan: &mut Plan,
        out: &mut Vec<LeaderAction>,
    ) -> bool {
        let Some(engine) = self.engines.get(&want.engine) else { return false };
        if let Some((order, size)) = engine.ledger.repeatable(&want.item) {
            // Its memory is already reserved.
            if self.may_load(now, want, plan) {
                self.retry_recorded(now, &want.engine, order, want.item.load(size), out);
            }
            return true;
        }
        let claimed = plan.claimed(&want.engine);
        let need = claimed + want.size;
        if engine.ledger.free() >= need {
            if self.may_load(now, want, plan) {
                let ordered = self.issue_order(now, &want.engine, want.item.load(want.size), out);
                if ordered.is_ok() {
                    return true;
                }
            }
        } else {
            let short = need.saturating_sub(engine.free_after_drains());
            let Some(victims) = self.victims(want, short, false) else { return false };
            if let Some(e) = self.engines.get_mut(&want.engine) {
                victims.into_iter().for_each(|item| e.drain(now, item));
            }
        }
        plan.claims.insert(want.engine.clone(), need);
        true
    }

    /// Whether the load may begin now; if so, it is counted.
    fn may_load(&mut self, now: Time, want: &LoadRequest, plan: &mut Plan) -> bool {
        if plan.used_up || !self.may_order(now, want) {
            return false;
        }
        let may = self.shares.take(now, plan.running);
        plan.used_up = !may;
        plan.running += usize::from(may);
        may
    }

    fn may_order(&self, now: Time, want: &LoadRequest) -> bool {
        let paused = self.engines.get(&want.engine).is_none_or(|e| now < e.paused_until);
        let recordable = self.log_up || self.domain.refuses(&want.engine);
        !paused && recordable && self.in_flight(&want.engine) < self.settings.orders_per_engine
    }

    /// Selects items to evict for the load. Never selects a floor replica, and returns `None` if
    /// the eviction would not free enough memory. With `force`, it may select the only serving
    /// replica of a model in the domain.
    pub(super) fn victims(
        &self,
        want: &LoadRequest,
        short: MemSize,
        force: bool,
    ) -> Option<Vec<Item>> {
        if short == MemSize::default() {
            return Some(Vec::new());
        }
        let engine = self.engines.get(&want.engine)?;
        let may_go = |item: &&Item| {
            let serves = engine.serves(item);
            serves
                && match want.cause {
                    Cause::Demand => false,
                    Cause::Adapter => !item.is_model(),
                    _ if item.model() == want.item.model() => false,
                    _ if !item.is_model() => true,
                    _ => {
                        self.is_spare(&want.engine, item)
                            || force && self.is_extra(&want.engine, item)
                    }
                }
        };
        let mut candidates: Vec<&Item> = engine.ledger.held().keys().filter(may_go).collect();
        // For an adapter, evicts the oldest adapters first; for a model, adapters and then the
        // least used replicas.
        candidates.sort_by_key(|item| match want.cause {
            Cause::Adapter => (false, 0),
            _ => (!item.is_model(), engine.ledger.held()[*item].active),
        });
        let mut victims: Vec<Item> = Vec::new();
        let mut freed = MemSize::default();
        for item in candidates {
            if freed >= short {
                break;
            }
            if victims.iter().any(|v| v.is_model() && v.model() == item.model()) {
                continue;
            }
            freed += engine.memory_freed_by(item);
            victims.push(item.clone());
        }
        (freed >= short).then_some(victims)
    }

    /// Whether the model here is a demand replica that can be evicted: not in the floor on this
    /// engine, and served elsewhere in the domain if the floor has it in the domain.
    pub(super) fn is_spare(&self, engine: &UpstreamId, item: &Item) -> bool {
        if !self.is_extra(engine, item) {
            return false;
        }
        let of_floor = self.domain.floor_models().contains_key(item.model());
        !of_floor || self.serves_elsewhere(engine, item)
    }

    /// Whether the floor does not include the model on the engine.
    pub(super) fn is_extra(&self, engine: &UpstreamId, item: &Item) -> bool {
        self.domain.rank(engine, item.model()).is_none()
    }

    /// Whether another usable engine serves the same version.
    pub(super) fn serves_elsewhere(&self, engine: &UpstreamId, item: &Item) -> bool {
        let mut others = self.engines.iter().filter(|(id, _)| *id != engine && self.is_usable(id));
        others.any(|(_, e)| e.serves(item))
    }
}
