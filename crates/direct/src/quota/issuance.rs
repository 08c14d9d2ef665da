//! Sizes the issuer's bucket for a quota.

use crate::{Millis, Quota, QuotaBounds};

use super::{ALONE_SHARE, LEAST_DEPTH_S, SILENT_AFTER};

/// Maximum lifetime of an allowance; several times what a grant takes to arrive.
const LONGEST_LIFE: Millis = 500;

/// Minimum lifetime of an allowance; a small VM may respond a tenth of a second late.
const SHORTEST_LIFE: Millis = 150;

/// Part of the tolerance above the quota for allowances that have not expired.
const LIFE_SHARE: f64 = 0.5;

/// Part of the tolerance that isolated domains may use in advance, together; a request may need
/// more than a domain's share brings in a second.
const AHEAD_SHARE: f64 = 0.25;

/// Part of all nodes that may become isolated at once before the issuer notices.
const SILENT_SHARE: f64 = 0.4;

/// Part of the slack that a new issuer starts with, so that small customers are served at once, and
/// the number of new issuers to allow for in one window.
const START_SHARE: f64 = 0.25;
const STARTS: f64 = 2.0;

/// Parameters with which an issuer grants a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuanceParams {
    pub(super) rate: f64,
    /// Initial level of the bucket.
    pub(super) start: f64,
    pub(super) depth: f64,
    allowance_ttl: Millis,
    pub(super) ahead: f64,
}

impl IssuanceParams {
    pub fn new(quota: Quota, bounds: &QuotaBounds) -> IssuanceParams {
        let window = bounds.window.as_secs_f64().max(0.1);
        let room = bounds.overshoot_ratio * (quota.rate * window + quota.burst) + bounds.slack;
        let life_s = LIFE_SHARE * room / quota.rate.max(f64::MIN_POSITIVE);
        let life = ((life_s * 1_000.0) as Millis).clamp(SHORTEST_LIFE, LONGEST_LIFE);
        let alive = quota.rate * life as f64 / 1_000.0;
        let unnoticed = quota.rate * ALONE_SHARE * SILENT_SHARE * SILENT_AFTER as f64 / 1_000.0;
        let ahead = AHEAD_SHARE * room;
        let start = START_SHARE * bounds.slack;
        let free = quota.burst + room - alive - unnoticed - ahead - STARTS * start;
        let least = quota.rate * LEAST_DEPTH_S;
        // The slack lets larger requests of a small customer fit.
        let depth = free.clamp(least, (quota.burst + bounds.slack).max(least));
        let rate = (quota.rate - (depth - free).max(0.0) / window).max(0.0);
        IssuanceParams { rate, start: start.min(depth), depth, allowance_ttl: life, ahead }
    }

    /// Lifetime of an allowance.
    pub fn allowance_ttl(&self) -> Millis {
        self.allowance_ttl
    }
}
