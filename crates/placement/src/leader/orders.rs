//! Records, sends and retries orders.
//!
//! An order that can increase memory use is sent to an engine that ignores fencing tokens only
//! after its intent was recorded and read back, and only within [`SEND_WINDOW`] of the proposal.
//! The window starts at the proposal, because a leader may read its own record back after another
//! leader has taken over.
//!
//! A retry uses the same order id, and engines execute each id once.

use std::time::Duration;

use hgw_types::{RecordId, Time, UpstreamId};
use hgw_wire::upstream::{Order, OrderKind, OrderOutcome};

use super::settings::successor_wait;
use super::{Leader, SEND_WINDOW};
use crate::{Item, LeaderAction, LeaderEntry, OrderResult, ReserveError};

/// An order of this leader without a final result.
#[derive(Debug)]
pub(super) struct OrderInFlight {
    upstream: UpstreamId,
    kind: OrderKind,
    stage: Stage,
    record: RecordId,
    /// Deadline for sending; `None` if the engine itself rejects the order after a leader change.
    send_by: Option<Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its intent has not been read back yet.
    Recording,
    /// Waits for the response.
    Sent,
    /// Will be retried at this time.
    RetryAt(Time),
}

impl Leader {
    /// Issues an order, after reserving the memory that it can use.
    pub(super) fn issue_order(
        &mut self,
        now: Time,
        engine: &UpstreamId,
        kind: OrderKind,
        out: &mut Vec<LeaderAction>,
    ) -> crate::ledger::Result<RecordId> {
        let id = self.next_id();
        let may_load = Item::loaded_by(&kind).is_some();
        let rejects = self.domain.rejects_old_fences(engine);
        let e = self.engines.get_mut(engine).ok_or(ReserveError::NotRead)?;
        if may_load {
            e.ledger.reserve(id, &kind)?;
        }
        if may_load && !rejects {
            self.record_intent(now, engine, id, id, kind, out);
        } else {
            self.send_unrecorded(now, engine, id, kind, out);
        }
        Ok(id)
    }

    fn send_unrecorded(
        &mut self,
        now: Time,
        engine: &UpstreamId,
        order: RecordId,
        kind: OrderKind,
        out: &mut Vec<LeaderAction>,
    ) {
        let (upstream, stage) = (engine.clone(), Stage::Recording);
        self.orders_in_flight
            .insert(order, OrderInFlight { upstream, kind, stage, record: order, send_by: None });
        self.send(now, order, out);
    }

    /// Retries an order that a previous leader recorded or whose send window has passed. The order
    /// keeps its id. If it needs a record, a new one is written, so that the next leader counts it
    /// from that record.
    pub(super) fn retry_recorded(
        &mut self,
        now: Time,
        engine: &UpstreamId,
        order: RecordId,
        kind: OrderKind,
        out: &mut Vec<LeaderAction>,
    ) {
        if self.domain.rejects_old_fences(engine) {
            self.send_unrecorded(now, engine, order, kind, out);
            return;
        }
        if let Some(e) = self.engines.get_mut(engine) {
            e.ledger.extend(order, now + SEND_WINDOW + e.late_order_bound);
        }
        let record = self.next_id();
        self.record_intent(now, engine, order, record, kind, out);
    }

    fn record_intent(
        &mut self,
        now: Time,
        engine: &UpstreamId,
        order: RecordId,
        record: RecordId,
        kind: OrderKind,
        out: &mut Vec<LeaderAction>,
    ) {
        let Some(e) = self.engines.get(engine) else { return };
        let late_order_ms = u64::try_from(e.late_order_bound.as_millis()).unwrap_or(u64::MAX);
        let (upstream, generation) = (engine.clone(), e.ledger.generation().unwrap_or_default());
        let flight = OrderInFlight {
            upstream: upstream.clone(),
            kind: kind.clone(),
            stage: Stage::Recording,
            record,
            send_by: Some(now + SEND_WINDOW),
        };
        self.orders_in_flight.insert(order, flight);
        let entry = LeaderEntry::Intent { upstream, generation, order, kind, late_order_ms };
        out.push(LeaderAction::Record { id: record, entry });
    }

    /// Finds the order that waits for this record.
    fn recorded_by(&self, record: RecordId) -> Option<RecordId> {
        let is_recorded_by = |f: &OrderInFlight| f.record == record && f.stage == Stage::Recording;
        self.orders_in_flight.iter().find(|(_, f)| is_recorded_by(f)).map(|(order, _)| *order)
    }

    /// Items that orders in flight to the engine load.
    pub(super) fn items_in_flight_to(&self, engine: &UpstreamId) -> impl Iterator<Item = Item> {
        let to_engine = self.orders_in_flight.values().filter(move |f| f.upstream == *engine);
        to_engine.filter_map(|f| Some(Item::loaded_by(&f.kind)?.0))
    }

    /// Whether an order in flight loads the item on the engine.
    pub(super) fn is_load_in_flight(&self, engine: &UpstreamId, item: &Item) -> bool {
        self.items_in_flight_to(engine).any(|i| i == *item)
    }

