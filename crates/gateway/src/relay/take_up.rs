//! Streams that a caller takes up at this node, and the software version at which they go on.

use std::fmt::Display;
use std::time::Duration;

use hgw_direct::{
    AdmittedVersions, BegunStream, EngineId, Refusal, StreamKey, Target, VersionKey, VersionRule,
};
use hgw_events::{Event, emit};
use http::StatusCode;
use tokio::time::timeout;

use crate::meter;
use crate::peers::{self, AskResult};
use crate::response::{CallerResponse, Outcome, json_error};
use crate::versions;

use super::request::RelayedRequest;

/// Retry delay after nobody could be asked for the version that began a stream.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest wait for the store's record: a caller whose stream cannot go on is told soon.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

impl RelayedRequest {
    /// Identifies the stream over all attempts of its caller.
    fn stream_key(&self) -> StreamKey {
        let resumes = self.info.resumes.as_ref().filter(|_| self.info.last_event.is_some());
        StreamKey::of(resumes.unwrap_or(&self.info.id), &self.digest, self.model_ref())
    }

    /// Finds the version that began the stream that the caller takes up, if it does. Refuses the request if that
    /// is not known for certain.
    pub(super) async fn bind_to_version(&mut self) -> Result<(), Box<CallerResponse>> {
        let Some(after_event) = self.info.last_event.filter(|_| self.route.kind.is_stream()) else {
            return Ok(());
        };
        if self.is_forwarded {
            // The other node has found it, unless its release does not know of versions.
            return match self.version {
                None if after_event > 0 => Err(self.refuse_for_good(Refusal::StreamVersionUnknown)),
                _ => Ok(()),
            };
        }
        let found = self.find_version().await;
        let (version, known_by) = match found {
            Ok(found) => found,
            Err(wait) => {
                self.log_taken_up(after_event, None, "nobody");
                return Err(match wait {
                    None => self.refuse_for_good(Refusal::StreamVersionUnknown),
                    Some(wait) => Box::new(self.refuse(Refusal::StreamVersionUnknown, wait)),
                });
            }
        };
        self.log_taken_up(after_event, Some(version), known_by);
        self.version = Some(version);
        self.follow_version(version);
        Ok(())
    }

    /// The version that began the stream, and how it is known. If it is not, a time after which it may be.
    async fn find_version(&self) -> Result<(VersionKey, &'static str), Option<Duration>> {
        let stream = self.stream_key();
        let mut wait = None;
        if self.info.resumes.is_some() {
            let known = self.node.streams.borrow().version(stream, self.node.now());
            if let Some(version) = known {
                return Ok((version, "memory"));
            }
            match peers::ask_version(&self.node, stream).await {
                AskResult::Known(version) => return Ok((version, "asking")),
                AskResult::Unknown => {}
                AskResult::NoAnswer => wait = Some(NO_ANSWER_RETRY_AFTER),
            }
        }
        // On other routes streams begin at versions that are not admitted, too.
        let targets = self.route.targets.iter().filter(|target| target.weight > 0).count();
        if !self.route.kind.may_repeat() || targets > 1 {
            return Err(wait);
        }
        let record = timeout(RECORD_TIMEOUT, versions::read_anew(&self.node)).await;
        let Ok(Some(admitted)) = record else { return Err(Some(NO_ANSWER_RETRY_AFTER)) };
        let only = admitted.only_version(&self.service);
        only.map(|version| (version, "only version")).ok_or(wait)
    }

    /// Of several services to which the route leads, chooses the one in which the stream began.
    fn follow_version(&mut self, version: VersionKey) {
        let state = self.node.state.borrow();
        let has_version = |target: &&Target| {
            state.engines.of_service(&target.service).any(|e| e.version_key() == version)
        };
        let target = self.route.targets.iter().find(has_version).map(|t| t.service.clone());
        drop(state);
        self.service = target.unwrap_or_else(|| self.service.clone());
    }

    /// Binds the stream to the version of the engine whose first event goes to the caller, and tells other nodes before
    /// it does.
    pub(super) fn record_first_event(&mut self, engine: &EngineId, version: VersionKey) {
        self.version = Some(version);
        if self.is_forwarded {
            return;
        }
        self.log_stream_began(engine);
        if self.route.kind.may_repeat() && version != VersionKey::UNKNOWN {
            let life_ms = versions::stream_life(self.route.timeout).as_millis() as u64;
            peers::record_stream(
                &self.node,
                BegunStream { key: self.stream_key(), version, life_ms },
            );
        }
    }

    /// Versions at which the request may run; `admitted` are those at which streams may begin.
    pub(super) fn version_rule<'a>(
        &self,
        admitted: Option<&'a AdmittedVersions>,
    ) -> VersionRule<'a> {
        if let Some(version) = self.version {
            return VersionRule::Only(version);
        }
        if !self.route.kind.is_stream() || !self.route.kind.may_repeat() {
            return VersionRule::Any;
        }
        let service = admitted.and_then(|admitted| admitted.service(&self.service));
        service.map_or(VersionRule::Any, VersionRule::Admitted)
    }

    /// The final response to a stream that cannot go on: it is no use to come back with it.
    pub(super) fn refuse_for_good(&self, reason: Refusal) -> Box<CallerResponse> {
        self.log_refusal(reason, Duration::ZERO);
        let mut response = json_error(StatusCode::SERVICE_UNAVAILABLE, &reason.to_string());
        response.extensions_mut().insert(Outcome::Refused(reason));
        Box::new(response)
    }

    /// Logs that the caller takes up a stream, and how the version that began it is known.
    fn log_taken_up(&self, after_event: u64, version: Option<VersionKey>, known_by: &'static str) {
        meter::stream_taken_up(&self.service, known_by);
        let version = version.map(|version| version.to_string()).unwrap_or_default();
        let fields: &[(&str, &dyn Display)] = &[
            ("node", &self.node.settings.borrow().node),
            ("id", &self.info.id),
            ("resumes", &self.info.resumes.as_deref().unwrap_or_default()),
            ("digest", &self.digest),
            ("after_event", &after_event),
            ("version", &version),
            ("known_by", &known_by),
        ];
        emit(Event::StreamTakenUp, fields);
    }
}
