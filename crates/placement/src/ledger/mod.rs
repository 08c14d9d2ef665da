//! Accounting of one engine's memory.
//!
//! *Reserved* memory is what is loaded or loading, plus what every order that may still take effect
//! would load. Memory is reserved before an order is sent. It is released only by a later state of
//! the engine without the item, or by a response that the only copy of the order had no effect. A
//! lost or late response releases nothing.
//!
//! The only clock involved is the leader's own: a lost copy counts until the engine's bound for
//! late orders has passed since the loss was detected, which is after it was sent.

mod item;
mod pending;

use std::time::Duration;

use derive_more::{Display, Error};
use hgw_types::{Generation, MemSize, RecordId, Time};
use hgw_wire::upstream::{EngineState, OrderKind, OrderOutcome};
use indexmap::IndexMap;

pub use item::Item;
use pending::Pending;

use crate::OrderResult;

pub type Result<T> = std::result::Result<T, ReserveError>;

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReserveError {
    #[display("the engine's state has not been read yet")]
    NotRead,
    #[display("the order does not load anything")]
    NothingToLoad,
    #[display("{item} is already loaded, or an order for it may still take effect")]
    Taken { item: Item },
    #[display("{item} needs {size}, but only {free} is free")]
    Full { item: Item, size: MemSize, free: MemSize },
}

/// An item in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedItem {
    pub size: MemSize,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Requests in flight at the last read; 0 for an adapter.
    pub active: u32,
    /// When this was last observed.
    pub seen: Time,
}

/// Items that are, or may be, in one engine's memory.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    memory: MemSize,
    reported: Option<MemSize>,
    generation: Option<Generation>,
    asked: Option<Time>,
    held: IndexMap<Item, LoadedItem>,
    orders: IndexMap<RecordId, Pending>,
}

impl Ledger {
    /// Creates a ledger for an engine whose state has not been read.
    pub fn new(memory: MemSize) -> Ledger {
        Ledger { memory, ..Ledger::default() }
    }

    pub fn set_memory(&mut self, memory: MemSize) {
        self.memory = memory;
    }

    /// Usable memory: the smaller of the configured and the reported size.
    pub fn memory(&self) -> MemSize {
        self.reported.map_or(self.memory, |m| m.min(self.memory))
    }

    /// Memory that is in use or may become so through orders.
    pub fn reserved(&self) -> MemSize {
        let mut sizes: IndexMap<&Item, MemSize> =
            self.held.iter().map(|(item, held)| (item, held.size)).collect();
        for order in self.orders.values().filter(|o| o.may_grow(self.generation)) {
            let size = sizes.entry(&order.item).or_default();
            *size = order.size.max(*size);
        }
        sizes.into_values().sum()
    }

    /// Memory that is not reserved; zero before the first read.
    pub fn free(&self) -> MemSize {
        match self.asked {
            Some(_) => self.memory().saturating_sub(self.reserved()),
            None => MemSize::default(),
        }
    }

    /// When the latest applied state was requested.
    pub fn asked(&self) -> Option<Time> {
        self.asked
    }

    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// Items known to be loaded or loading.
    pub fn held(&self) -> &IndexMap<Item, LoadedItem> {
        &self.held
    }

    pub fn is_ready(&self, item: &Item) -> bool {
        self.held.get(item).is_some_and(|h| h.ready)
    }

    /// Whether the item is loaded, or an order for it may still take effect.
    pub fn has(&self, item: &Item) -> bool {
        self.held.contains_key(item) || self.orders.values().any(|o| o.item == *item)
    }

    /// Returns an order for the item, with its size, that can be retried under its own id without
    /// reserving more memory: it waits for no response and the engine is not known to have executed
    /// it.
    ///
    /// Returns `None` if more memory is reserved than the engine has. A restarted engine forgets
    /// which orders it has executed, so an order undone earlier may take effect again next to a
    /// newer one. Retrying either could overcommit the memory.
    pub fn repeatable(&self, item: &Item) -> Option<(RecordId, MemSize)> {
        let fits = |o: &Pending| {
            o.item == *item
                && o.in_flight == 0
                && o.done_in.is_none_or(|g| Some(g) != self.generation)
        };
        if self.held.contains_key(item) || self.reserved() > self.memory() {
            return None;
        }
        self.orders.iter().find(|(_, o)| fits(o)).map(|(id, o)| (*id, o.size))
    }

    /// Number of items that are loading or that orders in flight may load.
    pub fn loading(&self) -> usize {
        let loading = self.held.values().filter(|h| !h.ready).count();
        let coming = |o: &&Pending| {
            o.may_grow(self.generation) && o.in_flight > 0 && !self.held.contains_key(&o.item)
        };
        loading + self.orders.values().filter(coming).count()
    }

    pub fn is_unsettled(&self) -> bool {
        self.orders.values().any(|o| o.may_grow(self.generation))
            || self.held.values().any(|h| !h.ready)
    }

