use hgw_types::{Generation, MemSize, Time};

use super::Item;

/// An order that may still take effect.
///
/// Each sending of the order is a copy. A copy is *flying* until its answer or loss is known, and
/// *lost* when no answer came. The engine carries the order out once within a generation, but a lost
/// copy may reach the engine after a restart, which has forgotten the order's id.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) item: Item,
    pub(super) size: MemSize,
    /// Copies without an answer so far.
    pub(super) flying: u32,
    /// Copies whose answer was lost.
    pub(super) lost: u32,
    /// The generation in which the engine is known to have carried it out.
    pub(super) done_in: Option<Generation>,
    /// When lost copies can no longer take effect.
    pub(super) dead_at: Option<Time>,
    /// The one copy still flying is known to be the one that took effect.
    pub(super) consumed: bool,
    /// Another keeper's order: how often it was sent is not known.
    pub(super) inherited: bool,
}

impl Pending {
    pub(super) fn new(item: Item, size: MemSize) -> Pending {
        Pending {
            item,
            size,
            flying: 0,
            lost: 0,
            done_in: None,
            dead_at: None,
            consumed: false,
            inherited: false,
        }
    }

    /// The engine's state shows the item. Where only one copy was out, it is the one that did it.
    pub(super) fn seen(&mut self, generation: Generation) {
        if self.done_in == Some(generation) {
            return;
        }
        self.done_in = Some(generation);
        if self.inherited || self.flying + self.lost != 1 {
            return;
        }
        self.consumed = self.flying == 1;
        self.lost = 0;
    }

    pub(super) fn lose(&mut self, dead_at: Time) {
        if self.consumed {
            return;
        }
        self.lost += 1;
        self.dead_at = self.dead_at.max(Some(dead_at));
    }

    /// Whether it may still add its item to an engine of this generation.
    pub(super) fn may_grow(&self, generation: Option<Generation>) -> bool {
        self.done_in.is_none() || self.done_in != generation
    }

    /// Whether no copy is left that could take effect.
    pub(super) fn is_over(&self) -> bool {
        !self.inherited && self.flying == 0 && self.lost == 0
    }

    /// Whether the time has passed after which no copy can take effect.
    pub(super) fn is_dead(&self, now: Time) -> bool {
        self.flying == 0 && self.dead_at.is_some_and(|t| now >= t)
    }
}
