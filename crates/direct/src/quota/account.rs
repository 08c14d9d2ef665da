//! A node's allowances and demand for one customer.

use crate::Millis;

use super::{AllowancePool, AllowanceRequest};

/// Time constant of the demand rate.
const ASKED_OVER_MS: f64 = 500.0;

/// Weight of the latest request in the average cost.
const USUAL_WEIGHT: f64 = 0.05;

/// Demand that a node requests in advance, in seconds.
const AHEAD_S: f64 = 0.25;

/// Time for which requests are refused at once after a response that the quota is used up.
const SHORT_FOR: Millis = 100;

/// Time after such a response for which nothing is requested in advance.
const SCARCE_FOR: Millis = 400;

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
    asked: f64,
    asked_at: Millis,
    /// Average cost of a request.
    usual: f64,
    /// Demand since the last request to the issuer.
    new: f64,
    waiting: Vec<Waiter>,
    /// When the quota was reported as used up, and when it will be available again.
    short: Option<(Millis, Millis)>,
}

impl Account {
    pub fn record_request(&mut self, now: Millis, cost: f64) {
        let before = if self.usual == 0.0 { cost } else { self.usual };
        self.usual = before + USUAL_WEIGHT * (cost - before);
        self.count_asked(now, cost);
    }

    /// Records the demand of a node that asks this one. Only new demand counts, so that repeated
    /// requests count once.
    pub fn record_peer_request(&mut self, now: Millis, want: &AllowanceRequest) {
        if self.usual == 0.0 {
            self.usual = want.unit_cost;
        }
        self.count_asked(now, want.new_demand);
    }

    fn count_asked(&mut self, now: Millis, amount: f64) {
        self.new += amount;
        self.decay(now);
        self.asked += amount * 1_000.0 / ASKED_OVER_MS;
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.asked_at) as f64;
        self.asked *= (-passed / ASKED_OVER_MS).exp();
        self.asked_at = now;
    }

    pub fn add_waiter(&mut self, waiting: Waiter) {
        self.waiting.push(waiting);
    }

    pub fn has_waiters(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub fn remove_waiter(&mut self, waiting: Waiter) {
        if let Some(at) = self.waiting.iter().position(|known| *known == waiting) {
            self.waiting.swap_remove(at);
        }
    }

    fn all_waiting(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.max).sum()
    }

    /// What to request now. Nothing is requested in advance if requests are rare or the quota is
    /// used up, as it would expire unused.
    pub fn next_request(&mut self, now: Millis) -> AllowanceRequest {
        let balance = self.allowances.balance(now);
        let ahead = if self.is_scarce(now) { 0.0 } else { self.ahead(now) };
        let waiting = self.all_waiting();
        let most = (ahead.max(waiting) - balance).max(0.0);
        let step = if self.usual > 0.0 { self.usual } else { most };
        let smallest = self.waiting.iter().map(|waiting| waiting.min).reduce(f64::min);
        let least = (smallest.unwrap_or(step) - balance).max(0.0);
        let needed = (waiting - balance).max(0.0);
        AllowanceRequest {
            max: most,
            needed,
            min: least.min(most),
            unit_cost: step,
            new_demand: self.new,
        }
    }

    /// Whether the quota was recently used up.
    fn is_scarce(&self, now: Millis) -> bool {
        self.short.is_some_and(|(at, _)| now.saturating_sub(at) < SCARCE_FOR)
    }

    /// Whether to request more: something waits, or half of the advance is used.
    pub fn needs_refill(&mut self, now: Millis) -> bool {
        let balance = self.allowances.balance(now);
        balance < self.all_waiting() || !self.is_scarce(now) && balance < self.ahead(now) / 2.0
    }

    fn ahead(&mut self, now: Millis) -> f64 {
        self.decay(now);
        let ahead = self.asked * AHEAD_S;
        if ahead >= self.usual { ahead } else { 0.0 }
    }

    /// Records a response; `room_in` is set if the quota is used up.
    pub fn record_response(
        &mut self,
        now: Millis,
        want: &AllowanceRequest,
        room_in: Option<Millis>,
    ) {
        if let Some(room_in) = room_in {
            self.short = Some((now, now + room_in));
        }
        self.new = (self.new - want.new_demand).max(0.0);
    }

    /// Time until the quota is available again, if it is known to be used up.
    pub fn available_in(&self, now: Millis) -> Option<Millis> {
        let (at, room) = self.short?;
        (now.saturating_sub(at) < SHORT_FOR).then_some(room.saturating_sub(now))
    }
}
