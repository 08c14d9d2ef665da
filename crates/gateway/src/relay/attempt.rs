//! One attempt to send a request to an engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{AttemptOutcome, Engine, EngineId, NoEngine, VersionKey};
use hgw_http1::{Conn, Framing, Head, Request};
use http::StatusCode;
use tokio::time::Instant;

use crate::attempt_guard::AttemptGuard;
use crate::engine_limits;
use crate::engine_path;
use crate::meter;
use crate::protocol::UpstreamRequest;
use crate::quotas::{self, Charge, NoAllowance};

use super::forward::{ForwardRefusal, NextHop};
use super::identity::AuthError;
use super::open_attempt::{
    EngineAttempt, LateResponse, OpenAttempt, SentRequest, exchange_with_engine,
};
use super::request::RelayedRequest;
use super::silence::{Awaited, report_unreachable};
use super::source::Source;
use super::start::NotStarted;
use super::wait::WaitResult;
use super::withhold::Withheld;

/// A response whose head has been read.
pub(super) struct StartedResponse {
    pub(super) engine: EngineId,
    /// Its software version when the request was sent.
    pub(super) version: VersionKey,
    pub(super) conn: Conn,
    pub(super) head: Head,
    pub(super) source: Source,
}

impl StartedResponse {
    /// The response if it resumes a stream.
    pub(super) fn resuming(
        started: Result<StartedResponse, NotStarted>,
    ) -> Option<StartedResponse> {
        started.ok().filter(|started| is_event_stream(&started.head))
    }
}

/// Whether a body consists of events.
pub(super) fn is_event_stream(head: &Head) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    head.status == StatusCode::OK
        && head.framing != Framing::Length(0)
        && content_type.is_some_and(|t| t.starts_with("text/event-stream"))
}

/// Outcome of one attempt.
pub(super) enum AttemptResult {
    Started(Box<StartedResponse>),
    /// No byte of the request was sent.
    NotSent,
    /// The engine rejected the request without executing it.
    NotRun,
    /// There is no usable response; the engine may have executed the request.
    NoResponse,
    /// The status says that the request has not run, but the engine does not state so; it may have executed the request.
    UnprovenRejection,
    /// Neither an engine nor another node could be chosen.
    NoEngine(NoEngine),
    /// The engine is silent; a retry has been taken from the retry budget. The attempt has been counted.
    Silent(OpenAttempt),
    /// The deadline has passed; the engine may have executed the request.
    TimedOut,
    /// The engine gets as many requests as it takes for this long; no byte of it was sent.
    AtLimit(Duration),
    /// The engine has said meanwhile that it wants no request; no byte of it was sent.
    Unwanted,
    /// Another node that was to forward the request has not done so; it has not run there.
    NotForwarded,
    /// Another node refused the request, which has not run, for a reason that holds everywhere.
    Refused(Box<ForwardRefusal>),
    /// The request may crash engines; no byte of it was sent.
    Withheld(Withheld),
    /// The caller is no longer authorized; no byte of the request was sent.
    Unauthorized(AuthError),
    /// The node stops and sends it no more; no byte of it was sent.
    Stopping,
}

impl AttemptResult {
    pub(super) fn failure_reason(&self) -> Option<&'static str> {
        match self {
            AttemptResult::Started(_)
            | AttemptResult::Refused(_)
            | AttemptResult::Silent(_)
            | AttemptResult::NoEngine(_) => None,
            AttemptResult::NotForwarded => Some("not forwarded"),
            AttemptResult::NotSent => Some("no connection"),
            AttemptResult::NotRun => Some("rejected unrun"),
            AttemptResult::NoResponse => Some("no answer of this request"),
            AttemptResult::UnprovenRejection => Some("rejected, may have run"),
            AttemptResult::TimedOut => Some("time over"),
            AttemptResult::AtLimit(_) => Some("at its limit"),
            AttemptResult::Unwanted => Some("leaves or rests"),
            AttemptResult::Withheld(_) => Some("crashes engines"),
            AttemptResult::Unauthorized(_) => Some("not allowed any more"),
            AttemptResult::Stopping => Some("the node stops"),
        }
    }
}

