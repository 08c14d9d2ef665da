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
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    pub fn record_request(&mut self, now: Millis, limits: &RetryBudgetLimits) {
        self.requests.push_back(now);
        self.expire(now, limits);
    }

    /// Number of retries that may still be sent now.
    pub fn remaining(&mut self, now: Millis, limits: &RetryBudgetLimits) -> f64 {
        self.expire(now, limits);
        let slack = limits.slack / f64::from(limits.nodes.max(1));
        let allowed = USED_SHARE * (limits.ratio * self.requests.len() as f64 + slack);
        allowed - self.retries.len() as f64
    }

    /// Consumes one retry; returns false if none is left.
    pub fn try_take(&mut self, now: Millis, limits: &RetryBudgetLimits, urgent: bool) -> bool {
        let has_one = self.has_retry(now, limits, urgent);
        if has_one {
            self.retries.push_back(now);
        }
        has_one
    }

    /// Whether a retry is left. A quarter of the slack is reserved for `urgent` requests.
    pub fn has_retry(&mut self, now: Millis, limits: &RetryBudgetLimits, urgent: bool) -> bool {
        let slack = limits.slack / f64::from(limits.nodes.max(1));
        let reserved = if urgent { 0.0 } else { 0.25 * USED_SHARE * slack };
        self.remaining(now, limits) - reserved >= 1.0
    }

    fn expire(&mut self, now: Millis, limits: &RetryBudgetLimits) {
        let start = now.saturating_sub(limits.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| *t < start) {
                times.pop_front();
            }
        }
    }
}
