//! Drains items that are no longer needed and evicts them once they are unused.
//!
//! An item is first withdrawn from the published placement. It is evicted when a read made at least
//! `drain_delay` later shows no request for it. Requests routed by the old placement may arrive
//! until then.

use hgw_types::{ModelId, Time, UpstreamId};

use super::Leader;
use super::engine::{Drain, Engine};
use crate::{Item, LeaderAction};

impl Leader {
    /// Withdraws items that are not in the configuration, old versions once the new ones serve, and
    /// all but one old version of a model on the same engine.
    pub(super) fn plan_retirement(&mut self, now: Time) {
        for id in self.usable_engines() {
            let Some(e) = self.engines.get(&id) else { continue };
            let serving = e.ledger.loaded().keys().filter(|i| e.serves(i));
            let obsolete: Vec<Item> =
                serving.filter(|i| self.is_obsolete(now, &id, i)).cloned().collect();
            for item in obsolete {
                // One old version of a model is drained at a time, while its other replicas serve
                // its requests. Extra versions on the same engine are exempt, because another one
                // stays there.
                let may_drain = self.domain.model(&id, item.model()).is_none()
                    || self.is_extra_version(&id, &item);
                if may_drain || !self.is_draining(item.model()) {
                    self.drain(now, &id, item);
                }
            }
            self.cancel_floor_drains(&id);
        }
    }

    fn drain(&mut self, now: Time, engine: &UpstreamId, item: Item) {
        if let Some(e) = self.engines.get_mut(engine) {
            e.drain(now, item);
        }
    }

    /// Cancels the drain of items that the floor requires again.
    fn cancel_floor_drains(&mut self, engine: &UpstreamId) {
        let domain = &self.domain;
        let Some(e) = self.engines.get_mut(engine) else { return };
        e.drains.retain(|item, drain| {
            let of_floor = item.is_model() && domain.rank(engine, item.model()).is_some();
            drain.order.is_some() || !of_floor || !domain.is_current(engine, item)
        });
    }

    fn is_draining(&self, model: &ModelId) -> bool {
        let mut drains = self.engines.values().flat_map(|e| e.drains.keys());
        drains.any(|i| i.is_model() && i.model() == model)
    }

    fn is_obsolete(&self, now: Time, engine: &UpstreamId, item: &Item) -> bool {
        if self.domain.is_current(engine, item) {
            return false;
        }
        let Some(model) = self.domain.model(engine, item.model()) else {
            return now.since(self.term_began) >= self.settings.removal_delay;
        };
        let Some(e) = self.engines.get(engine) else { return false };
        match item {
            Item::Model(id, _) => {
                let new = Item::Model(id.clone(), model.version.clone());
                let fits = e.free_after_drains() >= model.size || e.ledger.has(&new);
                let waits_here = self.domain.rank(engine, id).is_some() && fits;
                self.is_extra_version(engine, item)
                    || e.serves(&new)
                    || (!waits_here && self.serves_elsewhere(engine, &new))
            }
            Item::Adapter(id, adapter, _) => {
                let Some(found) = model.adapters.get(adapter) else { return true };
                e.serves(&Item::Adapter(id.clone(), adapter.clone(), found.version.clone()))
            }
        }
    }

    /// Whether the engine serves this old version along with a later one that is old too.
    ///
    /// When versions are published faster than they load, old versions that wait for the newest one
    /// would fill the engine and block it until `evict_only_replica_after` has passed. One old version
    /// is enough, since versions on one engine share its slots. The latest is kept. Versions that
    /// are still loading do not count, so that one version always serves.
    fn is_extra_version(&self, engine: &UpstreamId, item: &Item) -> bool {
        let Some(e) = self.engines.get(engine) else { return false };
        let is_old = |i: &&Item| {
            i.is_model()
                && i.model() == item.model()
                && e.serves(i)
                && !self.domain.is_current(engine, i)
        };
        let kept = e.ledger.loaded().keys().rfind(is_old);
        is_old(&item) && kept.is_some_and(|kept| kept != item)
    }

    pub(super) fn evict_drained(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        for id in self.usable_engines() {
            let Some(e) = self.engines.get(&id) else { continue };
            if now < e.paused_until {
                continue;
            }
            let unused = |item: &Item, drain: &Drain| self.is_unused(now, e, item, drain);
            let due: Vec<Item> = e
                .drains
                .iter()
                .filter(|(item, drain)| drain.order.is_none() && unused(item, drain))
                .map(|(item, _)| item.clone())
                .collect();
            for item in due {
                if self.in_flight(&id) >= self.settings.orders_per_engine {
                    break;
                }
                let order = self.issue_order(now, &id, item.evict(), out).ok();
                let drain = self.engines.get_mut(&id).and_then(|e| e.drains.get_mut(&item));
                if let Some(drain) = drain {
                    drain.order = order;
                }
            }
        }
    }

    fn is_unused(&self, now: Time, engine: &Engine, item: &Item, drain: &Drain) -> bool {
        let Some(published) = self.first_published else { return false };
        let unused_after = drain.since.max(published) + self.settings.drain_delay;
        let ledger = &engine.ledger;
        if ledger.read_requested_at().is_none_or(|requested| requested < unused_after) {
            return false;
        }
        let uses = |i: &Item| i == item || (!item.is_model() && i.model() == item.model());
        let active = ledger.loaded().iter().any(|(i, h)| uses(i) && h.active > 0);
        !active || now.since(drain.since) >= self.settings.drain_limit
    }
}