impl RelayedRequest {
    /// Makes one attempt and logs its failure.
    pub(super) async fn attempt(
        &mut self,
        hop: &NextHop,
        last_event: Option<u64>,
    ) -> AttemptResult {
        let started = Instant::now();
        let result = match hop {
            NextHop::Engine(engine) => match self.send_to_engine(engine, last_event).await {
                Ok(attempt) => self.wait_for_engine(attempt).await,
                Err(result) => result,
            },
            NextHop::Forwarder(addr) => match self.send_to_forwarder(*addr, last_event).await {
                Ok(attempt) => self.wait_for_forward(attempt).await,
                Err(result) => result,
            },
        };
        self.log_if_failed(hop, &result, started.elapsed());
        result
    }

    /// Takes in the response to an attempt that was kept open, and logs its failure.
    pub(super) async fn conclude(&mut self, response: LateResponse) -> AttemptResult {
        let (hop, sent_at) = response.origin();
        let result = match response {
            LateResponse::Engine(attempt, exchanged) => {
                self.sent_at.set(Some(sent_at));
                self.node.record_reachable(&attempt.engine);
                self.conclude_exchange(*attempt, exchanged).await
            }
            LateResponse::EngineRestarted(attempt) => self.conclude_restarted(&attempt),
            LateResponse::Forwarder(attempt, exchanged) => {
                self.sent_at.set(Some(sent_at));
                self.conclude_forward(attempt, exchanged).await
            }
        };
        self.log_if_failed(&hop, &result, sent_at.elapsed());
        result
    }

    fn log_if_failed(&self, hop: &NextHop, result: &AttemptResult, took: Duration) {
        let Some(reason) = result.failure_reason() else { return };
        match hop {
            NextHop::Engine(engine) => self.log_failed_attempt(engine, reason, took),
            NextHop::Forwarder(addr) => self.log_failed_forward(*addr, reason, took),
        }
    }

    /// Connects to an engine and begins to send it the request.
    async fn send_to_engine(
        &mut self,
        engine: &EngineId,
        last_event: Option<u64>,
    ) -> Result<EngineAttempt, AttemptResult> {
        let node = Rc::clone(&self.node);
        let known = node.engine(engine, |e| (e.info.addr, e.version_key()));
        let (addr, version) = known.ok_or(AttemptResult::NotSent)?;
        self.tried_engines.push(engine.clone());
        self.has_outlived = false;
        let tokens = self.prompt().map_or(0, |prompt| prompt.prompt_tokens);
        let guard = AttemptGuard::start(&node, engine, &self.info.id, tokens, self.memory());
        let Some(conn) = self.connect_to_incarnation(engine, addr).await else {
            if self.has_failed_path() {
                // Another node may reach it.
                self.tried_engines.pop();
            }
            return Err(AttemptResult::NotSent);
        };
        let charge = match self.permit_to_send(&guard, version).await {
            Ok(charge) => charge,
            Err(result) => {
                node.put_engine_connection(engine, addr, conn);
                return Err(result);
            }
        };
        let req = self.upstream_request(engine, last_event);
        self.set_may_run(true);
        if let Some(charge) = &charge {
            charge.set_may_have_run(true);
        }
        let sent_at_ms = engine_limits::record_send(&node, &guard);
        let idle = conn.was_used().then(|| conn.idle_since().elapsed());
        Ok(EngineAttempt {
            engine: engine.clone(),
            addr,
            version,
            guard,
            sent: SentRequest::start(exchange_with_engine(&node, conn, req, self.info.id.clone())),
            is_counted: false,
            sent_at_ms,
            idle,
            _charge: charge,
        })
    }

    /// Waits for the response to an attempt, as long as no other way is taken.
    async fn wait_for_engine(&mut self, mut attempt: EngineAttempt) -> AttemptResult {
        let exchange = attempt.sent.exchange.as_mut();
        match self.wait_for_first_byte(&attempt.guard, exchange).await {
            WaitResult::Done(exchanged) => self.conclude_exchange(attempt, exchanged).await,
            WaitResult::EngineRestarted => self.conclude_restarted(&attempt),
            WaitResult::Stalled => {
                let awaited = Awaited::Head { addr: attempt.addr, idle: attempt.idle };
                self.record_silence(&attempt.engine, awaited);
                self.count_execution();
                attempt.is_counted = true;
                AttemptResult::Silent(OpenAttempt::Engine(Box::new(attempt)))
            }
            WaitResult::TimedOut => {
                attempt.guard.record_outcome(AttemptOutcome::Failed);
                self.count_execution();
                AttemptResult::TimedOut
            }
        }
    }

