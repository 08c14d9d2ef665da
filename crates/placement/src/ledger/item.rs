use derive_more::Display;
use hgw_types::{AdapterId, MemSize, ModelId, VersionId};
use hgw_wire::upstream::OrderKind;

/// Something that takes memory on an engine; an engine holds each at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Item {
    /// A version of a model.
    #[display("{_0}@{_1}")]
    Model(ModelId, VersionId),
    /// A version of an adapter.
    #[display("{_0}+{_1}@{_2}")]
    Adapter(ModelId, AdapterId, VersionId),
}

impl Item {
    /// What an order loads and the memory that this takes; nothing where it cannot grow memory.
    pub fn loaded_by(kind: &OrderKind) -> Option<(Item, MemSize)> {
        match kind {
            OrderKind::Load { model, version, size } => {
                Some((Item::Model(model.clone(), version.clone()), *size))
            }
            OrderKind::LoadAdapter { model, adapter, version, size } => {
                Some((Item::Adapter(model.clone(), adapter.clone(), version.clone()), *size))
            }
            _ => None,
        }
    }

    /// The order that loads it.
    pub fn load(&self, size: MemSize) -> OrderKind {
        match self.clone() {
            Item::Model(model, version) => OrderKind::Load { model, version, size },
            Item::Adapter(model, adapter, version) => {
                OrderKind::LoadAdapter { model, adapter, version, size }
            }
        }
    }

    /// The order that drops it.
    pub fn evict(&self) -> OrderKind {
        match self.clone() {
            Item::Model(model, version) => OrderKind::Evict { model, version },
            Item::Adapter(model, adapter, version) => {
                OrderKind::EvictAdapter { model, adapter, version }
            }
        }
    }

    /// The model, or the one that the adapter belongs to.
    pub fn model(&self) -> &ModelId {
        match self {
            Item::Model(model, _) | Item::Adapter(model, _, _) => model,
        }
    }

    /// Whether it is a model and no adapter.
    pub fn is_model(&self) -> bool {
        matches!(self, Item::Model(..))
    }
}
