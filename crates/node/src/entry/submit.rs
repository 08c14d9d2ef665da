//! Sends a request to the dispatcher of an upstream, or to the owner of its key.

use hgw_dispatch::Candidate;
use hgw_types::{NodeId, Scope, UpstreamId};
use hgw_wire::peer::{Keyed, Message, Submit};

use super::open::{Current, Open, Phase, Task};
use super::{Entry, LOOK_PAUSE, failure, ran};
use crate::context::Context;
use crate::handover::{MAX_HOPS, micros};
use crate::view::View;
use crate::{Action, Ran, StreamId};

/// Where a request goes next.
struct Target {
    upstream: UpstreamId,
    dispatcher: NodeId,
    /// Whether another upstream could take it instead.
    others: bool,
}

impl Entry {
    /// Sends a request to the best upstream that has not failed it, or waits for one, or gives up.
    pub(super) fn submit(&mut self, cx: &mut Context<'_>, view: &View<'_>, stream: StreamId) {
        let Some(open) = self.open.get(&stream) else { return };
        if open.hops >= MAX_HOPS {
            self.fail_unavailable(cx, stream);
            return;
        }
        match self.target(cx, view, stream) {
            Some(target) => self.send_to(cx, stream, target),
            None => self.look_later(cx, stream),
        }
    }

    fn target(&mut self, cx: &Context<'_>, view: &View<'_>, stream: StreamId) -> Option<Target> {
        let open = self.open.get(&stream)?;
        let mut candidates = candidates(view, open);
        candidates.retain(|c| !open.tried.contains(&c.upstream));
        let order = self.chooser.choose(cx.now, &open.ask(), &candidates);
        let mut reachable = order
            .into_iter()
            .filter_map(|u| view.dispatcher_of(&u).map(|dispatcher| (u, dispatcher)));
        let (upstream, dispatcher) = reachable.next()?;
        let others = reachable.next().is_some();
        Some(Target { upstream, dispatcher, others })
    }

    fn send_to(&mut self, cx: &mut Context<'_>, stream: StreamId, target: Target) {
        let attempt = cx.attempt();
        let Some(open) = self.open.get_mut(&stream) else { return };
        let submit = Submit {
            attempt,
            request: open.request.clone(),
            upstream: target.upstream.clone(),
            service: open.service.clone(),
            urgency: open.urgency,
            left_us: micros(open.due().since(cx.now)),
            may_bounce: target.others && open.hops == 0,
            collect: false,
            work: open.work(),
        };
        self.chooser.sent(cx.now, &target.upstream, &open.ask());
        cx.act(Action::Attach { stream, attempt });
        cx.send(&target.dispatcher, Message::Submit(submit));
        let Target { upstream, dispatcher, .. } = target;
        open.phase = Phase::Submitted(Current { attempt, upstream, dispatcher, started: false });
        self.by_attempt.insert(attempt, stream);
    }

    /// No upstream is left to try. A request that has not begun anywhere is answered at once; one
    /// that was under way when its upstream failed waits, within a bound, for the keeper or the next
    /// dispatcher to offer a place to go on.
    fn look_later(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        match open.look_until {
            Some(until) if cx.now < until => {
                open.tried.clear();
                open.hops = 0;
                open.phase = Phase::Looking { next: cx.now + LOOK_PAUSE };
            }
            Some(_) => {
                let failure = failure::broken(ran(open));
                self.fail(cx, stream, failure);
            }
            None => self.fail_unavailable(cx, stream),
        }
    }

    /// Sends a keyed call to the owner of its shard: `owner`, or the one that this node knows.
    pub(super) fn submit_keyed(
        &mut self,
        cx: &mut Context<'_>,
        view: &View<'_>,
        stream: StreamId,
        owner: Option<NodeId>,
    ) {
        let Some(open) = self.open.get_mut(&stream) else { return };
        let Task::Plain { work, key: Some(key), .. } = &open.task else { return };
        let redirected = owner.is_some();
        let shard = hgw_once::shard_of(&open.service, key, cx.settings.key_shards);
        let Some(owner) = owner.or_else(|| view.preferred_holder(&Scope::key_shard(shard))) else {
            self.fail(cx, stream, failure::unavailable(Ran::NotRun));
            return;
        };
        let attempt = cx.attempt();
        let keyed = Keyed {
            attempt,
            request: open.request.clone(),
            service: open.service.clone(),
            key: key.clone(),
            urgency: open.urgency,
            left_us: micros(open.due().since(cx.now)),
            work: work.clone(),
        };
        cx.send(&owner, Message::Keyed(keyed));
        open.phase = Phase::Keyed { attempt, owner, redirected };
        self.by_attempt.insert(attempt, stream);
    }
}

fn candidates(view: &View<'_>, open: &Open) -> Vec<Candidate> {
    match &open.task {
        Task::Model { model, adapter, .. } => {
            view.routes.for_model(view.document, view.domain, model, adapter.as_ref())
        }
        Task::Plain { .. } => view.routes.for_plain(view.document, view.domain, &open.service),
    }
}
