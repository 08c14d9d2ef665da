//! Determines which items each engine should load.

use hgw_types::{MemSize, ModelId, Time, UpstreamId};
use indexmap::IndexSet;

use super::Leader;
use crate::Item;

/// Why an engine should load an item, in order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadReason {
    /// The floor includes the model on the engine.
    Floor,
    /// The floor's engine in this domain is unreachable, leaving, or full.
    Substitute,
    /// Callers request it, and other domains may be unreachable.
    Requested,
    /// Callers request the adapter, or its version has changed.
    Adapter,
    Demand,
}

/// An item that an engine should load.
#[derive(Debug, Clone)]
pub(super) struct LoadRequest {
    pub(super) engine: UpstreamId,
    pub(super) item: Item,
    pub(super) size: MemSize,
    pub(super) reason: LoadReason,
    /// Whether some version of the model is served in this domain.
    pub(super) served: bool,
    /// The engine's rank in the floor's list.
    pub(super) rank: usize,
}

impl LoadRequest {
    /// Sort key: models that callers of the domain cannot reach come first.
    pub(super) fn priority(&self) -> (bool, bool, LoadReason, usize) {
        (self.reason > LoadReason::Requested, self.served, self.reason, self.rank)
    }
}

/// Items on the usable engines of the domain.
#[derive(Debug, Default)]
pub(super) struct AvailableItems {
    /// Models of which some version is served.
    served: IndexSet<ModelId>,
    /// Items that are loaded and not draining, or loading by an order in flight. Orders that were
    /// lost, or are from a previous leader, reserve memory but may never load the item.
    loaded_or_loading: IndexSet<Item>,
}

impl Leader {
    /// Whether loads may be ordered on the engine.
    pub(super) fn is_usable(&self, engine: &UpstreamId) -> bool {
        self.engines.get(engine).is_some_and(|e| e.is_available()) && !self.is_leaving(engine)
    }

    /// Whether the engine is leaving according to the configuration, the platform or itself.
    pub(super) fn is_leaving(&self, engine: &UpstreamId) -> bool {
        self.leaving.contains(engine)
            || self.domain.upstream(engine).is_some_and(|u| u.leaving)
            || self.engines.get(engine).is_some_and(|e| e.reports_leaving)
    }

    pub(super) fn usable_engines(&self) -> Vec<UpstreamId> {
        self.engines.keys().filter(|id| self.is_usable(id)).cloned().collect()
    }

    pub(super) fn available_items(&self) -> AvailableItems {
        let mut items = AvailableItems::default();
        for (id, e) in self.engines.iter().filter(|(id, _)| self.is_usable(id)) {
            for item in e.ledger.loaded().keys().filter(|i| !e.drains.contains_key(*i)) {
                if item.is_model() && e.serves(item) {
                    items.served.insert(item.model().clone());
                }
                items.loaded_or_loading.insert(item.clone());
            }
            items.loaded_or_loading.extend(self.items_in_flight_to(id));
        }
        items
    }

    /// Whether the engine lacks the item and no order in flight or reservation prevents a load.
    fn may_load_item(&self, engine: &UpstreamId, item: &Item) -> bool {
        let Some(e) = self.engines.get(engine) else { return false };
        if !e.ledger.has(item) {
            return true;
        }
        e.ledger.retryable(item).is_some() && !self.is_load_in_flight(engine, item)
    }

    /// Returns the load of the model's current version on the engine, unless the engine has it.
    pub(super) fn load_request(
        &self,
        engine: &UpstreamId,
        model: &ModelId,
        reason: LoadReason,
    ) -> Option<LoadRequest> {
        let (item, size) = self.domain.current_version(engine, model)?;
        if !self.may_load_item(engine, &item) {
            return None;
        }
        let served = self.available.served.contains(model);
        let rank = self.domain.rank(engine, model).unwrap_or_default();
        Some(LoadRequest { engine: engine.clone(), item, size, reason, served, rank })
    }

    /// Returns the loads that floor and demand require, by priority.
    pub(super) fn load_requests(&self) -> Vec<LoadRequest> {
        let mut requests = Vec::new();
        for engine in self.usable_engines() {
            let targets = self.domain.targets(&engine);
            requests.extend(
                targets.filter_map(|(m, _)| self.load_request(&engine, m, LoadReason::Floor)),
            );
            self.request_new_versions(&engine, &mut requests);
        }
        let replicas = self.replicas.keys().filter(|(engine, _)| self.is_usable(engine));
        requests.extend(
            replicas.filter_map(|(engine, m)| self.load_request(engine, m, LoadReason::Demand)),
        );
        requests.extend(self.adapters.keys().filter_map(|(m, a)| {
            let engine = self.engine_for_adapter(m, a)?;
            self.adapter_load_request(&engine, m, a)
        }));
        requests.sort_by_key(LoadRequest::priority);
        requests
    }

