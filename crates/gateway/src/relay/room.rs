//! Waits until engines have room for a request.

use std::time::Duration;

use hgw_direct::quota::WaiterRank;
use hgw_direct::{CostWeights, NoEngine, RoomGroup, RoomReason, max_room_wait};
use rand::random;
use tokio::time::{Instant, sleep, timeout_at};

use crate::overload;
use crate::room_queue::RoomTicket;

use super::request::RelayedRequest;

/// Longest random delay before a waiting request is sent. Several nodes are notified of the same room
/// at the same moment; the delay lets the first one report its send to the others.
const MAX_SEND_JITTER: Duration = Duration::from_millis(6);

/// Interval between checks that are made without notification: engines also come to have room as loads
/// and limits become outdated.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Until when a request waits, by what it waits for.
#[derive(Debug, Clone, Copy)]
struct WaitLimits {
    prefill: Option<Instant>,
    slot: Option<Instant>,
}

impl WaitLimits {
    /// Whether the request may wait for anything.
    fn allow_any(&self) -> bool {
        [RoomReason::PrefillBusy, RoomReason::Full].iter().any(|reason| self.of(*reason).is_some())
    }

    fn of(&self, reason: RoomReason) -> Option<Instant> {
        let until = match reason {
            RoomReason::PrefillBusy => self.prefill,
            RoomReason::Full => self.slot,
        };
        until.filter(|until| Instant::now() < *until)
    }
}

impl RelayedRequest {
    /// Waits while all engines are full, or one more prompt would make their streams pause for too
    /// long, and the request can still be in time. Returns whether it waited. Retries do not wait.
    pub(super) async fn wait_for_room(&self) -> bool {
        if !self.tried_engines.is_empty() {
            return false;
        }
        let limits = self.wait_limits();
        if !limits.allow_any() {
            return false;
        }
        let reason = match self.reason_to_wait(&limits) {
            Some((reason, _)) => reason,
            None if limits.of(RoomReason::Full).is_some() && self.goes_behind() => RoomReason::Full,
            None => return false,
        };
        if reason == RoomReason::Full {
            overload::record_pressure(&self.node, &self.service);
        }
        let (group, rank) = (self.room_group(), self.room_rank());
        let ticket = RoomTicket::enter(&self.node, group, rank, reason, self.body.len());
        let Some(ticket) = ticket else { return false };
        self.wait_in_queue(&ticket, &limits, reason).await;
        true
    }

    async fn wait_in_queue(&self, ticket: &RoomTicket, limits: &WaitLimits, reason: RoomReason) {
        let Some(mut until) = limits.of(reason) else { return };
        while Instant::now() < until {
            if ticket.is_displaced() {
                return;
            }
            if ticket.is_first() {
                let Some((reason, until_reason)) = self.reason_to_wait(limits) else { return };
                ticket.set_reason(reason);
                until = until_reason;
            }
            let check_at = until.min(Instant::now() + CHECK_INTERVAL);
            if timeout_at(check_at, ticket.notified()).await.is_ok() {
                let has_more_urgent = ticket.has_more_urgent();
                let min_delay = if has_more_urgent { MAX_SEND_JITTER } else { Duration::ZERO };
                sleep(min_delay + MAX_SEND_JITTER.mul_f64(random::<f64>())).await;
            }
        }
    }

    fn wait_limits(&self) -> WaitLimits {
        let objective = self.route.first_byte_objective;
        let reserve =
            self.route.max_event_gap.map(|gap| gap.mul_f64(CostWeights::default().gap_share));
        let prefill = reserve.map(|r| self.received_at + objective.saturating_sub(r));
        // Loads are known a tenth of a second late, which is most of the time that a plain call may wait.
        let has_queue = self.node.settings.borrow().features.room_queue && self.prompt().is_some();
        let slot = has_queue.then(|| {
            let begin_times = self.node.room_queue.begin_times.borrow();
            let begin_time = begin_times.expected(&self.service, objective);
            let begin_time = begin_time.max(reserve.unwrap_or(Duration::ZERO));
            Instant::now() + max_room_wait(objective, begin_time, self.age(), self.time_left())
        });
        WaitLimits { prefill, slot }
    }

    /// What the request waits for now, and until when; none if it does not wait.
    fn reason_to_wait(&self, limits: &WaitLimits) -> Option<(RoomReason, Instant)> {
        let prefill_until = limits.prefill.unwrap_or(self.received_at);
        let reason = match self.choose_until(prefill_until) {
            Err(NoEngine::PrefillBusy) => RoomReason::PrefillBusy,
            Err(NoEngine::Full(_)) => RoomReason::Full,
            _ => return None,
        };
        Some((reason, limits.of(reason)?))
    }

    /// Whether it has to let another request go first.
    fn goes_behind(&self) -> bool {
        let queue = &self.node.room_queue;
        queue.len() > 0 && queue.goes_behind(&self.room_group(), self.room_rank())
    }

    fn room_group(&self) -> RoomGroup {
        RoomGroup {
            service: self.service.clone(),
            model_ref: self.model_ref().cloned(),
            version: self.version,
        }
    }

    /// Position among the requests that wait for the same engines. Without the queue for slots, those
    /// that wait for prefill are ordered by arrival.
    fn room_rank(&self) -> WaiterRank {
        let rank = self.waiter_rank();
        if self.node.settings.borrow().features.room_queue {
            return rank;
        }
        WaiterRank { deadline: 0, ..rank }
    }
}
