//! Second attempts after an engine's own failure, where they help.

use hgw_direct::{EngineId, FailedAttempt, RetryAdvice};
use rand::random;

use crate::meter::{self, SecondAttempt};

use super::request::RelayedRequest;

impl RelayedRequest {
    fn learns_retries(&self) -> bool {
        self.node.settings.borrow().features.retry_learning
    }

    /// Records a complete response of an engine: its own failure, or a success.
    pub(super) fn record_response(&mut self, engine: &EngineId, is_failure: bool) {
        let took = self.sent_at.get().map(|sent_at| sent_at.elapsed());
        let now = self.node.now();
        let mut outcomes = self.node.retry_outcomes.borrow_mut();
        outcomes.record_response(now, &self.service, engine, is_failure);
        if let Some(took) = took.filter(|_| !is_failure) {
            outcomes.record_duration(&self.route.name, took);
        }
        if let Some(cause) = self.second_attempt.take() {
            outcomes.record_second_attempt(now, &self.route.name, cause, is_failure);
            let outcome = if is_failure { SecondAttempt::Failed } else { SecondAttempt::Served };
            meter::second_attempt(&self.route, outcome);
        }
    }

    /// Whether a second attempt is made after a failure of the engine's own, which has been recorded. Takes one retry from
    /// the budget.
    pub(super) async fn take_second_attempt(&mut self, engine: &EngineId) -> bool {
        if !self.learns_retries() {
            return self.take_retry().await;
        }
        if !self.may_run_again() {
            return false;
        }
        let failed = FailedAttempt {
            route: &self.route.name,
            service: &self.service,
            engine,
            time_left: self.time_left(),
            random: random(),
        };
        let advice = self.node.retry_outcomes.borrow().advise(self.node.now(), &failed);
        match advice {
            RetryAdvice::Retry(cause) => {
                let is_taken = self.take_retry().await;
                self.second_attempt = is_taken.then_some(cause);
                is_taken
            }
            RetryAdvice::Unlikely => {
                meter::second_attempt(&self.route, SecondAttempt::Unlikely);
                false
            }
            RetryAdvice::TooLate => {
                meter::second_attempt(&self.route, SecondAttempt::TooLate);
                false
            }
        }
    }

    /// Whether an attempt can end before the caller leaves, as far as is known.
    pub(super) fn has_time_for_attempt(&self) -> bool {
        let outcomes = self.node.retry_outcomes.borrow();
        !self.learns_retries() || outcomes.has_time(&self.route.name, self.time_left())
    }
}
