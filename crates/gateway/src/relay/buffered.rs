//! Buffered responses: read in full from the engine before they are returned to the caller.

use std::time::Duration;

use hgw_direct::{AttemptOutcome, NoEngine, Refusal};
use http::Response;

use crate::held_bytes::Reservation;
use crate::response::{CallerResponse, ResponseBody};

use super::attempt::StartedResponse;
use super::body;
use super::engine_response::is_engine_failure;
use super::event_timing::EventTiming;
use super::request::RelayedRequest;
use super::source::Source;
use super::start::{Failure, final_response, start};
use super::wait::WaitResult;

/// Retry delay while there is no memory for a response: as long as callers take for some.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves a request with a buffered response. If the response is incomplete, the request is retried
/// if the route allows it, and otherwise fails.
pub(super) async fn serve(req: &mut RelayedRequest) -> CallerResponse {
    req.held_response = body::reserve_response(&req.node, &req.route);
    if req.held_response.is_none() {
        return req.refuse(Refusal::NodeMemory, NO_MEMORY_RETRY_AFTER);
    }
    let mut failure = None;
    loop {
        let started = match start(req, None, failure).await {
            Ok(started) => started,
            Err(reason) => return req.respond_not_started(reason),
        };
        let engine = started.engine.clone();
        let may_repeat = req.route.kind.may_repeat();
        let retries;
        (failure, retries) = match read_response(req, started).await {
            Some(response) if is_engine_failure(response.status()) => {
                let retries = may_repeat && req.take_second_attempt(&engine).await;
                (Some(Failure::Response(response)), retries)
            }
            Some(response) => return response,
            None => {
                let retries = may_repeat && req.has_time_for_attempt() && req.take_retry().await;
                (Some(Failure::Reason("the answer broke off")), retries)
            }
        };
        if !retries {
            return final_response(req, failure, NoEngine::NoneAvailable);
        }
    }
}

/// Buffers the engine's response; `None` if it is incomplete.
async fn read_response(
    req: &mut RelayedRequest,
    started: StartedResponse,
) -> Option<CallerResponse> {
    let StartedResponse { engine, version, mut conn, head, source } = started;
    let memory = &req.node.held_memory;
    let mut held = req.held_response.take().unwrap_or_else(|| Reservation::empty(memory));
    let body = body::read_response(&req.node, &mut conn, head.framing, &mut held);
    let body = match req.wait_for(&source, body).await {
        WaitResult::Done(Ok(body)) => body,
        incomplete => {
            if let (Source::Engine(_), WaitResult::Done(Err(e))) = (&source, &incomplete) {
                req.log_if_malformed(&engine, e);
            }
            req.record_broken(&source, &incomplete).await;
            return None;
        }
    };
    let is_failure = is_engine_failure(head.status);
    req.record_response(&engine, is_failure);
    source.record_outcome(if is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Success
    });
    source.record_byte();
    source.return_connection(conn);
    if head.status.is_success() {
        req.record_completion(&source);
        if req.prompt().is_none() {
            source.record_call();
        }
    }
    if !is_failure {
        req.log_served(&engine, &source, head.status.as_u16(), &EventTiming::start());
    }
    body::record_response_size(&req.node, &req.route, body.len());
    let mut response = Response::new(ResponseBody::full(held.hold(body)));
    *response.status_mut() = head.status;
    *response.headers_mut() = req.node.protocols.upstreams.response_headers(&head);
    response.extensions_mut().insert(req.outcome_of(&engine, version));
    Some(response)
}
