//! Grants a domain its share of the quotas while it does not reach the issuer.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{CustomerId, Millis};

use super::bucket::Bucket;
use super::{
    ALONE_SHARE, AllowanceRequest, IssuanceParams, IssuedAmount, LEAST_DEPTH_S, SILENT_AFTER,
};

/// Usage that was granted without the issuer.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    pub customer: CustomerId,
    pub amount: f64,
    pub at: Millis,
}

/// Grants a domain's share of the quotas without the issuer.
#[derive(Debug, Clone, Default)]
pub struct FallbackIssuer {
    buckets: IndexMap<CustomerId, Bucket>,
    /// Customers without a grant since the issuer responded.
    ended: IndexSet<CustomerId>,
    used: VecDeque<Usage>,
}

impl FallbackIssuer {
    /// The issuer has responded. The advance that was used stays used, so that an issuer that
    /// responds only now and then does not renew it each time.
    pub fn issuer_responded(&mut self) {
        self.ended.extend(self.buckets.keys().cloned());
    }

    /// Grants from the quota's part for `share` of all nodes.
    pub fn grant(
        &mut self,
        customer: &CustomerId,
        terms: &IssuanceParams,
        want: &AllowanceRequest,
        share: f64,
        now: Millis,
    ) -> IssuedAmount {
        let part = ALONE_SHARE * share;
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket { level: 0.0, at: now });
        let begins = self.ended.swap_remove(customer);
        let depth = if begins { 0.0 } else { terms.rate * part * LEAST_DEPTH_S };
        bucket.fill(now, terms.rate * part, depth);
        let given = want.grantable(bucket.level + terms.ahead * share);
        bucket.level -= given;
        self.forget(now);
        self.used.push_back(Usage { customer: customer.clone(), amount: given, at: now });
        let rate = (terms.rate * part).max(f64::MIN_POSITIVE);
        let lacks = want.needed - given;
        IssuedAmount {
            amount: given,
            available_in: (lacks > 0.0).then_some((1_000.0 * lacks / rate) as Millis),
        }
    }

    /// Recent usage, to report to the issuer, which has deducted earlier usage already.
    pub fn take_usage(&mut self, now: Millis) -> Vec<Usage> {
        self.forget(now);
        self.used.drain(..).collect()
    }

    /// Restores usage that could not be reported.
    pub fn restore_usage(&mut self, used: Vec<Usage>) {
        used.into_iter().rev().for_each(|used| self.used.push_front(used));
    }

    fn forget(&mut self, now: Millis) {
        while self.used.front().is_some_and(|used| now.saturating_sub(used.at) >= SILENT_AFTER) {
            self.used.pop_front();
        }
    }
}
