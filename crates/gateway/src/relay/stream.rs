//! Answers that are passed on event by event as they come.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use hgw_direct::{AttemptOutcome, EngineId, NoEngine};
use hgw_http1::{Body, Conn, Framing, Head};
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};

use crate::answer::{Answer, AnswerBody, BrokenOff};
use crate::at_engine::AtEngine;
use crate::meter;

use super::attempt::{Begun, Tried, Waited};
use super::events::Events;
use super::pace::Pace;
use super::request::{REJECTED, Relayed};

/// Longest pause between two events at an engine that is heard on other connections, in longest pauses
/// that are on time.
const HUNG_PAUSES: u32 = 6;

/// Longest such pause where the route tells none.
const HUNG: Duration = Duration::from_millis(1_000);

/// Serves a stream.
pub(super) async fn answer(mut req: Relayed) -> Answer {
    match begin(&mut req, None).await {
        Ok(begun) => {
            let mut answer = Response::new(AnswerBody::Whole(None));
            let status = StatusCode::from_u16(begun.head.status);
            *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            *answer.headers_mut() = req.node.dialects.upstreams.answer(&begun.head);
            answer.headers_mut().remove(CONTENT_LENGTH);
            let flow = Flow::new(req, begun);
            *answer.body_mut() = AnswerBody::Pieces(Box::pin(unfold(flow, Flow::step)));
            answer
        }
        Err(answer) => answer,
    }
}

/// Sends until an answer begins, from the event after `last`.
async fn begin(req: &mut Relayed, last: Option<u64>) -> Result<Begun, Answer> {
    let mut failure = None;
    loop {
        let choice = match req.choose().await {
            Ok(choice) => choice,
            Err(why) => return Err(ended(req, failure, why)),
        };
        match req.send(&choice.engine, last).await {
            Tried::Begun(begun) => {
                let failed = begun.head.status >= 500;
                let goes_on = last.is_some();
                if !failed && (!goes_on || begun.head.status == 200) {
                    return Ok(*begun);
                }
                begun.at_engine.saw(AttemptOutcome::Failed);
                if !req.route.kind.may_repeat() || !req.may_go_on() {
                    return Ok(*begun);
                }
                failure = Some("the engine failed");
            }
            Tried::NotSent => {
                if !req.may_reach_on() {
                    return Err(ended(req, failure, NoEngine::NoneAvailable));
                }
            }
            Tried::NotRun => {
                if !req.may_go_on() {
                    return Err(ended(req, failure, NoEngine::Full(REJECTED)));
                }
            }
            Tried::Denied(why) => return Err(req.deny(why)),
            Tried::Stalled => failure = Some("the engine went silent"),
            Tried::Lost => {
                failure = Some("the engine failed");
                if !req.route.kind.may_repeat() || !req.may_go_on() {
                    return Err(ended(req, failure, NoEngine::NoneAvailable));
                }
            }
            Tried::TimeOver => {
                return Err(req.fail(StatusCode::GATEWAY_TIMEOUT, "no answer in time"));
            }
        }
    }
}

/// The answer where no other engine is asked.
fn ended(req: &Relayed, failure: Option<&'static str>, why: NoEngine) -> Answer {
    match failure {
        Some(failure) => req.fail(StatusCode::BAD_GATEWAY, failure),
        None if req.runs > 0 => req.fail(StatusCode::BAD_GATEWAY, "no engine is left"),
        None => req.refuse_for(why),
    }
}

/// A stream that is under way.
struct Flow {
    req: Relayed,
    engine: EngineId,
    /// Until the answer is whole.
    conn: Option<Conn>,
    body: Body,
    events: Events,
    /// Whether the answer is made of events; a failure's body is passed on as it is.
    is_events: bool,
    at_engine: AtEngine,
    over: bool,
    pace: Pace,
}

