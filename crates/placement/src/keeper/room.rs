//! Makes way for floor copies that have found no room for long.
//!
//! The floor always fits, but the way from what is loaded to it may not: an engine is full with the
//! old version of the very model; or two engines hold each other's models, each the only copy. Both
//! would stand for ever. What is done about it costs more the longer it takes: after a while the copy
//! in the way is loaded somewhere else; at last it goes although its model cannot be reached in this
//! domain until the floor copy is loaded, for the time of a load or two.

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

    /// A copy that is not the first in the floor's list goes after a shorter wait: the first one, in
    /// another domain, goes on serving.
    fn swap_after(&self, want: &Want) -> Duration {
        if want.rank > 0 { self.settings.swap_second } else { self.settings.swap_only }
    }

    /// Models whose copy at the engine is not the floor's, and that no other engine of the domain has.
    fn in_the_way(&self, engine: &UpstreamId) -> Vec<ModelId> {
        let Some(e) = self.engines.get(engine) else { return Vec::new() };
        let held = e.ledger.held().keys().filter(|i| i.is_model() && e.serves(i));
        let alone = held.filter(|i| self.is_extra(engine, i) && !self.has_home_besides(engine, i));
        alone.map(|i| i.model().clone()).collect()
    }

    /// Withdraws the old version, and copies that are not the floor's where that is not enough.
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
