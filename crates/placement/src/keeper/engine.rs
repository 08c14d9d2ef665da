use std::time::Duration;

use hgw_config::{Fencing, Upstream};
use hgw_types::{MemSize, RecordId, Term, Time};
use hgw_wire::upstream::EngineState;
use indexmap::IndexMap;

use crate::{Item, Ledger, Reading};

/// How far the keeper is with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its fencing number has to be raised first, not before this time.
    Fence(Time),
    /// Its state has to be read, asked for after this time.
    Read(Time),
    /// Its memory is counted.
    Counted,
}

/// An item that is to be evicted.
#[derive(Debug, Clone)]
pub(super) struct Drain {
    /// When the placement without it was published.
    pub(super) since: Time,
    /// The order, once it is sent.
    pub(super) order: Option<RecordId>,
}

/// One engine as its keeper sees it.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) ledger: Ledger,
    pub(super) phase: Phase,
    /// Whether it is configured to refuse old fencing numbers.
    fenced: bool,
    /// The operator's bound for late orders; the last one stated where the engine has left the
    /// configuration.
    pub(super) late: Duration,
    /// Whether the configuration still names it for this domain.
    pub(super) configured: bool,
    /// When the read under way was asked for.
    pub(super) asking: Option<Time>,
    pub(super) next_ask: Time,
    /// Reads and orders in a row without an answer.
    pub(super) misses: u32,
    pub(super) lost: bool,
    /// Whether it calls itself leaving.
    pub(super) says_leaving: bool,
    pub(super) drains: IndexMap<Item, Drain>,
    /// No new order before this time, since the last one was refused.
    pub(super) pause: Time,
}

impl Engine {
    pub(super) fn new(now: Time, upstream: &Upstream) -> Engine {
        Engine {
            ledger: Ledger::new(upstream.memory),
            phase: Phase::first(now, upstream.fencing),
            fenced: upstream.fencing == Fencing::Refuses,
            late: Duration::from_millis(upstream.late_order_ms),
            configured: true,
            asking: None,
            next_ask: now,
            misses: 0,
            lost: false,
            says_leaving: false,
            drains: IndexMap::new(),
            pause: now,
        }
    }

    /// Takes over the settings of its upstream.
    pub(super) fn reconfigure(&mut self, now: Time, upstream: &Upstream) {
        self.ledger.set_memory(upstream.memory);
        if upstream.fencing == Fencing::Refuses && !self.fenced {
            self.phase = Phase::Fence(now);
        }
        self.fenced = upstream.fencing == Fencing::Refuses;
        self.late = Duration::from_millis(upstream.late_order_ms);
    }

    /// Whether its memory is counted and it answers.
    pub(super) fn is_counted(&self) -> bool {
        self.configured && !self.lost && self.phase == Phase::Counted
    }

    /// Whether the first read has come or the engine has been given up.
    pub(super) fn is_known(&self) -> bool {
        self.lost || self.phase == Phase::Counted
    }

    /// Whether it holds the item ready and is not about to lose it.
    pub(super) fn serves(&self, item: &Item) -> bool {
        self.is_counted() && self.ledger.is_ready(item) && !self.drains.contains_key(item)
    }

    /// Whether something is under way that the next read may show.
    pub(super) fn is_busy(&self) -> bool {
        self.phase != Phase::Counted || !self.drains.is_empty() || self.ledger.is_unsettled()
    }

    /// Memory that is free once what drains is gone.
    pub(super) fn coming_free(&self) -> MemSize {
        self.ledger.free() + self.drains.keys().map(|i| self.freed_by(i)).sum()
    }

    /// Memory that evicting the item frees: with the last version of a model go its adapters.
    pub(super) fn freed_by(&self, item: &Item) -> MemSize {
        let held = self.ledger.held();
        let versions = held.keys().filter(|i| i.is_model() && i.model() == item.model()).count();
        let goes = |i: &Item| {
            let goes_along = item.is_model() && versions == 1 && i.model() == item.model();
            i == item || (goes_along && !self.drains.contains_key(i))
        };
        held.iter().filter(|(i, _)| goes(i)).map(|(_, h)| h.size).sum()
    }

    /// Withdraws the item; it is evicted once nobody uses it.
    pub(super) fn drain(&mut self, now: Time, item: Item) {
        self.drains.entry(item).or_insert(Drain { since: now, order: None });
    }

    /// An eviction has been answered or given up: it is ordered again only on a later read that
    /// still shows the item.
    pub(super) fn order_over(&mut self, now: Time, order: RecordId) {
        for drain in self.drains.values_mut().filter(|d| d.order == Some(order)) {
            *drain = Drain { since: now, order: None };
        }
    }

    pub(super) fn missed(&mut self, lost_after: u32) {
        self.misses += 1;
        self.lost = self.lost || self.misses >= lost_after;
    }

    /// Takes a state, unless the engine's fencing number must be raised first.
    ///
    /// On an engine that refuses old numbers only a state with this keeper's own number counts: under
    /// an older one (the engine has restarted) a predecessor's order could still grow its memory after
    /// the read, under a newer one this keeper has a successor.
    pub(super) fn read(
        &mut self,
        now: Time,
        asked: Time,
        state: &EngineState,
        fence: Option<Term>,
    ) {
        self.misses = 0;
        if matches!(self.phase, Phase::Read(after) if asked <= after) {
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
        match self.ledger.read(asked, state) {
            Reading::Stale => return,
            Reading::Taken => {}
            Reading::Restarted => self.drains.clear(),
        }
        let held = self.ledger.held();
        self.drains.retain(|item, _| held.contains_key(item));
        self.phase = Phase::Counted;
        self.lost = false;
        self.says_leaving = state.leaving;
    }
}

impl Phase {
    pub(super) fn first(now: Time, fencing: Fencing) -> Phase {
        match fencing {
            Fencing::Refuses => Phase::Fence(now),
            // Asked at `now` or later; the state must be asked for after the claim was read.
            Fencing::Ignores => Phase::Read(now - Duration::from_micros(1)),
        }
    }
}
