//! What a node records of the engine list and of single engines.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use hgw_direct::subset::{IdleShare, NodeSeed};
use hgw_direct::{AttemptOutcome, Engine, EngineId, EngineState, EngineStateChange, ListVersion};
use hgw_events::{Event, emit};
use hgw_http1::Conn;

use crate::pool::ReusableConns;
use crate::state::State;

use super::Shared;

/// Maximum number of engines that became ready in one update of the list and are logged one by one.
const MAX_READY_LINES: usize = 20;

/// Source of a change in the engine list.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum ListSource {
    /// Read from the store by this node.
    #[display("store")]
    Store,
    /// Sent by another node.
    #[display("peer")]
    Peer,
    /// Derived by this node from what it already knew.
    #[display("known")]
    Known,
}

impl Shared {
    /// Closes connections to restarted engines and wakes the requests that wait for their
    /// responses.
    pub(crate) fn handle_restarts(&self) {
        let restarted = self.state.borrow_mut().engines.take_restarted();
        for addr in &restarted {
            self.pools().for_each(|pool| pool.forget(*addr));
            let node = &self.settings.borrow().node;
            emit(Event::EngineStartedAnew, &[("node", node), ("addr", addr)]);
        }
        if !restarted.is_empty() {
            self.engine_restarted.notify_waiters();
        }
    }

    /// Records that the engine list is known up to `version`.
    pub(crate) fn record_list_version(&self, version: ListVersion, source: ListSource) {
        let changes = {
            let mut state = self.state.borrow_mut();
            let State { engines, list_changes, list_version, has_engine_list, .. } = &mut *state;
            *has_engine_list = true;
            *list_version = (*list_version).max(Some(version));
            list_changes.update(engines, version.position())
        };
        self.log_list_changes(&changes, version, source);
    }

    /// Logs each engine that is not to be used any more, and a bounded number of new ones: after a
    /// start of all nodes, each engine is new to each node.
    fn log_list_changes(
        &self,
        changes: &[EngineStateChange],
        version: ListVersion,
        source: ListSource,
    ) {
        let node = &self.settings.borrow().node;
        let place = version.position();
        let is_ready = |change: &EngineStateChange| change.state == Some(EngineState::Ready);
        let mut ready = 0;
        for change in changes {
            ready += usize::from(is_ready(change));
            if is_ready(change) && ready > MAX_READY_LINES {
                continue;
            }
            emit(
                Event::EngineStands,
                &[
                    ("node", node),
                    ("upstream", &change.engine),
                    ("standing", change),
                    ("by", &source),
                    ("place", &place),
                ],
            );
        }
        if ready > MAX_READY_LINES {
            emit(
                Event::EnginesListed,
                &[
                    ("node", node),
                    ("count", &(ready - MAX_READY_LINES)),
                    ("by", &source),
                    ("place", &place),
                ],
            );
        }
    }

    /// Records the outcome of a request at an engine.
    pub(crate) fn record_outcome(&self, engine: &EngineId, outcome: AttemptOutcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.engines.get_mut(engine) else { return };
        let Some(health) = known.health.record(now, outcome) else { return };
        let failure_rate = format!("{:.2}", known.health.failure_rate(now));
        let node = &self.settings.borrow().node;
        emit(
            Event::EngineJudged,
            &[
                ("node", node),
                ("upstream", engine),
                ("opinion", &health),
                ("failing", &failure_rate),
            ],
        );
    }

    /// Idle connections that a request may be sent on.
    pub(crate) fn reusable_connections(&self, may_repeat: bool) -> ReusableConns<'_> {
        let allows_long_idle = self.settings.borrow().features.engine_subsets;
        ReusableConns { pool: &self.pool, may_repeat, allows_long_idle, now: self.now() }
    }

    /// Returns a connection to an engine to the pool, if each response on it has named its request.
    pub(crate) fn put_engine_connection(&self, engine: &EngineId, addr: SocketAddr, conn: Conn) {
        let (settings, state) = (self.settings.borrow(), self.state.borrow());
        if !settings.features.engine_subsets {
            self.pool.put(addr, conn);
            return;
        }
        let service = state.engines.get(engine).map(|e| &e.info.service);
        let catalog = state.catalog.as_ref();
        let max_conns = catalog.zip(service).and_then(|(c, s)| Some(c.services.get(s)?.max_conns));
        let seed = NodeSeed::of(&settings.node);
        let share = IdleShare::of(seed, engine, max_conns.unwrap_or(u32::MAX), state.nodes);
        self.pool.put_engine(addr, conn, share);
    }

    /// Whether another node reported the engine unreachable.
    pub(crate) fn is_reported_unreachable(&self, engine: &EngineId) -> bool {
        let now = self.now();
        self.engine(engine, |e| e.health.is_reported_unreachable(now)).unwrap_or(false)
    }

    /// Records that a byte arrived from an engine.
    pub(crate) fn record_response_byte(&self, engine: &EngineId) {
        let now = self.now();
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(engine) {
            engine.last_heard = now;
        }
    }

    /// Records that a silent engine has gone on.
    pub(crate) fn record_reachable(&self, engine: &EngineId) {
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(engine) {
            engine.health.report_reachable();
        }
    }

    /// Discards the time of the engine's last byte after a broken connection.
    pub(crate) fn mark_broken(&self, engine: &EngineId) {
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(engine) {
            engine.last_heard = 0;
        }
    }

    /// Time since the last byte from an engine.
    pub(crate) fn time_since_heard(&self, engine: &EngineId) -> Duration {
        let state = self.state.borrow();
        let last_heard = state.engines.get(engine).map_or(0, |e| e.last_heard);
        Duration::from_millis(self.now().saturating_sub(last_heard))
    }

    pub(crate) fn engine<R>(&self, id: &EngineId, f: impl FnOnce(&Engine) -> R) -> Option<R> {
        self.state.borrow().engines.get(id).map(f)
    }
}
