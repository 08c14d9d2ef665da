//! Frees memory for floor replicas that have waited long for it.
//!
//! The floor always fits, but an engine may be full with the old version of the same model, or two
//! engines may each have the only replica of the other's model. Neither is resolved by normal
//! evictions. After `evict_redundant_after`, the blocking replica's model is loaded on another
//! engine. After `evict_only_replica_after`, the blocking replica is evicted even if its model is
//! then unavailable in this domain until the floor replica is loaded.

use std::time::Duration;

use hgw_types::{MemSize, ModelId, Time, UpstreamId};

use super::Leader;
use super::load_requests::{LoadReason, LoadRequest};
use super::plan::Plan;
use crate::{Item, LeaderAction};

impl Leader {
    pub(super) fn free_memory_for_floor(
        &mut self,
        now: Time,
        unmet: &[LoadRequest],
        plan: &mut Plan,
        out: &mut Vec<LeaderAction>,
    ) {
        let mut waiting = std::mem::take(&mut self.waiting_for_memory);
        for request in unmet {
            let key = (request.engine.clone(), request.item.model().clone());
            let since = waiting.shift_remove(&key).unwrap_or(now);
            self.waiting_for_memory.insert(key, since);
            let waited = now.since(since);
            if waited >= self.settings.evict_redundant_after {
                for model in self.blocking_models(&request.engine) {
                    self.load_on_best_engine(now, &model, LoadReason::Substitute, plan, out);
                }
            }
            if waited >= self.eviction_delay(request) {
                self.evict_for_floor(
                    now,
                    request,
                    waited >= self.settings.evict_only_replica_after,
                );
            }
        }
    }

    /// A replica that is not the primary one in the floor waits less, because the primary in
    /// another domain keeps serving.
    fn eviction_delay(&self, request: &LoadRequest) -> Duration {
        if request.rank > 0 {
            self.settings.evict_redundant_after
        } else {
            self.settings.evict_only_replica_after
        }
    }

    /// Models that are not in the floor for this engine and that no other engine of the domain has.
    fn blocking_models(&self, engine: &UpstreamId) -> Vec<ModelId> {
        let Some(e) = self.engines.get(engine) else { return Vec::new() };
        let serving = e.ledger.loaded().keys().filter(|i| i.is_model() && e.serves(i));
        let only_replicas = serving
            .filter(|i| self.is_outside_floor(engine, i) && !self.is_loaded_elsewhere(engine, i));
        only_replicas.map(|i| i.model().clone()).collect()
    }

    /// Withdraws the old version, and non-floor replicas if that does not free enough memory.
    fn evict_for_floor(&mut self, now: Time, request: &LoadRequest, force: bool) {
        let Some(e) = self.engines.get(&request.engine) else { return };
        let stale = |i: &&Item| i.is_model() && i.model() == request.item.model() && e.serves(i);
        let mut evict: Vec<Item> = e.ledger.loaded().keys().filter(stale).cloned().collect();
        let freed: MemSize = evict.iter().map(|i| e.memory_freed_by(i)).sum();
        let shortfall = request.size.saturating_sub(e.free_after_drains() + freed);
        let Some(victims) = self.victims(request, shortfall, force) else { return };
        evict.extend(victims);
        if let Some(e) = self.engines.get_mut(&request.engine) {
            evict.into_iter().for_each(|item| e.drain(now, item));
        }
    }
}
