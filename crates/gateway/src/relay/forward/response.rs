//! Takes in what another node responds to a request that was forwarded to it.

use std::net::SocketAddr;

use hgw_direct::{Engine, Refusal, VersionKey};
use hgw_http1::{BodyDecoder, Conn, Head, end_to_end_headers};
use http::Response;

use crate::peers::{self, FORWARDED, ForwardOutcome};
use crate::relay::attempt::{AttemptResult, StartedResponse};
use crate::relay::open_attempt::ForwardAttempt;
use crate::relay::request::RelayedRequest;
use crate::relay::source::{ForwardGuard, Source};
use crate::relay::wait::WaitResult;
use crate::response::{CallerResponse, ResponseBody};
use crate::shared::CatalogMention;

use super::{CountedBy, ForwardRefusal, MAX_FORWARDS};

/// Refusals by a node that may reach engines all the same.
const REFUSED_BY_REACHING: [Refusal; 3] =
    [Refusal::NodeBusy, Refusal::NodeMemory, Refusal::EnginesResting];

/// Largest refusal of another node that is passed on.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

impl RelayedRequest {
    /// Takes in the head of another node's response.
    pub(super) async fn handle_forwarder(
        &mut self,
        attempt: ForwardAttempt,
        mut conn: Conn,
        mut head: Head,
    ) -> AttemptResult {
        let ForwardAttempt { guard, .. } = attempt;
        let outcome = head.headers.remove(FORWARDED).as_ref().and_then(ForwardOutcome::parse);
        match outcome {
            Some(ForwardOutcome::Engine { engine, version, runs, domain }) => {
                guard.record_made(runs);
                self.log_forward_counted(&guard, CountedBy::Response);
                let version = version.or_else(|| self.node.engine(&engine, Engine::version_key));
                let version = version.unwrap_or(VersionKey::UNKNOWN);
                if self.version.is_some_and(|bound| bound != version) {
                    // A release that does not know of versions.
                    guard.record_refused();
                    return AttemptResult::NoResponse;
                }
                if self.would_promise_falsely(head.status) {
                    // The other node is of a release that passes such statuses on.
                    self.settle_forward(&guard, runs);
                    return AttemptResult::UnprovenRejection;
                }
                guard.record_served(&domain);
                let now = self.node.now();
                self.node.engine_path.record_reached_elsewhere(&self.service, now);
                let source = Source::Forwarder(guard);
                let started = StartedResponse { engine, version, conn, head, source };
                AttemptResult::Started(Box::new(started))
            }
            Some(ForwardOutcome::Refused { reason, may_run_elsewhere, newer_catalog }) => {
                self.settle_forward(&guard, 0);
                let body = conn.read_body(BodyDecoder::new(head.framing), MAX_REFUSAL_BYTES);
                let WaitResult::Done(Ok(body)) = self.within_deadline(body).await else {
                    return AttemptResult::NotForwarded;
                };
                guard.return_connection(conn);
                if let Some(version) = newer_catalog {
                    self.take_newer_catalog(guard.addr, version).await;
                    return AttemptResult::NotForwarded;
                }
                if may_run_elsewhere {
                    self.record_forwarder_refusal(&guard, &reason);
                    return AttemptResult::NotForwarded;
                }
                AttemptResult::Refused(Box::new(ForwardRefusal { head, body, reason }))
            }
            Some(ForwardOutcome::Failed { runs: 0 }) => {
                self.settle_forward(&guard, 0);
                AttemptResult::NotForwarded
            }
            Some(ForwardOutcome::Failed { runs }) => {
                self.settle_forward(&guard, runs);
                self.log_forward_counted(&guard, CountedBy::Response);
                AttemptResult::NoResponse
            }
            // A version that forwards nothing, or a node that could not read the head.
            None => {
                guard.record_refused();
                self.settle_forward(&guard, 0);
                AttemptResult::NotForwarded
            }
        }
    }

    /// Takes a newer configuration from the node that refused the request as this one has an older one. That node may be asked
    /// again once it is in force.
    async fn take_newer_catalog(&mut self, addr: SocketAddr, version: u64) {
        let node = &self.node;
        peers::record_catalog_of(node, addr, version, CatalogMention::ForwarderRefusal);
        let max_wait = peers::AGREE_WITHIN.min(self.time_left());
        if peers::wait_for_catalog(node, version, max_wait).await {
            self.tried_forwarders.retain(|tried| *tried != addr);
        }
    }

    /// Takes in that another node has made so many attempts and makes no more.
    fn settle_forward(&self, guard: &ForwardGuard, runs: u32) {
        guard.settle(runs);
        self.update_charge();
    }

    /// Remembers that a node does not help. Once all nodes that may have said that they reach no engine for
    /// such a request, nobody is asked for a while.
    fn record_forwarder_refusal(&mut self, guard: &ForwardGuard, reason: &str) {
        guard.record_refused();
        if reason != Refusal::EnginesUnreachable.to_string() {
            let reaches_engines = |refusal: &Refusal| refusal.to_string() == reason;
            self.was_refused_elsewhere |= REFUSED_BY_REACHING.iter().any(reaches_engines);
            return;
        }
        self.hopeless_forwards += 1;
        let now = self.node.now();
        let all_asked = self.known_forwarder().is_none()
            || self.tried_forwarders.len() >= MAX_FORWARDS
                && self.node.forwarders.borrow().usable(&self.service, now) == 0;
        if all_asked && self.hopeless_forwards == self.tried_forwarders.len() {
            let mut forwarders = self.node.forwarders.borrow_mut();
            forwarders.record_hopeless(&self.service, self.model_ref(), now);
        }
    }

    pub(in crate::relay) fn pass_on_refusal(&self, refusal: ForwardRefusal) -> CallerResponse {
        let ForwardRefusal { head, body, reason } = refusal;
        self.log_refused_elsewhere(&reason);
        let mut response = Response::new(ResponseBody::full(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end_headers(&head.headers, &[]);
        response
    }
}
