//! A model request: streamed tokens, resumed once on a new connection.

use std::sync::Arc;
use std::time::Duration;

use hgw_events::{Event, emit};
use hgw_wire::peer::{Chunk, ModelWork, Outcome};
use hgw_wire::upstream::{ATTEMPT_HEADER, Emitted, Generate};
use http::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::attempt::{self, InProgress};
use super::outlet::Outlet;
use super::silence::{self, Wait};
use super::sse::EventReader;
use super::{CallError, client};
use crate::meter;

/// Longest wait for the end of the body behind the last event.
const LAST_FRAME: Duration = Duration::from_secs(1);

/// How one connection's part of an answer ended.
enum Part {
    /// For good.
    Over(Outcome),
    /// The connection broke or went silent: the stream may go on over another one.
    Lost(String),
}

/// Why a step of reading the answer stops it.
type Step<T> = Result<T, Part>;

/// Runs a request to its end.
///
/// A connection may go silent for good while new ones work. Without the second connection a caller
/// would wait for its deadline although the engine goes on generating. An engine that pauses on all of
/// its connections keeps its run. Once is enough: where the new
/// connection fails too, it is the upstream that fails, and another one is to be chosen.
pub(super) async fn run(
    running: &InProgress<'_>,
    work: &ModelWork,
    outlet: &mut Outlet,
) -> Outcome {
    let mut tokens = work.resume.clone();
    let reason = match part(running, work, &mut tokens, outlet, false).await {
        Part::Over(outcome) => return outcome,
        Part::Lost(reason) => reason,
    };
    let node = &running.cx.node;
    emit(
        Event::StreamReconnected,
        &[("node", node), ("attempt", &running.id()), ("reason", &reason)],
    );
    meter::resumed();
    // The engine still works for the old connection: it is to stop before it is asked again. One
    // that cannot be reached at all is not asked: another engine is to be found soon.
    let (cx, start) = (running.cx, running.start);
    let bound = cx.limits.call.min(start.silence);
    if !attempt::tell_cancelled(cx, &start.addr, running.id(), bound).await {
        return Outcome::Broken(reason);
    }
    match part(running, work, &mut tokens, outlet, true).await {
        Part::Over(Outcome::NotRun(reason)) | Part::Lost(reason) => Outcome::Broken(reason),
        Part::Over(outcome) => outcome,
    }
}

async fn part(
    running: &InProgress<'_>,
    work: &ModelWork,
    tokens: &mut Vec<Arc<str>>,
    outlet: &mut Outlet,
    fresh: bool,
) -> Part {
    match open(running, work, tokens, fresh).await {
        Err(part) => part,
        Ok(body) => match read(running, body, tokens, outlet).await {
            Ok(outcome) => Part::Over(outcome),
            Err(part) => part,
        },
    }
}

/// Sends the request and reads the head of the answer.
async fn open(
    running: &InProgress<'_>,
    work: &ModelWork,
    tokens: &[Arc<str>],
    fresh: bool,
) -> Step<Incoming> {
    let start = running.start;
    let generate = Generate {
        attempt: running.id(),
        model: work.model.clone(),
        version: work.version.clone(),
        adapter: work.adapter.clone(),
        prompt: work.prompt.to_string(),
        max_tokens: work.max_tokens,
        priority: start.priority,
        resume: tokens.iter().map(ToString::to_string).collect(),
    };
    let not_run = |e: CallError| Part::Over(Outcome::NotRun(e.to_string()));
    let mut req =
        client::post_json(&start.addr, "/v1/chat/completions", &generate).map_err(not_run)?;
    let id = HeaderValue::try_from(running.id().to_string()).expect("an attempt id is plain text");
    req.headers_mut().insert(ATTEMPT_HEADER, id);
    let client = if fresh { &running.cx.fresh } else { &running.cx.pooled };
    running.mark_sent();
    let res = match wait_for(running, client.send(req)).await? {
        Err(e @ CallError::NotSent(_)) => return Err(not_run(e)),
        Err(e) => return Err(Part::Lost(e.to_string())),
        Ok(res) => res,
    };
    if !res.status().is_success() {
        // An engine refuses by the status, before it begins.
        return Err(Part::Over(Outcome::NotRun(format!("status {}", res.status().as_u16()))));
    }
    Ok(res.into_body())
}

