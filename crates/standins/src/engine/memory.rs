//! What a stand-in engine holds, and the judge of overcommitted memory.

use hgw_types::{AdapterId, MemSize, ModelId, RecordId, VersionId};
use hgw_wire::upstream::{HeldAdapter, HeldModel};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A moment at which the engine was asked to hold more than it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overcommit {
    /// The order that asked for it.
    pub order: RecordId,
    /// What would have been held.
    pub asked: MemSize,
    /// What the engine has.
    pub memory: MemSize,
}

/// Outcome of a change; the error says why there is none.
pub(super) type Result<T> = std::result::Result<T, String>;

type ModelKey = (ModelId, VersionId);
type AdapterKey = (ModelId, AdapterId, VersionId);

/// Accelerator memory and what is in it.
#[derive(Debug, Default)]
pub(super) struct Memory {
    size: MemSize,
    models: IndexMap<ModelKey, HeldModel>,
    adapters: IndexMap<AdapterKey, HeldAdapter>,
    /// Most that was ever asked for at once.
    pub(super) high_water: MemSize,
    pub(super) overcommits: Vec<Overcommit>,
}

/// Something that was loaded, by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Item {
    Model(ModelKey),
    Adapter(AdapterKey),
}

impl Memory {
    pub(super) fn new(size: MemSize) -> Self {
        Memory { size, ..Memory::default() }
    }

    pub(super) fn size(&self) -> MemSize {
        self.size
    }

    /// Puts `size` aside for `item`, which then is loading.
    pub(super) fn reserve(&mut self, order: RecordId, item: &Item, size: MemSize) -> Result<()> {
        if self.holds(item) {
            return Err("it is held already".into());
        }
        if let Item::Adapter((model, ..)) = item
            && !self.models.keys().any(|(m, _)| m == model)
        {
            return Err("its model is not held".into());
        }
        let asked = self.held() + size;
        self.high_water = self.high_water.max(asked);
        if asked > self.size {
            self.overcommits.push(Overcommit { order, asked, memory: self.size });
            return Err(format!("out of memory: {asked} of {}", self.size));
        }
        match item.clone() {
            Item::Model(key) => {
                let (model, version) = key.clone();
                let held = HeldModel { model, version, size, ready: false, active: 0 };
                self.models.insert(key, held);
            }
            Item::Adapter(key) => {
                let (model, adapter, version) = key.clone();
                let held = HeldAdapter { model, adapter, version, size, ready: false };
                self.adapters.insert(key, held);
            }
        }
        Ok(())
    }

    /// Marks `item` as loaded; fails where it was evicted while loading.
    pub(super) fn loaded(&mut self, item: &Item) -> Result<()> {
        let ready = match item {
            Item::Model(key) => self.models.get_mut(key).map(|held| &mut held.ready),
            Item::Adapter(key) => self.adapters.get_mut(key).map(|held| &mut held.ready),
        };
        ready.map(|ready| *ready = true).ok_or_else(|| "it was evicted while loading".into())
    }

    /// Drops `item`, and with a model its adapters unless another version of it stays.
    pub(super) fn evict(&mut self, item: &Item) -> Result<()> {
        let known = match item {
            Item::Model(key) => self.models.shift_remove(key).is_some(),
            Item::Adapter(key) => self.adapters.shift_remove(key).is_some(),
        };
        if let Item::Model((model, _)) = item
            && !self.models.keys().any(|(m, _)| m == model)
        {
            self.adapters.retain(|(m, ..), _| m != model);
        }
        if known { Ok(()) } else { Err("it is not held".into()) }
    }

    pub(super) fn clear(&mut self) {
        self.models.clear();
        self.adapters.clear();
    }

    /// Whether requests for this can be served.
    pub(super) fn can_serve(
        &self,
        model: &ModelId,
        version: &VersionId,
        adapter: Option<&AdapterId>,
    ) -> bool {
        let key = (model.clone(), version.clone());
        let model_ready = self.models.get(&key).is_some_and(|held| held.ready);
        let fits = |held: &HeldAdapter| held.ready && held.model == *model;
        let adapter_ready = adapter
            .is_none_or(|a| self.adapters.values().any(|held| held.adapter == *a && fits(held)));
        model_ready && adapter_ready
    }

    /// Models held; `active` says how many requests each one has.
    pub(super) fn models(&self, active: impl Fn(&HeldModel) -> u32) -> Vec<HeldModel> {
        let with_active = |held: &HeldModel| HeldModel { active: active(held), ..held.clone() };
        self.models.values().map(with_active).collect()
    }

    pub(super) fn adapters(&self) -> Vec<HeldAdapter> {
        self.adapters.values().cloned().collect()
    }

    fn holds(&self, item: &Item) -> bool {
        match item {
            Item::Model(key) => self.models.contains_key(key),
            Item::Adapter(key) => self.adapters.contains_key(key),
        }
    }

    fn held(&self) -> MemSize {
        let models: MemSize = self.models.values().map(|held| held.size).sum();
        let adapters: MemSize = self.adapters.values().map(|held| held.size).sum();
        models + adapters
    }
}
