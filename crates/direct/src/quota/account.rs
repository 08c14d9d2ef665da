//! A node's allowances and demand for one customer.

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

/// A request or a node that waits for an allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiter {
    /// Total amount that it waits for.
    pub max: f64,
    /// Cost of a single request.
    pub min: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Account {
    pub allowances: AllowancePool,
    /// Demand per second, as of `asked_at`.
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
        let before = if self.average_cost == 0.0 { cost } else { self.average_cost };
        self.average_cost = before + COST_WEIGHT * (cost - before);
        self.add_demand(now, cost);
    }

    /// Records the demand of a node that asks this one. Only new demand counts, so that repeated
    /// requests count once.
    pub fn record_peer_request(&mut self, now: Millis, want: &AllowanceRequest) {
        if self.average_cost == 0.0 {
            self.average_cost = want.unit_cost;
        }
        self.add_demand(now, want.new_demand);
    }

    fn add_demand(&mut self, now: Millis, amount: f64) {
        self.new_demand += amount;
        self.decay(now);
        self.demand_rate += amount * 1_000.0 / DEMAND_TIME_CONSTANT_MS;
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.demand_updated_at) as f64;
        self.demand_rate *= (-passed / DEMAND_TIME_CONSTANT_MS).exp();
        self.demand_updated_at = now;
    }

    pub fn add_waiter(&mut self, waiting: Waiter) {
        self.waiters.push(waiting);
    }

    pub fn has_waiters(&self) -> bool {
        !self.waiters.is_empty()
    }

    pub fn remove_waiter(&mut self, waiting: Waiter) {
        if let Some(at) = self.waiters.iter().position(|known| *known == waiting) {
            self.waiters.swap_remove(at);
        }
    }

    fn total_waiting(&self) -> f64 {
        self.waiters.iter().map(|waiting| waiting.max).sum()
    }

    /// What to request now. Nothing is requested in advance if requests are rare or the quota is
    /// used up, as it would expire unused.
    pub fn next_request(&mut self, now: Millis) -> AllowanceRequest {
        let balance = self.allowances.balance(now);
        let ahead = if self.was_exhausted(now) { 0.0 } else { self.advance(now) };
        let waiting = self.total_waiting();
        let most = (ahead.max(waiting) - balance).max(0.0);
        let step = if self.average_cost > 0.0 { self.average_cost } else { most };
        let smallest = self.waiters.iter().map(|waiting| waiting.min).reduce(f64::min);
        let least = (smallest.unwrap_or(step) - balance).max(0.0);
        let needed = (waiting - balance).max(0.0);
        AllowanceRequest {
            max: most,
            needed,
            min: least.min(most),
            unit_cost: step,
            new_demand: self.new_demand,
        }
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
        let ahead = self.demand_rate * ADVANCE_S;
        if ahead >= self.average_cost { ahead } else { 0.0 }
    }

    /// Records a response; `room_in` is set if the quota is used up.
    pub fn record_response(
        &mut self,
        now: Millis,
        want: &AllowanceRequest,
        room_in: Option<Millis>,
    ) {
        if let Some(room_in) = room_in {
            self.exhausted = Some((now, now + room_in));
        }
        self.new_demand = (self.new_demand - want.new_demand).max(0.0);
    }

    /// Time until the quota is available again, if it is known to be used up.
    pub fn available_in(&self, now: Millis) -> Option<Millis> {
        let (at, room) = self.exhausted?;
        (now.saturating_sub(at) < EXHAUSTED_TTL).then_some(room.saturating_sub(now))
    }
}
