//! Passes engine state to the demand planner and carries out its moves.

use hgw_types::{Time, UpstreamId};
use hgw_wire::peer::Demand;

use super::Leader;
use crate::{EngineView, HeldView, Item};

impl Leader {
    pub(super) fn take_demand(&mut self, now: Time, demand: &[Demand]) {
        if self.term.is_none() {
            return;
        }
        self.demand.observe(now, demand);
        for d in demand {
            for adapter in &d.adapters {
                self.adapters.insert((d.model.clone(), adapter.clone()), now);
            }
            if d.unmet > 0 {
                self.missing.insert(d.model.clone(), now);
            }
        }
    }

    /// Asks the planner for moves and starts them.
    ///
    /// Only after this term's first placement was published: before that, a model may be loaded on
    /// an engine that has not been read yet.
    pub(super) fn plan_demand(&mut self, now: Time) {
        let settings = &self.settings;
        self.replicas.retain(|_, since| now.since(*since) < settings.replica_want);
        if self.first_published.is_none() || now < self.demand_due {
            return;
        }
        self.demand_due = now + settings.demand_every;
        let views: Vec<EngineView> = self.usable().iter().filter_map(|id| self.view(id)).collect();
        for order in self.demand.plan(now, self.domain.document(), &views) {
            let Some(e) = self.engines.get_mut(&order.upstream) else { continue };
            let going = |i: &&Item| i.is_model() && order.evict.contains(i.model());
            let going: Vec<Item> = e.ledger.held().keys().filter(going).cloned().collect();
            going.into_iter().for_each(|item| e.drain(now, item));
            self.replicas.insert((order.upstream, order.load), now);
        }
        // Removes completed loads, so that a replica is not loaded again after its eviction.
        let (domain, engines) = (&self.domain, &self.engines);
        self.replicas.retain(|(id, model), _| {
            let current = domain.current(id, model);
            current.is_some_and(|(item, _)| engines.get(id).is_some_and(|e| !e.serves(&item)))
        });
    }

    fn view(&self, engine: &UpstreamId) -> Option<EngineView> {
        let e = self.engines.get(engine)?;
        let mut models: Vec<HeldView> = Vec::new();
        for item in e.ledger.held().keys().filter(|i| i.is_model()) {
            let model = item.model();
            let ready = e.serves(item);
            if let Some(other) = models.iter_mut().find(|h| h.model == *model) {
                // Two versions of one model.
                other.ready |= ready;
                continue;
            }
            let of_model = e.ledger.held().iter().filter(|(i, _)| i.model() == model);
            let size = of_model.map(|(_, h)| h.size).sum();
            let floor = self.domain.rank(engine, model).is_some() || !self.is_spare(engine, item);
            models.push(HeldView { model: model.clone(), size, floor, ready });
        }
        Some(EngineView {
            upstream: engine.clone(),
            memory: e.ledger.memory(),
            reserved: e.ledger.reserved(),
            slots: self.domain.upstream(engine)?.slots,
            models,
        })
    }
}
