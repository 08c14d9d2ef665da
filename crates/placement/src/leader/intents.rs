//! Recorded orders that may still take effect.

use std::time::Duration;

use hgw_types::{RecordId, UpstreamId};
use hgw_wire::upstream::OrderKind;
use indexmap::IndexMap;

use crate::LeaderEntry;

/// Recorded orders that may still take effect; every node derives them from the log stream.
#[derive(Debug, Default)]
pub(super) struct Intents {
    open: IndexMap<RecordId, LeaderEntry>,
}

impl Intents {
    pub(super) fn apply(&mut self, entry: LeaderEntry) {
        match entry {
            LeaderEntry::Intent { order, .. } => {
                self.open.insert(order, entry);
            }
            LeaderEntry::Settled { orders } => {
                for order in orders {
                    self.open.shift_remove(&order);
                }
            }
        }
    }

    pub(super) fn restore(&mut self, entries: Vec<LeaderEntry>) {
        self.open.clear();
        entries.into_iter().for_each(|e| self.apply(e));
    }

    pub(super) fn snapshot(&self) -> Vec<LeaderEntry> {
        self.open.values().cloned().collect()
    }

    /// Returns the orders with their engines and the recorded bounds for late orders.
    pub(super) fn orders(&self) -> impl Iterator<Item = (RecordId, &UpstreamId, Duration)> {
        self.open.values().filter_map(|entry| match entry {
            LeaderEntry::Intent { upstream, order, late_order_ms, .. } => {
                Some((*order, upstream, Duration::from_millis(*late_order_ms)))
            }
            LeaderEntry::Settled { .. } => None,
        })
    }

    pub(super) fn of_engine(&self, engine: &UpstreamId) -> Vec<(RecordId, OrderKind)> {
        let orders = self.open.values().filter_map(|entry| match entry {
            LeaderEntry::Intent { upstream, order, kind, .. } if upstream == engine => {
                Some((*order, kind.clone()))
            }
            _ => None,
        });
        orders.collect()
    }
}
