//! Buffered responses: read in full from the engine before they are returned to the caller.

use hgw_direct::{AttemptOutcome, NoEngine};
use hgw_http1::BodyDecoder;
use http::{Response, StatusCode};

use crate::response::{CallerResponse, ResponseBody};

use super::attempt::StartedResponse;
use super::event_timing::EventTiming;
use super::request::RelayedRequest;
use super::start::{Failure, final_response, start};
use super::wait::WaitResult;

/// Largest response that is buffered; a larger one counts as incomplete.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Serves a request with a buffered response. If the response is incomplete, the request is retried
/// if the route allows it, and otherwise fails.
pub(super) async fn serve(mut req: RelayedRequest) -> CallerResponse {
    let mut failure = None;
    loop {
        let started = match start(&mut req, None, failure).await {
            Ok(started) => started,
            Err(response) => return response,
        };
        failure = match read_response(&req, started).await {
            Some(response) if response.status().is_server_error() => {
                Some(Failure::Response(response))
            }
            Some(response) => return response,
            None => Some(Failure::Reason("the answer broke off")),
        };
        if !req.route.kind.may_repeat() || !req.take_retry() {
            return final_response(&req, failure, NoEngine::NoneAvailable);
        }
    }
}

/// Buffers the engine's response; `None` if it is incomplete.
async fn read_response(req: &RelayedRequest, started: StartedResponse) -> Option<CallerResponse> {
    let StartedResponse { engine, version, mut conn, head, source } = started;
    let body = BodyDecoder::new(head.framing);
    let body = match req.wait_for(&source, conn.read_body(body, MAX_BODY_BYTES)).await {
        WaitResult::Done(Ok(body)) => body,
        incomplete => {
            req.record_broken(&source, &incomplete).await;
            return None;
        }
    };
    let is_failure = head.status >= 500;
    source.record_outcome(if is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Success
    });
    source.record_byte();
    source.return_connection(conn);
    if (200..300).contains(&head.status) {
        req.record_completion(&source);
        if req.prompt().is_none() {
            source.record_call();
        }
    }
    if !is_failure {
        req.log_served(&engine, &source, head.status, &EventTiming::start());
    }
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = StatusCode::from_u16(head.status).ok()?;
    *response.headers_mut() = req.node.protocols.upstreams.response_headers(&head);
    response.extensions_mut().insert(req.outcome_of(&engine, version));
    Some(response)
}