    /// Takes a pooled connection to an engine or opens one; none if that fails.
    pub(super) async fn connect(&self, engine: &EngineId, addr: SocketAddr) -> Option<Conn> {
        let node = &self.node;
        let reusable = node.reusable_connections(self.tolerates_loss());
        let max_idle = node.engine(engine, |e| reusable.max_idle(e))?;
        let reused = node.pool.take(addr, max_idle);
        meter::engine_connection(reused.is_some());
        if reused.is_some() {
            return reused;
        }
        let connected = Conn::connect(addr, node.conn_timeouts());
        let connected = tokio::select! {
            biased;
            connected = self.within_deadline(connected) => connected,
            () = self.wait_until_path_left(engine) => return None,
        };
        match connected {
            WaitResult::Done(Ok(conn)) => Some(conn),
            WaitResult::Done(Err(_)) => {
                engine_path::record_failure(node, engine);
                report_unreachable(node, engine);
                None
            }
            WaitResult::Stalled | WaitResult::EngineRestarted | WaitResult::TimedOut => None,
        }
    }

    /// Checks right before the first byte whether the request may still be sent. If the engine has
    /// named a limit, charges it to that, which may take a moment.
    async fn permit_to_send(
        &self,
        guard: &AttemptGuard,
        version: VersionKey,
    ) -> Result<Option<Charge>, AttemptResult> {
        let rank = self.waiter_rank();
        let charged = quotas::charge_engine(&self.node, guard.engine_key(), rank).await;
        let permit = charged.map_err(|error| {
            let (NoAllowance::QuotaExceeded(wait) | NoAllowance::NoResponse(wait)) = error;
            engine_limits::record_at_limit(&self.node, guard.engine_key(), wait);
            AttemptResult::AtLimit(wait)
        })?;
        self.check_sendable()?;
        let now = self.node.now();
        let is_unwanted = |e: &Engine| !e.accepts_requests() || e.rest_for(true, now).is_some();
        if self.node.engine(guard.engine(), is_unwanted) == Some(true) {
            return Err(AttemptResult::Unwanted);
        }
        let now = self.node.engine(guard.engine(), Engine::version_key);
        if now.is_some_and(|now| now != version) {
            // The engine has started anew meanwhile, with other software.
            return Err(AttemptResult::NotSent);
        }
        Ok(permit)
    }

    /// Checks what may have changed since the request arrived.
    pub(super) fn check_sendable(&self) -> Result<(), AttemptResult> {
        // Choosing and connecting may have used up the time, and the machine may have been
        // suspended: an engine should not work for a caller that has left.
        if !self.has_time_to_send() {
            return Err(AttemptResult::NotSent);
        }
        if self.is_too_late() {
            return Err(AttemptResult::Stopping);
        }
        // Meanwhile another node may have been granted the last attempt.
        if !self.may_make_attempt() {
            return Err(AttemptResult::NoEngine(NoEngine::NoneAvailable));
        }
        self.check_crashes().map_err(AttemptResult::Withheld)?;
        if self.executions() == 0 {
            self.check_authorized().map_err(AttemptResult::Unauthorized)?;
        }
        Ok(())
    }

    /// Returns once connecting to the engine should be abandoned: another node reports that it is unreachable, or this node
    /// has come to reach none.
    pub(super) async fn wait_until_path_left(&self, engine: &EngineId) {
        // No other node took the request.
        let had_failed = self.has_failed_path();
        loop {
            let changed = self.node.reachability_changed.notified();
            let leaves_path =
                if had_failed { !self.may_use_engines() } else { self.has_failed_path() };
            if self.node.is_reported_unreachable(engine) || leaves_path {
                return;
            }
            changed.await;
        }
    }

    fn upstream_request(&self, engine: &EngineId, last_event: Option<u64>) -> Request {
        let upstream = UpstreamRequest {
            engine,
            time_left: self.time_left(),
            priority: self.route.priority,
            last_event: last_event.or(self.info.last_event),
            sender: self.identity.for_upstream(),
        };
        let target = self.head.uri.path_and_query().map_or("/", |t| t.as_str());
        Request {
            method: self.head.method.clone(),
            target: target.to_owned(),
            headers: self.node.protocols.upstreams.request_headers(&self.head, &upstream),
            body: self.body.clone(),
        }
    }
}
