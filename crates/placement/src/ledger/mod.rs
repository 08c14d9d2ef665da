//! The memory of one engine, as its keeper must count it.
//!
//! *Reserved* is what is resident or loading, and what every order that may still take effect would
//! load. Memory is reserved before an order is sent. It is freed only by what the engine itself says:
//! a state, asked after the fact, in which the item is gone; or an answer that the only copy of the
//! order had no effect. A lost or a late answer frees nothing.
//!
//! The one clock in it is the keeper's own: a lost copy counts until the bound that the operator
//! states for late orders has passed since its loss was known, which is after it was sent.

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

/// Outcome of a reservation.
pub type Result<T> = std::result::Result<T, ReserveError>;

/// Why memory is not reserved.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReserveError {
    /// The engine's state has not been read yet.
    #[display("the engine's state has not been read yet")]
    NotRead,
    /// The order cannot grow memory.
    #[display("the order loads nothing")]
    NothingToLoad,
    /// The engine holds the item, or an order for it may still take effect.
    #[display("{item} is held, or an order for it may still take effect")]
    Taken {
        /// The item.
        item: Item,
    },
    /// Not enough memory is free.
    #[display("{item} takes {size}, {free} is free")]
    Full {
        /// The item.
        item: Item,
        /// Memory that it takes.
        size: MemSize,
        /// Memory that is not reserved.
        free: MemSize,
    },
}

/// An item in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Memory that it takes.
    pub size: MemSize,
    /// Whether it can serve.
    pub ready: bool,
    /// Requests for it at the last read; 0 for an adapter.
    pub active: u32,
    /// When this was last learnt.
    pub seen: Time,
}

/// What may be in one engine's memory.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    memory: MemSize,
    reported: Option<MemSize>,
    generation: Option<Generation>,
    asked: Option<Time>,
    held: IndexMap<Item, Held>,
    orders: IndexMap<RecordId, Pending>,
}

impl Ledger {
    /// A ledger of an engine of which nothing is known but its configured memory.
    pub fn new(memory: MemSize) -> Ledger {
        Ledger { memory, ..Ledger::default() }
    }

    /// Sets the configured memory.
    pub fn set_memory(&mut self, memory: MemSize) {
        self.memory = memory;
    }

    /// Memory that may be filled: the smaller of what is configured and what the engine reports.
    pub fn memory(&self) -> MemSize {
        self.reported.map_or(self.memory, |m| m.min(self.memory))
    }

    /// Memory that is, or may come to be, in use.
    pub fn reserved(&self) -> MemSize {
        let mut sizes: IndexMap<&Item, MemSize> =
            self.held.iter().map(|(item, held)| (item, held.size)).collect();
        for order in self.orders.values().filter(|o| o.may_grow(self.generation)) {
            let size = sizes.entry(&order.item).or_default();
            *size = order.size.max(*size);
        }
        sizes.into_values().sum()
    }

    /// Memory that is not reserved; none before the first read.
    pub fn free(&self) -> MemSize {
        match self.asked {
            Some(_) => self.memory().saturating_sub(self.reserved()),
            None => MemSize::default(),
        }
    }

    /// When the newest state was asked for.
    pub fn asked(&self) -> Option<Time> {
        self.asked
    }

    /// The engine's generation at the last read.
    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// What the engine holds, as far as is known.
    pub fn held(&self) -> &IndexMap<Item, Held> {
        &self.held
    }

    /// Whether the engine holds the item ready.
    pub fn is_ready(&self, item: &Item) -> bool {
        self.held.get(item).is_some_and(|h| h.ready)
    }

    /// Whether the engine holds the item, or an order for it may still take effect.
    pub fn has(&self, item: &Item) -> bool {
        self.held.contains_key(item) || self.orders.values().any(|o| o.item == *item)
    }

    /// The order that may still load the item, with its size, where no answer to it is awaited and the
    /// engine is not known to have carried it out. To send it again under its own id takes no more
    /// memory than is reserved.
    ///
    /// Nothing where more is reserved than there is. That comes about when an engine restarts: it
    /// forgets which orders it has carried out, so that one done and undone before may take effect
    /// again beside one sent since. Both may be gone; to send either again would make sure of it.
    pub fn repeatable(&self, item: &Item) -> Option<(RecordId, MemSize)> {
        let fits = |o: &Pending| {
            o.item == *item && o.flying == 0 && o.done_in.is_none_or(|g| Some(g) != self.generation)
        };
        if self.held.contains_key(item) || self.reserved() > self.memory() {
            return None;
        }
        self.orders.iter().find(|(_, o)| fits(o)).map(|(id, o)| (*id, o.size))
    }

