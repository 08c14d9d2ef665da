use std::sync::Arc;

use hgw_events::{Event as LogEvent, emit};
use hgw_placement::Floor;
use hgw_types::{Offset, RecordId, RegionId, StreamName, Time};

use super::{Node, context, view};
use crate::planner::PlannerRole;
use crate::{Action, PlatformError, ReadOutcome};

impl Node {
    pub(super) fn on_read(
        &mut self,
        now: Time,
        stream: &StreamName,
        outcome: ReadOutcome,
        out: &mut Vec<Action>,
    ) {
        self.note_log(outcome != ReadOutcome::Failed);
        if *stream == StreamName::config() {
            let changed = self.configuration.on_read(&mut context!(self, now, out), outcome);
            if changed {
                self.config_changed(now, out);
            }
        } else if stream == self.keeper.stream() {
            self.keeper.on_read(&mut context!(self, now, out), &view!(self), outcome);
        } else if let Some(region) = self.region_by_stream(stream) {
            let cx = &mut context!(self, now, out);
            let floor = self.planners[&region].on_read(cx, outcome);
            self.take_floor(now, region, floor, out);
        } else {
            self.keys.on_read(&mut context!(self, now, out), &view!(self), stream, outcome);
        }
    }

    pub(super) fn on_appended(
        &mut self,
        now: Time,
        stream: &StreamName,
        id: RecordId,
        outcome: Result<Offset, PlatformError>,
        out: &mut Vec<Action>,
    ) {
        if *stream == StreamName::config() {
            self.configuration.on_appended(&mut context!(self, now, out), id, outcome);
        } else if stream == self.keeper.stream() {
            let cx = &mut context!(self, now, out);
            self.keeper.on_appended(cx, &view!(self), id, outcome);
        } else if let Some(region) = self.region_by_stream(stream) {
            let cx = &mut context!(self, now, out);
            let floor = self.planners[&region].on_appended(cx, id, outcome);
            self.take_floor(now, region, floor, out);
        } else {
            let cx = &mut context!(self, now, out);
            self.keys.on_appended(cx, &view!(self), stream, id, outcome);
        }
    }

    fn region_by_stream(&self, stream: &StreamName) -> Option<RegionId> {
        self.planners.values().find(|p| p.stream() == stream).map(|p| p.region().clone())
    }

    pub(super) fn take_floor(
        &mut self,
        now: Time,
        region: RegionId,
        floor: Option<Floor>,
        out: &mut Vec<Action>,
    ) {
        let Some(floor) = floor else { return };
        let fields: [(&str, &dyn std::fmt::Display); 3] =
            [("node", &self.settings.node), ("region", &region), ("config", &floor.config)];
        emit(LogEvent::FloorInForce, &fields);
        self.routes.set_floor(region.clone(), floor.clone());
        if self.configuration.region_of(&self.settings.domain) == Some(region) {
            self.keeper.on_floor(&mut context!(self, now, out), &view!(self), floor);
        }
    }

    /// A configuration has come into force: every part that depends on it is told at once.
    pub(super) fn config_changed(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.configuration.version();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("node", &self.settings.node), ("version", &version)];
        emit(LogEvent::ConfigInForce, &fields);
        let document = Arc::clone(self.configuration.shared());
        self.dispatcher.on_config(&document);
        self.follow_regions(now, out);
        self.keeper.on_config(&mut context!(self, now, out), &view!(self), version, document);
        self.review(now, out);
    }

    /// Reads the floors of all regions that the configuration names.
    fn follow_regions(&mut self, now: Time, out: &mut Vec<Action>) {
        let regions: Vec<RegionId> =
            self.configuration.document().domains.values().map(|d| d.region.clone()).collect();
        self.planners.retain(|region, _| regions.contains(region));
        for region in regions {
            if !self.planners.contains_key(&region) {
                let planner = PlannerRole::new(&context!(self, now, out), region.clone());
                self.planners.insert(region, planner);
            }
        }
    }

    fn note_log(&mut self, up: bool) {
        if up == self.log_up {
            return;
        }
        self.log_up = up;
        let event = if up { LogEvent::LogUp } else { LogEvent::LogDown };
        emit(event, &[("node", &self.settings.node)]);
    }
}
