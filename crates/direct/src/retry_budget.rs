//! Limits how many retries a node sends, as its share of a budget that all nodes have in common.

use std::collections::VecDeque;

use crate::Millis;

/// Retry budget of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed beyond that ratio, over all nodes.
    pub slack: f64,
    pub window: Millis,
    /// Nodes that share the budget.
    pub nodes: u32,
}

/// Part of its share that a node uses. It covers the delay between a retry and its arrival, which
/// may fall into another window.
const USED_SHARE: f64 = 0.8;

/// One node's share of a service's retry budget; keeps retries from multiplying the load on the
/// remaining engines when one fails.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    firsts: VecDeque<Millis>,
    again: VecDeque<Millis>,
}

impl RetryBudget {
    pub fn record_request(&mut self, now: Millis, limits: &RetryBudgetLimits) {
        self.firsts.push_back(now);
        self.expire(now, limits);
    }

    /// Number of retries that may still be sent now.
    pub fn remaining(&mut self, now: Millis, limits: &RetryBudgetLimits) -> f64 {
        self.expire(now, limits);
        let slack = limits.slack / f64::from(limits.nodes.max(1));
        let allowed = USED_SHARE * (limits.ratio * self.firsts.len() as f64 + slack);
        allowed - self.again.len() as f64
    }

    /// Consumes one retry; returns false if none is left. A quarter of the slack is reserved for
    /// `urgent` requests.
    pub fn try_take(&mut self, now: Millis, limits: &RetryBudgetLimits, urgent: bool) -> bool {
        let slack = limits.slack / f64::from(limits.nodes.max(1));
        let kept = if urgent { 0.0 } else { 0.25 * USED_SHARE * slack };
        if self.remaining(now, limits) - kept < 1.0 {
            return false;
        }
        self.again.push_back(now);
        true
    }

    fn expire(&mut self, now: Millis, limits: &RetryBudgetLimits) {
        let from = now.saturating_sub(limits.window);
        for times in [&mut self.firsts, &mut self.again] {
            while times.front().is_some_and(|t| *t < from) {
                times.pop_front();
            }
        }
    }
}
