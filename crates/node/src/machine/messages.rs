use std::time::Duration;

use hgw_placement::LeaderEvent;
use hgw_types::{NodeId, Time};
use hgw_wire::peer::{Message, Placement};

use super::{Node, context, view};
use crate::Action;
use crate::routes::Taken;

impl Node {
    pub(super) fn on_message(
        &mut self,
        now: Time,
        from: &NodeId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Submit(submit) => {
                let cx = &mut context!(self, now, out);
                self.dispatcher.on_submit(cx, &view!(self), from, submit);
            }
            Message::NotStarted { .. } | Message::Started { .. } | Message::Ended { .. } => {
                self.on_attempt(now, message, out);
            }
            Message::Cancel { attempt } => {
                self.dispatcher.on_cancel(&mut context!(self, now, out), attempt);
            }
            Message::Keyed(keyed) => {
                self.keys.on_keyed(&mut context!(self, now, out), &view!(self), from, keyed);
            }
            Message::KeyedAnswer { attempt, answer } => {
                let cx = &mut context!(self, now, out);
                self.entry.on_keyed_answer(cx, &view!(self), attempt, answer);
            }
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
            Message::Placement(placement) => self.on_placement(now, from, placement, out),
            Message::AskPlacement => self.keeper.send_whole(&mut context!(self, now, out), from),
            Message::Demand(demand) => {
                let event = LeaderEvent::Demand(demand);
                self.keeper.handle(&mut context!(self, now, out), &view!(self), event);
            }
            Message::LostEngines(domain, engines) => {
                let region = self.configuration.region_of(&domain);
                if let Some(planner) = region.and_then(|r| self.planners.get_mut(&r)) {
                    planner.on_lost_engines(domain, engines);
                }
            }
            Message::AskConfig { have } => {
                self.configuration.send_newer(&mut context!(self, now, out), from, have);
            }
            Message::Config { version, document } => {
                let cx = &mut context!(self, now, out);
                if self.configuration.on_peer_config(cx, from, version, &document) {
                    self.config_changed(now, out);
                }
            }
            Message::Leaving => self.on_leaving(now, from, out),
        }
    }

    /// What a dispatcher says of an attempt: of a caller's request, or of a keyed call of this node.
    fn on_attempt(&mut self, now: Time, message: Message, out: &mut Vec<Action>) {
        let cx = &mut context!(self, now, out);
        let view = &view!(self);
        match message {
            Message::NotStarted { attempt, reason, .. } if self.keys.has_run(attempt) => {
                self.keys.on_not_started(cx, view, attempt, &reason);
            }
            Message::NotStarted { attempt, reason, delay_us } => {
                let delay = Duration::from_micros(delay_us);
                self.entry.on_not_started(cx, view, attempt, &reason, delay);
            }
            Message::Started { attempt, delay_us } => {
                self.entry.on_started(now, attempt, Duration::from_micros(delay_us));
            }
            Message::Ended { attempt, outcome, answer, .. } if self.keys.has_run(attempt) => {
                self.keys.on_ended(cx, view, attempt, outcome, answer);
            }
            Message::Ended { attempt, outcome, delay_us, .. } => {
                let delay = Duration::from_micros(delay_us);
                self.entry.on_ended(cx, view, attempt, outcome, delay);
            }
            _ => {}
        }
    }

    fn on_placement(
        &mut self,
        now: Time,
        from: &NodeId,
        placement: Placement,
        out: &mut Vec<Action>,
    ) {
        if placement.domain != self.settings.domain {
            return;
        }
        if self.routes.place(from, placement) == Taken::Gap {
            context!(self, now, out).send(from, Message::AskPlacement);
        }
    }
}
