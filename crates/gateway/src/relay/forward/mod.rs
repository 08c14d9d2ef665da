//! Sends a request by way of another node while this one reaches no engine for it.

mod response;

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hgw_direct::{EngineId, GrantId, NoEngine};
use hgw_events::{Event, emit};
use hgw_http1::{Head, Request, end_to_end_headers};
use rand::random;
use tokio::time::{Instant, sleep_until};

use crate::meter;
use crate::peers::{self, AttemptGrant, FORWARDED, ForwardedRequest};

use super::attempt::AttemptResult;
use super::open_attempt::{
    Exchanged, ForwardAttempt, OpenAttempt, SentRequest, exchange_with_forwarder,
};
use super::request::RelayedRequest;
use super::source::ForwardGuard;
use super::wait::{ExceededLimit, Silent, WaitResult};

/// Nodes by way of which one request is tried.
const MAX_FORWARDS: usize = 4;

/// Time that a node has, beyond what it waits for an engine itself, before it counts as unresponsive.
const FORWARD_MARGIN: Duration = Duration::from_millis(400);

/// On what ground the attempts of another node are counted.
#[derive(Debug, Clone, Copy, Display)]
enum CountedBy {
    /// Its response says how many it has made.
    #[display("response")]
    Response,
    /// Nothing has come from it: all that it was granted.
    #[display("silence")]
    Silence,
    /// The connection to it has broken: all that it was granted.
    #[display("broken")]
    Loss,
}

/// Where a request goes next.
pub(super) enum NextHop {
    Engine(EngineId),
    /// Peer address of a node that reaches engines.
    Forwarder(SocketAddr),
}

/// The response of another node that refused a request for a reason that holds everywhere.
pub(super) struct ForwardRefusal {
    head: Head,
    body: Bytes,
    reason: String,
}

impl RelayedRequest {
    /// Chooses an engine, or another node if this one reaches none that could run the request.
    pub(super) async fn next_hop(&mut self) -> Result<NextHop, NoEngine> {
        if let Some(addr) = self.choose_forwarder().await {
            return Ok(NextHop::Forwarder(addr));
        }
        if !self.may_use_engines() {
            return Err(NoEngine::NoneAvailable);
        }
        match self.choose_engine().await {
            Ok(choice) => Ok(NextHop::Engine(choice.engine)),
            Err(no_engine) => {
                let forwarder = self.choose_forwarder().await.map(NextHop::Forwarder);
                forwarder.ok_or(no_engine)
            }
        }
    }

    /// Whether this node reaches no engine of the service.
    pub(super) fn has_failed_path(&self) -> bool {
        self.node.engine_path.has_failed(&self.service)
    }

    /// Whether the request may be sent to an engine if it goes by way of no other node. While the path has failed it may
    /// only if engines are probably all silent for a moment, and no attempt is open at one of them: a second one would be
    /// no better.
    pub(super) fn may_use_engines(&self) -> bool {
        if !self.has_failed_path() {
            return true;
        }
        !self.is_forwarded
            && self.silent_attempts == 0
            && !self.was_refused_elsewhere
            && self.node.engine_path.may_carry(&self.service, self.node.now())
    }

    /// Whether the request should go by way of another node.
    pub(super) fn should_forward(&self) -> bool {
        if self.is_forwarded || self.tried_forwarders.len() >= MAX_FORWARDS {
            return false;
        }
        let (now, forwarders) = (self.node.now(), self.node.forwarders.borrow());
        (self.has_failed_path() || self.is_unreachable())
            && !forwarders.is_hopeless(&self.service, self.model_ref(), now)
    }

    async fn choose_forwarder(&self) -> Option<SocketAddr> {
        if !self.should_forward() || !self.has_time_to_send() {
            return None;
        }
        peers::find_forwarders(&self.node, &self.service).await;
        self.known_forwarder()
    }

    fn known_forwarder(&self) -> Option<SocketAddr> {
        let domain = &self.node.settings.borrow().domain;
        let forwarders = self.node.forwarders.borrow();
        let tried = &self.tried_forwarders;
        forwarders.choose(&self.service, domain, tried, self.node.now(), random)
    }

    /// Whether the request can go another way than to the engine that it was sent to.
    pub(super) fn has_alternative(&self) -> bool {
        if self.should_forward() {
            return self.known_forwarder().is_some();
        }
        !self.has_failed_path() && self.choose_replacement().is_ok()
    }

