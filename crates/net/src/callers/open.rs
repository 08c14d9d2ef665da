//! A request that has been put to the control thread.

use std::sync::Arc;
use std::time::Duration;

use hgw_node::{CallerRequest, Event, Failure, FailureCode};

use super::Callers;
use super::connection::Connection;
use super::reply::not_run;
use super::route::{self, Unanswered};
use crate::streams::{CallerStream, Next};

/// When to come back after the node itself had no room.
const RETRY: Duration = Duration::from_secs(1);

/// An open request. Dropping it before its answer tells the control thread that the caller has gone.
pub(super) struct Open {
    cx: Arc<Callers>,
    stream: Arc<CallerStream>,
    connection: Option<Arc<Connection>>,
    pub(super) request_id: String,
}

impl Open {
    /// Puts a request to the control thread.
    pub(super) fn new(
        cx: &Arc<Callers>,
        connection: Option<Arc<Connection>>,
        request: CallerRequest,
    ) -> Result<Open, Failure> {
        let stream = cx.streams.open(cx.limits.requests);
        let stream = stream.ok_or_else(|| refused("too many open requests"))?;
        let request_id = request.id.to_string();
        let event = Event::CallerRequest { stream: stream.id, request: Box::new(request) };
        if !cx.inbox.offer_request(event) {
            cx.streams.close(stream.id);
            return Err(if cx.is_ending() {
                stopping()
            } else {
                refused("the node is overloaded")
            });
        }
        Ok(Open { cx: Arc::clone(cx), stream, connection, request_id })
    }

    /// Counts and logs the failure of an answer that had begun.
    pub(super) fn count(&self, failure: &Failure) {
        route::count(&self.cx, failure, &self.request_id);
    }

    /// The connection that the request came on.
    pub(super) fn connection(&self) -> Option<Arc<Connection>> {
        self.connection.clone()
    }

    /// The next thing for the caller, if it is still there.
    ///
    /// The server does not read a connection while it answers, so the connection is looked at from
    /// outside: work of a caller that has gone would otherwise run to its end for nobody.
    pub(super) async fn next(&self) -> Result<Next, Unanswered> {
        loop {
            let wait = tokio::time::timeout(self.cx.limits.gone_check, self.stream.next());
            if let Ok((next, credit)) = wait.await {
                if let Some(credit) = credit {
                    self.cx.peers.give(credit);
                }
                return Ok(next);
            }
            let gone = self.connection.as_ref().is_some_and(|c| c.is_gone());
            if gone && !self.cx.is_ending() {
                return Err(Unanswered::Gone);
            }
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        // An answered request is closed already.
        if self.cx.streams.close(self.stream.id) {
            crate::meter::request("caller_gone");
            self.cx.inbox.post(Event::CallerGone { stream: self.stream.id });
        }
    }
}

fn refused(message: &str) -> Failure {
    Failure { retry_after: Some(RETRY), ..not_run(FailureCode::Overloaded, message) }
}

fn stopping() -> Failure {
    Failure { retry_after: Some(RETRY), ..not_run(FailureCode::Stopping, "this node stops") }
}
