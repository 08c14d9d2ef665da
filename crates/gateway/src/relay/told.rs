//! Logs and counts what happens to a request.

use std::time::Duration;

use hgw_direct::{EngineId, Refusal, Wanted};
use hgw_events::{Event, emit};
use http::StatusCode;

use crate::answer::{Answer, own};
use crate::meter;

use super::pace::Pace;
use super::refuse;
use super::request::Relayed;

impl Relayed {
    /// The customer's name; empty if there is none.
    fn customer(&self) -> &str {
        self.identity.customer.as_ref().map_or("", |name| name.0.as_str())
    }

    pub(super) fn try_failed(&self, engine: &EngineId, why: &'static str, took: Duration) {
        meter::attempt_failed(why);
        let estimate = self.node.engine(engine, |e| e.estimate(self.node.now()));
        emit(
            Event::TryFailed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.call.id),
                ("upstream", engine),
                ("why", &why),
                ("ms", &took.as_millis()),
                ("left_ms", &self.left().as_millis()),
                ("runs", &self.runs),
                ("at_engine", &estimate.unwrap_or_default()),
            ],
        );
    }

    /// Builds this node's error response to a request that an engine may have executed.
    pub(super) fn fail(&self, status: StatusCode, why: &str) -> Answer {
        self.failed(status.as_u16(), why);
        own(status, why)
    }

    pub(super) fn resumed(&self, from: &EngineId, to: &EngineId, last: u64) {
        emit(
            Event::RequestResumed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.call.id),
                ("from", from),
                ("upstream", to),
                ("after_event", &last),
                ("ms", &self.arrived.elapsed().as_millis()),
            ],
        );
    }

    /// Logs that the caller got no complete response.
    pub(super) fn failed(&self, status: u16, why: &str) {
        self.told.set(true);
        meter::failed(&self.route, why);
        let wanted = self.wanted().map(Wanted::to_string).unwrap_or_default();
        emit(
            Event::RequestFailed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.call.id),
                ("customer", &self.customer()),
                ("route", &self.route.name),
                ("wanted", &wanted),
                ("status", &status),
                ("why", &why),
                ("ms", &self.arrived.elapsed().as_millis()),
                ("runs", &self.runs),
                ("rejected", &self.rejected),
                ("unreached", &self.unreached),
            ],
        );
    }

    /// Logs that the caller left before the response was complete.
    pub(super) fn caller_left(&self) {
        meter::caller_left(&self.route);
        let wanted = self.wanted().map(Wanted::to_string).unwrap_or_default();
        let upstream = self.tried.last().map(EngineId::to_string).unwrap_or_default();
        emit(
            Event::CallerLeft,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.call.id),
                ("route", &self.route.name),
                ("wanted", &wanted),
                ("upstream", &upstream),
                ("ms", &self.arrived.elapsed().as_millis()),
                ("runs", &self.runs),
                ("rejected", &self.rejected),
                ("unreached", &self.unreached),
            ],
        );
    }

    /// Logs a complete response and the load estimate of its engine.
    pub(super) fn served(&self, engine: &EngineId, status: u16, pace: &Pace) {
        self.told.set(true);
        meter::served(&self.route, status, self.arrived.elapsed());
        let wanted = self.wanted().map(Wanted::to_string).unwrap_or_default();
        let (estimate, own) =
            self.node.engine(engine, |e| (e.estimate(self.node.now()), e.own)).unwrap_or_default();
        emit(
            Event::RequestServed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.call.id),
                ("customer", &self.customer()),
                ("route", &self.route.name),
                ("wanted", &wanted),
                ("priority", &self.route.priority),
                ("upstream", engine),
                ("status", &status),
                ("ms", &self.arrived.elapsed().as_millis()),
                ("waited_ms", &self.waited.as_millis()),
                ("pieces", &pace.pieces),
                ("longest_pause_ms", &pace.longest.as_millis()),
                ("runs", &self.runs),
                ("at_engine", &estimate),
                ("own_at_engine", &own),
            ],
        );
    }

    /// Rejects a request that no engine has executed, with a `Retry-After` delay.
    pub(super) fn refuse(&self, why: Refusal, wait: Duration) -> Answer {
        self.told.set(true);
        meter::refused(&self.route, why);
        if matches!(why, Refusal::OverLimit | Refusal::NoAllowance) {
            meter::quota_refused(self.customer(), why);
        }
        let held = self.arrived.elapsed().as_millis();
        let wanted = self.wanted().map(Wanted::to_string).unwrap_or_default();
        emit(
            Event::RequestRefused,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.call.id),
                ("customer", &self.customer()),
                ("route", &self.route.name),
                ("wanted", &wanted),
                ("why", &why),
                ("wait_ms", &wait.as_millis()),
                ("held_ms", &held),
                ("unreached", &self.unreached),
                ("rejected", &self.rejected),
            ],
        );
        refuse(&self.node, why, wait)
    }
}
