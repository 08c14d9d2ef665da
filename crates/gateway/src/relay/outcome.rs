//! Logs and counts what happens to a request.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::{
    CrashSubject, EngineId, ModelRef, Refusal, RefusalDuration, ServiceSilence, VersionKey,
    retry_time,
};
use hgw_events::{Event, emit};
use hgw_http1::Error;
use http::StatusCode;
use rand::random;

use crate::meter;
use crate::response::{CallerResponse, Outcome, json_error};

use super::event_timing::EventTiming;
use super::request::RelayedRequest;
use super::source::Source;
use super::wait::ExceededLimit;
use super::{refuse, refuse_for};

impl RelayedRequest {
    /// The customer's name; empty if there is none.
    fn customer_name(&self) -> &str {
        self.identity.customer.as_ref().map_or("", |name| name.0.as_str())
    }

    pub(super) fn log_failed_attempt(
        &self,
        engine: &EngineId,
        reason: &'static str,
        took: Duration,
    ) {
        meter::attempt_failed(reason);
        let estimate = self.node.engine(engine, |e| e.estimate(self.node.now()));
        emit(
            Event::TryFailed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("upstream", engine),
                ("why", &reason),
                ("ms", &took.as_millis()),
                ("left_ms", &self.time_left().as_millis()),
                ("runs", &self.executions()),
                ("at_engine", &estimate.unwrap_or_default()),
            ],
        );
    }

    /// Logs that an engine sent what is no response, if the error says so.
    pub(super) fn log_if_malformed(&self, engine: &EngineId, error: &Error) {
        if !error.is_malformed() {
            return;
        }
        meter::malformed_response(&self.service);
        emit(
            Event::ResponseMalformed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("upstream", engine),
                ("what", error),
            ],
        );
    }

    /// Logs that the request looks for another way, as its engine is silent.
    pub(super) fn log_silent_engine(&self, engine: &EngineId, exceeded: ExceededLimit) {
        let silent_ms = self.node.time_since_heard(engine).as_millis();
        let is_reported = self.node.is_reported_unreachable(engine);
        let of_engine: [(&str, &dyn Display); 3] =
            [("upstream", engine), ("silent_ms", &silent_ms), ("reported", &is_reported)];
        self.log_silence(&of_engine, exceeded);
    }

    /// The same if another node that was to forward the request is silent.
    pub(super) fn log_silent_forwarder(&self, addr: SocketAddr, exceeded: ExceededLimit) {
        self.log_silence(&[("peer", &addr)], exceeded);
    }

    fn log_silence(&self, of_source: &[(&str, &dyn Display)], exceeded: ExceededLimit) {
        let now = self.node.now();
        let silence = ServiceSilence::of(&self.node.state.borrow().engines, &self.service, now);
        meter::attempt_failed("silent");
        let to = if self.should_forward() { "forwarder" } else { "engine" };
        let (node, limit_ms) = (&self.node.settings.borrow().node, exceeded.limit.as_millis());
        let path = !self.has_failed_path();
        let of_request: [(&str, &dyn Display); 9] = [
            ("node", node),
            ("id", &self.info.id),
            ("limit", &exceeded.of),
            ("limit_ms", &limit_ms),
            ("waiting", &silence.waiting),
            ("silent", &silence.silent),
            ("path", &path),
            ("to", &to),
            ("runs", &self.executions()),
        ];
        emit(Event::EngineSilent, &[&of_request, of_source].concat());
    }

    /// Builds this node's error response to a request that an engine may have executed.
    pub(super) fn fail(&self, status: StatusCode, reason: &str) -> CallerResponse {
        self.log_failed(status.as_u16(), reason);
        let mut response = json_error(status, reason);
        response.extensions_mut().insert(Outcome::Failed { runs: self.own_executions() });
        response
    }

    /// What the response of an engine is to a node that forwarded the request.
    pub(super) fn outcome_of(&self, engine: &EngineId, version: VersionKey) -> Outcome {
        Outcome::Engine { engine: engine.clone(), version, runs: self.own_executions() }
    }

    pub(super) fn log_resumed(&self, from: &EngineId, to: &EngineId, last: u64) {
        emit(
            Event::RequestResumed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("from", from),
                ("upstream", to),
                ("after_event", &last),
                ("ms", &self.received_at.elapsed().as_millis()),
            ],
        );
    }

    /// Logs that a stream has begun, as the node may not live to log its end.
    pub(super) fn log_stream_began(&self, engine: &EngineId) {
        let software = self.node.engine(engine, |e| e.info.software.clone()).flatten();
        emit(
            Event::StreamBegan,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("digest", &self.digest),
                ("upstream", engine),
                ("software", &software.map_or_else(String::new, |version| version.0)),
            ],
        );
    }

    /// Logs that the caller got no complete response.
    pub(super) fn log_failed(&self, status: u16, reason: &str) {
        if self.is_logged_elsewhere() {
            return;
        }
        meter::failed(&self.route, reason);
        let model_ref = self.model_ref().map(ModelRef::to_string).unwrap_or_default();
        emit(
            Event::RequestFailed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("customer", &self.customer_name()),
                ("route", &self.route.name),
                ("wanted", &model_ref),
                ("status", &status),
                ("why", &reason),
                ("ms", &self.received_at.elapsed().as_millis()),
                ("runs", &self.executions()),
                ("rejected", &self.rejected),
                ("unreached", &self.unreached),
            ],
        );
    }

    /// Logs that the caller left before the response was complete.
    pub(super) fn log_caller_left(&self) {
        if self.is_forwarded {
            return;
        }
        meter::caller_left(&self.route);
        let model_ref = self.model_ref().map(ModelRef::to_string).unwrap_or_default();
        let upstream = self.tried_engines.last().map(EngineId::to_string).unwrap_or_default();
        emit(
            Event::CallerLeft,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("route", &self.route.name),
                ("wanted", &model_ref),
                ("upstream", &upstream),
                ("ms", &self.received_at.elapsed().as_millis()),
                ("runs", &self.executions()),
                ("rejected", &self.rejected),
                ("unreached", &self.unreached),
            ],
        );
    }

    /// Logs a complete response and the load estimate of its engine.
    pub(super) fn log_served(
        &self,
        engine: &EngineId,
        source: &Source,
        status: u16,
        timing: &EventTiming,
    ) {
        self.is_logged.set(true);
        if self.is_forwarded {
            meter::served_for_peer();
        } else {
            meter::served(&self.route, status, self.received_at.elapsed());
        }
        if let Source::Forwarder(guard) = source {
            self.log_served_elsewhere(engine, guard.addr, status, timing);
            return;
        }
        let model_ref = self.model_ref().map(ModelRef::to_string).unwrap_or_default();
        let (estimate, own_requests) = self
            .node
            .engine(engine, |e| (e.estimate(self.node.now()), e.own_requests))
            .unwrap_or_default();
        emit(
            Event::RequestServed,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("customer", &self.customer_name()),
                ("route", &self.route.name),
                ("wanted", &model_ref),
                ("priority", &self.route.priority),
                ("upstream", engine),
                ("status", &status),
                ("ms", &self.received_at.elapsed().as_millis()),
                ("waited_ms", &self.room_wait.as_millis()),
                ("pieces", &timing.pieces),
                ("longest_pause_ms", &timing.max_gap.as_millis()),
                ("runs", &self.executions()),
                ("at_engine", &estimate),
                ("own_at_engine", &own_requests),
            ],
        );
    }

    /// Logs a complete response that came by way of another node, which has logged the engine's part.
    fn log_served_elsewhere(
        &self,
        engine: &EngineId,
        peer: SocketAddr,
        status: u16,
        timing: &EventTiming,
    ) {
        meter::forwarded();
        emit(
            Event::RequestForwarded,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("route", &self.route.name),
                ("peer", &peer),
                ("upstream", engine),
                ("status", &status),
                ("ms", &self.received_at.elapsed().as_millis()),
                ("pieces", &timing.pieces),
                ("longest_pause_ms", &timing.max_gap.as_millis()),
                ("nodes_tried", &self.tried_forwarders.len()),
                ("runs", &self.executions()),
            ],
        );
    }

    /// Whether the node that received the request logs its end.
    fn is_logged_elsewhere(&self) -> bool {
        self.is_logged.set(true);
        self.is_forwarded
    }

    /// Rejects a request that no engine has executed, with a `Retry-After` delay.
    pub(super) fn refuse(&self, reason: Refusal, retry_after: Duration) -> CallerResponse {
        self.log_refusal(reason, retry_after);
        refuse(&self.node, reason, retry_after)
    }

    /// Rejects a request that no engine has executed, with the `Retry-After` that is best for its caller.
    pub(super) fn refuse_while(&self, reason: Refusal, lasts: RefusalDuration) -> CallerResponse {
        let delay = retry_time(lasts, self.time_left(), random());
        self.log_refusal(reason, delay);
        refuse_for(&self.node, reason, delay)
    }

    pub(super) fn log_refusal(&self, reason: Refusal, retry_after: Duration) {
        if self.is_logged_elsewhere() {
            return;
        }
        meter::refused(&self.route, &reason);
        if matches!(reason, Refusal::QuotaExceeded | Refusal::QuotaUnknown) {
            meter::quota_refused(self.customer_name(), reason);
        }
        self.log_refused(&reason, retry_after, None);
    }

    /// Logs that a request is refused for good as this crashes engines.
    pub(super) fn log_withheld(&self, subject: CrashSubject) {
        if self.is_logged_elsewhere() {
            return;
        }
        meter::refused(&self.route, &Refusal::CrashesEngines);
        self.log_refused(&Refusal::CrashesEngines, Duration::ZERO, Some(subject));
    }

    /// Logs that another node refused the request.
    pub(super) fn log_refused_elsewhere(&self, reason: &str) {
        self.is_logged.set(true);
        meter::refused(&self.route, &reason);
        self.log_refused(&reason, Duration::ZERO, None);
    }

    fn log_refused(
        &self,
        reason: &dyn Display,
        retry_after: Duration,
        subject: Option<CrashSubject>,
    ) {
        let held_ms = self.received_at.elapsed().as_millis();
        let model_ref = self.model_ref().map(ModelRef::to_string).unwrap_or_default();
        let digest = subject.map_or_else(String::new, |subject| subject.to_string());
        emit(
            Event::RequestRefused,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("customer", &self.customer_name()),
                ("route", &self.route.name),
                ("wanted", &model_ref),
                ("why", reason),
                ("wait_ms", &retry_after.as_millis()),
                ("held_ms", &held_ms),
                ("unreached", &self.unreached),
                ("rejected", &self.rejected),
                ("digest", &digest),
            ],
        );
    }
}
