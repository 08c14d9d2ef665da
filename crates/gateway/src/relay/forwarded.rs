//! Requests that another node received from its caller and sent here, because it reaches no engine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{Refusal, Route, ServiceId};
use http::Request;
use hyper::body::Incoming;

use crate::attempt_grants::RequestAttempts;
use crate::peers::{self, AttemptGrant, ForwardedRequest};
use crate::response::CallerResponse;
use crate::shared::Node;
use crate::shutdown::ActiveRequest;

use super::request::RelayedRequest;
use super::{handle_routed, refuse, refuse_unserved};

/// Share of the connections from callers that requests of other nodes may take: each takes two.
const CONNECTIONS_PER_SLOT: usize = 4;

/// Part of the places that each further level of priority leaves to more urgent requests.
const RESERVED_PER_PRIORITY: f64 = 0.1;
const MAX_RESERVED: f64 = 0.5;

/// Serves a request that another node forwarded.
pub(crate) async fn handle_forwarded(
    node: &Node,
    forwarded: ForwardedRequest,
    req: Request<Incoming>,
) -> CallerResponse {
    let active = ActiveRequest::begin(node);
    match node.serving_catalog() {
        Ok(catalog) => handle_routed(node, active, catalog, req, Some(forwarded)).await,
        Err(reason) => refuse_unserved(node, reason),
    }
}

/// Refuses a request that another node forwarded before looking at it.
pub(crate) fn refuse_at_once(node: &Node, reason: Refusal) -> CallerResponse {
    refuse(node, reason, Duration::ZERO)
}

/// A place for a request of another node, until dropped.
pub(super) struct ForwardedSlot(Node);

impl ForwardedSlot {
    /// Takes a place unless too many are taken; the last ones are for urgent requests.
    pub(super) fn acquire(node: &Node, priority: u8) -> Option<ForwardedSlot> {
        let slots = node.settings.borrow().max_connections / CONNECTIONS_PER_SLOT;
        let reserved = (f64::from(priority) * RESERVED_PER_PRIORITY).min(MAX_RESERVED);
        let taken = node.forwarded_requests.get();
        if taken as f64 >= slots as f64 * (1.0 - reserved) {
            return None;
        }
        node.forwarded_requests.set(taken + 1);
        Some(ForwardedSlot(Node::clone(node)))
    }
}

impl Drop for ForwardedSlot {
    fn drop(&mut self) {
        self.0.forwarded_requests.set(self.0.forwarded_requests.get() - 1);
    }
}

/// Attempts that this node may make for a request of another one.
pub(super) struct GrantedAttempts {
    attempts: Cell<u32>,
    /// Where more are granted; nowhere by a node whose release grants none.
    source: Option<AttemptGrant>,
    /// Whether the other node has refused another one: its attempts are used.
    is_exhausted: Cell<bool>,
}

impl GrantedAttempts {
    fn first(source: Option<AttemptGrant>) -> GrantedAttempts {
        GrantedAttempts { attempts: Cell::new(1), source, is_exhausted: Cell::new(false) }
    }

    pub(super) fn attempts(&self) -> u32 {
        self.attempts.get()
    }

    /// Whether this node may make so many attempts in all. Asks the other node if that is not known; without an answer it
    /// may not.
    pub(super) async fn obtain(&self, node: &Node, attempts: u32) -> bool {
        if attempts <= self.attempts.get() {
            return true;
        }
        let Some(source) = self.source.as_ref().filter(|_| !self.is_exhausted.get()) else {
            return false;
        };
        let is_granted = peers::request_attempt(node, source, attempts).await;
        match is_granted {
            Some(true) => self.attempts.set(attempts),
            Some(false) => self.is_exhausted.set(true),
            None => {}
        }
        is_granted == Some(true)
    }
}

impl ForwardedRequest {
    /// The service to which the other node resolved the route, if the route still goes there.
    pub(super) fn service_of(&self, route: &Route, default: &ServiceId) -> ServiceId {
        let is_target = route.targets.iter().any(|t| t.service == self.service && t.weight > 0);
        if is_target { self.service.clone() } else { default.clone() }
    }
}

impl RelayedRequest {
    /// Goes on where the other node stopped.
    pub(super) fn continue_forwarded(&mut self, forwarded: ForwardedRequest, slot: ForwardedSlot) {
        self.is_forwarded = true;
        self.forwarded_slot = Some(slot);
        let executions = forwarded.executions_elsewhere();
        let attempts =
            RequestAttempts::new(self.info.id.clone(), self.route.max_attempts, executions);
        self.attempts = Rc::new(attempts);
        self.executions_elsewhere = executions;
        self.granted = Some(GrantedAttempts::first(forwarded.grant));
        self.rejected = forwarded.rejected;
        self.tried_engines = forwarded.tried_engines;
        self.version = forwarded.version;
        self.info.last_event = forwarded.last_event.or(self.info.last_event);
    }

    /// Attempts of this node that an engine may have executed.
    pub(super) fn own_executions(&self) -> u32 {
        self.executions().saturating_sub(self.executions_elsewhere)
    }

    /// The same, with a pending one.
    pub(super) fn own_attempts(&self) -> u32 {
        self.attempts.in_use().saturating_sub(self.executions_elsewhere)
    }
}
