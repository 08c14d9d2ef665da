//! Watches the upstreams that this node dispatches for.

use std::time::Duration;

use hgw_dispatch::Report;
use hgw_types::UpstreamId;
use hgw_wire::upstream::LoadReport;

use super::Dispatcher;
use super::upstream_queue::UpstreamQueue;
use crate::Action;
use crate::context::Context;
use crate::view::View;

impl Dispatcher {
    pub(crate) fn on_load(
        &mut self,
        cx: &mut Context<'_>,
        id: &UpstreamId,
        report: Option<LoadReport>,
    ) {
        let Some(report) = report else { return };
        if report.leaving {
            self.leaving.insert(id.clone());
        } else {
            self.leaving.swap_remove(id);
        }
        if let Some(q) = self.queues.get_mut(id) {
            q.queue.report(cx.now, &queue_report(&report));
            self.run_queue(cx, id);
        }
    }

    /// Asks for load reports that are due, and lets queues act on the time that has passed.
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, view: &View<'_>) {
        let leaving = |id: &UpstreamId| {
            self.leaving.contains(id)
                || view.routes.is_leaving(id)
                || view.document.upstreams.get(id).is_none_or(|u| u.leaving)
        };
        let mut due = Vec::new();
        for (id, q) in &mut self.queues {
            q.queue.set_leaving(leaving(id));
            if q.next_report <= cx.now {
                q.next_report = cx.now + cx.settings.load_period;
                cx.out.push(Action::AskLoad { upstream: id.clone(), addr: q.addr.clone() });
            }
            if q.queue.next_wake().is_some_and(|at| at <= cx.now) {
                due.push(id.clone());
            }
        }
        for id in due {
            self.run_queue(cx, &id);
        }
    }

    /// Opens the queues that this node answers for, so that it knows their load and whether they leave
    /// before the first request comes, and drops empty ones that are another node's now: two nodes
    /// would go on asking the upstream for its load.
    pub(crate) fn review(&mut self, view: &View<'_>) {
        let is_mine = |id: &UpstreamId| view.dispatcher_of(id).as_ref() == Some(view.me);
        self.queues.retain(|id, q| !q.tasks.is_empty() || is_mine(id));
        self.leaving.retain(|id| self.queues.contains_key(id));
        for (id, upstream) in &view.document.upstreams {
            let at_home = upstream.domain == *view.domain && !self.queues.contains_key(id);
            if at_home && is_mine(id) {
                self.queues.insert(id.clone(), UpstreamQueue::new(view.document, upstream));
            }
        }
    }
}

fn queue_report(report: &LoadReport) -> Report {
    Report {
        active: report.active,
        waiting: report.waiting,
        step: Duration::from_micros(report.step_us),
        leaving: report.leaving,
    }
}
