//! Answers that are given whole.

use hgw_direct::{NoEngine, Refusal, Verdict};
use hgw_http1::Body;
use http::{Response, StatusCode};

use crate::answer::{Answer, AnswerBody, own};

use super::attempt::{Begun, Tried, Waited};
use super::pace::Pace;
use super::request::{REJECTED, Relayed};

/// Bytes of a whole answer; longer ones are broken off.
const MOST: usize = 32 << 20;

/// Serves a request whose answer is collected before any of it is given: one that breaks off can then be
/// asked for again where that is allowed, and is a failure with a name otherwise.
pub(super) async fn answer(mut req: Relayed) -> Answer {
    let mut failure: Option<Answer> = None;
    loop {
        let choice = match req.choose().await {
            Ok(choice) => choice,
            Err(why) => return failure.unwrap_or_else(|| no_engine(&req, why)),
        };
        match req.send(&choice.engine, None).await {
            Tried::Begun(begun) => match whole(&req, *begun).await {
                Some(answer) if answer.status().is_server_error() => failure = Some(answer),
                Some(answer) => return answer,
                None => failure = Some(own(StatusCode::BAD_GATEWAY, "the answer broke off")),
            },
            Tried::NotSent => {
                if req.may_reach_on() {
                    continue;
                }
                return failure.unwrap_or_else(|| no_engine(&req, NoEngine::None));
            }
            Tried::NotRun => {
                if req.may_go_on() {
                    continue;
                }
                return failure.unwrap_or_else(|| req.refuse(Refusal::Full, REJECTED));
            }
            Tried::Stalled => {
                failure = Some(own(StatusCode::BAD_GATEWAY, "the engine went silent"));
                continue;
            }
            Tried::Lost => failure = Some(own(StatusCode::BAD_GATEWAY, "the engine failed")),
            Tried::TimeOver => return own(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
        if !req.route.kind.may_repeat() || !req.may_go_on() {
            return failure.unwrap_or_else(|| own(StatusCode::BAD_GATEWAY, "the engine failed"));
        }
    }
}

fn no_engine(req: &Relayed, why: NoEngine) -> Answer {
    if req.runs > 0 {
        return own(StatusCode::BAD_GATEWAY, "no engine is left");
    }
    req.refuse_for(why)
}

/// The engine's answer, or nothing where it is not whole.
async fn whole(req: &Relayed, begun: Begun) -> Option<Answer> {
    let Begun { engine, mut conn, head, at_engine } = begun;
    let body = Body::new(head.framing);
    let collected = req.bounded(conn.collect(body, MOST)).await;
    drop(at_engine);
    let Waited::Done(Ok(body)) = collected else {
        req.node.saw(&engine, Verdict::Failed);
        return None;
    };
    let failed = head.status >= 500;
    req.node.saw(&engine, if failed { Verdict::Failed } else { Verdict::Good });
    req.node.heard(&engine);
    if let Some(addr) = req.node.engine(&engine, |e| e.listed.addr) {
        req.node.pool.put(addr, conn);
    }
    req.served(&engine, head.status, &Pace::begin());
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = StatusCode::from_u16(head.status).ok()?;
    *answer.headers_mut() = req.node.dialects.upstreams.answer(&head);
    Some(answer)
}