    /// Items that are loading, or that orders may yet load.
    pub fn loading(&self) -> usize {
        let loading = self.held.values().filter(|h| !h.ready).count();
        let coming = |o: &&Pending| {
            o.may_grow(self.generation) && o.flying > 0 && !self.held.contains_key(&o.item)
        };
        loading + self.orders.values().filter(coming).count()
    }

    /// Whether any order may still take effect.
    pub fn is_unsettled(&self) -> bool {
        self.orders.values().any(|o| o.may_grow(self.generation))
            || self.held.values().any(|h| !h.ready)
    }

    /// Reserves what the order would load. The order may be sent only after this.
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

    /// Counts another keeper's order, which was sent an unknown number of times, until `dead_at`.
    pub fn inherit(&mut self, order: RecordId, kind: &OrderKind, dead_at: Time) {
        let Some((item, size)) = Item::loaded_by(kind) else { return };
        let pending = Pending::new(item, size);
        self.orders.insert(order, Pending { inherited: true, dead_at: Some(dead_at), ..pending });
    }

    /// Counts an order that is to be sent again until `dead_at` at least.
    pub fn renew(&mut self, order: RecordId, dead_at: Time) {
        if let Some(pending) = self.orders.get_mut(&order) {
            pending.dead_at = pending.dead_at.max(Some(dead_at));
        }
    }

    /// A copy of the order is about to be sent.
    pub fn sending(&mut self, order: RecordId) {
        if let Some(pending) = self.orders.get_mut(&order) {
            pending.flying += 1;
            pending.consumed = false;
        }
    }

    /// The order will not be sent again; frees it if no copy was ever sent.
    pub fn cancel(&mut self, order: RecordId) {
        if self.orders.get(&order).is_some_and(Pending::is_over) {
            self.orders.shift_remove(&order);
        }
    }

    /// What became of one copy of the order. `late` is the operator's bound for late orders.
    pub fn answered(&mut self, now: Time, order: RecordId, result: &OrderResult, late: Duration) {
        let Some(pending) = self.orders.get_mut(&order).filter(|o| o.flying > 0) else { return };
        pending.flying -= 1;
        match result {
            // Not sent: the caller says next whether it sends again or cancels.
            OrderResult::NotSent => return,
            OrderResult::Lost => pending.lose(now + late),
            OrderResult::Answered(OrderOutcome::Done) => {
                if pending.done_in.is_none() {
                    pending.done_in = self.generation;
                    // A predecessor's order may have been carried out and undone long ago, and is
                    // answered all the same: only a read shows whether the item is there.
                    let ready = !pending.inherited;
                    let held = Held { size: pending.size, ready, active: 0, seen: now };
                    self.held.insert(pending.item.clone(), held);
                }
            }
            OrderResult::Answered(_) => {}
        }
        self.cancel(order);
    }

    /// Takes what the engine said that it holds when it was asked at `asked`.
    ///
    /// A state asked for before something was learnt does not undo it: the engine may have answered
    /// before that happened.
    pub fn read(&mut self, asked: Time, state: &EngineState) -> Reading {
        if self.asked.is_some_and(|t| asked <= t) {
            return Reading::Stale;
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
        if restarted { Reading::Restarted } else { Reading::Taken }
    }

    /// Frees the orders that can no longer take effect by the operator's bound.
    pub fn expire(&mut self, now: Time) {
        self.orders.retain(|_, o| !o.is_dead(now));
    }

    /// Whether the order may still take effect.
    pub fn is_open(&self, order: RecordId) -> bool {
        self.orders.contains_key(&order)
    }
}

/// What a state did to the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Nothing: a state asked for later has been taken.
    Stale,
    /// It was taken.
    Taken,
    /// It was taken, and the engine has restarted since the one before.
    Restarted,
}

fn shown(asked: Time, state: &EngineState) -> IndexMap<Item, Held> {
    let models = state.models.iter().map(|m| {
        let held = Held { size: m.size, ready: m.ready, active: m.active, seen: asked };
        (Item::Model(m.model.clone(), m.version.clone()), held)
    });
    let adapters = state.adapters.iter().map(|a| {
        let held = Held { size: a.size, ready: a.ready, active: 0, seen: asked };
        (Item::Adapter(a.model.clone(), a.adapter.clone(), a.version.clone()), held)
    });
    models.chain(adapters).collect()
}
