//! Grants a domain its share of the quotas while it does not reach the issuer.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{CustomerId, Millis};

use super::bucket::Bucket;
use super::{
    AllowanceRequest, FALLBACK_SHARE, ISOLATED_AFTER, IssuanceParams, IssuedAmount, MIN_DEPTH_S,
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
    to_restart: IndexSet<CustomerId>,
    usage: VecDeque<Usage>,
}

impl FallbackIssuer {
    /// The issuer has responded. The advance that was used stays used, so that an issuer that
    /// responds only now and then does not renew it each time.
    pub fn issuer_responded(&mut self) {
        self.to_restart.extend(self.buckets.keys().cloned());
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
        let part = FALLBACK_SHARE * share;
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket { level: 0.0, at: now });
        let begins = self.to_restart.swap_remove(customer);
        let depth = if begins { 0.0 } else { terms.rate * part * MIN_DEPTH_S };
        bucket.fill(now, terms.rate * part, depth);
        let given = want.grantable(bucket.level + terms.advance * share);
        bucket.level -= given;
        self.expire_usage(now);
        self.usage.push_back(Usage { customer: customer.clone(), amount: given, at: now });
        let rate = (terms.rate * part).max(f64::MIN_POSITIVE);
        let lacks = want.needed - given;
        IssuedAmount {
            amount: given,
            available_in: (lacks > 0.0).then_some((1_000.0 * lacks / rate) as Millis),
        }
    }

    /// Recent usage, to report to the issuer, which has deducted earlier usage already.
    pub fn take_usage(&mut self, now: Millis) -> Vec<Usage> {
        self.expire_usage(now);
        self.usage.drain(..).collect()
    }

    /// Restores usage that could not be reported.
    pub fn restore_usage(&mut self, used: Vec<Usage>) {
        used.into_iter().rev().for_each(|used| self.usage.push_front(used));
    }

    fn expire_usage(&mut self, now: Millis) {
        while self.usage.front().is_some_and(|used| now.saturating_sub(used.at) >= ISOLATED_AFTER) {
            self.usage.pop_front();
        }
    }
}