/// Hands the tokens on until the answer ends.
async fn read(
    running: &InProgress<'_>,
    mut body: Incoming,
    tokens: &mut Vec<Arc<str>>,
    outlet: &mut Outlet,
) -> Step<Outcome> {
    let mut events = EventReader::new(running.cx.limits.event);
    loop {
        let frame = match wait_for(running, body.frame()).await? {
            None => return Err(Part::Lost("the answer ended without its last event".into())),
            Some(Err(e)) => return Err(Part::Lost(client::cause(&e))),
            Some(Ok(frame)) => frame,
        };
        let Some(data) = frame.data_ref() else { continue };
        if !events.feed(data) {
            return Ok(Outcome::Broken("an event is too large".into()));
        }
        while let Some(data) = events.next() {
            let event = match serde_json::from_slice::<Emitted>(&data) {
                Ok(event) => event,
                Err(e) => return Ok(Outcome::Broken(format!("unreadable event: {e}"))),
            };
            if let Some(outcome) = take(running, event, tokens, outlet).await {
                if matches!(outcome, Outcome::Whole(_)) {
                    let rest = tokio::time::timeout(LAST_FRAME, finish(body));
                    running.cx.lifecycle.spawn(rest);
                }
                return Ok(outcome);
            }
        }
    }
}

/// Reads what is left behind the last event: only then is the connection kept for another call.
async fn finish(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Handles one event; gives the outcome where it is the last.
async fn take(
    running: &InProgress<'_>,
    event: Emitted,
    tokens: &mut Vec<Arc<str>>,
    outlet: &mut Outlet,
) -> Option<Outcome> {
    let (Emitted::Token { attempt, .. }
    | Emitted::End { attempt, .. }
    | Emitted::Failed { attempt, .. }) = &event;
    if *attempt != running.id() {
        // Somebody else's answer came over this connection: nothing more on it can be trusted.
        return Some(Outcome::Broken(format!("an event of attempt {attempt} came")));
    }
    match event {
        Emitted::Token { index, text, .. } => {
            token(running, index, text, tokens, outlet).await.err().map(Outcome::Broken)
        }
        Emitted::End { tokens: count, .. } if count.0 as usize == tokens.len() => {
            Some(Outcome::Whole(count.0))
        }
        Emitted::End { tokens: count, .. } => {
            Some(Outcome::Broken(format!("{} of {count} tokens came", tokens.len())))
        }
        Emitted::Failed { reason, .. } => Some(Outcome::Broken(reason)),
    }
}

/// Hands one token on, unless it was before; the error says why the attempt cannot go on.
async fn token(
    running: &InProgress<'_>,
    index: u32,
    text: String,
    tokens: &mut Vec<Arc<str>>,
    outlet: &mut Outlet,
) -> Result<(), String> {
    let expected = tokens.len();
    if (index as usize) < expected {
        return Ok(());
    }
    if index as usize > expected {
        return Err(format!("token {index} came in place of {expected}"));
    }
    let text: Arc<str> = text.into();
    tokens.push(Arc::clone(&text));
    outlet.push(Chunk::Token { index, text }).await?;
    outlet.progress(running.cx, tokens.len());
    Ok(())
}

/// Waits for a step of the answer, as long as the upstream may go on with it.
async fn wait_for<F: Future>(running: &InProgress<'_>, step: F) -> Step<F::Output> {
    match silence::wait_for(running, step).await {
        Wait::Done(done) => Ok(done),
        Wait::ConnectionLost => Err(Part::Lost(running.silent())),
        Wait::UpstreamLost => Err(Part::Over(Outcome::Broken(running.silent()))),
    }
}
