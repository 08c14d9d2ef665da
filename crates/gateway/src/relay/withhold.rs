//! Requests that may have crashed engines: when engines end under them, and when they are withheld.

use std::time::Duration;

use hgw_direct::{Origin, Prompt, Refusal, SendPermission};
use hgw_events::{Event, emit};
use http::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt_guard::AttemptGuard;
use crate::crashes::{self, BrokenAttempt, BrokenRun};
use crate::meter;
use crate::response::{CallerResponse, json_error};

use super::request::RelayedRequest;

/// A request that is sent to no engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Withheld {
    /// Time after which it may be known that engines did not end under it; none if they did.
    retry_after: Option<Duration>,
}

impl RelayedRequest {
    /// Checks whether the request may be sent to an engine.
    pub(super) fn check_crashes(&self) -> Result<(), Withheld> {
        match self.node.send_permission(self.digest) {
            SendPermission::Allowed => Ok(()),
            SendPermission::Suspended(ms) => {
                Err(Withheld { retry_after: Some(Duration::from_millis(ms)) })
            }
            SendPermission::Blocked => Err(Withheld { retry_after: None }),
        }
    }

    /// The final response to a request that is withheld.
    ///
    /// A caller is told to come back only if that may help.
    pub(super) fn respond_withheld(&self, withheld: Withheld) -> CallerResponse {
        if self.executions > 0 {
            return self.fail(StatusCode::BAD_GATEWAY, "engines have ended under the request");
        }
        if let Some(retry_after) = withheld.retry_after {
            return self.refuse(Refusal::CrashesEngines, retry_after);
        }
        self.is_logged.set(true);
        meter::refused(&self.route, &Refusal::CrashesEngines);
        emit(
            Event::RequestRefused,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("route", &self.route.name),
                ("why", &Refusal::CrashesEngines),
                ("digest", &self.digest),
                ("held_ms", &self.received_at.elapsed().as_millis()),
            ],
        );
        json_error(StatusCode::SERVICE_UNAVAILABLE, "three engines have ended under this request")
    }

    /// Finds out whether the engine of an attempt without a complete response has ended.
    pub(super) async fn investigate(&self, guard: &AttemptGuard) {
        crashes::investigate(&self.node, self.broken_attempt(guard)).await;
    }

    /// Records that the engine of an attempt without a complete response has restarted.
    pub(super) fn record_restarted_engine(&self, guard: &AttemptGuard) {
        crashes::record_end(&self.node, &self.broken_attempt(guard));
    }

    /// Records that an engine sent a complete response.
    pub(super) fn record_completion(&self) {
        crashes::record_completion(&self.node, self.digest);
    }

    fn broken_attempt(&self, guard: &AttemptGuard) -> BrokenAttempt {
        let customer = self.identity.customer.as_ref().map(|customer| customer.0.as_str());
        let origin = Origin(xxh3_64(customer.unwrap_or(&self.route.name).as_bytes()));
        let (engine, key) = (guard.engine().clone(), guard.engine_key());
        let shared_parts = self.prompt().map_or(&[][..], Prompt::shared_parts);
        let run = BrokenRun {
            request_id: self.info.id.clone(),
            shared_parts: shared_parts.to_vec(),
            writing_for: guard.writing_for(),
            framing: guard.framing(),
        };
        BrokenAttempt { digest: self.digest, origin, engine, key, run }
    }
}
