use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// An amount that may be used up to a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lot {
    /// How much is left.
    pub amount: f64,
    /// When it is void.
    pub until: Millis,
}

/// An amount on its way to another node, which has a clock of its own.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// How much.
    pub amount: f64,
    /// How long it may still be used when it is given.
    pub for_ms: Millis,
}

/// What a node may still use of one customer's limit.
#[derive(Debug, Clone, Default)]
pub struct Purse {
    lots: VecDeque<Lot>,
}

impl Purse {
    /// What there is now.
    pub fn balance(&mut self, now: Millis) -> f64 {
        self.lots.retain(|lot| lot.until > now && lot.amount > 0.0);
        self.lots.iter().map(|lot| lot.amount).sum()
    }

    /// Takes an allowance in, or back where it was not used.
    pub fn add(&mut self, lot: Lot) {
        let at = self.lots.partition_point(|known| known.until <= lot.until);
        self.lots.insert(at, lot);
    }

    /// Takes so much at the most, what lapses first first.
    pub fn take(&mut self, now: Millis, most: f64) -> Vec<Lot> {
        self.balance(now);
        let (mut left, mut taken) = (most, Vec::new());
        while left > 0.0
            && let Some(first) = self.lots.front_mut()
        {
            let amount = first.amount.min(left);
            (first.amount, left) = (first.amount - amount, left - amount);
            taken.push(Lot { amount, until: first.until });
            if first.amount <= 0.0 {
                self.lots.pop_front();
            }
        }
        taken
    }

    /// Takes all that a request needs, or nothing.
    pub fn spend(&mut self, now: Millis, cost: f64) -> Option<Vec<Lot>> {
        (self.balance(now) >= cost).then(|| self.take(now, cost))
    }
}
