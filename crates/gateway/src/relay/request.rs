//! A caller's request while it is served.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::quota::WaiterRank;
use hgw_direct::{
    CrashSubject, Deadline, DigestedParts, EngineId, FailureCause, MIN_TIME_TO_SEND, Millis,
    ModelRef, Prompt, RankedSubject, RequestDigest, RequestMemory, Route, ServiceId, VersionKey,
    crash_subjects,
};
use http::request::Parts;
use tokio::time::Instant;

use crate::attempt_grants::RequestAttempts;
use crate::clock::boot_time;
use crate::held_bytes::Reservation;
use crate::meter::{self, SecondAttempt};
use crate::protocol::RequestInfo;
use crate::quotas::{self, Charge, NoAllowance};
use crate::shared::Node;
use crate::shutdown::ActiveRequest;

use super::forwarded::{ForwardedSlot, GrantedAttempts};
use super::identity::Identity;

/// Rejections by engines after which a request is still retried.
pub(super) const MAX_REJECTED: u32 = 2;

/// Engines at their limits that are skipped for one request.
const MAX_AT_LIMIT: u32 = 4;

/// Unreachable engines that are skipped for one request.
const MAX_UNREACHED: u32 = 6;

/// Retry delay after engines rejected a request and no other engine is left.
pub(super) const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Share of the route's objective that a request waits for an allowance; the rest is for the
/// engine.
const ALLOWANCE_WAIT_SHARE: f64 = 0.5;

/// The digest of a request.
fn digest(head: &Parts, body: &Bytes, identity: &Identity) -> RequestDigest {
    let host = head.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    RequestDigest::of(&DigestedParts {
        method: head.method.as_str(),
        host: &host.or(head.uri.host()).unwrap_or_default().to_ascii_lowercase(),
        target: head.uri.path_and_query().map_or("/", |target| target.as_str()),
        customer: identity.customer.as_ref(),
        body,
    })
}

pub(super) struct RelayedRequest {
    pub(super) node: Node,
    /// Counts the request as active; none once its response has taken that over.
    pub(super) active: Option<ActiveRequest>,
    /// When the last attempt was sent.
    pub(super) sent_at: Cell<Option<Instant>>,
    /// What the failure was put down to after which a second attempt is being made.
    pub(super) second_attempt: Option<FailureCause>,
    /// Room for its body.
    _held_body: Reservation,
    /// Room for its response, if that is buffered.
    pub(super) held_response: Option<Reservation>,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) info: RequestInfo,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) identity: Identity,
    /// Identifies the same request in other attempts of the caller.
    pub(super) digest: RequestDigest,
    /// What may crash engines in it.
    pub(super) subjects: Vec<RankedSubject>,
    /// The part that it tries while others with it are withheld.
    pub(super) trial: Option<CrashSubject>,
    /// Whether the last engine that wrote to it had done so for long enough not to be crashed by it.
    pub(super) has_outlived: bool,
    /// When the request head had been read.
    pub(super) received_at: Instant,
    /// The same by the boot clock, which also runs while the machine is suspended.
    received_at_boot: Duration,
    deadline: Deadline,
    /// When the deadline passes, unless the machine is suspended.
    pub(super) deadline_at: Instant,
    pub(super) tried_engines: Vec<EngineId>,
    /// Attempts that an engine may have executed.
    pub(super) attempts: Rc<RequestAttempts>,
    /// Attempts at silent engines that are kept open until another one responds.
    pub(super) silent_attempts: usize,
    /// Attempts that an engine rejected.
    pub(super) rejected: u32,
    /// Attempts that did not reach an engine.
    pub(super) unreached: u32,
    /// Attempts at engines that were at their limits.
    at_limit: u32,
    /// Whether another node received it from the caller and forwarded it.
    pub(super) is_forwarded: bool,
    /// Attempts that an engine may have executed before it was forwarded.
    pub(super) executions_elsewhere: u32,
    /// Attempts that the node which forwarded it lets this one make; none if this node received it.
    pub(super) granted: Option<GrantedAttempts>,
    /// Keeps the place of a forwarded request.
    pub(super) forwarded_slot: Option<ForwardedSlot>,
    /// Nodes that it was forwarded to.
    pub(super) tried_forwarders: Vec<SocketAddr>,
    /// Whether one of them refused it and may reach engines.
    pub(super) was_refused_elsewhere: bool,
    /// How many of them reach no engine that could run it.
    pub(super) hopeless_forwards: usize,
    /// Software version that began the stream, at which alone it may go on.
    pub(super) version: Option<VersionKey>,
    /// An engine that does not have the model that it was listed with.
    pub(super) stale_engine: Option<EngineId>,
    /// Whether engines admit it before other requests of its service.
    pub(super) has_precedence: bool,
    /// Tokens of output in one event; at least one if that is unknown.
    pub(super) tokens_per_event: u32,
    /// Time spent waiting for room at engines.
    pub(super) room_wait: Duration,
    /// The charge to the customer's limit.
    pub(super) charge: Option<Charge>,
    /// Whether the outcome has been logged.
    pub(super) is_logged: Cell<bool>,
}

impl Drop for RelayedRequest {
    fn drop(&mut self) {
        if self.second_attempt.is_some() {
            meter::second_attempt(&self.route, SecondAttempt::NoResponse);
        }
        if !self.is_logged.get() {
            self.log_caller_left();
        }
    }
}

