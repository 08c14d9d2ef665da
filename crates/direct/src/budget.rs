use std::collections::VecDeque;

use crate::Millis;

/// What all nodes together may send beyond the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Share of the requests.
    pub ratio: f64,
    /// Arrivals beyond that share, over all nodes.
    pub slack: f64,
    /// The time over which both are counted.
    pub window: Millis,
    /// Nodes that share them.
    pub nodes: u32,
}

/// Part of its share that a node uses: requests are counted where they were sent by their callers, a
/// moment before they arrive, and a window may begin at any time.
const USED_SHARE: f64 = 0.8;

/// The share of one node in a service's budget of second tries.
///
/// Load: a failing engine or a burst of refusals makes every node try again at once. Without a limit the
/// second tries double the load on what is left.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    firsts: VecDeque<Millis>,
    again: VecDeque<Millis>,
}

impl Budget {
    /// A request was taken.
    pub fn first(&mut self, now: Millis, limits: &BudgetLimits) {
        self.firsts.push_back(now);
        self.expire(now, limits);
    }

    /// Second tries that may still be made now.
    pub fn left(&mut self, now: Millis, limits: &BudgetLimits) -> f64 {
        self.expire(now, limits);
        let slack = limits.slack / f64::from(limits.nodes.max(1));
        let allowed = USED_SHARE * (limits.ratio * self.firsts.len() as f64 + slack);
        allowed - self.again.len() as f64
    }

    /// Takes one second try, or says that there is none. What is `urgent` may use all; the rest leaves
    /// a quarter of the share to it.
    pub fn take(&mut self, now: Millis, limits: &BudgetLimits, urgent: bool) -> bool {
        let slack = limits.slack / f64::from(limits.nodes.max(1));
        let kept = if urgent { 0.0 } else { 0.25 * USED_SHARE * slack };
        if self.left(now, limits) - kept < 1.0 {
            return false;
        }
        self.again.push_back(now);
        true
    }

    fn expire(&mut self, now: Millis, limits: &BudgetLimits) {
        let from = now.saturating_sub(limits.window);
        for times in [&mut self.firsts, &mut self.again] {
            while times.front().is_some_and(|t| *t < from) {
                times.pop_front();
            }
        }
    }
}
