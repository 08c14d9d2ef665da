//! One attempt, from its start to its one `Ended`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hgw_node::{Ended, Event};
use hgw_types::AttemptId;
use hgw_wire::peer::{Outcome, Work};
use hgw_wire::upstream::Cancel;

use super::outlet::Outlet;
use super::{CallError, Start, Upstreams, client, generate, plain};
use crate::meter;

/// What a running attempt knows.
pub(super) struct InProgress<'a> {
    pub(super) cx: &'a Upstreams,
    pub(super) start: &'a Start,
    /// Set before the first byte may leave.
    pub(super) sent: &'a AtomicBool,
}

impl InProgress<'_> {
    pub(super) fn id(&self) -> AttemptId {
        self.start.attempt.id
    }

    /// Why an attempt ends that has been silent for too long.
    pub(super) fn silent(&self) -> String {
        format!("silent for {:?}", self.start.silence)
    }

    /// Notes that from now on the upstream may have the request.
    pub(super) fn mark_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }
}

/// Runs an attempt and reports its end, always and once.
pub(super) async fn run(cx: Arc<Upstreams>, start: Box<Start>) {
    let id = start.attempt.id;
    let ended = match cx.room.try_acquire() {
        Ok(_permit) => run_bounded(&cx, &start).await,
        Err(_) => ended(id, Outcome::NotRun("too many attempts at one time".into())),
    };
    cx.attempts.end(id);
    meter::attempt(match ended.outcome {
        Outcome::Whole(_) => "whole",
        Outcome::Preempted => "preempted",
        Outcome::NotRun(_) => "not_run",
        Outcome::Broken(_) => "broken",
    });
    cx.inbox.deliver(Event::Ended(ended)).await;
}

async fn run_bounded(cx: &Arc<Upstreams>, start: &Start) -> Ended {
    let id = start.attempt.id;
    if start.attempt.is_cancelled() {
        return ended(id, Outcome::NotRun("cancelled before it was sent".into()));
    }
    let mut outlet = match Outlet::new(cx, &start.attempt, &start.sink) {
        Ok(outlet) => outlet,
        Err(reason) => return ended(id, Outcome::NotRun(reason)),
    };
    let sent = AtomicBool::new(false);
    let running = InProgress { cx, start, sent: &sent };
    let outcome = tokio::select! {
        biased;
        () = start.attempt.cancelled() => None,
        outcome = work(&running, &mut outlet) => Some(outcome),
    };
    let Some(outcome) = outcome else {
        return ended(id, cancel(cx, start, sent.load(Ordering::Relaxed)));
    };
    let answer = if matches!(outcome, Outcome::Whole(_)) { outlet.into_answer() } else { None };
    Ended { attempt: id, outcome, answer }
}

async fn work(running: &InProgress<'_>, outlet: &mut Outlet) -> Outcome {
    match &running.start.work {
        Work::Model(work) => generate::run(running, work, outlet).await,
        Work::Plain(work) => plain::run(running, work, outlet).await,
    }
}

/// Gives up an attempt. Its connection is closed by dropping the call; an engine is also told.
fn cancel(cx: &Arc<Upstreams>, start: &Start, sent: bool) -> Outcome {
    if !sent {
        return Outcome::NotRun("cancelled before it was sent".into());
    }
    if matches!(start.work, Work::Model(_)) {
        let (cx, addr, id) = (Arc::clone(cx), start.addr.clone(), start.attempt.id);
        let lifecycle = cx.lifecycle.clone();
        lifecycle.spawn(async move { tell_cancelled(&cx, &addr, id, cx.limits.call).await });
    }
    Outcome::Broken("cancelled".into())
}

/// Tells an engine to end an attempt; false where the engine cannot be reached. A lost answer does
/// no harm: the connection is closed too, and what still comes of the attempt is dropped.
pub(super) async fn tell_cancelled(
    cx: &Upstreams,
    addr: &str,
    attempt: AttemptId,
    timeout: Duration,
) -> bool {
    let Ok(req) = client::post_json(addr, "/cancel", &Cancel { attempt }) else { return false };
    let told = cx.fresh.call(req, timeout, cx.limits.event).await;
    !matches!(told, Err(CallError::NotSent(_)))
}

fn ended(attempt: AttemptId, outcome: Outcome) -> Ended {
    Ended { attempt, outcome, answer: None }
}
