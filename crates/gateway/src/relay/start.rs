//! Makes attempts, at engines or by way of other nodes, until a response begins.

use hgw_direct::NoEngine;
use http::StatusCode;

use crate::response::CallerResponse;

use super::attempt::{AttemptResult, StartedResponse};
use super::forward::NextHop;
use super::request::{REJECTED_RETRY_AFTER, RelayedRequest};

/// What the last engine that may have executed the request returned.
pub(super) enum Failure {
    /// A complete and signed error response.
    Response(CallerResponse),
    /// No response that can be passed on, and why.
    Reason(&'static str),
}

/// Makes attempts until a response begins; a stream resumes after the event `last`. `failure` is that of
/// earlier attempts.
pub(super) async fn start(
    req: &mut RelayedRequest,
    last: Option<u64>,
    mut failure: Option<Failure>,
) -> Result<StartedResponse, CallerResponse> {
    loop {
        let result = match req.next_hop().await {
            Ok(NextHop::Engine(engine)) => req.attempt(&engine, last).await,
            Ok(NextHop::Forwarder(addr)) => req.forward(addr, last).await,
            Err(no_engine) => return Err(final_response(req, failure, no_engine)),
        };
        match result {
            AttemptResult::Started(started) => return Ok(*started),
            AttemptResult::NotSent => {
                if !req.may_skip_unreachable() {
                    return Err(final_response(req, failure, NoEngine::NoneAvailable));
                }
            }
            // Neither is chosen again.
            AttemptResult::NotForwarded | AttemptResult::Unwanted => {}
            AttemptResult::AtLimit(wait) => {
                if !req.may_skip_limited() {
                    return Err(final_response(req, failure, NoEngine::AtLimit(wait)));
                }
            }
            AttemptResult::NotRun => {
                if !req.take_retry() {
                    return Err(final_response(req, failure, NoEngine::Full(REJECTED_RETRY_AFTER)));
                }
            }
            AttemptResult::Refused(response) => return Err(*response),
            AttemptResult::Withheld(withheld) => return Err(req.respond_withheld(withheld)),
            AttemptResult::Unauthorized(error) => return Err(req.refuse_unauthorized(error)),
            AttemptResult::Stalled => failure = Some(Failure::Reason("the engine went silent")),
            AttemptResult::NoResponse => {
                failure = Some(Failure::Reason("the engine failed"));
                let has_time = last.is_some() || req.has_time_for_attempt();
                if !req.route.kind.may_repeat() || !has_time || !req.take_retry() {
                    return Err(final_response(req, failure, NoEngine::NoneAvailable));
                }
            }
            AttemptResult::TimedOut => {
                return Err(req.fail(StatusCode::GATEWAY_TIMEOUT, "no answer in time"));
            }
        }
    }
}

/// The response when no other engine is tried.
pub(super) fn final_response(
    req: &RelayedRequest,
    failure: Option<Failure>,
    no_engine: NoEngine,
) -> CallerResponse {
    match failure {
        Some(Failure::Response(response)) => {
            req.log_failed(response.status().as_u16(), "the engine's own failure");
            response
        }
        Some(Failure::Reason(reason)) => req.fail(StatusCode::BAD_GATEWAY, reason),
        None if req.executions > 0 => req.fail(StatusCode::BAD_GATEWAY, "no engine is left"),
        None => req.refuse_no_engine(no_engine),
    }
}
