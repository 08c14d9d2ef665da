//! What may have crashed engines in a request: when engines end under it, and when it is withheld.

use std::time::Duration;

use hgw_direct::{
    CrashSubject, ENDS_TO_STOP_RETRIES, Millis, Origin, RankedSubject, Refusal, SendPermission,
};
use hgw_events::{Event, emit};
use hgw_http1::Framing;
use http::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt_guard::AttemptGuard;
use crate::crashes::{self, CrashRun, EndedAttempt, OUTLIVED_AFTER};
use crate::meter;
use crate::response::{CallerResponse, json_error};

use super::request::RelayedRequest;
use super::source::Source;

/// Time that a due trial waits for a request without another suspect.
const UNCLEAR_TRIAL_AFTER: Duration = Duration::from_secs(5);

/// A request that is sent to no engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Withheld {
    /// What seems to crash engines.
    subject: CrashSubject,
    /// Time after which it may be known that engines did not end under it; none if they did.
    retry_after: Option<Duration>,
}

impl RelayedRequest {
    /// Checks whether the request may be sent to an engine.
    pub(super) fn check_crashes(&self) -> Result<(), Withheld> {
        let subjects = self.subjects.iter().map(|ranked| ranked.subject);
        let checked = subjects.filter(|subject| self.trial != Some(*subject));
        let permissions = checked.map(|subject| (self.node.send_permission(subject), subject));
        match permissions.max() {
            Some((SendPermission::Suspended(ms), subject)) => {
                Err(Withheld { subject, retry_after: Some(Duration::from_millis(ms)) })
            }
            Some((SendPermission::Blocked, subject)) => {
                Err(Withheld { subject, retry_after: None })
            }
            Some((SendPermission::Allowed, _)) | None => Ok(()),
        }
    }

    /// Whether the withheld request may be sent as a trial of its part. One in which nothing else is suspected
    /// proves most; another one does after a while.
    pub(super) async fn begin_trial(&mut self, withheld: Withheld) -> bool {
        let is_only_suspect = self.subjects.iter().all(|RankedSubject { subject, .. }| {
            *subject == withheld.subject
                || self.node.crashes.borrow().ends(*subject) < ENDS_TO_STOP_RETRIES
        });
        let since = if is_only_suspect { Duration::ZERO } else { UNCLEAR_TRIAL_AFTER };
        let due_by = self.node.now().saturating_sub(since.as_millis() as Millis);
        if self.is_forwarded || !crashes::request_trial(&self.node, withheld.subject, due_by).await
        {
            return false;
        }
        self.trial = Some(withheld.subject);
        emit(
            Event::TrialBegan,
            &[
                ("node", &self.node.settings.borrow().node),
                ("id", &self.info.id),
                ("digest", &withheld.subject),
            ],
        );
        true
    }

    /// Whether another attempt by this node might end one more engine.
    pub(super) fn may_carry_crash_on(&self) -> bool {
        let ends_many = |ranked: &RankedSubject| {
            let is_suspect =
                !ranked.subject.is_part() || self.executions() > 0 && !self.has_outlived;
            let crashes = self.node.crashes.borrow();
            is_suspect && crashes.ends(ranked.subject) >= ENDS_TO_STOP_RETRIES
        };
        self.trial.is_some() || self.subjects.iter().any(ends_many)
    }

    /// The final response to a request that is withheld.
    ///
    /// A caller is told to come back only if that may help.
    pub(super) fn respond_withheld(&self, withheld: Withheld) -> CallerResponse {
        if self.executions() > 0 {
            return self.fail(StatusCode::BAD_GATEWAY, "engines have ended under the request");
        }
        meter::withheld(withheld.subject);
        if let Some(retry_after) = withheld.retry_after {
            return self.refuse(Refusal::CrashesEngines, retry_after);
        }
        self.log_withheld(withheld.subject);
        let message = match withheld.subject {
            CrashSubject::Request(_) => "three engines have ended under this request",
            CrashSubject::Part(_) => "three engines have ended under a part of this prompt",
        };
        json_error(StatusCode::SERVICE_UNAVAILABLE, message)
    }

    /// Finds out whether the engine of an attempt without a complete response has ended.
    pub(super) async fn investigate(&self, guard: &AttemptGuard) {
        crashes::investigate(&self.node, self.ended_attempt(guard)).await;
    }

    /// Records that the engine of an attempt without a complete response has restarted.
    pub(super) fn record_restarted_engine(&self, guard: &AttemptGuard) {
        crashes::record_end(&self.node, &self.ended_attempt(guard));
    }

    /// Records that an engine sent a complete response. A node that forwarded the request records it itself.
    pub(super) fn record_completion(&self, source: &Source) {
        let Source::Engine(guard) = source else { return };
        if guard.framing() == Some(Framing::UntilClose) {
            crashes::confirm_completion(&self.node, self.ended_attempt(guard));
        } else {
            let subjects = self.subjects.iter().map(|ranked| ranked.subject);
            crashes::record_completion(&self.node, subjects);
        }
    }

    /// Records that a piece of a stream has come, which proves after a while that no part of the prompt
    /// crashes engines.
    pub(super) fn record_progress(&mut self, source: &Source) {
        source.record_byte();
        let Source::Engine(guard) = source else { return };
        let had_outlived = self.has_outlived;
        self.has_outlived = guard.writing_for().is_some_and(|time| time >= OUTLIVED_AFTER);
        if !self.has_outlived {
            return;
        }
        let crashes = self.node.crashes.borrow();
        let is_news = |subject: &CrashSubject| !had_outlived || crashes.ends(*subject) > 0;
        let parts = self.subjects.iter().map(|ranked| ranked.subject).filter(|s| s.is_part());
        let news: Vec<CrashSubject> = parts.filter(is_news).collect();
        drop(crashes);
        crashes::record_completion(&self.node, news.into_iter());
    }

    fn ended_attempt(&self, guard: &AttemptGuard) -> EndedAttempt {
        let customer = self.identity.customer.as_ref().map(|customer| customer.0.as_str());
        let run = CrashRun {
            request_id: self.info.id.clone(),
            writing_for: guard.writing_for(),
            framing: guard.framing(),
        };
        EndedAttempt {
            subjects: self.subjects.clone(),
            origin: Origin(xxh3_64(customer.unwrap_or(&self.route.name).as_bytes())),
            engine: guard.engine().clone(),
            key: guard.engine_key(),
            run,
        }
    }
}
