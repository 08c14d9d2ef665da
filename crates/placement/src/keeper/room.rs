//! Frees memory for floor replicas that have waited long for it.
//!
//! The floor always fits, but an engine may be full with the old version of the same model, or two
//! engines may each have the only replica of the other's model. Neither is resolved by normal
//! evictions. After `swap_second`, the blocking replica's model is loaded on another engine. After
//! `swap_only`, the blocking replica is evicted even if its model is then unavailable in this
//! domain until the floor replica is loaded.

use std::time::Duration;

use hgw_types::{MemSize, ModelId, Time, UpstreamId};

use super::Keeper;
use super::plan::Plan;
use super::wants::{Cause, Want};
use crate::{Item, KeeperAction};

impl Keeper {
    pub(super) fn make_way(
        &mut self,
        now: Time,
        unmet: &[Want],
        plan: &mut Plan,
        out: &mut Vec<KeeperAction>,
    ) {
        let mut waiting = std::mem::take(&mut self.no_room);
        for want in unmet {
            let key = (want.engine.clone(), want.item.model().clone());
            let since = waiting.shift_remove(&key).unwrap_or(now);
            self.no_room.insert(key, since);
            let waited = now.since(since);
            if waited >= self.settings.swap_second {
                for model in self.in_the_way(&want.engine) {
                    self.place_anywhere(now, &model, Cause::Substitute, plan, out);
                }
            }
            if waited >= self.swap_after(want) {
                self.swap(now, want, waited >= self.settings.swap_only);
            }
        }
    }

    /// A replica that is not the primary one in the floor waits less, because the primary in
    /// another domain keeps serving.
    fn swap_after(&self, want: &Want) -> Duration {
        if want.rank > 0 { self.settings.swap_second } else { self.settings.swap_only }
    }

    /// Models that are not in the floor for this engine and that no other engine of the domain has.
    fn in_the_way(&self, engine: &UpstreamId) -> Vec<ModelId> {
        let Some(e) = self.engines.get(engine) else { return Vec::new() };
        let held = e.ledger.held().keys().filter(|i| i.is_model() && e.serves(i));
        let alone = held.filter(|i| self.is_extra(engine, i) && !self.has_home_besides(engine, i));
        alone.map(|i| i.model().clone()).collect()
    }

    /// Withdraws the old version, and non-floor replicas if that does not free enough memory.
    fn swap(&mut self, now: Time, want: &Want, force: bool) {
        let Some(e) = self.engines.get(&want.engine) else { return };
        let stale = |i: &&Item| i.is_model() && i.model() == want.item.model() && e.serves(i);
        let mut going: Vec<Item> = e.ledger.held().keys().filter(stale).cloned().collect();
        let freed: MemSize = going.iter().map(|i| e.freed_by(i)).sum();
        let short = want.size.saturating_sub(e.coming_free() + freed);
        let Some(victims) = self.victims(want, short, force) else { return };
        going.extend(victims);
        if let Some(e) = self.engines.get_mut(&want.engine) {
            going.into_iter().for_each(|item| e.drain(now, item));
        }
    }
}