    fn send(&mut self, now: Time, id: RecordId, out: &mut Vec<LeaderAction>) {
        let (Some(fence), Some(flight)) = (self.term, self.orders_in_flight.get_mut(&id)) else {
            return;
        };
        let send_by = flight.send_by.unwrap_or(now + SEND_WINDOW);
        let may_load = Item::loaded_by(&flight.kind).is_some();
        let engine = self.engines.get(&flight.upstream);
        let reserved = engine.is_some_and(|e| e.ledger.is_open(id));
        if now > send_by || (may_load && !reserved) {
            self.cancel_order(now, id);
            return;
        }
        flight.stage = Stage::Sent;
        if let Some(e) = self.engines.get_mut(&flight.upstream) {
            e.ledger.record_send(id);
        }
        let order = Order { id, fence, kind: flight.kind.clone() };
        out.push(LeaderAction::Order { upstream: flight.upstream.clone(), order, send_by });
    }

    /// Stops sending the order. Copies already sent still count.
    fn cancel_order(&mut self, now: Time, id: RecordId) {
        if let Some(flight) = self.orders_in_flight.shift_remove(&id)
            && let Some(e) = self.engines.get_mut(&flight.upstream)
        {
            e.ledger.cancel(id);
            e.finish_eviction(now, id);
        }
    }

    pub(super) fn apply(
        &mut self,
        now: Time,
        id: RecordId,
        entry: LeaderEntry,
        out: &mut Vec<LeaderAction>,
    ) {
        self.intents.apply(entry);
        self.settle_record.take_if(|record| *record == id);
        if let Some(order) = self.recorded_by(id) {
            self.send(now, order, out);
        }
    }

    pub(super) fn dropped(&mut self, now: Time, id: RecordId) {
        self.settle_record.take_if(|record| *record == id);
        if let Some(order) = self.recorded_by(id) {
            self.cancel_order(now, order);
        }
    }

    pub(super) fn handle_result(&mut self, now: Time, id: RecordId, result: &OrderResult) {
        let Some(flight) = self.orders_in_flight.get_mut(&id) else { return };
        let engine = flight.upstream.clone();
        if flight.kind == OrderKind::Fence {
            self.orders_in_flight.shift_remove(&id);
            self.handle_fence_result(now, &engine, result);
            return;
        }
        flight.stage = Stage::RetryAt(now + self.settings.retry);
        if let Some(e) = self.engines.get_mut(&engine) {
            e.ledger.handle_result(now, id, result, e.late_order_bound);
            match result {
                OrderResult::Answered(outcome) => {
                    if *outcome != OrderOutcome::Done {
                        e.paused_until = now + self.settings.retry;
                    }
                    e.finish_eviction(now, id);
                }
                OrderResult::NotSent | OrderResult::Lost => {
                    e.record_failure(self.settings.unreachable_after)
                }
            }
        }
        if let OrderResult::Answered(_) = result {
            self.orders_in_flight.shift_remove(&id);
        }
        self.read_soon(now, &engine);
    }

    /// Retries orders without a response, if they are still needed and may still be sent.
    pub(super) fn retry_orders(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        let due = |f: &OrderInFlight| matches!(f.stage, Stage::RetryAt(t) if now >= t);
        let due: Vec<RecordId> =
            self.orders_in_flight.iter().filter(|(_, f)| due(f)).map(|(id, _)| *id).collect();
        for id in due {
            if self.is_still_needed(id) {
                self.send(now, id, out);
            } else {
                self.cancel_order(now, id);
            }
        }
    }

    fn is_still_needed(&self, id: RecordId) -> bool {
        let Some(flight) = self.orders_in_flight.get(&id) else { return false };
        let Some(e) = self.engines.get(&flight.upstream).filter(|e| e.is_available()) else {
            return false;
        };
        match Item::loaded_by(&flight.kind) {
            Some((item, _)) => {
                let current = self.domain.is_current(&flight.upstream, &item);
                current && e.ledger.retryable(&item).is_some_and(|(order, _)| order == id)
            }
            None => e.drains.values().any(|d| d.order == Some(id)),
        }
    }

    /// Releases orders that can no longer take effect and records them as settled if their intent
    /// is open.
    ///
    /// An engine removed from the configuration before this term has no ledger and is not read. Its
    /// intents are settled after the successor's wait for the recorded bound; otherwise they would
    /// stay in every snapshot. They count if the engine is added again before that.
    pub(super) fn close_orders(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        self.engines.values_mut().for_each(|e| e.ledger.expire(now));
        if self.settle_record.is_some() || !self.log_up {
            return;
        }
        let is_expired = |order: RecordId, engine: &UpstreamId, late_order_bound: Duration| {
            let Some(e) = self.engines.get(engine) else {
                return now >= self.term_began + successor_wait(late_order_bound);
            };
            !e.ledger.is_open(order) && !self.orders_in_flight.contains_key(&order)
        };
        let expired = self.intents.orders().filter(|(order, engine, late_order_bound)| {
            is_expired(*order, engine, *late_order_bound)
        });
        let orders: Vec<RecordId> = expired.map(|(order, ..)| order).collect();
        if orders.is_empty() {
            return;
        }
        let id = self.next_id();
        self.settle_record = Some(id);
        out.push(LeaderAction::Record { id, entry: LeaderEntry::Settled { orders } });
    }

    /// Number of orders to the engine that are being recorded, sent or retried.
    pub(super) fn in_flight(&self, engine: &UpstreamId) -> usize {
        self.orders_in_flight.values().filter(|f| f.upstream == *engine).count()
    }

    /// Number of loads in the domain that use the weight store or are about to.
    pub(super) fn running_loads(&self) -> usize {
        let recording =
            self.orders_in_flight.values().filter(|f| f.stage == Stage::Recording).count();
        let reachable = self.engines.values().filter(|e| e.configured && !e.unreachable);
        recording + reachable.map(|e| e.ledger.loads_in_progress()).sum::<usize>()
    }
}
