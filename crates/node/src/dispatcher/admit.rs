//! Whether work that an entry node submits is taken.

use hgw_dispatch::Refusal;
use hgw_types::NodeId;
use hgw_wire::peer::{Message, NotStarted, Submit, Work};

use super::Dispatcher;
use super::upstream_queue::{Stage, Task, UpstreamQueue, job};
use crate::context::Context;
use crate::handover::millis;
use crate::view::View;

impl Dispatcher {
    pub(crate) fn on_submit(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        from: &NodeId,
        submit: Submit,
    ) {
        let id = submit.upstream.clone();
        match self.accept(cx, view, from, submit) {
            Ok(()) => self.run_queue(cx, &id),
            Err((submit, reason)) => {
                let delay_us = self.delay_us(cx.now, &id, submit.urgency);
                let attempt = submit.attempt;
                cx.send(from, Message::NotStarted { attempt, reason, delay_us });
            }
        }
    }

    fn accept(
        &mut self,
        cx: &Context<'_>,
        view: &View<'_>,
        from: &NodeId,
        mut submit: Submit,
    ) -> Result<(), (Box<Submit>, NotStarted)> {
        if let Err(reason) = self.check(view, &mut submit) {
            return Err((Box::new(submit), reason));
        }
        let job = job(cx.now, &submit);
        let q = self.queue_of(view, &submit);
        if let Err(refusal) = q.queue.submit(cx.now, job) {
            return Err((Box::new(submit), not_started(refusal)));
        }
        let attempt = submit.attempt;
        let upstream = submit.upstream.clone();
        self.demand.arrived(&submit);
        let task = Task { from: from.clone(), submit, stage: Stage::Queued, started: None };
        self.queues[&upstream].tasks.insert(attempt, task);
        self.by_attempt.insert(attempt, upstream);
        Ok(())
    }

    /// Whether this node may start the work at its upstream. Fills in the version that is there.
    fn check(&self, view: &View<'_>, submit: &mut Submit) -> Result<(), NotStarted> {
        let id = &submit.upstream;
        let upstream = view.document.upstreams.get(id).ok_or(NotStarted::NotMine)?;
        if self.stopping || upstream.domain != *view.domain {
            return Err(NotStarted::NotMine);
        }
        if upstream.leaving || view.routes.is_leaving(id) || self.leaving.contains(id) {
            return Err(NotStarted::Leaving);
        }
        let Work::Model(work) = &mut submit.work else { return Ok(()) };
        let held = view.routes.version_at(view.domain, id, &work.model, &work.version);
        work.version = held.ok_or(NotStarted::NotHere)?;
        let lacks = |a| !view.routes.has_adapter(view.domain, id, &work.model, a);
        if work.adapter.as_ref().is_some_and(lacks) {
            return Err(NotStarted::NotHere);
        }
        Ok(())
    }

    fn queue_of(&mut self, view: &View<'_>, submit: &Submit) -> &mut UpstreamQueue {
        let upstream = &view.document.upstreams[&submit.upstream];
        let new = || UpstreamQueue::new(view.document, upstream);
        self.queues.entry(submit.upstream.clone()).or_insert_with(new)
    }
}

pub(super) fn not_started(refusal: Refusal) -> NotStarted {
    match refusal {
        Refusal::TooLate { retry_after } => {
            NotStarted::TooLate { retry_after_ms: millis(retry_after) }
        }
        Refusal::Full { retry_after } => NotStarted::Full { retry_after_ms: millis(retry_after) },
        Refusal::Expired { retry_after } => {
            NotStarted::Expired { retry_after_ms: millis(retry_after) }
        }
        Refusal::Bounced => NotStarted::Bounced,
        Refusal::Leaving => NotStarted::Leaving,
    }
}
