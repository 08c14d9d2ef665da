//! What a request tells: a log line and a count for each decision on it.

use std::time::Duration;

use hgw_direct::{EngineId, ModelRef, Refusal};
use hgw_events::{Event, emit};
use http::StatusCode;

use crate::answer::{Answer, own};
use crate::meter;

use super::pace::Pace;
use super::refuse;
use super::request::Relayed;

impl Relayed {
    /// The customer's name; empty where there is none.
    fn customer(&self) -> &str {
        self.identity.customer.as_ref().map_or("", |name| name.0.as_str())
    }

    /// Logs a try that brought no answer.
    pub(super) fn try_failed(&self, engine: &EngineId, why: &'static str, took: Duration) {
        meter::try_failed(why);
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

    /// An answer of this node's own to a request that may have run.
    pub(super) fn fail(&self, status: StatusCode, why: &str) -> Answer {
        self.failed(status.as_u16(), why);
        own(status, why)
    }

    /// Logs that a stream goes on at another engine.
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

    /// Logs that the caller was given no whole answer.
    pub(super) fn failed(&self, status: u16, why: &str) {
        self.told.set(true);
        meter::failed(&self.route, why);
        let wanted = self.wanted().map(ModelRef::to_string).unwrap_or_default();
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

    /// Logs that nobody waits for the answer any more.
    pub(super) fn caller_left(&self) {
        meter::left(&self.route);
        let wanted = self.wanted().map(ModelRef::to_string).unwrap_or_default();
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

    /// Logs an engine's whole answer, and what it was chosen by.
    pub(super) fn served(&self, engine: &EngineId, status: u16, pace: &Pace) {
        self.told.set(true);
        meter::served(&self.route, status, self.arrived.elapsed());
        let wanted = self.wanted().map(ModelRef::to_string).unwrap_or_default();
        let (estimate, own) = self
            .node
            .engine(engine, |e| (e.estimate(self.node.now()), e.own_requests))
            .unwrap_or_default();
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

    /// Refuses the request, which has not run, with a time to come back.
    pub(super) fn refuse(&self, why: Refusal, wait: Duration) -> Answer {
        self.told.set(true);
        meter::refused(&self.route, why);
        if matches!(why, Refusal::QuotaExceeded | Refusal::QuotaUnknown) {
            meter::limited(self.customer(), why);
        }
        let held = self.arrived.elapsed().as_millis();
        let wanted = self.wanted().map(ModelRef::to_string).unwrap_or_default();
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
