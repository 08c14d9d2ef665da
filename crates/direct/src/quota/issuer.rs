//! Grants allowances from quotas.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::Millis;

use super::bucket::Bucket;
use super::issuance::QuotaKind;
use super::{AllowanceRequest, FALLBACK_SHARE, ISOLATED_AFTER, IssuanceParams, QuotaKey};

/// Maximum part of the available amount for one request, as a multiple of the part of the nodes
/// that it is for, and a minimum of that. Prevents the first node from getting more than it uses
/// before it expires.
const MAX_SHARE_FACTOR: f64 = 2.0;
const MIN_SHARE: f64 = 0.125;

/// The issuer of allowances, on one node.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// When it started.
    started_at: Millis,
    buckets: IndexMap<QuotaKey, Bucket>,
    /// By address: time of the latest request, and the number of nodes it was for.
    contacts: IndexMap<SocketAddr, (Millis, u32)>,
    /// Amounts that nodes requested and did not get.
    unmet: IndexMap<QuotaKey, IndexMap<SocketAddr, (f64, Millis)>>,
}

/// Time after which an unmet request is dropped.
const UNMET_TTL: Millis = 200;

impl Issuer {
    /// Starts with nearly empty buckets.
    pub fn new(now: Millis) -> Issuer {
        Issuer { started_at: now, ..Issuer::default() }
    }

    /// Forgets quotas that there are no more.
    pub fn retain(&mut self, exists: impl Fn(&QuotaKey) -> bool) {
        self.buckets.retain(|key, _| exists(key));
        self.unmet.retain(|key, _| exists(key));
    }

    /// Records a request by a node for itself and those that ask it.
    pub fn record_contact(&mut self, from: SocketAddr, nodes: u32, now: Millis) {
        self.contacts.insert(from, (now, nodes));
        self.contacts.retain(|_, (at, _)| now.saturating_sub(*at) < ISOLATED_AFTER);
    }

    /// Part of the nodes without recent contact. 0 just after the start, as nodes have to find the
    /// new issuer first.
    pub fn unresponsive_share(&self, nodes: u32, now: Millis) -> f64 {
        if now.saturating_sub(self.started_at) < ISOLATED_AFTER {
            return 0.0;
        }
        let recent =
            self.contacts.values().filter(|(at, _)| now.saturating_sub(*at) < ISOLATED_AFTER);
        let in_contact: u32 = 1 + recent.map(|(_, nodes)| *nodes).sum::<u32>();
        f64::from(nodes.saturating_sub(in_contact)) / f64::from(nodes.max(1))
    }

    /// Maximum part of the available amount for a request for this many of all nodes.
    pub fn max_share(requested_for: u32, nodes: u32) -> f64 {
        let share = f64::from(requested_for.max(1)) / f64::from(nodes.max(1));
        (MAX_SHARE_FACTOR * share).clamp(MIN_SHARE, 1.0)
    }

    /// Grants from a quota. `usage` is usage without the issuer,
    /// `unresponsive_share` the part of the nodes that may use their share without it, and
    /// `max_share` the maximum part to grant, unless a single request needs more.
    pub fn grant(
        &mut self,
        from: SocketAddr,
        key: &QuotaKey,
        params: &IssuanceParams,
        request: &AllowanceRequest,
        (usage, unresponsive_share, max_share): (f64, f64, f64),
        now: Millis,
    ) -> IssuedAmount {
        let empty = Bucket { level: params.start, at: self.started_at };
        let bucket = self.buckets.entry(key.clone()).or_insert(empty);
        bucket.fill(now, params.rate * (1.0 - FALLBACK_SHARE * unresponsive_share), params.depth);
        let is_young = now.saturating_sub(self.started_at) < ISOLATED_AFTER;
        match params.kind {
            // Usage from before the start is not part of this bucket.
            QuotaKind::Customer if is_young => {}
            QuotaKind::Customer => bucket.level -= usage,
            QuotaKind::Engine { max_debt } => {
                bucket.level = (bucket.level - usage).max(bucket.level.min(-max_debt));
            }
        }
        let available = (bucket.level * max_share).max(request.min.min(bucket.level));
        let amount = request.grantable(available);
        bucket.level -= amount;
        let unmet = self.unmet.entry(key.clone()).or_default();
        unmet.retain(|_, (_, at)| now.saturating_sub(*at) < UNMET_TTL);
        let is_exhausted = amount < request.needed && bucket.level < request.min;
        if !is_exhausted {
            unmet.swap_remove(&from);
            return IssuedAmount { amount, available_in: None };
        }
        unmet.insert(from, (request.needed - amount, now));
        let missing: f64 = unmet.values().map(|(amount, _)| amount).sum::<f64>() - bucket.level;
        let rate = params.rate.max(f64::MIN_POSITIVE);
        IssuedAmount { amount, available_in: Some((1_000.0 * missing / rate) as Millis) }
    }
}

/// A response of an issuer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuedAmount {
    pub amount: f64,
    /// Set if the quota is used up: milliseconds until it is available again.
    pub available_in: Option<Millis>,
}