    /// Reserves the memory of the order, which must be done before it is sent.
    pub fn reserve(&mut self, order: RecordId, kind: &OrderKind) -> Result<()> {
        let (item, size) = Item::loaded_by(kind).ok_or(ReserveError::NothingToLoad)?;
        if self.asked.is_none() {
            return Err(ReserveError::NotRead);
        }
        if self.has(&item) {
            return Err(ReserveError::Taken { item });
        }
        let free = self.free();
        if size > free {
            return Err(ReserveError::Full { item, size, free });
        }
        self.orders.insert(order, Pending::new(item, size));
        Ok(())
    }

    /// Counts a previous leader's order, which may have been sent any number of times, until
    /// `dead_at`.
    pub fn inherit(&mut self, order: RecordId, kind: &OrderKind, dead_at: Time) {
        let Some((item, size)) = Item::loaded_by(kind) else { return };
        let pending = Pending::new(item, size);
        self.orders.insert(order, Pending { inherited: true, dead_at: Some(dead_at), ..pending });
    }

    /// Counts an order that will be retried until at least `dead_at`.
    pub fn renew(&mut self, order: RecordId, dead_at: Time) {
        if let Some(pending) = self.orders.get_mut(&order) {
            pending.dead_at = pending.dead_at.max(Some(dead_at));
        }
    }

    /// Records that a copy of the order is being sent.
    pub fn sending(&mut self, order: RecordId) {
        if let Some(pending) = self.orders.get_mut(&order) {
            pending.in_flight += 1;
            pending.consumed = false;
        }
    }

    /// Stops retries of the order; releases it if no copy can take effect.
    pub fn cancel(&mut self, order: RecordId) {
        if self.orders.get(&order).is_some_and(Pending::is_over) {
            self.orders.shift_remove(&order);
        }
    }

    /// Applies the result of one copy of the order. `late` is the engine's bound for late orders.
    pub fn answered(&mut self, now: Time, order: RecordId, result: &OrderResult, late: Duration) {
        let Some(pending) = self.orders.get_mut(&order).filter(|o| o.in_flight > 0) else { return };
        pending.in_flight -= 1;
        match result {
            // The caller next retries or cancels the order.
            OrderResult::NotSent => return,
            OrderResult::Lost => pending.lose(now + late),
            OrderResult::Answered(OrderOutcome::Done) => {
                if pending.done_in.is_none() {
                    pending.done_in = self.generation;
                    // A previous leader's order may have been executed and undone long ago, and the
                    // engine still responds `Done`. Only a read shows whether the item is there.
                    let ready = !pending.inherited;
                    let held = LoadedItem { size: pending.size, ready, active: 0, seen: now };
                    self.held.insert(pending.item.clone(), held);
                }
            }
            OrderResult::Answered(_) => {}
        }
        self.cancel(order);
    }

    /// Applies a state that was requested at `asked`.
    ///
    /// A state requested before an item was observed does not remove it, since the engine may have
    /// responded before the item was loaded.
    pub fn read(&mut self, asked: Time, state: &EngineState) -> StateOutcome {
        if self.asked.is_some_and(|t| asked <= t) {
            return StateOutcome::Stale;
        }
        let restarted = self.generation.is_some_and(|g| g != state.generation);
        self.asked = Some(asked);
        self.generation = Some(state.generation);
        self.reported = Some(state.memory).filter(|m| *m > MemSize::default());
        let shown = shown(asked, state);
        self.held
            .retain(|item, held| !restarted && (held.seen >= asked || shown.contains_key(item)));
        for order in self.orders.values_mut().filter(|o| shown.contains_key(&o.item)) {
            order.seen(state.generation);
        }
        self.held.extend(shown);
        let generation = state.generation;
        self.orders.retain(|_, o| o.done_in != Some(generation) || !o.is_over());
        if restarted { StateOutcome::Restarted } else { StateOutcome::Applied }
    }

    /// Releases orders that can no longer take effect by the engine's bound for late orders.
    pub fn expire(&mut self, now: Time) {
        self.orders.retain(|_, o| !o.is_dead(now));
    }

    /// Whether the order may still take effect.
    pub fn is_open(&self, order: RecordId) -> bool {
        self.orders.contains_key(&order)
    }
}

/// Result of applying a state to the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateOutcome {
    /// Ignored: a state requested later has been applied.
    Stale,
    Applied,
    /// Applied, and the engine has restarted since the previous state.
    Restarted,
}

fn shown(asked: Time, state: &EngineState) -> IndexMap<Item, LoadedItem> {
    let models = state.models.iter().map(|m| {
        let held = LoadedItem { size: m.size, ready: m.ready, active: m.active, seen: asked };
        (Item::Model(m.model.clone(), m.version.clone()), held)
    });
    let adapters = state.adapters.iter().map(|a| {
        let held = LoadedItem { size: a.size, ready: a.ready, active: 0, seen: asked };
        (Item::Adapter(a.model.clone(), a.adapter.clone(), a.version.clone()), held)
    });
    models.chain(adapters).collect()
}
