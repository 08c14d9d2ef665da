//! Requests in flight at engines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{
    AttemptOutcome, EngineId, Load, Millis, RequestMemory, SendId, ServiceId, StartTime,
};
use hgw_http1::{Conn, Framing};
use tokio::time::Instant;

use crate::engine_speed::{self, StreamObserver};
use crate::overload;
use crate::peers::Datagram;
use crate::shared::Node;
use crate::token_reservation::TokenReservation;

/// A request in flight at an engine, until dropped.
pub(crate) struct AttemptGuard {
    node: Node,
    engine: EngineId,
    /// Start time of the engine process that the request was sent to.
    started_at: StartTime,
    /// Set until the engine has prefilled the prompt.
    pending_prefill: Option<SendId>,
    /// How the end of the response body is determined; none before its head.
    framing: Option<Framing>,
    /// When the request was sent; before that, when it was handed over to be sent.
    sent_at: Cell<Instant>,
    /// What the stream tells of the engine's speed.
    stream: Cell<StreamObserver>,
    reservation: TokenReservation,
    /// Use of the engine's slots when the response began; none before that, or if it reports no load.
    slot_use: Option<SlotUse>,
    /// When the first byte of the response body arrived.
    writing_since: Cell<Option<Instant>>,
}

/// Use of an engine's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotUse {
    /// At least one is unused.
    Unused,
    Full,
    /// Requests wait for one.
    Queued,
}

impl SlotUse {
    fn of(load: Load) -> SlotUse {
        if load.waiting > 0 {
            SlotUse::Queued
        } else if load.running >= load.slots {
            SlotUse::Full
        } else {
            SlotUse::Unused
        }
    }
}

