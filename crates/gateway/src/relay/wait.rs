//! Waiting for an engine: until it responds, restarts or is unresponsive, or the request's time is over.

use std::convert::Infallible;
use std::time::Duration;

use derive_more::Display;
use tokio::time::{Instant, sleep_until};

use crate::attempt_guard::AttemptGuard;
use crate::engine_path;

use super::request::RelayedRequest;

/// Silence on all connections to an engine, while a request waits there, after which the engine
/// counts as unresponsive. A full engine sends nothing for up to 350 ms while it prefills several long
/// prompts; callers abandon a stalled stream after two seconds.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(600);

/// The same when this node has few requests there: their own pauses say little about the engine.
const UNRESPONSIVE_AFTER_FEW_REQUESTS: Duration = Duration::from_millis(900);

/// The same when another node cannot reach the engine: some node would hear from a healthy one.
const UNRESPONSIVE_AFTER_PEER_REPORT: Duration = Duration::from_millis(250);

/// Interval at which a request whose engine is silent looks for another way while there is none.
pub(super) const ALTERNATIVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Below this number, the requests that this node has in flight at an engine count as few.
const FEW_REQUESTS: u32 = 3;

/// Longest wait for the first byte from an engine that still responds on other connections, as a
/// multiple of the route's objective: a single request can hang.
const HUNG_AFTER_OBJECTIVES: u32 = 4;

/// Bounds of that wait: the lower one keeps a full engine from counting as hung, the upper one ends
/// the wait before callers give up.
const HUNG_AFTER_MIN: Duration = Duration::from_millis(450);
const HUNG_AFTER_MAX: Duration = Duration::from_millis(1_300);

/// What has been silent for longer than its limit.
#[derive(Debug, Clone, Copy, Display)]
pub(super) enum Silent {
    /// The engine, on all connections.
    #[display("silence")]
    Engine,
    /// This response alone.
    #[display("response")]
    Response,
    /// Another node that forwards the request.
    #[display("forwarder")]
    Forwarder,
}

/// What has been silent for too long, and the limit of that.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExceededLimit {
    pub(super) of: Silent,
    pub(super) limit: Duration,
}

/// Outcome of waiting for an engine.
pub(super) enum WaitResult<T> {
    Done(T),
    /// The engine is silent; a retry has been taken from the retry budget.
    Stalled,
    /// The engine has restarted, which ended its earlier requests.
    EngineRestarted,
    TimedOut,
}

/// Waits until the deadline, or until the engine has restarted.
pub(super) async fn unless_restarted<F: Future>(
    restarted: impl Future<Output = ()>,
    deadline_at: Instant,
    future: F,
) -> WaitResult<F::Output> {
    tokio::select! {
        biased;
        done = future => WaitResult::Done(done),
        () = restarted => WaitResult::EngineRestarted,
        () = sleep_until(deadline_at) => WaitResult::TimedOut,
    }
}

impl RelayedRequest {
    /// Waits until the request's deadline at the latest.
    pub(super) async fn within_deadline<F: Future>(&self, future: F) -> WaitResult<F::Output> {
        match tokio::time::timeout_at(self.deadline_at, future).await {
            Ok(done) => WaitResult::Done(done),
            Err(_) => WaitResult::TimedOut,
        }
    }

    /// Longest wait for the first byte before the request goes another way; none if it may not.
    pub(super) fn max_first_byte_wait(&self) -> Option<Duration> {
        let may_go_on = self.route.kind.may_repeat() && self.attempts.has_one_left();
        let hung = (self.route.first_byte_objective * HUNG_AFTER_OBJECTIVES)
            .clamp(HUNG_AFTER_MIN, HUNG_AFTER_MAX);
        may_go_on.then_some(hung)
    }

    /// Waits for the first byte. Gives up early on an unresponsive engine if the request may be sent to
    /// another one.
    pub(super) async fn wait_for_first_byte<F: Future>(
        &self,
        guard: &AttemptGuard,
        future: F,
    ) -> WaitResult<F::Output> {
        let Some(hung) = self.max_first_byte_wait() else {
            let result = unless_restarted(guard.wait_for_restart(), self.deadline_at, future);
            return tokio::select! {
                biased;
                result = result => result,
                never = self.check_path_if_silent(guard) => match never {},
            };
        };
        let future = std::pin::pin!(future);
        self.unless_unresponsive(guard, hung, future).await
    }

    /// Checks whether this node reaches engines if one is silent while a request waits there that may not go
    /// another way.
    async fn check_path_if_silent(&self, guard: &AttemptGuard) -> Infallible {
        loop {
            tokio::time::sleep(UNRESPONSIVE_AFTER).await;
            if self.node.time_since_heard(guard.engine()) >= UNRESPONSIVE_AFTER {
                engine_path::start_check(&self.node, &self.service);
            }
        }
    }

    /// Waits until the engine has been silent on all connections for a while, or this response for
    /// `hung`, and there is another way that the retry budget allows. Silence does not end the attempt: it stays
    /// open until another one responds.
    pub(super) async fn unless_unresponsive<F: Future + ?Sized>(
        &self,
        guard: &AttemptGuard,
        hung: Duration,
        mut future: std::pin::Pin<&mut F>,
    ) -> WaitResult<F::Output> {
        let (started, engine) = (Instant::now(), guard.engine());
        let has_few_requests =
            self.node.engine(engine, |e| e.own_requests).unwrap_or(0) < FEW_REQUESTS;
        let default_limit =
            if has_few_requests { UNRESPONSIVE_AFTER_FEW_REQUESTS } else { UNRESPONSIVE_AFTER };
        let mut next_check = started;
        loop {
            let limit = if self.node.is_reported_unreachable(engine) {
                UNRESPONSIVE_AFTER_PEER_REPORT
            } else {
                default_limit
            };
            let silence = self.node.time_since_heard(engine).min(started.elapsed());
            let check_at = (Instant::now() + limit.saturating_sub(silence)).min(started + hung);
            let check_at = check_at.max(next_check);
            let reachability_changed = self.node.reachability_changed.notified();
            let restarted = self.node.engine_restarted.notified();
            if guard.engine_restarted() {
                return WaitResult::EngineRestarted;
            }
            tokio::select! {
                biased;
                done = &mut future => return WaitResult::Done(done),
                () = restarted => continue,
                () = reachability_changed => continue,
                () = sleep_until(check_at.min(self.deadline_at)) => {}
            }
            let now = Instant::now();
            if now >= self.deadline_at {
                return WaitResult::TimedOut;
            }
            let silence = self.node.time_since_heard(engine).min(now - started);
            if silence >= limit || now - started >= hung {
                let takes_other_way = async { self.has_alternative() && self.take_retry().await };
                let takes_other_way = tokio::select! {
                    biased;
                    done = &mut future => return WaitResult::Done(done),
                    taken = takes_other_way => taken,
                };
                if takes_other_way {
                    let exceeded = if silence >= limit {
                        ExceededLimit { of: Silent::Engine, limit }
                    } else {
                        ExceededLimit { of: Silent::Response, limit: hung }
                    };
                    self.log_silent_engine(engine, exceeded);
                    return WaitResult::Stalled;
                }
                next_check = Instant::now() + ALTERNATIVE_CHECK_INTERVAL;
            }
        }
    }
}
