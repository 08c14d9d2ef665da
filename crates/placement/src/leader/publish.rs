//! Publishes the ready items of each engine and the unreachable engines.

use hgw_types::{Time, UpstreamId};
use hgw_wire::peer::Holding;
use indexmap::IndexMap;

use super::Leader;
use crate::{Item, LeaderAction};

impl Leader {
    /// Publishes changes.
    ///
    /// The first placement of a term waits, up to a limit, until all engines are read or found
    /// unreachable. It replaces the previous leader's placement, and callers must not lose routes
    /// to engines that have not been read yet.
    pub(super) fn publish(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        let timed_out = now.since(self.term_began) >= self.settings.first_publish_timeout;
        if self.first_published.is_none() && !self.is_complete() && !timed_out {
            return;
        }
        self.first_published.get_or_insert(now);
        let mut changed = IndexMap::new();
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            let holding = self.holding(&id);
            let known = self.engines[&id].is_known();
            let previous = self.placement.get(&id);
            if known && previous != Some(&holding)
                || !known && previous.is_some_and(|b| *b != holding)
            {
                self.placement.insert(id.clone(), holding.clone());
                changed.insert(id, holding);
            }
        }
        if !changed.is_empty() {
            out.push(LeaderAction::Placement(changed));
        }
        let unreachable = self.unreachable();
        if self.is_complete() && self.published_unreachable.as_ref() != Some(&unreachable) {
            self.published_unreachable = Some(unreachable.clone());
            out.push(LeaderAction::UnreachableEngines(unreachable));
        }
    }

    /// Items for which the engine accepts requests; empty if it is unreachable or leaving.
    fn holding(&self, engine: &UpstreamId) -> Holding {
        let mut holding = Holding::default();
        if !self.is_usable(engine) {
            return holding;
        }
        let Some(e) = self.engines.get(engine) else { return holding };
        for item in e.ledger.loaded().keys().filter(|i| e.serves(i)) {
            if self.domain.model(engine, item.model()).is_none() {
                continue;
            }
            match item.clone() {
                Item::Model(model, version) => holding.models.push((model, version)),
                Item::Adapter(model, adapter, version) => {
                    holding.adapters.push((model, adapter, version));
                }
            }
        }
        holding
    }
}
