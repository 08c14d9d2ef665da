//! One failure domain's view of configuration and residency floor.

use std::sync::Arc;

use hgw_config::{Document, Fencing, Model, ServiceKind, Upstream};
use hgw_types::{DomainId, MemSize, ModelId, Offset, UpstreamId};
use indexmap::IndexMap;

use crate::{Floor, Item};

/// Configuration and residency floor of one failure domain.
#[derive(Debug)]
pub(super) struct Domain {
    id: DomainId,
    version: Offset,
    document: Arc<Document>,
    floor: Floor,
    /// Floor models by engine, each with the engine's rank in the model's list.
    targets: IndexMap<UpstreamId, IndexMap<ModelId, usize>>,
    /// Models with a floor replica in this domain, each with one of its engines.
    floor_models: IndexMap<ModelId, UpstreamId>,
}

impl Domain {
    pub(super) fn new(id: DomainId) -> Domain {
        Domain {
            id,
            version: Offset::default(),
            document: Arc::default(),
            floor: Floor::default(),
            targets: IndexMap::new(),
            floor_models: IndexMap::new(),
        }
    }

    pub(super) fn id(&self) -> &DomainId {
        &self.id
    }

    pub(super) fn document(&self) -> &Document {
        &self.document
    }

    pub(super) fn set_document(&mut self, version: Offset, document: Arc<Document>) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.document = document;
        self.update_targets();
    }

    pub(super) fn set_floor(&mut self, floor: Floor) {
        self.floor = floor;
        self.update_targets();
    }

    fn update_targets(&mut self) {
        self.targets.clear();
        self.floor_models.clear();
        for (model, engines) in &self.floor.models {
            for (rank, engine) in engines.iter().enumerate() {
                let here = self.document.upstreams.get(engine).is_some_and(|u| u.domain == self.id);
                if here {
                    self.targets.entry(engine.clone()).or_default().insert(model.clone(), rank);
                    self.floor_models.insert(model.clone(), engine.clone());
                }
            }
        }
    }

    /// Model engines of this domain.
    pub(super) fn engines(&self) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        let is_engine = |u: &Upstream| {
            self.document.services.get(&u.service).is_some_and(|s| s.kind == ServiceKind::Model)
        };
        self.document.upstreams.iter().filter(move |(_, u)| u.domain == self.id && is_engine(u))
    }

    pub(super) fn upstream(&self, engine: &UpstreamId) -> Option<&Upstream> {
        self.document.upstreams.get(engine)
    }

    /// Whether the engine rejects old fencing tokens. Unknown engines are assumed to ignore them.
    pub(super) fn rejects_old_fences(&self, engine: &UpstreamId) -> bool {
        self.upstream(engine).is_some_and(|u| u.fencing == Fencing::Refuses)
    }

    /// Looks the model up in the engine's service.
    pub(super) fn model(&self, engine: &UpstreamId, model: &ModelId) -> Option<&Model> {
        let service = &self.upstream(engine)?.service;
        self.document.services.get(service)?.models.get(model)
    }

    /// The configured version of the model, and its size.
    pub(super) fn current_version(
        &self,
        engine: &UpstreamId,
        model: &ModelId,
    ) -> Option<(Item, MemSize)> {
        let found = self.model(engine, model)?;
        Some((Item::Model(model.clone(), found.version.clone()), found.size))
    }

    /// Whether the item's version is the configured one.
    pub(super) fn is_current(&self, engine: &UpstreamId, item: &Item) -> bool {
        let Some(model) = self.model(engine, item.model()) else { return false };
        match item {
            Item::Model(_, version) => model.version == *version,
            Item::Adapter(_, adapter, version) => {
                model.adapters.get(adapter).is_some_and(|a| a.version == *version)
            }
        }
    }

    /// Floor models of an engine, each with the engine's rank in the model's list.
    pub(super) fn targets(&self, engine: &UpstreamId) -> impl Iterator<Item = (&ModelId, usize)> {
        self.targets.get(engine).into_iter().flatten().map(|(model, rank)| (model, *rank))
    }

    /// Models with a floor replica in this domain, each with one of its engines.
    pub(super) fn floor_models(&self) -> &IndexMap<ModelId, UpstreamId> {
        &self.floor_models
    }

    /// The engine's rank in the floor's list of the model.
    pub(super) fn rank(&self, engine: &UpstreamId, model: &ModelId) -> Option<usize> {
        self.targets.get(engine)?.get(model).copied()
    }
}
