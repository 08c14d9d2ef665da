//! Counts the attempts of a request that engines may have executed, over all nodes that send it to engines.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Identifies what a request grants to one other node.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct GrantId(pub u64);

/// Attempts of a request that engines may have executed.
///
/// An attempt that is granted to another node counts from then on until that node says that it did not make it, so the
/// count is never too low, whatever becomes of that node.
#[derive(Debug, Clone, Default)]
pub struct AttemptCount {
    /// Attempts of this node, and of nodes whose grants have ended.
    counted: u32,
    /// Whether this node has sent an attempt of which it does not know yet whether it counts.
    is_pending: bool,
    /// Attempts that other nodes may make or have made.
    granted: IndexMap<GrantId, u32>,
}

impl AttemptCount {
    /// Begins with attempts that were made elsewhere.
    pub fn starting_at(counted: u32) -> AttemptCount {
        AttemptCount { counted, ..AttemptCount::default() }
    }

    /// Attempts that may have been executed, without a pending one of this node.
    pub fn executions(&self) -> u32 {
        self.counted + self.granted.values().sum::<u32>()
    }

    /// Attempts that may have been executed or may be yet.
    pub fn in_use(&self) -> u32 {
        self.executions() + u32::from(self.is_pending)
    }

    pub fn set_pending(&mut self, is_pending: bool) {
        self.is_pending = is_pending;
    }

    pub fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Counts the pending attempt.
    pub fn record(&mut self) {
        self.is_pending = false;
        self.counted += 1;
    }

    /// Takes back an attempt of this node that was counted and has not run.
    pub fn take_back(&mut self) {
        self.counted = self.counted.saturating_sub(1);
    }

    /// Grants one attempt to another node.
    pub fn grant(&mut self, id: GrantId) {
        self.granted.insert(id, 1);
    }

    /// Whether another node may make so many attempts in all. One more is granted if fewer than `max` are in use.
    pub fn raise(&mut self, id: GrantId, attempts: u32, max: u32) -> bool {
        let is_one_left = self.in_use() < max;
        let Some(granted) = self.granted.get_mut(&id) else { return false };
        if attempts == *granted + 1 && is_one_left {
            *granted = attempts;
        }
        attempts <= *granted
    }

    /// Records how many attempts another node has made so far. It may still make those that were granted.
    pub fn record_made(&mut self, id: GrantId, made: u32) {
        if let Some(granted) = self.granted.get_mut(&id) {
            *granted = (*granted).max(made);
        }
    }

    /// Ends a grant. What the other node does not say counts as made.
    pub fn end(&mut self, id: GrantId, made: Option<u32>) {
        if let Some(granted) = self.granted.shift_remove(&id) {
            self.counted += made.unwrap_or(granted);
        }
    }
}
