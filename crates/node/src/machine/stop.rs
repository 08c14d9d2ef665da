use std::time::Duration;

use hgw_events::{Event as LogEvent, emit};
use hgw_types::Time;
use hgw_wire::peer::Message;

use super::{Node, context, view};
use crate::Action;
use crate::planner::PlannerRole;

/// Longest wait for the release of claims to be recorded. With the log down it cannot be, and a
/// successor finds out by itself that this node is gone.
const RELEASE_WAIT: Duration = Duration::from_secs(2);

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub(super) enum Stop {
    /// None has begun.
    #[default]
    No,
    /// What is in progress is finished.
    Finishing,
    /// Claims are given up.
    Releasing {
        /// Since when.
        since: Time,
    },
    /// The process may end.
    Done,
}

impl Stop {
    pub(super) fn has_begun(&self) -> bool {
        !matches!(self, Stop::No)
    }
}

impl Node {
    pub(super) fn begin_stop(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.stop.has_begun() {
            return;
        }
        emit(LogEvent::ProcessStopping, &[("node", &self.settings.node)]);
        self.stop = Stop::Finishing;
        self.review_readiness(now, out);
        self.say_leaving(now, out);
        self.keys.stop();
        self.dispatcher.stop(&mut context!(self, now, out));
    }

    /// Peers stop sending work here at once, and do not wait for missing heartbeats.
    fn say_leaving(&mut self, now: Time, out: &mut Vec<Action>) {
        let peers: Vec<_> = self.members.others().cloned().collect();
        let version = self.configuration.version();
        let cx = &mut context!(self, now, out);
        for peer in peers {
            cx.send(&peer, Message::Leaving);
        }
        let changes = self.members.leave(cx, version);
        self.members_changed(now, changes, out);
    }

    pub(super) fn go_on_stopping(&mut self, now: Time, out: &mut Vec<Action>) {
        match self.stop {
            Stop::Finishing if self.is_idle() => {
                self.release_claims(now, out);
                self.stop = Stop::Releasing { since: now };
            }
            Stop::Releasing { since }
                if !self.holds_claims() || now.since(since) > RELEASE_WAIT =>
            {
                self.stop = Stop::Done;
                out.push(Action::Exit);
            }
            Stop::No | Stop::Finishing | Stop::Releasing { .. } | Stop::Done => {}
        }
    }

    fn is_idle(&self) -> bool {
        self.entry.open_requests() == 0
            && self.dispatcher.open_tasks() == 0
            && self.keys.running() == 0
            && self.keys.waiting() == 0
    }

    fn release_claims(&mut self, now: Time, out: &mut Vec<Action>) {
        let cx = &mut context!(self, now, out);
        let view = &view!(self);
        self.keeper.release(cx, view);
        self.keys.release(cx, view);
        for planner in self.planners.values_mut() {
            planner.release(cx);
        }
    }

    fn holds_claims(&self) -> bool {
        self.keeper.term().is_some()
            || !self.keys.owned().is_empty()
            || self.planners.values().any(PlannerRole::is_held)
    }
}
