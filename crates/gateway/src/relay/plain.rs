//! Answers that are given whole.

use hgw_direct::{AttemptOutcome, NoEngine};
use hgw_http1::Body;
use http::{Response, StatusCode};

use crate::answer::{Answer, AnswerBody};

use super::attempt::{Begun, Tried, Waited};
use super::pace::Pace;
use super::request::{REJECTED, Relayed};

/// Bytes of a whole answer; longer ones are broken off.
const MOST: usize = 32 << 20;

/// Serves a request whose answer is collected before any of it is given: one that breaks off can then be
/// asked for again where that is allowed, and is a failure with a name otherwise.
pub(super) async fn answer(mut req: Relayed) -> Answer {
    let mut failure = None;
    loop {
        let choice = match req.choose().await {
            Ok(choice) => choice,
            Err(why) => return ended(&req, failure, why),
        };
        match req.send(&choice.engine, None).await {
            Tried::Begun(begun) => match whole(&req, *begun).await {
                Some(answer) if answer.status().is_server_error() => {
                    failure = Some(Failure::Engine(answer));
                }
                Some(answer) => return answer,
                None => failure = Some(Failure::Own("the answer broke off")),
            },
            Tried::NotSent => {
                if req.may_reach_on() {
                    continue;
                }
                return ended(&req, failure, NoEngine::NoneAvailable);
            }
            Tried::NotRun => {
                if req.may_go_on() {
                    continue;
                }
                return ended(&req, failure, NoEngine::Full(REJECTED));
            }
            Tried::Stalled => {
                failure = Some(Failure::Own("the engine went silent"));
                continue;
            }
            Tried::Denied(why) => return req.deny(why),
            Tried::Lost => failure = Some(Failure::Own("the engine failed")),
            Tried::TimeOver => return req.fail(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
        if !req.route.kind.may_repeat() || !req.may_go_on() {
            return ended(&req, failure, NoEngine::NoneAvailable);
        }
    }
}

/// What became of the last engine that may have run the request.
enum Failure {
    /// Its own failure, whole and sealed.
    Engine(Answer),
    /// It gave no answer that can be passed on.
    Own(&'static str),
}

/// The answer where no other engine is asked.
fn ended(req: &Relayed, failure: Option<Failure>, why: NoEngine) -> Answer {
    match failure {
        Some(Failure::Engine(answer)) => {
            req.failed(answer.status().as_u16(), "the engine's own failure");
            answer
        }
        Some(Failure::Own(why)) => req.fail(StatusCode::BAD_GATEWAY, why),
        None if req.runs > 0 => req.fail(StatusCode::BAD_GATEWAY, "no engine is left"),
        None => req.refuse_for(why),
    }
}

/// The engine's answer, or nothing where it is not whole.
async fn whole(req: &Relayed, begun: Begun) -> Option<Answer> {
    let Begun { engine, mut conn, head, at_engine } = begun;
    let body = Body::new(head.framing);
    let collected = req.at(&at_engine, conn.collect(body, MOST)).await;
    let Waited::Done(Ok(body)) = collected else {
        at_engine.saw(AttemptOutcome::Failed);
        return None;
    };
    let failed = head.status >= 500;
    at_engine.saw(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success });
    req.node.heard(&engine);
    at_engine.keep(conn);
    drop(at_engine);
    if !failed {
        req.served(&engine, head.status, &Pace::begin());
    }
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = StatusCode::from_u16(head.status).ok()?;
    *answer.headers_mut() = req.node.dialects.upstreams.answer(&head);
    Some(answer)
}
