//! What a request has used of the attempts that its route allows, and whether it may make another one.

use hgw_direct::{Millis, RetryBudget, RetryBudgetLimits};
use tokio::time::Instant;

use super::forwarded::GrantedAttempts;
use super::request::{MAX_REJECTED, RelayedRequest};

impl RelayedRequest {
    /// Records whether an engine may execute the request from now on. The charge stays once any
    /// engine may have executed it.
    pub(super) fn set_may_run(&self, may_run: bool) {
        self.attempts.set_pending(may_run);
        if may_run {
            self.sent_at.set(Some(Instant::now()));
        }
        self.update_charge();
    }

    /// Records that the request is sent to another node, which has been granted an attempt.
    pub(super) fn record_forwarded(&self) {
        self.sent_at.set(Some(Instant::now()));
        self.update_charge();
    }

    pub(super) fn update_charge(&self) {
        if let Some(charge) = &self.charge {
            charge.set_may_have_run(self.attempts.in_use() > 0);
        }
    }

    /// Attempts that an engine may have executed, without one of which that is not yet known.
    pub(super) fn executions(&self) -> u32 {
        self.attempts.executions()
    }

    /// Counts the latest attempt as one that an engine may have executed.
    pub(super) fn count_execution(&self) {
        self.attempts.record();
    }

    /// Counts the latest attempt, unless that was done before.
    pub(super) fn count_unless(&self, is_counted: bool) {
        if !is_counted {
            self.count_execution();
        }
    }

    /// Takes back the count of an attempt that has turned out not to have run.
    pub(super) fn discount_if(&self, is_counted: bool) {
        if is_counted {
            self.attempts.take_back();
        }
    }

    /// Counts an attempt that was cancelled after it had been sent.
    pub(super) fn count_cancelled_attempt(&self) {
        if self.attempts.is_pending() {
            self.count_execution();
        }
    }

    /// Whether another attempt is allowed after an engine rejected the request or may have executed
    /// it. Takes one retry from the budget that all nodes share.
    pub(super) async fn take_retry(&self) -> bool {
        self.with_budget(RetryBudget::has_retry)
            && self.obtain_attempt().await
            && self.with_budget(RetryBudget::try_take)
    }

    fn with_budget(
        &self,
        ask: impl FnOnce(&mut RetryBudget, Millis, &RetryBudgetLimits, bool) -> bool,
    ) -> bool {
        let (now, limits) = (self.node.now(), self.node.budget_limits());
        let mut state = self.node.state.borrow_mut();
        let budget = state.budgets.entry(self.service.clone()).or_default();
        ask(budget, now, &limits, self.route.priority <= 1)
    }

    /// Whether another attempt may be made; the node that forwarded the request is asked if need be.
    pub(super) async fn obtain_attempt(&self) -> bool {
        if !self.may_run_again() {
            return false;
        }
        let Some(granted) = &self.granted else { return true };
        granted.obtain(&self.node, self.own_attempts() + 1).await
    }

    /// Whether this node may make an attempt now.
    pub(super) fn may_make_attempt(&self) -> bool {
        let is_granted = |granted: &GrantedAttempts| self.own_attempts() < granted.attempts();
        self.attempts.has_one_left() && self.granted.as_ref().is_none_or(is_granted)
    }

    /// Whether the route, the time left and what is known of crashes allow another attempt.
    pub(super) fn may_run_again(&self) -> bool {
        self.attempts.has_one_left()
            && self.rejected <= MAX_REJECTED
            && self.has_time_to_send()
            && !self.may_carry_crash_on()
    }

    /// Whether another attempt remains if an idle connection turns out to be dead. After a first loss no further
    /// attempt is put at risk.
    pub(super) fn tolerates_loss(&self) -> bool {
        self.route.kind.may_repeat() && self.route.max_attempts > 1 && self.executions() == 0
    }
}
