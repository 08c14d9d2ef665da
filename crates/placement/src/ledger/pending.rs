//! An order that may still take effect and the copies of it that were sent.

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
    pub(super) executed_in: Option<Generation>,
    /// When lost copies can no longer take effect.
    pub(super) expires_at: Option<Time>,
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
            executed_in: None,
            expires_at: None,
            consumed: false,
            inherited: false,
        }
    }

    /// Records that the engine's state shows the item. If there was only one copy, that copy loaded
    /// it.
    pub(super) fn record_observed(&mut self, generation: Generation) {
        if self.executed_in == Some(generation) {
            return;
        }
        self.executed_in = Some(generation);
        if self.inherited || self.in_flight + self.lost != 1 {
            return;
        }
        self.consumed = self.in_flight == 1;
        self.lost = 0;
    }

    pub(super) fn record_loss(&mut self, expires_at: Time) {
        if self.consumed {
            return;
        }
        self.lost += 1;
        self.expires_at = self.expires_at.max(Some(expires_at));
    }

    /// Whether it may still load its item on an engine of this generation.
    pub(super) fn may_load(&self, generation: Option<Generation>) -> bool {
        self.executed_in.is_none() || self.executed_in != generation
    }

    /// Whether no copy can take effect any more, apart from the bound for late orders.
    pub(super) fn has_no_copies(&self) -> bool {
        !self.inherited && self.in_flight == 0 && self.lost == 0
    }

    /// Whether the bound for late orders has passed for all copies.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        self.in_flight == 0 && self.expires_at.is_some_and(|t| now >= t)
    }
}
