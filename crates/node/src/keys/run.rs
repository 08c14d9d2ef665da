//! Runs of keyed calls: each goes to an upstream once.

use std::time::Duration;

use hgw_dispatch::{Ask, Chooser};
use hgw_types::{AttemptId, NodeId, Time, UpstreamId};
use hgw_wire::peer::{Keyed, Message, NotStarted, Submit, Work};
use indexmap::{IndexMap, IndexSet};

use crate::context::Context;
use crate::handover::{GRACE, MAX_HOPS, micros};
use crate::view::View;

/// A call that has to run.
#[derive(Debug)]
struct Task {
    keyed: Keyed,
    shard: u32,
    deadline: Time,
    tried: IndexSet<UpstreamId>,
    hops: u8,
}

/// A call that was given to a dispatcher.
#[derive(Debug)]
struct Run {
    task: Task,
    upstream: UpstreamId,
    dispatcher: NodeId,
}

/// A call whose run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Finished {
    pub(super) call: AttemptId,
    pub(super) shard: u32,
}

impl Task {
    fn finished(&self) -> Finished {
        Finished { call: self.keyed.attempt, shard: self.shard }
    }
}

/// Runs that have not ended, by the attempt at the dispatcher.
#[derive(Debug)]
pub(super) struct Runs {
    by_attempt: IndexMap<AttemptId, Run>,
    chooser: Chooser,
}

impl Runs {
    pub(super) fn new(chooser: Chooser) -> Self {
        Runs { by_attempt: IndexMap::new(), chooser }
    }

    pub(super) fn len(&self) -> usize {
        self.by_attempt.len()
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.by_attempt.contains_key(&attempt)
    }

    /// Sends a call to an upstream, or gives it back where none can be reached: it has not run.
    pub(super) fn begin(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        shard: u32,
        keyed: Keyed,
    ) -> Option<Finished> {
        let deadline = cx.now + Duration::from_micros(keyed.left_us);
        let task = Task { keyed, shard, deadline, tried: IndexSet::new(), hops: 0 };
        self.send(cx, view, task)
    }

    fn send(&mut self, cx: &mut Context<'_>, view: &View<'_>, task: Task) -> Option<Finished> {
        let Some((upstream, dispatcher)) = self.target(cx.now, view, &task) else {
            return Some(task.finished());
        };
        let attempt = cx.attempt();
        let left = task.deadline.since(cx.now);
        let submit = Submit {
            attempt,
            request: task.keyed.request.clone(),
            upstream: upstream.clone(),
            service: task.keyed.service.clone(),
            urgency: task.keyed.urgency,
            left_us: micros(left),
            may_bounce: task.hops == 0,
            collect: true,
            work: Work::Plain(task.keyed.work.clone()),
        };
        cx.send(&dispatcher, Message::Submit(submit));
        self.by_attempt.insert(attempt, Run { task, upstream, dispatcher });
        None
    }

    fn target(&mut self, now: Time, view: &View<'_>, task: &Task) -> Option<(UpstreamId, NodeId)> {
        let mut candidates = view.routes.for_plain(view.document, view.domain, &task.keyed.service);
        candidates.retain(|c| !task.tried.contains(&c.upstream));
        let ask =
            Ask { model: None, adapter: None, urgency: task.keyed.urgency, prefix: Vec::new() };
        let order = self.chooser.choose(now, &ask, &candidates);
        order.into_iter().find_map(|u| view.dispatcher_of(&u).map(|dispatcher| (u, dispatcher)))
    }

    /// The dispatcher did not start the run, so another may: nothing has reached an upstream. Gives the
    /// call back where none is left or the queues are full.
    pub(super) fn not_started(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        attempt: AttemptId,
        reason: &NotStarted,
    ) -> Option<Finished> {
        let Run { mut task, upstream, .. } = self.by_attempt.swap_remove(&attempt)?;
        task.hops += 1;
        if *reason != NotStarted::NotMine {
            task.tried.insert(upstream);
        }
        let elsewhere = matches!(
            reason,
            NotStarted::NotMine
                | NotStarted::NotHere
                | NotStarted::Leaving
                | NotStarted::Bounced
                | NotStarted::Unreachable
        );
        if elsewhere && task.hops < MAX_HOPS {
            self.send(cx, view, task)
        } else {
            Some(task.finished())
        }
    }

    pub(super) fn ended(&mut self, attempt: AttemptId) -> Option<Finished> {
        self.by_attempt.swap_remove(&attempt).map(|run| run.task.finished())
    }

    /// Takes away the runs that were with a node that is gone.
    pub(super) fn lost_with(&mut self, peer: &NodeId) -> Vec<Finished> {
        self.take_if(|run| run.dispatcher == *peer)
    }

    /// Takes away the runs whose dispatcher has said nothing until well after their deadline.
    pub(super) fn overdue(&mut self, now: Time) -> Vec<Finished> {
        self.take_if(|run| run.task.deadline + GRACE <= now)
    }

    fn take_if(&mut self, lost: impl Fn(&Run) -> bool) -> Vec<Finished> {
        let gone: Vec<AttemptId> =
            self.by_attempt.iter().filter(|(_, run)| lost(run)).map(|(a, _)| *a).collect();
        gone.into_iter().filter_map(|attempt| self.ended(attempt)).collect()
    }
}
