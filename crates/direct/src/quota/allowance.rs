//! Allowances that a node holds.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// An amount that may be used until it expires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    pub amount: f64,
    pub expires_at: Millis,
}

/// An allowance sent to another node, whose clock differs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub amount: f64,
    /// Remaining lifetime when it is granted.
    #[serde(rename = "for_ms")]
    pub ttl_ms: Millis,
}

/// Allowances of one customer that a node holds.
#[derive(Debug, Clone, Default)]
pub struct AllowancePool {
    lots: VecDeque<Allowance>,
}

impl AllowancePool {
    pub fn balance(&mut self, now: Millis) -> f64 {
        self.lots.retain(|lot| lot.expires_at > now && lot.amount > 0.0);
        self.lots.iter().map(|lot| lot.amount).sum()
    }

    /// Adds an allowance, or returns an unused one.
    pub fn add(&mut self, lot: Allowance) {
        let at = self.lots.partition_point(|known| known.expires_at <= lot.expires_at);
        self.lots.insert(at, lot);
    }

    /// Takes up to this amount, the earliest to expire first.
    pub fn take(&mut self, now: Millis, most: f64) -> Vec<Allowance> {
        self.balance(now);
        let (mut left, mut taken) = (most, Vec::new());
        while left > 0.0
            && let Some(first) = self.lots.front_mut()
        {
            let amount = first.amount.min(left);
            (first.amount, left) = (first.amount - amount, left - amount);
            taken.push(Allowance { amount, expires_at: first.expires_at });
            if first.amount <= 0.0 {
                self.lots.pop_front();
            }
        }
        taken
    }

    /// Takes the cost of a request, or nothing if it is not available.
    pub fn spend(&mut self, now: Millis, cost: f64) -> Option<Vec<Allowance>> {
        (self.balance(now) >= cost).then(|| self.take(now, cost))
    }
}
