use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{CustomerId, Millis};

use super::bucket::Bucket;
use super::{ALONE_SHARE, Answer, LEAST_DEPTH_S, SILENT_AFTER, Terms, Want};

/// What a domain used without the issuer.
#[derive(Debug, Clone, PartialEq)]
pub struct Used {
    /// Whose limit.
    pub customer: CustomerId,
    /// How much.
    pub amount: f64,
    /// When.
    pub at: Millis,
}

/// What a domain uses that hears nothing from the issuer: its share of the limits.
#[derive(Debug, Clone, Default)]
pub struct Alone {
    buckets: IndexMap<CustomerId, Bucket>,
    /// Those of which nothing was given since the issuer was heard.
    ended: IndexSet<CustomerId>,
    /// What was used of late, and when.
    used: VecDeque<Used>,
}

impl Alone {
    /// The issuer is heard: nothing is used without it. What was drawn ahead stays drawn.
    ///
    /// Load: an issuer that is about to end answers now and then. A domain that began anew each time would draw its share
    /// ahead each time.
    pub fn end(&mut self) {
        self.ended.extend(self.buckets.keys().cloned());
    }

    /// Gives so much at the most of the part of the limit that `share` of all nodes have.
    pub fn give(
        &mut self,
        customer: &CustomerId,
        terms: &Terms,
        want: &Want,
        share: f64,
        now: Millis,
    ) -> Answer {
        let part = ALONE_SHARE * share;
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket { level: 0.0, at: now });
        let begins = self.ended.swap_remove(customer);
        let depth = if begins { 0.0 } else { terms.rate * part * LEAST_DEPTH_S };
        bucket.fill(now, terms.rate * part, depth);
        let given = want.of(bucket.level + terms.ahead * share);
        bucket.level -= given;
        self.forget(now);
        self.used.push_back(Used { customer: customer.clone(), amount: given, at: now });
        let rate = (terms.rate * part).max(f64::MIN_POSITIVE);
        let lacks = want.needed - given;
        Answer {
            amount: given,
            room_in: (lacks > 0.0).then_some((1_000.0 * lacks / rate) as Millis),
        }
    }

    /// What was used of late, for the issuer: what was used before that it has taken off by itself.
    pub fn take_used(&mut self, now: Millis) -> Vec<Used> {
        self.forget(now);
        self.used.drain(..).collect()
    }

    /// Takes it back, where the issuer did not answer.
    pub fn give_back(&mut self, used: Vec<Used>) {
        used.into_iter().rev().for_each(|used| self.used.push_front(used));
    }

    fn forget(&mut self, now: Millis) {
        while self.used.front().is_some_and(|used| now.saturating_sub(used.at) >= SILENT_AFTER) {
            self.used.pop_front();
        }
    }
}
