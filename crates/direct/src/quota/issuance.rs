//! Sizes the issuer's bucket for a quota.

use crate::{Millis, Quota, QuotaBounds, QuotaUnit, RequestRate};

use super::{FALLBACK_SHARE, ISOLATED_AFTER, MIN_DEPTH_S};

/// Maximum lifetime of an allowance; several times what a grant takes to arrive.
const MAX_TTL: Millis = 500;

/// Minimum lifetime of an allowance; a small VM may respond a tenth of a second late.
const MIN_TTL: Millis = 150;

/// Part of the tolerance above the quota for allowances that have not expired.
const TTL_SHARE: f64 = 0.5;

/// Part of the tolerance that isolated domains may use in advance, together; a request may need
/// more than a domain's share brings in a second.
const ADVANCE_SHARE: f64 = 0.25;

/// Part of all nodes that may become isolated at once before the issuer notices.
const ISOLATED_SHARE: f64 = 0.4;

/// Part of the slack that a new issuer starts with, so that small customers are served at once, and
/// the number of new issuers to allow for in one window.
const START_SHARE: f64 = 0.25;
const STARTS_PER_WINDOW: f64 = 2.0;

/// Minimum rate at which requests are sent to an engine with a limit, per second: even one that takes
/// none is sent one now and then, as only its response says that the limit has ended.
const MIN_ENGINE_RATE: f64 = 0.1;

/// Parameters with which an issuer grants a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuanceParams {
    pub(super) rate: f64,
    /// Initial level of the bucket.
    pub(super) start: f64,
    pub(super) depth: f64,
    allowance_ttl: Millis,
    pub(super) advance: f64,
    pub(super) kind: QuotaKind,
}

/// In which ways quotas differ, besides their rates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum QuotaKind {
    Customer,
    Engine {
        /// Maximum amount by which usage before the limit was known exceeds the bucket.
        max_debt: f64,
    },
}

impl IssuanceParams {
    pub fn new(quota: Quota, bounds: &QuotaBounds) -> IssuanceParams {
        let window = bounds.window.as_secs_f64().max(0.1);
        let tolerance = bounds.overshoot_ratio * (quota.rate * window + quota.burst) + bounds.slack;
        let ttl_s = TTL_SHARE * tolerance / quota.rate.max(f64::MIN_POSITIVE);
        let ttl = ((ttl_s * 1_000.0) as Millis).clamp(MIN_TTL, MAX_TTL);
        let unexpired = quota.rate * ttl as f64 / 1_000.0;
        let unnoticed_usage =
            quota.rate * FALLBACK_SHARE * ISOLATED_SHARE * ISOLATED_AFTER as f64 / 1_000.0;
        let advance = ADVANCE_SHARE * tolerance;
        let start = START_SHARE * bounds.slack;
        let available = quota.burst + tolerance
            - unexpired
            - unnoticed_usage
            - advance
            - STARTS_PER_WINDOW * start;
        let min_depth = quota.rate * MIN_DEPTH_S;
        // The slack lets larger requests of a small customer fit.
        let depth = available.clamp(min_depth, (quota.burst + bounds.slack).max(min_depth));
        let rate = (quota.rate - (depth - available).max(0.0) / window).max(0.0);
        let (start, kind) = (start.min(depth), QuotaKind::Customer);
        IssuanceParams { rate, start, depth, allowance_ttl: ttl, advance, kind }
    }

    /// Parameters for the requests that an engine takes.
    pub fn for_engine(rate: RequestRate, bounds: &QuotaBounds) -> IssuanceParams {
        let rate = rate.per_second().max(MIN_ENGINE_RATE);
        let params =
            IssuanceParams::new(Quota { unit: QuotaUnit::Requests, rate, burst: 0.0 }, bounds);
        // What was sent longer ago than the window no longer counts.
        let max_debt = rate * bounds.window.as_secs_f64();
        IssuanceParams { kind: QuotaKind::Engine { max_debt }, ..params }
    }

    /// Lifetime of an allowance.
    pub fn allowance_ttl(&self) -> Millis {
        self.allowance_ttl
    }
}
