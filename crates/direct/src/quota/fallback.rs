//! Grants a domain its share of the quotas while it does not reach the issuer.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::Millis;

use super::bucket::Bucket;
use super::issuance::QuotaKind;
use super::{
    AllowanceRequest, FALLBACK_SHARE, ISOLATED_AFTER, IssuanceParams, IssuedAmount, MIN_DEPTH_S,
    QuotaKey,
};

/// Time for which a node may send a request once its share has brought in a whole one. If nodes kept
/// theirs for longer, many could send one at the same moment.
const TURN_TIME: Millis = 1_000;

/// Usage that was granted without the issuer.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    pub key: QuotaKey,
    pub amount: f64,
    pub at: Millis,
}

/// Grants a domain's share of the quotas without the issuer.
#[derive(Debug, Clone, Default)]
pub struct FallbackIssuer {
    /// Level, in `0..1`, at which buckets for engines start.
    phase: f64,
    buckets: IndexMap<QuotaKey, Bucket>,
    /// Quotas without a grant since the issuer responded.
    to_restart: IndexSet<QuotaKey>,
    usage: VecDeque<Usage>,
}

impl FallbackIssuer {
    /// `phase`, in `0..1` and random, spreads the requests of many nodes that each send an engine one
    /// request in a long while.
    pub fn new(phase: f64) -> FallbackIssuer {
        FallbackIssuer { phase, ..FallbackIssuer::default() }
    }

    /// Forgets quotas that there are no more.
    pub fn retain(&mut self, exists: impl Fn(&QuotaKey) -> bool) {
        self.buckets.retain(|key, _| exists(key));
        self.to_restart.retain(|key| exists(key));
    }

    /// Adds usage without the issuer, to report to it.
    pub fn add_usage(&mut self, key: QuotaKey, amount: f64, now: Millis) {
        self.usage.push_back(Usage { key, amount, at: now });
    }

    /// Whether requests to engines are to be reported. Until then the issuer counts them for none.
    pub fn has_engine_usage(&self) -> bool {
        let is_engine = |usage: &&Usage| matches!(usage.key, QuotaKey::Engine(_));
        self.usage.iter().filter(is_engine).any(|usage| usage.amount > 0.0)
    }

    /// The issuer has responded. The advance that was used stays used, so that an issuer that
    /// responds only now and then does not renew it each time.
    pub fn issuer_responded(&mut self) {
        self.to_restart.extend(self.buckets.keys().cloned());
    }

    /// Grants from the quota's part for `share` of all nodes.
    pub fn grant(
        &mut self,
        key: &QuotaKey,
        params: &IssuanceParams,
        request: &AllowanceRequest,
        share: f64,
        now: Millis,
    ) -> IssuedAmount {
        let rate_share = FALLBACK_SHARE * share;
        let is_engine = matches!(params.kind, QuotaKind::Engine { .. });
        let start = if is_engine { self.phase } else { 0.0 };
        let bucket = self.buckets.entry(key.clone()).or_insert(Bucket { level: start, at: now });
        let restarts = self.to_restart.swap_remove(key);
        let depth = params.rate * rate_share * MIN_DEPTH_S;
        match (is_engine, restarts) {
            (true, false) => bucket.fill_in_turn(now, params.rate * rate_share, TURN_TIME),
            (true, true) => bucket.at = now,
            (false, false) => bucket.fill(now, params.rate * rate_share, depth),
            (false, true) => bucket.fill(now, params.rate * rate_share, 0.0),
        }
        let amount = request.grantable(bucket.level + params.advance * share);
        bucket.level -= amount;
        self.expire_usage(now);
        self.usage.push_back(Usage { key: key.clone(), amount, at: now });
        let rate = (params.rate * rate_share).max(f64::MIN_POSITIVE);
        let missing = request.needed - amount;
        IssuedAmount {
            amount,
            available_in: (missing > 0.0).then_some((1_000.0 * missing / rate) as Millis),
        }
    }

    /// Recent usage, to report to the issuer, which has deducted earlier usage already.
    pub fn take_usage(&mut self, now: Millis) -> Vec<Usage> {
        self.expire_usage(now);
        self.usage.drain(..).collect()
    }

    /// The same for engines only, to report to a hub. It reports the use of customers' quotas by all its
    /// domain itself, and a report that is repeated counts twice.
    pub fn take_engine_usage(&mut self, now: Millis) -> Vec<Usage> {
        let (engines, rest): (Vec<Usage>, Vec<Usage>) = self
            .take_usage(now)
            .into_iter()
            .partition(|usage| matches!(usage.key, QuotaKey::Engine(_)));
        self.restore_usage(rest);
        engines
    }

    /// Restores usage that could not be reported.
    pub fn restore_usage(&mut self, usage: Vec<Usage>) {
        usage.into_iter().rev().for_each(|usage| self.usage.push_front(usage));
    }

    fn expire_usage(&mut self, now: Millis) {
        while self.usage.front().is_some_and(|usage| now.saturating_sub(usage.at) >= ISOLATED_AFTER)
        {
            self.usage.pop_front();
        }
    }
}
