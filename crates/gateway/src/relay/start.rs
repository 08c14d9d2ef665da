//! Makes attempts, at engines or by way of other nodes, until a response begins.
//!
//! An attempt at a silent engine stays open while another one is made: the first to respond is kept, and the others end.

use hgw_direct::NoEngine;
use http::StatusCode;
use tokio::time::{sleep, sleep_until};

use crate::response::CallerResponse;

use super::attempt::{AttemptResult, StartedResponse};
use super::forward::ForwardRefusal;
use super::identity::AuthError;
use super::open_attempt::SilentAttempts;
use super::request::{REJECTED_RETRY_AFTER, RelayedRequest};
use super::wait::ALTERNATIVE_CHECK_INTERVAL;
use super::withhold::Withheld;

/// What the last engine that may have executed the request returned.
pub(super) enum Failure {
    /// A complete and signed error response.
    Response(CallerResponse),
    /// No response that can be passed on, and why.
    Reason(&'static str),
}

/// Why no response has begun.
pub(super) enum NotStarted {
    /// No other engine is tried, after this failure of earlier ones.
    NoEngine(NoEngine, Option<Failure>),
    /// Another node refused the request for a reason that holds everywhere.
    Refused(Box<ForwardRefusal>),
    Withheld(Withheld),
    Unauthorized(AuthError),
    /// The node stops and sends the request no more.
    Stopping,
    TimedOut,
}

/// What follows from the outcome of an attempt.
enum Next {
    Started(Box<StartedResponse>),
    Attempt,
    Stop(NotStarted),
}

/// Makes attempts until a response begins; a stream resumes after the event `last`. `failure` is that of
/// earlier attempts.
pub(super) async fn start(
    req: &mut RelayedRequest,
    last: Option<u64>,
    failure: Option<Failure>,
) -> Result<StartedResponse, NotStarted> {
    let kept_before = req.silent_attempts;
    let started = Start { silent: SilentAttempts::default(), failure, last, kept_before }.run(req);
    let started = started.await;
    req.silent_attempts = kept_before;
    started
}

/// The attempts of a request until a response begins.
struct Start {
    silent: SilentAttempts,
    failure: Option<Failure>,
    last: Option<u64>,
    /// Attempts at silent engines that are kept open besides.
    kept_before: usize,
}

impl Start {
    async fn run(mut self, req: &mut RelayedRequest) -> Result<StartedResponse, NotStarted> {
        loop {
            let result = self.next_result(req).await;
            let mut next = self.evaluate(req, result).await;
            while let Next::Stop(reason) = next {
                if self.silent.len() == 0 || matches!(reason, NotStarted::TimedOut) {
                    return Err(self.with_failure(reason));
                }
                next = self.wait_for_silent(req, reason).await;
            }
            if let Next::Started(started) = next {
                return Ok(*started);
            }
        }
    }

    /// Makes another attempt, and waits for those at silent engines as well.
    async fn next_result(&mut self, req: &mut RelayedRequest) -> AttemptResult {
        req.silent_attempts = self.kept_before + self.silent.len();
        let late = tokio::select! {
            biased;
            late = self.silent.next_response() => late,
            result = attempt(req, self.last) => return result,
        };
        req.count_cancelled_attempt();
        req.conclude(late).await
    }

    /// Waits for the attempts at silent engines, as no other one is possible now for this reason.
    async fn wait_for_silent(&mut self, req: &mut RelayedRequest, reason: NotStarted) -> Next {
        loop {
            req.silent_attempts = self.kept_before + self.silent.len();
            let late = tokio::select! {
                biased;
                late = self.silent.next_response() => late,
                () = sleep_until(req.deadline_at) => return Next::Stop(NotStarted::TimedOut),
                () = sleep(ALTERNATIVE_CHECK_INTERVAL) => {
                    let may_change = matches!(reason, NotStarted::NoEngine(..));
                    if may_change && req.has_alternative() && req.take_retry().await {
                        return Next::Attempt;
                    }
                    continue;
                }
            };
            let result = req.conclude(late).await;
            return match self.evaluate(req, result).await {
                Next::Stop(_) => Next::Stop(reason),
                next => next,
            };
        }
    }

    /// Adds the failure of earlier attempts.
    fn with_failure(&mut self, reason: NotStarted) -> NotStarted {
        match reason {
            NotStarted::NoEngine(no_engine, None) => {
                NotStarted::NoEngine(no_engine, self.failure.take())
            }
            reason => reason,
        }
    }

    async fn evaluate(&mut self, req: &mut RelayedRequest, result: AttemptResult) -> Next {
        match result {
            AttemptResult::Started(started) => return Next::Started(started),
            AttemptResult::NotSent => {
                if !req.may_skip_unreachable() {
                    return Next::no_engine(NoEngine::NoneAvailable);
                }
            }
            // Neither is chosen again.
            AttemptResult::NotForwarded | AttemptResult::Unwanted => {}
            AttemptResult::NoEngine(no_engine) => return Next::no_engine(no_engine),
            AttemptResult::AtLimit(wait) => {
                if !req.may_skip_limited() {
                    return Next::no_engine(NoEngine::AtLimit(wait));
                }
            }
            AttemptResult::NotRun => {
                if !req.take_retry().await {
                    return Next::no_engine(NoEngine::Full(REJECTED_RETRY_AFTER));
                }
            }
            AttemptResult::Refused(refusal) => return Next::Stop(NotStarted::Refused(refusal)),
            AttemptResult::Withheld(withheld) => {
                return Next::Stop(NotStarted::Withheld(withheld));
            }
            AttemptResult::Unauthorized(error) => {
                return Next::Stop(NotStarted::Unauthorized(error));
            }
            AttemptResult::Stopping => return Next::Stop(NotStarted::Stopping),
            AttemptResult::Silent(attempt) => {
                self.silent.push(attempt);
                self.failure = Some(Failure::Reason("the engine went silent"));
            }
            AttemptResult::NoResponse | AttemptResult::UnprovenRejection => {
                self.failure = Some(Failure::Reason("the engine failed"));
                let has_time = self.last.is_some() || req.has_time_for_attempt();
                if !req.route.kind.may_repeat() || !has_time || !req.take_retry().await {
                    return Next::no_engine(NoEngine::NoneAvailable);
                }
            }
            AttemptResult::TimedOut => return Next::Stop(NotStarted::TimedOut),
        }
        Next::Attempt
    }
}

impl Next {
    fn no_engine(reason: NoEngine) -> Next {
        Next::Stop(NotStarted::NoEngine(reason, None))
    }
}

/// Makes one attempt.
async fn attempt(req: &mut RelayedRequest, last: Option<u64>) -> AttemptResult {
    match req.next_hop().await {
        Ok(hop) => req.attempt(&hop, last).await,
        Err(no_engine) => AttemptResult::NoEngine(no_engine),
    }
}

impl RelayedRequest {
    /// The response if none has begun.
    pub(super) fn respond_not_started(&self, reason: NotStarted) -> CallerResponse {
        match reason {
            NotStarted::NoEngine(no_engine, failure) => final_response(self, failure, no_engine),
            NotStarted::Refused(refusal) => self.pass_on_refusal(*refusal),
            NotStarted::Withheld(withheld) => self.respond_withheld(withheld),
            NotStarted::Unauthorized(error) => self.refuse_unauthorized(error),
            NotStarted::Stopping => self.refuse_stopping(),
            NotStarted::TimedOut => self.fail(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
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
        None if req.executions() > 0 => req.fail(StatusCode::BAD_GATEWAY, "no engine is left"),
        None => req.refuse_no_engine(no_engine),
    }
}
