//! Passes engine state to the demand planner and carries out its loads.

use hgw_types::{Time, UpstreamId};
use hgw_wire::peer::Demand;

use super::Leader;
use crate::{EngineView, Item, ReplicaView};

impl Leader {
    pub(super) fn handle_demand(&mut self, now: Time, demand: &[Demand]) {
        if self.term.is_none() {
            return;
        }
        self.demand.observe(now, demand);
        for d in demand {
            for adapter in &d.adapters {
                self.adapters.insert((d.model.clone(), adapter.clone()), now);
            }
            if d.unmet > 0 {
                self.unmet_models.insert(d.model.clone(), now);
            }
        }
    }

    /// Asks the planner for loads and starts them.
    ///
    /// Only after this term's first placement was published: before that, a model may be loaded on
    /// an engine that has not been read yet.
    pub(super) fn plan_demand(&mut self, now: Time) {
        let settings = &self.settings;
        self.replicas.retain(|_, since| now.since(*since) < settings.replica_load_timeout);
        if self.first_published.is_none() || now < self.demand_due {
            return;
        }
        self.demand_due = now + settings.demand_interval;
        let views: Vec<EngineView> =
            self.usable_engines().iter().filter_map(|id| self.view(id)).collect();
        for load in self.demand.plan(now, self.domain.document(), &views) {
            let Some(e) = self.engines.get_mut(&load.upstream) else { continue };
            let is_evicted = |i: &&Item| i.is_model() && load.evict.contains(i.model());
            let evict: Vec<Item> = e.ledger.loaded().keys().filter(is_evicted).cloned().collect();
            evict.into_iter().for_each(|item| e.drain(now, item));
            self.replicas.insert((load.upstream, load.model), now);
        }
        // Removes completed loads, so that a replica is not loaded again after its eviction.
        let (domain, engines) = (&self.domain, &self.engines);
        self.replicas.retain(|(id, model), _| {
            let current = domain.current_version(id, model);
            current.is_some_and(|(item, _)| engines.get(id).is_some_and(|e| !e.serves(&item)))
        });
    }

    fn view(&self, engine: &UpstreamId) -> Option<EngineView> {
        let e = self.engines.get(engine)?;
        let mut models: Vec<ReplicaView> = Vec::new();
        for item in e.ledger.loaded().keys().filter(|i| i.is_model()) {
            let model = item.model();
            let ready = e.serves(item);
            if let Some(other) = models.iter_mut().find(|h| h.model == *model) {
                // Two versions of one model.
                other.ready |= ready;
                continue;
            }
            let of_model = e.ledger.loaded().iter().filter(|(i, _)| i.model() == model);
            let size = of_model.map(|(_, h)| h.size).sum();
            let floor =
                self.domain.rank(engine, model).is_some() || !self.is_evictable(engine, item);
            models.push(ReplicaView { model: model.clone(), size, floor, ready });
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
