use hgw_events::{Event as LogEvent, emit};
use hgw_types::Time;
use hgw_wire::peer::Message;

use super::{Node, context, view};
use crate::Action;
use crate::timer::Duty;

impl Node {
    pub(super) fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.configuration.on_tick(&mut context!(self, now, out));
        self.keeper.on_tick(&mut context!(self, now, out), &view!(self));
        self.tick_planners(now, out);
        let cx = &mut context!(self, now, out);
        let view = &view!(self);
        self.keys.on_tick(cx, view);
        self.dispatcher.on_tick(cx, view);
        self.entry.on_tick(cx, view);
        for duty in self.timers.due(now) {
            self.on_duty(now, duty, out);
        }
        self.go_on_stopping(now, out);
    }

    fn tick_planners(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut floors = Vec::new();
        for (region, planner) in &mut self.planners {
            let floor = planner.on_tick(&mut context!(self, now, out));
            floors.push((region.clone(), floor));
        }
        for (region, floor) in floors {
            self.take_floor(now, region, floor, out);
        }
    }

    fn on_duty(&mut self, now: Time, duty: Duty, out: &mut Vec<Action>) {
        match duty {
            Duty::Members => {
                let version = self.configuration.version();
                let changes = self.members.on_tick(&mut context!(self, now, out), version);
                self.members_changed(now, changes, out);
            }
            Duty::Review => self.review(now, out),
            Duty::Demand => self.tell_demand(now, out),
            Duty::Vms => out.push(Action::AskVms),
        }
    }

    /// Compares who should hold what with who does, and takes what is due.
    pub(super) fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        self.keeper.review(&mut context!(self, now, out), &view!(self));
        self.keys.review(&mut context!(self, now, out), &view!(self));
        let version = self.configuration.version();
        let mut floors = Vec::new();
        for (region, planner) in &mut self.planners {
            let cx = &mut context!(self, now, out);
            floors.push((region.clone(), planner.review(cx, &view!(self), version)));
        }
        for (region, floor) in floors {
            self.take_floor(now, region, floor, out);
        }
        self.dispatcher.review(&view!(self));
        self.tell_leaving(now, out);
        let newest = self.members.newest_version();
        let rank = self.members.rank_of_all("config");
        self.configuration.review(&mut context!(self, now, out), newest, rank);
        self.review_readiness(now, out);
    }

    /// A node is ready for callers once it knows the configuration: before that it would answer that
    /// models do not exist.
    pub(super) fn review_readiness(&mut self, _now: Time, out: &mut Vec<Action>) {
        let ready = self.configuration.is_known() && !self.stop.has_begun();
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        emit(LogEvent::ReadinessChanged, &[("node", &self.settings.node), ("ready", &ready)]);
        out.push(Action::Ready(ready));
    }

    /// Tells the keeper what was asked for, and the planner which engines the keeper has lost.
    fn tell_demand(&mut self, now: Time, out: &mut Vec<Action>) {
        let unmet = self.entry.take_unmet();
        let demand = self.dispatcher.demand().take(unmet);
        let keeper = self.routes.keeper(&self.settings.domain).cloned();
        let cx = &mut context!(self, now, out);
        if let Some(keeper) = keeper.filter(|_| !demand.is_empty()) {
            cx.send(&keeper, Message::Demand(demand));
        }
        let Some(lost) = self.keeper.lost_engines() else { return };
        let domain = cx.settings.domain.clone();
        let region = self.configuration.region_of(&domain);
        let planner = region.and_then(|r| self.planners.get(&r)).and_then(|p| p.holder());
        if let Some(planner) = planner {
            cx.send(planner, Message::LostEngines(domain, lost.to_vec()));
        }
    }
}
