//! The leader's state of one engine.

use std::time::Duration;

use hgw_config::{Fencing, Upstream};
use hgw_types::{MemSize, RecordId, Term, Time};
use hgw_wire::upstream::EngineState;
use indexmap::IndexMap;

use crate::{Item, Ledger, StateOutcome};

/// Progress of taking over an engine after a leader change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its fencing token must be raised, not before this time.
    Fence(Time),
    /// Its state must be read by a request made after this time.
    Read(Time),
    /// Its state is known.
    Known,
}

/// An item that is being drained before its eviction.
#[derive(Debug, Clone)]
pub(super) struct Drain {
    /// When the item was withdrawn from the placement.
    pub(super) since: Time,
    /// The eviction order, once it is sent.
    pub(super) order: Option<RecordId>,
}

/// The leader's state of one engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) ledger: Ledger,
    pub(super) phase: Phase,
    /// Whether it is configured to reject old fencing tokens.
    fenced: bool,
    /// Maximum delay of late orders, as configured. Keeps the last value after the engine is
    /// removed from the configuration.
    pub(super) late_order_bound: Duration,
    /// Whether the configuration lists it in this domain.
    pub(super) configured: bool,
    /// When the pending state read was requested.
    pub(super) pending_read: Option<Time>,
    pub(super) next_read: Time,
    /// Consecutive reads and orders without a response.
    pub(super) consecutive_failures: u32,
    pub(super) unreachable: bool,
    /// Whether it reports itself as leaving.
    pub(super) reports_leaving: bool,
    pub(super) drains: IndexMap<Item, Drain>,
    /// No new orders before this time, since the last one was rejected.
    pub(super) paused_until: Time,
}

impl Engine {
    pub(super) fn new(now: Time, upstream: &Upstream) -> Engine {
        Engine {
            ledger: Ledger::new(upstream.memory),
            phase: Phase::first(now, upstream.fencing),
            fenced: upstream.fencing == Fencing::Refuses,
            late_order_bound: Duration::from_millis(upstream.late_order_ms),
            configured: true,
            pending_read: None,
            next_read: now,
            consecutive_failures: 0,
            unreachable: false,
            reports_leaving: false,
            drains: IndexMap::new(),
            paused_until: now,
        }
    }

    pub(super) fn reconfigure(&mut self, now: Time, upstream: &Upstream) {
        self.ledger.set_memory(upstream.memory);
        if upstream.fencing == Fencing::Refuses && !self.fenced {
            self.phase = Phase::Fence(now);
        }
        self.fenced = upstream.fencing == Fencing::Refuses;
        self.late_order_bound = Duration::from_millis(upstream.late_order_ms);
    }

    /// Whether its state is known and it is reachable.
    pub(super) fn is_available(&self) -> bool {
        self.configured && !self.unreachable && self.phase == Phase::Known
    }

    /// Whether its state is known or it is considered unreachable.
    pub(super) fn is_known(&self) -> bool {
        self.unreachable || self.phase == Phase::Known
    }

    /// Whether the item is ready and not draining.
    pub(super) fn serves(&self, item: &Item) -> bool {
        self.is_available() && self.ledger.is_ready(item) && !self.drains.contains_key(item)
    }

    /// Whether an operation is in progress whose result the next read may show.
    pub(super) fn is_busy(&self) -> bool {
        self.phase != Phase::Known || !self.drains.is_empty() || self.ledger.may_be_loading()
    }

    /// Free memory after all drains complete.
    pub(super) fn free_after_drains(&self) -> MemSize {
        self.ledger.free() + self.drains.keys().map(|i| self.memory_freed_by(i)).sum()
    }

    /// Memory that evicting the item frees. Evicting the last version of a model also evicts its
    /// adapters.
    pub(super) fn memory_freed_by(&self, item: &Item) -> MemSize {
        let loaded = self.ledger.loaded();
        let versions = loaded.keys().filter(|i| i.is_model() && i.model() == item.model()).count();
        let is_freed = |i: &Item| {
            let is_adapter_of_it = item.is_model() && versions == 1 && i.model() == item.model();
            i == item || (is_adapter_of_it && !self.drains.contains_key(i))
        };
        loaded.iter().filter(|(i, _)| is_freed(i)).map(|(_, h)| h.size).sum()
    }

    /// Withdraws the item from the placement; it is evicted once it is unused.
    pub(super) fn drain(&mut self, now: Time, item: Item) {
        self.drains.entry(item).or_insert(Drain { since: now, order: None });
    }

    /// An eviction got a response or was cancelled. It is ordered again only if a later read still
    /// shows the item.
    pub(super) fn finish_eviction(&mut self, now: Time, order: RecordId) {
        for drain in self.drains.values_mut().filter(|d| d.order == Some(order)) {
            *drain = Drain { since: now, order: None };
        }
    }

    pub(super) fn record_failure(&mut self, unreachable_after: u32) {
        self.consecutive_failures += 1;
        self.unreachable = self.unreachable || self.consecutive_failures >= unreachable_after;
    }

    /// Applies a state, unless the engine's fencing token must be raised first.
    ///
    /// On an engine that rejects old tokens, only a state with this leader's own token counts. With
    /// an older token (the engine has restarted), a previous leader's order could still be accepted
    /// after the read. With a newer one, another leader has taken over.
    pub(super) fn read(
        &mut self,
        now: Time,
        requested_at: Time,
        state: &EngineState,
        fence: Option<Term>,
    ) {
        self.consecutive_failures = 0;
        if matches!(self.phase, Phase::Read(after) if requested_at <= after) {
            return;
        }
        if fence.is_some_and(|term| state.fence != term) {
            if !matches!(self.phase, Phase::Fence(_)) {
                self.phase = Phase::Fence(now);
            }
            return;
        }
        if matches!(self.phase, Phase::Fence(_)) {
            return;
        }
        match self.ledger.read(requested_at, state) {
            StateOutcome::Stale => return,
            StateOutcome::Applied => {}
            StateOutcome::Restarted => self.drains.clear(),
        }
        let loaded = self.ledger.loaded();
        self.drains.retain(|item, _| loaded.contains_key(item));
        self.phase = Phase::Known;
        self.unreachable = false;
        self.reports_leaving = state.leaving;
    }
}

impl Phase {
    pub(super) fn first(now: Time, fencing: Fencing) -> Phase {
        match fencing {
            Fencing::Refuses => Phase::Fence(now),
            // The state must be requested after the claim was read, that is at `now` or later.
            Fencing::Ignores => Phase::Read(now - Duration::from_micros(1)),
        }
    }
}
