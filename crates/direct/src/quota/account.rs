//! A node's allowances and demand for one quota.

use std::time::Duration;

use crate::Millis;

use super::{AllowancePool, AllowanceRequest};

/// Time constant of the demand rate.
const DEMAND_TIME_CONSTANT_MS: f64 = 500.0;

/// Weight of the latest request in the average cost.
const COST_WEIGHT: f64 = 0.05;

/// Demand that a node requests in advance, in seconds.
const ADVANCE_S: f64 = 0.25;

/// Time for which requests are refused at once after a response that the quota is used up.
const EXHAUSTED_TTL: Millis = 100;

/// Time after such a response for which nothing is requested in advance.
const NO_ADVANCE_TIME: Millis = 400;

/// Order in which waiting requests get allowances: by priority, then by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterRank {
    /// 0 is the most urgent.
    pub priority: u8,
    pub deadline: Millis,
}

impl Default for WaiterRank {
    /// The least urgent.
    fn default() -> Self {
        WaiterRank { priority: u8::MAX, deadline: Millis::MAX }
    }
}

/// A request or a node that waits for an allowance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Waiter {
    /// Total amount that it waits for.
    pub max: f64,
    /// Cost of a single request.
    pub min: f64,
    pub rank: WaiterRank,
}

#[derive(Debug, Clone, Default)]
pub struct Account {
    pub allowances: AllowancePool,
    /// Demand per second, as of `demand_updated_at`.
    demand_rate: f64,
    demand_updated_at: Millis,
    /// Average cost of a request.
    average_cost: f64,
    /// Demand since the last request to the issuer.
    new_demand: f64,
    waiters: Vec<Waiter>,
    /// When the quota was reported as used up, and when it will be available again.
    exhausted: Option<(Millis, Millis)>,
}

impl Account {
    pub fn record_request(&mut self, now: Millis, cost: f64) {
        let previous = if self.average_cost == 0.0 { cost } else { self.average_cost };
        self.average_cost = previous + COST_WEIGHT * (cost - previous);
        self.add_demand(now, cost);
    }

    /// Records the demand of a node that asks this one. Only new demand counts, so that repeated
    /// requests count once.
    pub fn record_peer_request(&mut self, now: Millis, request: &AllowanceRequest) {
        if self.average_cost == 0.0 {
            self.average_cost = request.unit_cost;
        }
        self.add_demand(now, request.new_demand);
    }

    fn add_demand(&mut self, now: Millis, amount: f64) {
        self.new_demand += amount;
        self.decay(now);
        self.demand_rate += amount * 1_000.0 / DEMAND_TIME_CONSTANT_MS;
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.demand_updated_at) as f64;
        self.demand_rate *= (-elapsed / DEMAND_TIME_CONSTANT_MS).exp();
        self.demand_updated_at = now;
    }

    pub fn add_waiter(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    pub fn has_waiters(&self) -> bool {
        !self.waiters.is_empty()
    }

    pub fn remove_waiter(&mut self, waiter: Waiter) {
        if let Some(index) = self.waiters.iter().position(|other| *other == waiter) {
            self.waiters.swap_remove(index);
        }
    }

    /// Whether nothing more urgent waits.
    pub fn is_first(&self, rank: WaiterRank) -> bool {
        self.waiters.iter().all(|waiter| rank <= waiter.rank)
    }

    fn total_waiting(&self) -> f64 {
        self.waiters.iter().map(|waiter| waiter.max).sum()
    }

    /// What to request now. Nothing is requested in advance if requests are rare or the quota is
    /// used up, as it would expire unused.
    pub fn next_request(&mut self, now: Millis) -> AllowanceRequest {
        let balance = self.allowances.balance(now);
        let advance = if self.was_exhausted(now) { 0.0 } else { self.advance(now) };
        let total_waiting = self.total_waiting();
        let max = (advance.max(total_waiting) - balance).max(0.0);
        let unit_cost = if self.average_cost > 0.0 { self.average_cost } else { max };
        let smallest_cost = self.waiters.iter().map(|waiter| waiter.min).reduce(f64::min);
        let min = (smallest_cost.unwrap_or(unit_cost) - balance).max(0.0);
        let needed = (total_waiting - balance).max(0.0);
        AllowanceRequest { max, needed, min: min.min(max), unit_cost, new_demand: self.new_demand }
    }

    /// Whether the quota was recently used up.
    fn was_exhausted(&self, now: Millis) -> bool {
        self.exhausted.is_some_and(|(at, _)| now.saturating_sub(at) < NO_ADVANCE_TIME)
    }

    /// Whether to request more: something waits, or half of the advance is used.
    pub fn needs_refill(&mut self, now: Millis) -> bool {
        let balance = self.allowances.balance(now);
        balance < self.total_waiting()
            || !self.was_exhausted(now) && balance < self.advance(now) / 2.0
    }

    fn advance(&mut self, now: Millis) -> f64 {
        self.decay(now);
        let advance = self.demand_rate * ADVANCE_S;
        if advance >= self.average_cost { advance } else { 0.0 }
    }

    /// Records a response; `available_in` is set if the quota is used up.
    pub fn record_response(
        &mut self,
        now: Millis,
        request: &AllowanceRequest,
        available_in: Option<Millis>,
    ) {
        if let Some(available_in) = available_in {
            self.exhausted = Some((now, now + available_in));
        }
        self.new_demand = (self.new_demand - request.new_demand).max(0.0);
    }

    /// Records that requests waited in vain though the issuer responds: for a moment the others are refused
    /// at once instead of waiting as long.
    pub fn record_exhausted(&mut self, now: Millis, available_in: Duration) {
        self.exhausted = Some((now, now + available_in.as_millis() as Millis));
    }

    /// Time until the quota is available again, if it is known to be used up.
    pub fn available_in(&self, now: Millis) -> Option<Millis> {
        let (at, available_at) = self.exhausted?;
        (now.saturating_sub(at) < EXHAUSTED_TTL).then_some(available_at.saturating_sub(now))
    }
}
