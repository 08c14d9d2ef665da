use hgw_types::{Generation, MemSize, Time};

use super::Item;

/// An order that may still take effect.
///
/// Each sending creates a copy. A copy is in flight until its response or loss is known, and lost
/// if no response arrived. The engine executes an order once per generation, but a lost copy may
/// arrive after a restart, when the engine no longer knows the order's id.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) item: Item,
    pub(super) size: MemSize,
    /// Copies in flight.
    pub(super) in_flight: u32,
    /// Lost copies.
    pub(super) lost: u32,
    /// Engine generation in which the order is known to have been executed.
    pub(super) done_in: Option<Generation>,
    /// When lost copies can no longer take effect.
    pub(super) dead_at: Option<Time>,
    /// Whether the only copy in flight is known to have taken effect.
    pub(super) consumed: bool,
    /// Whether a previous leader sent the order, an unknown number of times.
    pub(super) inherited: bool,
}

impl Pending {
    pub(super) fn new(item: Item, size: MemSize) -> Pending {
        Pending {
            item,
            size,
            in_flight: 0,
            lost: 0,
            done_in: None,
            dead_at: None,
            consumed: false,
            inherited: false,
        }
    }

    /// Records that the engine's state shows the item. If there was only one copy, that copy loaded
    /// it.
    pub(super) fn seen(&mut self, generation: Generation) {
        if self.done_in == Some(generation) {
            return;
        }
        self.done_in = Some(generation);
        if self.inherited || self.in_flight + self.lost != 1 {
            return;
        }
        self.consumed = self.in_flight == 1;
        self.lost = 0;
    }

    pub(super) fn lose(&mut self, dead_at: Time) {
        if self.consumed {
            return;
        }
        self.lost += 1;
        self.dead_at = self.dead_at.max(Some(dead_at));
    }

    /// Whether it may still load its item on an engine of this generation.
    pub(super) fn may_grow(&self, generation: Option<Generation>) -> bool {
        self.done_in.is_none() || self.done_in != generation
    }

    /// Whether no copy can take effect any more, apart from the bound for late orders.
    pub(super) fn is_over(&self) -> bool {
        !self.inherited && self.in_flight == 0 && self.lost == 0
    }

    /// Whether the bound for late orders has passed for all copies.
    pub(super) fn is_dead(&self, now: Time) -> bool {
        self.in_flight == 0 && self.dead_at.is_some_and(|t| now >= t)
    }
}