    /// Connects to another node and begins to send it the request.
    pub(super) async fn send_to_forwarder(
        &mut self,
        addr: SocketAddr,
        last_event: Option<u64>,
    ) -> Result<ForwardAttempt, AttemptResult> {
        self.tried_forwarders.push(addr);
        let mut guard = ForwardGuard::start(&self.node, addr, &self.service);
        let connected = self.node.pool.get(addr, self.node.conn_timeouts());
        let WaitResult::Done(Ok(conn)) = self.within_deadline(connected).await else {
            guard.record_refused();
            return Err(AttemptResult::NotForwarded);
        };
        if let Err(result) = self.check_sendable() {
            guard.return_connection(conn);
            return Err(result);
        }
        let executions = self.executions();
        let grant = guard.grant_attempt(&self.attempts);
        let req = self.forwarded_request(last_event, executions, grant);
        self.record_forwarded();
        let sent = SentRequest::start(exchange_with_forwarder(conn, req));
        Ok(ForwardAttempt { guard, sent })
    }

    /// Waits for the response to an attempt, as long as no other way is taken.
    pub(super) async fn wait_for_forward(&mut self, mut attempt: ForwardAttempt) -> AttemptResult {
        let max_wait = self.max_first_byte_wait();
        let addr = attempt.guard.addr;
        match self.wait_for_forwarder(addr, max_wait, attempt.sent.exchange.as_mut()).await {
            WaitResult::Done(exchanged) => self.conclude_forward(attempt, exchanged).await,
            WaitResult::Stalled => {
                attempt.guard.record_refused();
                self.log_forward_counted(&attempt.guard, CountedBy::Silence);
                AttemptResult::Silent(OpenAttempt::Forwarder(attempt))
            }
            WaitResult::TimedOut | WaitResult::EngineRestarted => {
                self.log_forward_counted(&attempt.guard, CountedBy::Silence);
                AttemptResult::TimedOut
            }
        }
    }

    pub(super) async fn conclude_forward(
        &mut self,
        attempt: ForwardAttempt,
        (conn, head): Exchanged<Head>,
    ) -> AttemptResult {
        match head {
            Ok(head) => self.handle_forwarder(attempt, conn, head).await,
            Err(_) => {
                attempt.guard.record_refused();
                self.log_forward_counted(&attempt.guard, CountedBy::Loss);
                AttemptResult::NoResponse
            }
        }
    }

    fn forwarded_request(
        &self,
        last_event: Option<u64>,
        executions: u32,
        grant: GrantId,
    ) -> Request {
        let from = self.node.settings.borrow().peer_addr;
        let forwarded = ForwardedRequest {
            age_ms: self.age().as_millis() as u64,
            service: self.service.clone(),
            executions: self.route.max_attempts.saturating_sub(1),
            grant: Some(AttemptGrant { id: grant, from, executions }),
            rejected: self.rejected,
            tried_engines: self.tried_engines.clone(),
            last_event: last_event.or(self.info.last_event),
            version: self.version,
            catalog_version: self.node.catalog_version(),
            known_catalog: Some(self.node.known_catalog()),
        };
        let mut headers = end_to_end_headers(&self.head.headers, &[]);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.insert(FORWARDED, forwarded.to_header());
        let target = self.head.uri.path_and_query().map_or("/", |t| t.as_str());
        Request {
            method: self.head.method.clone(),
            target: target.to_owned(),
            headers,
            body: self.body.clone(),
        }
    }

    /// Waits for another node until it has been silent for longer than an engine may be there, if the request may go
    /// another way.
    pub(super) async fn wait_for_forwarder<F: Future + ?Sized>(
        &self,
        addr: SocketAddr,
        max_silence: Option<Duration>,
        mut future: Pin<&mut F>,
    ) -> WaitResult<F::Output> {
        let Some(max_silence) = max_silence else { return self.within_deadline(future).await };
        let limit = max_silence + FORWARD_MARGIN;
        let silent_at = (Instant::now() + limit).min(self.deadline_at);
        tokio::select! {
            biased;
            done = &mut future => return WaitResult::Done(done),
            () = sleep_until(silent_at) => {}
        }
        if Instant::now() < self.deadline_at && self.has_alternative() && self.take_retry().await {
            self.log_silent_forwarder(addr, ExceededLimit { of: Silent::Forwarder, limit });
            return WaitResult::Stalled;
        }
        self.within_deadline(future).await
    }

    /// Logs what the count of attempts is as another node has responded, or is not waited for.
    fn log_forward_counted(&self, guard: &ForwardGuard, by: CountedBy) {
        emit(
            Event::ForwardCounted,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("peer", &guard.addr),
                ("grant", &guard.grant_id()),
                ("by", &by),
                ("runs", &self.executions()),
            ],
        );
    }

    pub(super) fn log_failed_forward(
        &self,
        addr: SocketAddr,
        reason: &'static str,
        took: Duration,
    ) {
        meter::attempt_failed(reason);
        emit(
            Event::ForwardFailed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("peer", &addr),
                ("why", &reason),
                ("ms", &took.as_millis()),
                ("left_ms", &self.time_left().as_millis()),
                ("runs", &self.executions()),
            ],
        );
    }
}
