//! Frees memory for floor replicas that have waited long for it.
//!
//! The floor always fits, but an engine may be full with the old version of the same model, or two
//! engines may each have the only replica of the other's model. Neither is resolved by normal
//! evictions. After `swap_second`, the blocking replica's model is loaded on another engine. After
//! `swap_only`, the blocking replica is evicted even if its model is then unavailable in this
//! domain until the floor replica is loaded.

use std::time::Duration;

use hgw_types::{MemSize, ModelId, Time, UpstreamId};

use super::Leader;
use super::load_requests::{Cause, LoadRequest};
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
        let mut waiting = std::mem::take(&mut self.no_room);
        for want in unmet {
            let key = (want.engine.clone(), want.item.model().clone());
            let since = waiting.shift_remove(&key).unwrap_or(now);
            self.no_room.insert(key, since);
            let waited = now.since(since);
            if waited >= self.settings.swap_second {
                for model in self.blocking_models(&want.engine) {
                    self.load_on_best_engine(now, &model, Cause::Substitute, plan, out);
                }
            }
            if waited >= self.evict_after(want) {
                self.evict_for_floor(now, want, waited >= self.settings.swap_only);
            }
        }
    }

    /// A replica that is not the primary one in the floor waits less, because the primary in
    /// another domain keeps serving.
    fn evict_after(&self, want: &LoadRequest) -> Duration {
        if want.rank > 0 { self.settings.swap_second } else { self.settings.swap_only }
    }

    /// Models that are not in the floor for this engine and that no other engine of the domain has.
    fn blocking_models(&self, engine: &UpstreamId) -> Vec<ModelId> {
        let Some(e) = self.engines.get(engine) else { return Vec::new() };
        let held = e.ledger.held().keys().filter(|i| i.is_model() && e.serves(i));
        let alone =
            held.filter(|i| self.is_extra(engine, i) && !self.is_loaded_elsewhere(engine, i));
        alone.map(|i| i.model().clone()).collect()
    }

    /// Withdraws the old version, and non-floor replicas if that does not free enough memory.
    fn evict_for_floor(&mut self, now: Time, want: &LoadRequest, force: bool) {
        let Some(e) = self.engines.get(&want.engine) else { return };
        let stale = |i: &&Item| i.is_model() && i.model() == want.item.model() && e.serves(i);
        let mut going: Vec<Item> = e.ledger.held().keys().filter(stale).cloned().collect();
        let freed: MemSize = going.iter().map(|i| e.memory_freed_by(i)).sum();
        let short = want.size.saturating_sub(e.free_after_drains() + freed);
        let Some(victims) = self.victims(want, short, force) else { return };
        going.extend(victims);
        if let Some(e) = self.engines.get_mut(&want.engine) {
            going.into_iter().for_each(|item| e.drain(now, item));
        }
    }
}
