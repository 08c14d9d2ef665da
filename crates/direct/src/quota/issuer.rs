//! Grants allowances from the customers' quotas.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::{CustomerId, Millis};

use super::bucket::Bucket;
use super::{ALONE_SHARE, AllowanceRequest, IssuanceParams, SILENT_AFTER};

/// Maximum part of the available amount for one request, as a multiple of the part of the nodes
/// that it is for, and a minimum of that. Prevents the first node from getting more than it uses
/// before it expires.
const OF_ITS_PART: f64 = 2.0;
const LEAST_PART: f64 = 0.125;

/// The issuer of allowances, on one node.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// When it started.
    since: Millis,
    buckets: IndexMap<CustomerId, Bucket>,
    /// By address: time of the latest request, and the number of nodes it was for.
    heard: IndexMap<SocketAddr, (Millis, u32)>,
    /// Amounts that nodes requested and did not get.
    unmet: IndexMap<CustomerId, IndexMap<SocketAddr, (f64, Millis)>>,
}

/// Time after which an unmet request is dropped.
const UNMET_FOR: Millis = 200;

impl Issuer {
    /// Starts with nearly empty buckets.
    pub fn new(now: Millis) -> Issuer {
        Issuer { since: now, ..Issuer::default() }
    }

    /// Records a request by a node for itself and those that ask it.
    pub fn record_contact(&mut self, from: SocketAddr, nodes: u32, now: Millis) {
        self.heard.insert(from, (now, nodes));
        self.heard.retain(|_, (at, _)| now.saturating_sub(*at) < SILENT_AFTER);
    }

    /// Part of the nodes without recent contact. 0 just after the start, as nodes have to find the
    /// new issuer first.
    pub fn silent_share(&self, nodes: u32, now: Millis) -> f64 {
        if now.saturating_sub(self.since) < SILENT_AFTER {
            return 0.0;
        }
        let lately = self.heard.values().filter(|(at, _)| now.saturating_sub(*at) < SILENT_AFTER);
        let heard: u32 = 1 + lately.map(|(_, nodes)| *nodes).sum::<u32>();
        f64::from(nodes.saturating_sub(heard)) / f64::from(nodes.max(1))
    }

    /// Maximum part of the available amount for a request for this many of all nodes.
    pub fn max_share(asks_for: u32, nodes: u32) -> f64 {
        let part = f64::from(asks_for.max(1)) / f64::from(nodes.max(1));
        (OF_ITS_PART * part).clamp(LEAST_PART, 1.0)
    }

    /// Grants from a customer's quota. `alone` is usage without the issuer, `silent` the part of
    /// the nodes that may use their share without it, and `part` the maximum part to grant, unless
    /// a single request needs more.
    pub fn grant(
        &mut self,
        from: SocketAddr,
        customer: &CustomerId,
        terms: &IssuanceParams,
        want: &AllowanceRequest,
        (alone, silent, part): (f64, f64, f64),
        now: Millis,
    ) -> IssuedAmount {
        let empty = Bucket { level: terms.start, at: self.since };
        let bucket = self.buckets.entry(customer.clone()).or_insert(empty);
        bucket.fill(now, terms.rate * (1.0 - ALONE_SHARE * silent), terms.depth);
        // Usage from before the start is not part of this bucket.
        if now.saturating_sub(self.since) >= SILENT_AFTER {
            bucket.level -= alone;
        }
        let there = (bucket.level * part).max(want.min.min(bucket.level));
        let amount = want.grantable(there);
        bucket.level -= amount;
        let unmet = self.unmet.entry(customer.clone()).or_default();
        unmet.retain(|_, (_, at)| now.saturating_sub(*at) < UNMET_FOR);
        let is_short = amount < want.needed && bucket.level < want.min;
        if !is_short {
            unmet.swap_remove(&from);
            return IssuedAmount { amount, available_in: None };
        }
        unmet.insert(from, (want.needed - amount, now));
        let lacks: f64 = unmet.values().map(|(amount, _)| amount).sum::<f64>() - bucket.level;
        let rate = terms.rate.max(f64::MIN_POSITIVE);
        IssuedAmount { amount, available_in: Some((1_000.0 * lacks / rate) as Millis) }
    }
}

/// A response of an issuer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuedAmount {
    pub amount: f64,
    /// Set if the quota is used up: milliseconds until it is available again.
    pub available_in: Option<Millis>,
}
