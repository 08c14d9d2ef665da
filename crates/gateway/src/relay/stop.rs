//! Requests that a stopping node has not completed when it must end.
//!
//! One that has not been sent is told so while other nodes still have time for it. One that has been sent gets a final
//! response at the end of the grace period: a closed connection would tell its caller nothing.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::Refusal;
use http::StatusCode;

use crate::attempt_grants::RequestAttempts;
use crate::response::CallerResponse;
use crate::shared::Node;
use crate::shutdown;

use super::request::RelayedRequest;

/// Watches over a request for the end of its node.
pub(super) struct StopWatch {
    node: Node,
    attempts: Rc<RequestAttempts>,
    executions_elsewhere: u32,
}

impl StopWatch {
    pub(super) fn of(req: &RelayedRequest) -> StopWatch {
        StopWatch {
            node: Rc::clone(&req.node),
            attempts: Rc::clone(&req.attempts),
            executions_elsewhere: req.executions_elsewhere,
        }
    }

    /// Returns once the request is to be ended.
    pub(super) async fn until_due(&self) {
        self.node.shutdown.until(|| self.is_due()).await;
    }

    fn is_due(&self) -> bool {
        let is_unsent = || self.attempts.in_use() <= self.executions_elsewhere;
        self.node.shutdown.ending.get() || shutdown::refuses_requests(&self.node) && is_unsent()
    }
}

impl RelayedRequest {
    /// Whether the node stops and no longer sends a request that no engine has executed.
    pub(super) fn is_too_late(&self) -> bool {
        self.own_executions() == 0 && shutdown::refuses_requests(&self.node)
    }

    /// The final response to a request that ends with its node.
    pub(super) fn respond_stopped(&self) -> CallerResponse {
        self.count_cancelled_attempt();
        if self.own_executions() > 0 {
            return self.fail(StatusCode::GATEWAY_TIMEOUT, "the node stops");
        }
        self.refuse_stopping()
    }

    /// Refuses a request that is no longer sent. The caller may come back at once, to another node.
    pub(super) fn refuse_stopping(&self) -> CallerResponse {
        self.refuse(Refusal::Stopping, Duration::ZERO)
    }
}