impl RelayedRequest {
    #[expect(clippy::too_many_arguments, reason = "constructor with a single caller")]
    pub(super) fn new(
        node: &Node,
        active: ActiveRequest,
        head: Parts,
        (body, held_body): (Bytes, Reservation),
        info: RequestInfo,
        route: Route,
        service: ServiceId,
        identity: Identity,
        received_at: Instant,
    ) -> RelayedRequest {
        let digest = digest(&head, &body, &identity);
        let shared_parts = info.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
        let subjects = crash_subjects(digest, shared_parts);
        let timeout = info.deadline.map_or(route.timeout, |d| d.min(route.timeout));
        let attempts = RequestAttempts::new(info.id.clone(), route.max_attempts, 0);
        let attempts = Rc::new(attempts);
        let mut request = RelayedRequest {
            node: Rc::clone(node),
            active: Some(active),
            sent_at: Cell::new(None),
            second_attempt: None,
            _held_body: held_body,
            held_response: None,
            head,
            body,
            info,
            route,
            service,
            identity,
            digest,
            subjects,
            trial: None,
            has_outlived: false,
            received_at,
            received_at_boot: boot_time().saturating_sub(received_at.elapsed()),
            deadline: Deadline { timeout },
            deadline_at: received_at + timeout,
            tried_engines: Vec::new(),
            attempts,
            silent_attempts: 0,
            rejected: 0,
            unreached: 0,
            at_limit: 0,
            is_forwarded: false,
            executions_elsewhere: 0,
            granted: None,
            forwarded_slot: None,
            tried_forwarders: Vec::new(),
            was_refused_elsewhere: false,
            hopeless_forwards: 0,
            version: None,
            stale_engine: None,
            has_precedence: false,
            tokens_per_event: 1,
            room_wait: Duration::ZERO,
            charge: None,
            is_logged: Cell::new(false),
        };
        if let Some(catalog) = node.state.borrow().catalog.clone() {
            request.has_precedence =
                catalog.has_less_urgent(&request.service, request.route.priority);
            let service = catalog.services.get(&request.service);
            let tokens = service.and_then(|service| service.pool.as_ref()?.tokens_per_event);
            request.tokens_per_event = tokens.unwrap_or(1);
        }
        request
    }

    /// Charges the request to its customer's limit.
    pub(super) async fn charge_quota(&mut self) -> Result<(), NoAllowance> {
        if self.is_forwarded {
            // The node that received it has charged it.
            return Ok(());
        }
        let Some(customer) = self.identity.customer.clone() else { return Ok(()) };
        let max_wait = self.route.first_byte_objective.mul_f64(ALLOWANCE_WAIT_SHARE);
        self.charge =
            quotas::charge_customer(&self.node, &customer, self.info.tokens, max_wait).await?;
        Ok(())
    }

    /// Counts the request for the retry budget and the demand for its model.
    ///
    /// A forwarded request is counted by the node that received it.
    pub(super) fn count_request(&self) {
        if self.is_forwarded {
            return;
        }
        let (now, limits) = (self.node.now(), self.node.budget_limits());
        let mut state = self.node.state.borrow_mut();
        state.budgets.entry(self.service.clone()).or_default().record_request(now, &limits);
        let Some(model_ref) = self.model_ref() else { return };
        state.record_demand(now, model_ref, 1.0);
    }

    pub(super) fn prompt(&self) -> Option<&Prompt> {
        self.info.prompt.as_ref()
    }

    /// The memory that it needs at an engine; nothing if that is not considered.
    pub(super) fn memory(&self) -> RequestMemory {
        let is_considered = self.node.settings.borrow().features.engine_memory;
        let prompt = self.prompt().filter(|_| is_considered);
        prompt.map(RequestMemory::of).unwrap_or_default()
    }

    pub(super) fn model_ref(&self) -> Option<&ModelRef> {
        self.prompt().and_then(|p| p.model_ref.as_ref())
    }

    /// Time since its head had been read, by the later of two clocks.
    pub(super) fn age(&self) -> Duration {
        boot_time().saturating_sub(self.received_at_boot).max(self.received_at.elapsed())
    }

    pub(super) fn time_left(&self) -> Duration {
        let elapsed_boot = boot_time().saturating_sub(self.received_at_boot);
        self.deadline.remaining(self.received_at.elapsed(), elapsed_boot)
    }

    /// Whether enough time is left for an engine to begin.
    pub(super) fn has_time_to_send(&self) -> bool {
        self.time_left() >= MIN_TIME_TO_SEND
    }

    /// Counts an engine that could not be reached. Returns whether another one may be tried.
    pub(super) fn may_skip_unreachable(&mut self) -> bool {
        self.unreached += 1;
        self.unreached <= MAX_UNREACHED && self.has_time_to_send()
    }

    /// Counts an engine that was at its limit. Returns whether another one may be tried.
    pub(super) fn may_skip_limited(&mut self) -> bool {
        self.at_limit += 1;
        self.at_limit <= MAX_AT_LIMIT && self.has_time_to_send()
    }

    /// Order in which requests get allowances for an engine.
    pub(super) fn waiter_rank(&self) -> WaiterRank {
        let time_left = self.time_left().as_millis() as Millis;
        WaiterRank { priority: self.route.priority, deadline: self.node.now() + time_left }
    }
}
