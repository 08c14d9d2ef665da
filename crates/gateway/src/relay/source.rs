//! Where a response comes from: an engine, or a node that forwards the request to one.

use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{AttemptOutcome, GrantId, ServiceId};
use hgw_http1::Conn;
use tokio::time::Instant;

use crate::attempt_grants::{Grant, RequestAttempts};
use crate::attempt_guard::AttemptGuard;
use crate::shared::Node;

use super::request::RelayedRequest;
use super::wait::{WaitResult, unless_restarted};

/// Where a response comes from, which counts the request as in flight there.
pub(super) enum Source {
    Engine(AttemptGuard),
    /// The node keeps track of the engine itself.
    Forwarder(ForwardGuard),
}

/// A request in flight at a node that forwards it, until dropped.
pub(super) struct ForwardGuard {
    node: Node,
    pub(super) addr: SocketAddr,
    service: ServiceId,
    /// What it was granted; none before the request was sent.
    grant: Option<Grant>,
}

impl ForwardGuard {
    pub(super) fn start(node: &Node, addr: SocketAddr, service: &ServiceId) -> ForwardGuard {
        node.forwarders.borrow_mut().record_start(addr);
        ForwardGuard { node: Node::clone(node), addr, service: service.clone(), grant: None }
    }

    /// Grants the node one attempt.
    pub(super) fn grant_attempt(&mut self, attempts: &Rc<RequestAttempts>) -> GrantId {
        self.grant.insert(Grant::begin(&self.node, attempts)).id()
    }

    pub(super) fn grant_id(&self) -> String {
        self.grant.as_ref().map(|grant| grant.id().to_string()).unwrap_or_default()
    }

    /// Records how many attempts the node says that it has made so far.
    pub(super) fn record_made(&self, made: u32) {
        self.grant.iter().for_each(|grant| grant.record_made(made));
    }

    /// Records that the node has made so many attempts and makes no more.
    pub(super) fn settle(&self, made: u32) {
        self.grant.iter().for_each(|grant| grant.settle(made));
    }

    /// Records that the node, of this domain, has sent the request to an engine.
    pub(super) fn record_served(&self, domain: &str) {
        self.node.forwarders.borrow_mut().record_served(self.addr, &self.service, domain);
    }

    /// Returns the connection to the pool.
    pub(super) fn return_connection(&self, conn: Conn) {
        self.node.pool.put(self.addr, conn);
    }

    /// Records that the node could not be reached, broke off, or does not help now.
    pub(super) fn record_refused(&self) {
        let now = self.node.now();
        self.node.forwarders.borrow_mut().record_refused(self.addr, &self.service, now);
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.node.forwarders.borrow_mut().record_end(self.addr);
    }
}

impl Source {
    /// Records that a byte of the response body has arrived.
    pub(super) fn record_byte(&self) {
        if let Source::Engine(guard) = self {
            guard.record_body_byte();
        }
    }

    pub(super) fn record_outcome(&self, outcome: AttemptOutcome) {
        if let Source::Engine(guard) = self {
            guard.record_outcome(outcome);
        }
    }

    pub(super) fn record_output(&self, tokens: u32) {
        if let Source::Engine(guard) = self {
            guard.record_output(tokens);
        }
    }

    pub(super) fn record_event_interval(&self, mean_gap: Duration) {
        if let Source::Engine(guard) = self {
            guard.record_event_interval(mean_gap);
        }
    }

    /// Records events that arrived together after this node began to wait for them at `waited_since`.
    pub(super) fn record_events(
        &self,
        count: u64,
        waited_since: Instant,
        max_gap: Option<Duration>,
    ) {
        if let Source::Engine(guard) = self {
            guard.record_events(count, waited_since, max_gap);
        }
    }

    /// Records a complete response to a call.
    pub(super) fn record_call(&self) {
        if let Source::Engine(guard) = self {
            guard.record_call();
        }
    }

    pub(super) fn return_connection(&self, conn: Conn) {
        match self {
            Source::Engine(guard) => guard.return_connection(conn),
            Source::Forwarder(guard) => guard.return_connection(conn),
        }
    }
}

impl Source {
    /// Waits for a part of a response until the request's deadline, or until the engine restarts.
    pub(super) async fn wait_for<F: Future>(
        &self,
        deadline_at: Instant,
        future: F,
    ) -> WaitResult<F::Output> {
        let restarted = async {
            match self {
                Source::Engine(guard) => guard.wait_for_restart().await,
                Source::Forwarder(_) => pending().await,
            }
        };
        unless_restarted(restarted, deadline_at, future).await
    }
}

impl RelayedRequest {
    /// The same for this request.
    pub(super) async fn wait_for<F: Future>(
        &self,
        source: &Source,
        future: F,
    ) -> WaitResult<F::Output> {
        source.wait_for(self.deadline_at, future).await
    }

    /// Records that a response ended early, with what was waited for last.
    pub(super) async fn record_broken<T>(&self, source: &Source, last: &WaitResult<T>) {
        match source {
            Source::Engine(guard) => {
                guard.record_outcome(AttemptOutcome::Failed);
                match last {
                    WaitResult::EngineRestarted => self.record_restarted_engine(guard),
                    WaitResult::Done(_) => self.investigate(guard).await,
                    WaitResult::Stalled | WaitResult::TimedOut => {}
                }
            }
            Source::Forwarder(guard) => guard.record_refused(),
        }
    }
}
