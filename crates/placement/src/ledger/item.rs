//! Items in engine memory and the orders that load or evict them.

use derive_more::Display;
use hgw_types::{AdapterId, MemSize, ModelId, VersionId};
use hgw_wire::upstream::OrderKind;

/// An item that uses memory on an engine, which has each item at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Item {
    #[display("{_0}@{_1}")]
    Model(ModelId, VersionId),
    #[display("{_0}+{_1}@{_2}")]
    Adapter(ModelId, AdapterId, VersionId),
}

impl Item {
    /// The item that an order loads, and its memory; `None` if the order cannot increase memory
    /// use.
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

    pub fn load(&self, size: MemSize) -> OrderKind {
        match self.clone() {
            Item::Model(model, version) => OrderKind::Load { model, version, size },
            Item::Adapter(model, adapter, version) => {
                OrderKind::LoadAdapter { model, adapter, version, size }
            }
        }
    }

    pub fn evict(&self) -> OrderKind {
        match self.clone() {
            Item::Model(model, version) => OrderKind::Evict { model, version },
            Item::Adapter(model, adapter, version) => {
                OrderKind::EvictAdapter { model, adapter, version }
            }
        }
    }

    /// The model itself, or the adapter's model.
    pub fn model(&self) -> &ModelId {
        match self {
            Item::Model(model, _) | Item::Adapter(model, _, _) => model,
        }
    }

    pub fn is_model(&self) -> bool {
        matches!(self, Item::Model(..))
    }
}