impl AttemptGuard {
    /// Counts a request as in flight. `tokens` is the length of its prompt, 0 for a service without
    /// models, and `memory` what it needs at the engine.
    pub(crate) fn start(
        node: &Node,
        engine: &EngineId,
        request_id: &str,
        tokens: u32,
        memory: RequestMemory,
    ) -> AttemptGuard {
        let now = node.now();
        let pending_prefill = (tokens > 0).then(|| SendId::of(request_id));
        let mut started_at = StartTime::default();
        if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
            started_at = engine.info.started_at;
            engine.own_requests += 1;
            if let Some(id) = pending_prefill {
                engine.prefill_backlog.add_own(id, tokens, now);
            }
        }
        if let Some(id) = pending_prefill {
            node.peer_socket
                .broadcast(node, &Datagram::Sent(engine.clone(), started_at, id, tokens));
        }
        let reservation = TokenReservation::reserve(node, engine, started_at, request_id, memory);
        AttemptGuard {
            node: Rc::clone(node),
            engine: engine.clone(),
            started_at,
            pending_prefill,
            framing: None,
            sent_at: Cell::new(Instant::now()),
            stream: Cell::default(),
            reservation,
            slot_use: None,
            writing_since: Cell::new(None),
        }
    }

    /// Key of the engine process that the request was sent to.
    pub(crate) fn engine_key(&self) -> EngineKey {
        EngineKey::of(&self.engine, self.started_at)
    }

    pub(crate) fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// Whether the engine has restarted since, which ended this request.
    pub(crate) fn engine_restarted(&self) -> bool {
        self.node
            .engine(&self.engine, |e| self.started_at.is_before(e.info.started_at))
            .unwrap_or(false)
    }

    /// Returns once the engine has restarted, which ended this request.
    pub(crate) async fn wait_for_restart(&self) {
        loop {
            let restarted = self.node.engine_restarted.notified();
            if self.engine_restarted() {
                return;
            }
            restarted.await;
        }
    }

    /// Records the outcome of the request, unless the engine has restarted since.
    pub(crate) fn record_outcome(&self, outcome: AttemptOutcome) {
        if !self.engine_restarted() {
            self.node.record_outcome(&self.engine, outcome);
        }
    }

    /// Returns the connection to the pool, unless the engine has restarted since.
    pub(crate) fn return_connection(&self, conn: Conn) {
        let addr = self.node.engine(&self.engine, |e| e.info.addr);
        if let Some(addr) = addr.filter(|_| !self.engine_restarted()) {
            self.node.put_engine_connection(&self.engine, addr, conn);
        }
    }

    /// Records the load that the engine reports.
    pub(crate) fn record_load(&self, load: Load) {
        if self.engine_restarted() {
            return;
        }
        let now = self.node.now();
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine) {
            engine.reported_load = Some((load, now, engine.own_requests));
            if let Some(percent) = load.work_time_percent {
                engine.speed.record_work_time(percent, now);
            }
        }
    }

    /// How the end of the response body is determined; none before its head.
    pub(crate) fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// How long the engine has been writing the response body; none if it has not begun.
    pub(crate) fn writing_for(&self) -> Option<Duration> {
        self.writing_since.get().map(|since| since.elapsed())
    }

    /// Records that the request is being sent.
    pub(crate) fn record_sent(&self) {
        self.sent_at.set(Instant::now());
    }

    /// Records events that arrived together after this node began to wait for them at `waited_since`.
    pub(crate) fn record_events(
        &self,
        count: u64,
        waited_since: Instant,
        max_gap: Option<Duration>,
    ) {
        let mut stream = self.stream.get();
        stream.record_events(count, waited_since, max_gap);
        self.stream.set(stream);
    }

    /// Records a complete response to a call, which tells the engine's speed if nothing waited there.
    pub(crate) fn record_call(&self) {
        if self.slot_use.is_some_and(|slots| slots != SlotUse::Queued) {
            let took = self.sent_at.get().elapsed();
            engine_speed::record_call(&self.node, self.engine_key(), took);
        }
    }

    /// Records that a byte of the response body has arrived.
    pub(crate) fn record_body_byte(&self) {
        self.node.record_response_byte(&self.engine);
        if self.writing_since.get().is_none() {
            self.writing_since.set(Some(Instant::now()));
        }
    }

    /// Records that the response begins, which means that the engine has prefilled the prompt.
    pub(crate) fn record_response_start(&mut self, load: Option<Load>, framing: Framing) {
        self.framing = Some(framing);
        self.slot_use = load.map(SlotUse::of);
        self.record_begin_time();
        let Some(id) = self.pending_prefill.take() else { return };
        let load = load.map(|load| (load.running, load.waiting));
        self.node.peer_socket.broadcast(
            &self.node,
            &Datagram::ResponseStarted(self.engine.clone(), self.started_at, id, load),
        );
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let Some(engine) = state.engines.get_mut(&self.engine) else { return };
        if let Some((tokens, took)) = engine.prefill_backlog.finish(id, now) {
            engine.prefill_rate.record(tokens, took);
        }
        drop(state);
        self.node.room_queue.notify_room();
    }

    /// Records how long the engine took to begin the response, unless no slot was left.
    fn record_begin_time(&self) {
        if self.is_full() != Some(false) {
            return;
        }
        if let Some(service) = self.service() {
            let took = self.sent_at.get().elapsed().as_millis() as Millis;
            self.node.room_queue.begin_times.borrow_mut().record(&service, took);
        }
    }

    /// Records how many tokens of output have arrived.
    pub(crate) fn record_output(&self, tokens: u32) {
        self.reservation.record_output(tokens);
    }

    /// Records that the engine has completed the request, if its response had begun.
    fn record_completion(&self) {
        if let (Some(is_full), Some(service)) = (self.is_full(), self.service()) {
            overload::record_completion(
                &self.node,
                &service,
                self.sent_at.get().elapsed(),
                is_full,
            );
        }
    }

    /// Whether the engine had no unused slot when the response began.
    fn is_full(&self) -> Option<bool> {
        self.slot_use.map(|slots| slots != SlotUse::Unused)
    }

    fn service(&self) -> Option<ServiceId> {
        self.node.engine(&self.engine, |e| e.info.service.clone())
    }

    /// Records the mean time between the events of a complete response.
    pub(crate) fn record_event_interval(&self, mean_gap: Duration) {
        if self.engine_restarted() {
            return;
        }
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine) {
            engine.record_event_interval(mean_gap.as_secs_f64() * 1_000.0);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record_completion();
        let now = self.node.now();
        let pending_prefill = self.pending_prefill.take();
        engine_speed::record(&self.node, self.engine_key(), self.stream.get().sums());
        if self.engine_restarted() {
            return;
        }
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine) {
            engine.own_requests = engine.own_requests.saturating_sub(1);
            if let Some(id) = pending_prefill {
                engine.prefill_backlog.finish(id, now);
            }
        }
        if let Some(id) = pending_prefill {
            self.node
                .peer_socket
                .broadcast(&self.node, &Datagram::Ended(self.engine.clone(), self.started_at, id));
        }
        self.node.room_queue.notify_room();
    }
}
