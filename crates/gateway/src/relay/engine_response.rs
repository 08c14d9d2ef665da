//! Takes in what comes of an attempt at an engine: the head of its response, or its failure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{AttemptOutcome, EngineId};
use hgw_http1::{BodyDecoder, Conn, Error, Head};
use http::StatusCode;
use tokio::time::timeout;

use crate::brittle;
use crate::engine_limits;
use crate::engine_notices;
use crate::engine_path;
use crate::meter;
use crate::overload;
use crate::protocol::ResponseInfo;
use crate::response::promises_not_run;

use super::attempt::{AttemptResult, StartedResponse};
use super::open_attempt::{EngineAttempt, EngineHead, Exchanged};
use super::request::RelayedRequest;
use super::source::Source;

/// Largest response of an engine that has not run the request.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// Longest wait for the rest of such a response, which is read only to use the connection again. Meanwhile the request
/// could go to another engine.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(100);

impl RelayedRequest {
    pub(super) fn conclude_restarted(&mut self, attempt: &EngineAttempt) -> AttemptResult {
        self.count_unless(attempt.is_counted);
        self.record_restarted_engine(&attempt.guard);
        AttemptResult::NoResponse
    }

    pub(super) async fn conclude_exchange(
        &mut self,
        attempt: EngineAttempt,
        (conn, head): Exchanged<EngineHead>,
    ) -> AttemptResult {
        let node = Rc::clone(&self.node);
        match head {
            Ok((head, info)) => {
                node.record_response_byte(&attempt.engine);
                self.record_reached(&attempt.engine, attempt.addr, attempt.idle);
                let (guard, sent_at) = (&attempt.guard, attempt.sent_at_ms);
                engine_limits::observe(&node, guard, &info, sent_at);
                brittle::observe(&node, guard, &info, sent_at);
                engine_notices::observe(&node, guard, &info, &self.info.id, head.status);
                self.handle_response_head(attempt, conn, head, info).await
            }
            Err(e) => {
                self.log_if_malformed(&attempt.engine, &e);
                attempt.guard.record_outcome(failure_outcome(&e));
                node.mark_broken(&attempt.engine);
                // What is no response has come from the engine as well.
                if e.is_malformed() {
                    self.record_reached(&attempt.engine, attempt.addr, attempt.idle);
                } else {
                    self.record_lost(&attempt.engine, attempt.addr, attempt.idle);
                }
                self.count_unless(attempt.is_counted);
                self.investigate(&attempt.guard).await;
                AttemptResult::NoResponse
            }
        }
    }

    /// Records that bytes have come from the engine, on a connection that had been idle for this time, or on a new one.
    pub(super) fn record_reached(
        &self,
        engine: &EngineId,
        addr: SocketAddr,
        idle: Option<Duration>,
    ) {
        match idle {
            None => engine_path::record_reached(&self.node, engine),
            Some(idle) => self.node.pool.record_response(addr, idle),
        }
    }

    /// Records that such a connection has broken without a response.
    pub(super) fn record_lost(&self, engine: &EngineId, addr: SocketAddr, idle: Option<Duration>) {
        match idle {
            None => engine_path::record_failure(&self.node, engine),
            Some(idle) => {
                self.node.pool.record_loss(addr, idle, self.node.now());
                engine_path::start_check_unless_proven(&self.node, &self.service);
            }
        }
    }

    async fn handle_response_head(
        &mut self,
        attempt: EngineAttempt,
        mut conn: Conn,
        head: Head,
        info: ResponseInfo,
    ) -> AttemptResult {
        let EngineAttempt { engine, version, mut guard, is_counted, .. } = attempt;
        if let Some(reason) = &info.ignored_load {
            meter::ignored_figure("X-Load", reason);
        }
        if let Some(load) = info.load {
            guard.record_load(load);
        }
        if info.is_misdirected {
            self.correct_engine_list(&engine, &info);
        }
        if info.proves_not_run(&engine) {
            self.rejected += 1;
            overload::record_pressure(&self.node, &self.service);
            self.discount_if(is_counted);
            self.set_may_run(false);
            if !info.is_misdirected && info.notices.rest.is_none() {
                guard.record_outcome(AttemptOutcome::Rejected);
            }
            let skipped = conn.skip_body(BodyDecoder::new(head.framing), MAX_REJECTION_BYTES);
            match timeout(MAX_REJECTION_TIME, skipped).await {
                // Of one that names no request a copy may follow, which would be taken for the next response.
                Ok(Ok(())) if info.id.is_none() => {}
                Ok(Ok(())) => guard.return_connection(conn),
                Ok(Err(e)) => self.log_if_malformed(&engine, &e),
                // The connection is closed.
                Err(_) => {}
            }
            return AttemptResult::NotRun;
        }
        self.count_unless(is_counted);
        // Without an id the response may belong to another request; a success without a signature
        // does not come from the engine.
        let is_ours = info.id.is_some();
        if !is_ours || (head.status.is_success() && !info.is_signed) {
            guard.record_outcome(AttemptOutcome::Failed);
            return AttemptResult::NoResponse;
        }
        if self.would_promise_falsely(head.status) {
            guard.record_outcome(AttemptOutcome::Failed);
            return AttemptResult::UnprovenRejection;
        }
        guard.record_response_start(info.load, head.framing);
        let source = Source::Engine(guard);
        AttemptResult::Started(Box::new(StartedResponse { engine, version, conn, head, source }))
    }

    /// Whether the caller would take this status of a request that may have run for the promise that it has not. A request
    /// that may be repeated loses nothing by it.
    pub(super) fn would_promise_falsely(&self, status: StatusCode) -> bool {
        promises_not_run(status) && !self.route.kind.may_repeat()
    }

    /// Corrects the engine list: removes the engine if another one answered at its address, or else
    /// the model that it does not have.
    fn correct_engine_list(&mut self, engine: &EngineId, info: &ResponseInfo) {
        let stale = engine.clone();
        let model_ref = self.model_ref().cloned();
        let mut state = self.node.state.borrow_mut();
        if info.engine.as_ref().is_some_and(|answered| answered != engine) {
            let position = state.engines.get(engine).map(|e| e.info.position).unwrap_or_default();
            state.engines.remove(engine, position);
            return;
        }
        let (Some(model_ref), Some(engine)) = (&model_ref, state.engines.get_mut(engine)) else {
            return;
        };
        engine.remove_loaded(model_ref);
        drop(state);
        self.stale_engine = Some(stale);
    }
}

/// Whether an engine that has run a request responds with a failure of its own.
pub(super) fn is_engine_failure(status: StatusCode) -> bool {
    status.is_server_error() || promises_not_run(status)
}

/// What a failed exchange with an engine says of it.
fn failure_outcome(error: &Error) -> AttemptOutcome {
    match error {
        Error::Connect { .. } => AttemptOutcome::Unreachable,
        Error::Io(_)
        | Error::Incomplete
        | Error::Stalled { .. }
        | Error::Malformed { .. }
        | Error::TooLarge { .. } => AttemptOutcome::Failed,
    }
}
