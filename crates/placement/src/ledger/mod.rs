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
    AlreadyPresent { item: Item },
    #[display("{item} needs {size}, but only {free} is free")]
    NoMemory { item: Item, size: MemSize, free: MemSize },
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
    pub observed_at: Time,
}

/// Items that are, or may be, in one engine's memory.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    memory: MemSize,
    reported_memory: Option<MemSize>,
    generation: Option<Generation>,
    read_requested_at: Option<Time>,
    loaded: IndexMap<Item, LoadedItem>,
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
        self.reported_memory.map_or(self.memory, |m| m.min(self.memory))
    }

    /// Memory that is in use or may become so through orders.
    pub fn reserved(&self) -> MemSize {
        let mut sizes: IndexMap<&Item, MemSize> =
            self.loaded.iter().map(|(item, loaded_item)| (item, loaded_item.size)).collect();
        for order in self.orders.values().filter(|o| o.may_load(self.generation)) {
            let size = sizes.entry(&order.item).or_default();
            *size = order.size.max(*size);
        }
        sizes.into_values().sum()
    }

    /// Memory that is not reserved; zero before the first read.
    pub fn free(&self) -> MemSize {
        match self.read_requested_at {
            Some(_) => self.memory().saturating_sub(self.reserved()),
            None => MemSize::default(),
        }
    }

    /// When the latest applied state was requested.
    pub fn read_requested_at(&self) -> Option<Time> {
        self.read_requested_at
    }

    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// Items known to be loaded or loading.
    pub fn loaded(&self) -> &IndexMap<Item, LoadedItem> {
        &self.loaded
    }

    pub fn is_ready(&self, item: &Item) -> bool {
        self.loaded.get(item).is_some_and(|h| h.ready)
    }

    /// Whether the item is loaded, or an order for it may still take effect.
    pub fn has(&self, item: &Item) -> bool {
        self.loaded.contains_key(item) || self.orders.values().any(|o| o.item == *item)
    }

    /// Returns an order for the item, with its size, that can be retried under its own id without
    /// reserving more memory: it waits for no response and the engine is not known to have executed
    /// it.
    ///
    /// Returns `None` if more memory is reserved than the engine has. A restarted engine forgets
    /// which orders it has executed, so an order undone earlier may take effect again next to a
    /// newer one. Retrying either could overcommit the memory.
    pub fn retryable(&self, item: &Item) -> Option<(RecordId, MemSize)> {
        let can_retry = |o: &Pending| {
            o.item == *item
                && o.in_flight == 0
                && o.executed_in.is_none_or(|g| Some(g) != self.generation)
        };
        if self.loaded.contains_key(item) || self.reserved() > self.memory() {
            return None;
        }
        self.orders.iter().find(|(_, o)| can_retry(o)).map(|(id, o)| (*id, o.size))
    }

    /// Number of items that are loading or that orders in flight may load.
    pub fn loads_in_progress(&self) -> usize {
        let loading = self.loaded.values().filter(|h| !h.ready).count();
        let may_load_later = |o: &&Pending| {
            o.may_load(self.generation) && o.in_flight > 0 && !self.loaded.contains_key(&o.item)
        };
        loading + self.orders.values().filter(may_load_later).count()
    }

    /// Whether an item is loading or an order may still load one.
    pub fn may_be_loading(&self) -> bool {
        self.orders.values().any(|o| o.may_load(self.generation))
            || self.loaded.values().any(|h| !h.ready)
    }

    /// Reserves the memory of the order, which must be done before it is sent.
    pub fn reserve(&mut self, order: RecordId, kind: &OrderKind) -> Result<()> {
        let (item, size) = Item::loaded_by(kind).ok_or(ReserveError::NothingToLoad)?;
        if self.read_requested_at.is_none() {
            return Err(ReserveError::NotRead);
        }
        if self.has(&item) {
            return Err(ReserveError::AlreadyPresent { item });
        }
        let free = self.free();
        if size > free {
            return Err(ReserveError::NoMemory { item, size, free });
        }
        self.orders.insert(order, Pending::new(item, size));
        Ok(())
    }

    /// Counts a previous leader's order, which may have been sent any number of times, until
    /// `expires_at`.
    pub fn inherit(&mut self, order: RecordId, kind: &OrderKind, expires_at: Time) {
        let Some((item, size)) = Item::loaded_by(kind) else { return };
        let pending = Pending::new(item, size);
        self.orders
            .insert(order, Pending { inherited: true, expires_at: Some(expires_at), ..pending });
    }

    /// Counts an order that will be retried until at least `expires_at`.
    pub fn extend(&mut self, order: RecordId, expires_at: Time) {
        if let Some(pending) = self.orders.get_mut(&order) {
            pending.expires_at = pending.expires_at.max(Some(expires_at));
        }
    }

    /// Records that a copy of the order is being sent.
    pub fn record_send(&mut self, order: RecordId) {
        if let Some(pending) = self.orders.get_mut(&order) {
            pending.in_flight += 1;
            pending.consumed = false;
        }
    }

    /// Stops retries of the order; releases it if no copy can take effect.
    pub fn cancel(&mut self, order: RecordId) {
        if self.orders.get(&order).is_some_and(Pending::has_no_copies) {
            self.orders.shift_remove(&order);
        }
    }

    /// Applies the result of one copy of the order. `late_order_bound` is the longest time by which an
    /// order can reach the engine late.
    pub fn handle_result(
        &mut self,
        now: Time,
        order: RecordId,
        result: &OrderResult,
        late_order_bound: Duration,
    ) {
        let Some(pending) = self.orders.get_mut(&order).filter(|o| o.in_flight > 0) else { return };
        pending.in_flight -= 1;
        match result {
            // The caller next retries or cancels the order.
            OrderResult::NotSent => return,
            OrderResult::Lost => pending.record_loss(now + late_order_bound),
            OrderResult::Answered(OrderOutcome::Done) => {
                if pending.executed_in.is_none() {
                    pending.executed_in = self.generation;
                    // A previous leader's order may have been executed and undone long ago, and the
                    // engine still responds `Done`. Only a read shows whether the item is there.
                    let ready = !pending.inherited;
                    let loaded_item =
                        LoadedItem { size: pending.size, ready, active: 0, observed_at: now };
                    self.loaded.insert(pending.item.clone(), loaded_item);
                }
            }
            OrderResult::Answered(_) => {}
        }
        self.cancel(order);
    }

    /// Applies a state of the engine.
    ///
    /// A state requested before an item was observed does not remove it, since the engine may have
    /// responded before the item was loaded.
    pub fn read(&mut self, requested_at: Time, state: &EngineState) -> StateOutcome {
        if self.read_requested_at.is_some_and(|t| requested_at <= t) {
            return StateOutcome::Stale;
        }
        let restarted = self.generation.is_some_and(|g| g != state.generation);
        self.read_requested_at = Some(requested_at);
        self.generation = Some(state.generation);
        self.reported_memory = Some(state.memory).filter(|m| *m > MemSize::default());
        let reported = reported(requested_at, state);
        self.loaded.retain(|item, loaded_item| {
            !restarted && (loaded_item.observed_at >= requested_at || reported.contains_key(item))
        });
        for order in self.orders.values_mut().filter(|o| reported.contains_key(&o.item)) {
            order.record_observed(state.generation);
        }
        self.loaded.extend(reported);
        let generation = state.generation;
        self.orders.retain(|_, o| o.executed_in != Some(generation) || !o.has_no_copies());
        if restarted { StateOutcome::Restarted } else { StateOutcome::Applied }
    }

    /// Releases orders that can no longer take effect by the engine's bound for late orders.
    pub fn expire(&mut self, now: Time) {
        self.orders.retain(|_, o| !o.is_expired(now));
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

fn reported(requested_at: Time, state: &EngineState) -> IndexMap<Item, LoadedItem> {
    let models = state.models.iter().map(|m| {
        let loaded_item = LoadedItem {
            size: m.size,
            ready: m.ready,
            active: m.active,
            observed_at: requested_at,
        };
        (Item::Model(m.model.clone(), m.version.clone()), loaded_item)
    });
    let adapters = state.adapters.iter().map(|a| {
        let loaded_item =
            LoadedItem { size: a.size, ready: a.ready, active: 0, observed_at: requested_at };
        (Item::Adapter(a.model.clone(), a.adapter.clone(), a.version.clone()), loaded_item)
    });
    models.chain(adapters).collect()
}