    /// Adds new versions of demand replicas and adapters, next to the old ones.
    fn request_new_versions(&self, engine: &UpstreamId, requests: &mut Vec<LoadRequest>) {
        let Some(e) = self.engines.get(engine) else { return };
        for item in e.ledger.loaded().keys().filter(|i| e.serves(i)) {
            if self.domain.is_current(engine, item) {
                continue;
            }
            match item {
                Item::Model(m, _) if self.domain.rank(engine, m).is_none() => {
                    requests.extend(self.load_request(engine, m, LoadReason::Demand));
                }
                Item::Model(..) => {}
                Item::Adapter(m, a, _) => requests.extend(self.adapter_load_request(engine, m, a)),
            }
        }
    }

    fn adapter_load_request(
        &self,
        engine: &UpstreamId,
        model: &ModelId,
        adapter: &hgw_types::AdapterId,
    ) -> Option<LoadRequest> {
        let found = self.domain.model(engine, model)?.adapters.get(adapter)?;
        let item = Item::Adapter(model.clone(), adapter.clone(), found.version.clone());
        let (current, _) = self.domain.current_version(engine, model)?;
        let e = self.engines.get(engine)?;
        if !self.may_load_item(engine, &item) || !e.serves(&current) {
            return None;
        }
        let (engine, size) = (engine.clone(), found.size);
        Some(LoadRequest { engine, item, size, reason: LoadReason::Adapter, served: true, rank: 0 })
    }

    /// The engine with most free memory that serves the model, unless the adapter is loaded or
    /// loading on any engine.
    fn engine_for_adapter(
        &self,
        model: &ModelId,
        adapter: &hgw_types::AdapterId,
    ) -> Option<UpstreamId> {
        let serving: Vec<UpstreamId> = self
            .usable_engines()
            .into_iter()
            .filter(|id| {
                let current = self.domain.current_version(id, model);
                current.is_some_and(|(item, _)| self.engines[id].serves(&item))
            })
            .collect();
        let found = self.domain.model(serving.first()?, model)?.adapters.get(adapter)?;
        let item = Item::Adapter(model.clone(), adapter.clone(), found.version.clone());
        if self.available.loaded_or_loading.contains(&item) {
            return None;
        }
        serving.into_iter().max_by_key(|id| self.engines[id].ledger.free())
    }

    /// Floor models of this domain, and models that callers request while the log is unreachable,
    /// whose current version no usable engine has.
    pub(super) fn unplaced_models(&self, now: Time) -> Vec<(ModelId, LoadReason)> {
        let of_floor = self.domain.floor_models();
        let requested = self.unmet_models.iter().filter(|(m, requested_at)| {
            // If the log is unreachable, other domains may be too.
            let recent = now.since(**requested_at) < self.settings.unmet_demand_window;
            !self.log_up && recent && !of_floor.contains_key(*m)
        });
        let floor = of_floor.iter().map(|(m, at)| (m, at, LoadReason::Substitute));
        let requested =
            requested.filter_map(|(m, _)| Some((m, self.any_engine(m)?, LoadReason::Requested)));
        let unplaced = floor.chain(requested).filter(|(m, at, _)| {
            let current = self.domain.current_version(at, m);
            current.is_some_and(|(item, _)| !self.available.loaded_or_loading.contains(&item))
        });
        unplaced.map(|(m, _, reason)| (m.clone(), reason)).collect()
    }

    /// Whether another usable engine has, or is loading, the model's current version.
    pub(super) fn is_loaded_elsewhere(&self, engine: &UpstreamId, item: &Item) -> bool {
        let mut others = self.engines.iter().filter(|(id, _)| *id != engine && self.is_usable(id));
        others.any(|(id, e)| {
            let current = self.domain.current_version(id, item.model());
            current.is_some_and(|(new, _)| {
                e.ledger.loaded().contains_key(&new) || self.is_load_in_flight(id, &new)
            })
        })
    }

    /// Any engine whose service has the model.
    fn any_engine(&self, model: &ModelId) -> Option<&UpstreamId> {
        self.engines.keys().find(|id| self.domain.model(id, model).is_some())
    }
}
