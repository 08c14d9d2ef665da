//! Grants a domain its share of the quotas while it does not reach the issuer.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{CustomerId, Millis};

use super::bucket::Bucket;
use super::{ALONE_SHARE, Answer, LEAST_DEPTH_S, SILENT_AFTER, Terms, Want};

/// Usage that was granted without the issuer.
#[derive(Debug, Clone, PartialEq)]
pub struct Used {
    pub customer: CustomerId,
    pub amount: f64,
    pub at: Millis,
}

/// Grants a domain's share of the quotas without the issuer.
#[derive(Debug, Clone, Default)]
pub struct Alone {
    buckets: IndexMap<CustomerId, Bucket>,
    /// Customers without a grant since the issuer responded.
    ended: IndexSet<CustomerId>,
    used: VecDeque<Used>,
}

impl Alone {
    /// The issuer has responded. The advance that was used stays used, so that an issuer that
    /// responds only now and then does not renew it each time.
    pub fn end(&mut self) {
        self.ended.extend(self.buckets.keys().cloned());
    }

    /// Grants from the quota's part for `share` of all nodes.
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

    /// Recent usage, to report to the issuer, which has deducted earlier usage already.
    pub fn take_used(&mut self, now: Millis) -> Vec<Used> {
        self.forget(now);
        self.used.drain(..).collect()
    }

    /// Restores usage that could not be reported.
    pub fn give_back(&mut self, used: Vec<Used>) {
        used.into_iter().rev().for_each(|used| self.used.push_front(used));
    }

    fn forget(&mut self, now: Millis) {
        while self.used.front().is_some_and(|used| now.saturating_sub(used.at) >= SILENT_AFTER) {
            self.used.pop_front();
        }
    }
}
