//! A fake engine.

use std::time::Duration;

use hgw_placement::Item;
use hgw_types::{Generation, MemSize, RecordId, Term, Time};
use hgw_wire::upstream::{EngineState, HeldAdapter, HeldModel, Order, OrderKind, OrderOutcome};
use indexmap::{IndexMap, IndexSet};

pub(crate) const LOAD_TIME: Duration = Duration::from_millis(800);

/// A fake engine that records each order that would overcommit its memory.
#[derive(Debug)]
pub(crate) struct FakeEngine {
    pub(crate) rejects_old_fences: bool,
    pub(crate) memory: MemSize,
    pub(crate) generation: u64,
    pub(crate) fence: Term,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    /// Size, and the time at which it is ready.
    pub(crate) loaded: IndexMap<Item, (MemSize, Time)>,
    pub(crate) active: IndexMap<Item, u32>,
    pub(crate) executed: IndexSet<RecordId>,
    pub(crate) overcommitted: Vec<String>,
}

impl FakeEngine {
    pub(crate) fn new(rejects_old_fences: bool, memory: MemSize) -> FakeEngine {
        FakeEngine {
            rejects_old_fences,
            memory,
            generation: 1,
            fence: Term(0),
            up: true,
            leaving: false,
            loaded: IndexMap::new(),
            active: IndexMap::new(),
            executed: IndexSet::new(),
            overcommitted: Vec::new(),
        }
    }

    pub(crate) fn restart(&mut self) {
        self.generation += 1;
        self.fence = Term(0);
        self.loaded.clear();
        self.executed.clear();
        self.active.clear();
    }

    pub(crate) fn used(&self) -> MemSize {
        self.loaded.values().map(|(size, _)| *size).sum()
    }

    /// Executes the order; returns the outcome and the delay of the response.
    pub(crate) fn order(&mut self, now: Time, order: &Order) -> (OrderOutcome, Duration) {
        if self.rejects_old_fences && order.fence < self.fence {
            return (OrderOutcome::OldFence { current: self.fence }, Duration::ZERO);
        }
        self.fence = self.fence.max(order.fence);
        if !self.executed.insert(order.id) {
            return (OrderOutcome::Done, Duration::ZERO);
        }
        if let Some((item, size)) = Item::loaded_by(&order.kind) {
            let free = self.memory.saturating_sub(self.used());
            if size > free || self.loaded.contains_key(&item) {
                self.overcommitted.push(format!("{now}: {item} of {size} into {free}"));
                return (OrderOutcome::Refused { reason: "no memory".into() }, Duration::ZERO);
            }
            self.loaded.insert(item, (size, now + LOAD_TIME));
            return (OrderOutcome::Done, LOAD_TIME);
        }
        match &order.kind {
            OrderKind::Evict { model, version } => {
                let evicted = Item::Model(model.clone(), version.clone());
                self.loaded.retain(|i, _| *i != evicted && (i.is_model() || i.model() != model));
                self.active.shift_remove(&evicted);
            }
            OrderKind::EvictAdapter { model, adapter, version } => {
                let evicted = Item::Adapter(model.clone(), adapter.clone(), version.clone());
                self.loaded.shift_remove(&evicted);
            }
            _ => {}
        }
        (OrderOutcome::Done, Duration::ZERO)
    }

    pub(crate) fn state(&self, now: Time) -> EngineState {
        let mut state = EngineState {
            generation: Generation(self.generation),
            fence: self.fence,
            memory: self.memory,
            leaving: self.leaving,
            ..EngineState::default()
        };
        for (item, (size, ready_at)) in &self.loaded {
            let (size, ready) = (*size, now >= *ready_at);
            match item.clone() {
                Item::Model(model, version) => {
                    let active = self.active.get(item).copied().unwrap_or_default();
                    state.models.push(HeldModel { model, version, size, ready, active });
                }
                Item::Adapter(model, adapter, version) => {
                    state.adapters.push(HeldAdapter { model, adapter, version, size, ready });
                }
            }
        }
        state
    }
}
