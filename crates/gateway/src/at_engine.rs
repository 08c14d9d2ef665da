use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{AttemptOutcome, EngineId, Load, SendId, StartTime};
use hgw_http1::Conn;

use crate::peers::Word;
use crate::shared::Node;

/// A request that counts as being at an engine, until this is dropped.
pub(crate) struct AtEngine {
    node: Node,
    engine: EngineId,
    /// The engine's start that it was sent to.
    start: StartTime,
    /// The request, while the engine has not read its prompt.
    unread: Option<SendId>,
}

impl AtEngine {
    /// A request with a prompt of so many tokens, none where the service has no models, goes there.
    pub(crate) fn begin(node: &Node, engine: &EngineId, request: &str, tokens: u32) -> AtEngine {
        let now = node.now();
        let unread = (tokens > 0).then(|| SendId::of(request));
        let mut start = StartTime::default();
        if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
            start = engine.info.started_at;
            engine.own_requests += 1;
            if let Some(id) = unread {
                engine.prefill_backlog.add_own(id, tokens, now);
            }
        }
        if let Some(id) = unread {
            node.sends.tell(node, &Word::Sent(engine.clone(), start, id, tokens));
        }
        AtEngine { node: Rc::clone(node), engine: engine.clone(), start, unread }
    }

    /// The engine.
    pub(crate) fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// Whether the engine has started anew since: what it ran then has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.node.engine(&self.engine, |e| self.start.is_before(e.info.started_at)).unwrap_or(false)
    }

    /// Takes in what became of the request, unless the engine has started anew since.
    pub(crate) fn saw(&self, verdict: AttemptOutcome) {
        if !self.has_ended() {
            self.node.saw(&self.engine, verdict);
        }
    }

    /// Keeps a connection whose answer was whole, unless the engine has started anew since.
    pub(crate) fn keep(&self, conn: Conn) {
        let addr = self.node.engine(&self.engine, |e| e.info.addr);
        if let Some(addr) = addr.filter(|_| !self.has_ended()) {
            self.node.pool.put(addr, conn);
        }
    }

    /// The engine tells its load.
    pub(crate) fn tells(&self, load: Load) {
        if self.has_ended() {
            return;
        }
        let now = self.node.now();
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine) {
            engine.reported_load = Some((load, now, engine.own_requests));
        }
    }

    /// The answer begins: the engine has read the prompt.
    pub(crate) fn answers(&mut self, load: Option<Load>) {
        let Some(id) = self.unread.take() else { return };
        let load = load.map(|load| (load.running, load.waiting));
        self.node.sends.tell(&self.node, &Word::Answers(self.engine.clone(), self.start, id, load));
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let Some(engine) = state.engines.get_mut(&self.engine) else { return };
        if let Some((tokens, took)) = engine.prefill_backlog.finish(id, now) {
            engine.prefill_rate.record(tokens, took);
        }
        drop(state);
        self.node.turns.next.notify_waiters();
    }

    /// Its answer was whole, with this mean time between its events.
    pub(crate) fn saw_events(&self, mean: Duration) {
        if self.has_ended() {
            return;
        }
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine) {
            engine.record_event_interval(mean.as_secs_f64() * 1_000.0);
        }
    }
}

impl Drop for AtEngine {
    fn drop(&mut self) {
        let now = self.node.now();
        let unread = self.unread.take();
        if self.has_ended() {
            return;
        }
        if let Some(engine) = self.node.state.borrow_mut().engines.get_mut(&self.engine) {
            engine.own_requests = engine.own_requests.saturating_sub(1);
            if let Some(id) = unread {
                engine.prefill_backlog.finish(id, now);
            }
        }
        if let Some(id) = unread {
            self.node.sends.tell(&self.node, &Word::Ended(self.engine.clone(), self.start, id));
            self.node.turns.next.notify_waiters();
        }
    }
}