impl Flow {
    fn new(req: Relayed, begun: Begun) -> Flow {
        let Begun { engine, conn, head, at_engine } = begun;
        let is_events = is_events(&head);
        let body = Body::new(head.framing);
        let events = Events::default();
        Flow {
            req,
            engine,
            conn: Some(conn),
            body,
            events,
            is_events,
            at_engine,
            over: false,
            pace: Pace::begin(),
        }
    }

    /// The next piece for the caller.
    async fn step(mut self) -> Option<(Result<Bytes, BrokenOff>, Flow)> {
        if self.over {
            return None;
        }
        loop {
            let read = self.read().await;
            match read {
                Waited::Done(Ok(Some(bytes))) => {
                    self.req.node.heard(&self.engine);
                    let ready = if self.is_events { self.events.push(bytes) } else { Some(bytes) };
                    if let Some(bytes) = ready {
                        self.pace.piece();
                        if self.pace.pieces == 1 {
                            meter::first_piece(&self.req.route, self.req.arrived.elapsed());
                        }
                        return Some((Ok(bytes), self));
                    }
                }
                Waited::Done(Ok(None)) if !self.events.has_half() => {
                    self.finish();
                    return None;
                }
                Waited::TimeOver => return Some(self.break_off()),
                Waited::Stalled => {
                    self.req.lost(&self.engine);
                    if !self.move_on().await {
                        return Some(self.break_off());
                    }
                }
                Waited::StartedAnew | Waited::Done(Ok(None) | Err(_)) => {
                    self.at_engine.saw(AttemptOutcome::Failed);
                    self.req.node.broke(&self.engine);
                    if !self.go_on().await {
                        return Some(self.break_off());
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Waited<hgw_http1::Result<Option<Bytes>>> {
        let req = &self.req;
        let Some(conn) = &mut self.conn else { return Waited::Done(Ok(None)) };
        let chunk = conn.chunk(&mut self.body);
        let may_move = req.route.kind.may_repeat() && req.runs < req.route.max_attempts;
        if !may_move || !self.is_events {
            return req.at(&self.at_engine, chunk).await;
        }
        let hung = req.route.max_event_gap.map_or(HUNG, |gap| gap * HUNG_PAUSES);
        let chunk = std::pin::pin!(chunk);
        req.unless_silent(&self.at_engine, hung, chunk).await
    }

    /// Goes on at another engine from the last whole event.
    async fn go_on(&mut self) -> bool {
        let req = &mut self.req;
        if !self.is_events || !req.route.kind.may_repeat() || !req.may_go_on() {
            return false;
        }
        self.move_on().await
    }

    /// The same, where the next try is paid for.
    async fn move_on(&mut self) -> bool {
        // The engine before must not work on it any more.
        self.conn = None;
        self.events.drop_half();
        let req = &mut self.req;
        let last = self.events.last().or(req.call.last_event).unwrap_or(0);
        let begun = match begin(req, Some(last)).await {
            Ok(begun) if begun.head.status == 200 && is_events(&begun.head) => begun,
            Ok(_) | Err(_) => return false,
        };
        req.resumed(&self.engine, &begun.engine, last);
        self.body = Body::new(begun.head.framing);
        self.engine = begun.engine;
        self.conn = Some(begun.conn);
        self.at_engine = begun.at_engine;
        true
    }

    fn finish(&mut self) {
        self.over = true;
        self.at_engine.saw(if self.is_events {
            AttemptOutcome::Success
        } else {
            AttemptOutcome::Failed
        });
        if let Some(mean) = self.pace.mean() {
            self.at_engine.saw_events(mean);
        }
        if let Some(conn) = self.conn.take() {
            self.at_engine.keep(conn);
        }
        self.req.served(&self.engine, 200, &self.pace);
    }

    fn break_off(mut self) -> (Result<Bytes, BrokenOff>, Flow) {
        self.over = true;
        self.req.failed(200, "broken off");
        (Err(BrokenOff), self)
    }
}

fn is_events(head: &Head) -> bool {
    let kind = head.headers.get(http::header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    head.status == 200
        && head.framing != Framing::Length(0)
        && kind.is_some_and(|k| k.starts_with("text/event-stream"))
}
