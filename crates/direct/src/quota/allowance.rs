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

/// Allowances of one quota that a node holds.
#[derive(Debug, Clone, Default)]
pub struct AllowancePool {
    allowances: VecDeque<Allowance>,
}

impl AllowancePool {
    pub fn balance(&mut self, now: Millis) -> f64 {
        self.allowances.retain(|allowance| allowance.expires_at > now && allowance.amount > 0.0);
        self.allowances.iter().map(|allowance| allowance.amount).sum()
    }

    /// Adds an allowance, or returns an unused one.
    pub fn add(&mut self, allowance: Allowance) {
        let index =
            self.allowances.partition_point(|other| other.expires_at <= allowance.expires_at);
        self.allowances.insert(index, allowance);
    }

    /// Takes up to this amount, the earliest to expire first.
    pub fn take(&mut self, now: Millis, max: f64) -> Vec<Allowance> {
        self.balance(now);
        let (mut remaining, mut taken) = (max, Vec::new());
        while remaining > 0.0
            && let Some(first) = self.allowances.front_mut()
        {
            let amount = first.amount.min(remaining);
            (first.amount, remaining) = (first.amount - amount, remaining - amount);
            taken.push(Allowance { amount, expires_at: first.expires_at });
            if first.amount <= 0.0 {
                self.allowances.pop_front();
            }
        }
        taken
    }

    /// Takes the cost of a request, or nothing if it is not available.
    pub fn spend(&mut self, now: Millis, cost: f64) -> Option<Vec<Allowance>> {
        (self.balance(now) >= cost).then(|| self.take(now, cost))
    }
}
