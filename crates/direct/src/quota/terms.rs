use crate::{Millis, Quota, QuotaBounds};

use super::{ALONE_SHARE, LEAST_DEPTH_S, SILENT_AFTER};

/// Longest life of an allowance: several times as long as one takes to come.
const LONGEST_LIFE: Millis = 500;

/// Shortest: a small machine may answer a tenth of a second late.
const SHORTEST_LIFE: Millis = 150;

/// Part of the room beyond the limit that allowances which still live may take.
const LIFE_SHARE: f64 = 0.5;

/// Part of it that domains on their own may draw ahead, together: a request may need more than a domain's share brings
/// in a second.
const AHEAD_SHARE: f64 = 0.25;

/// Part of all nodes that may fall silent at once before the issuer notices.
const SILENT_SHARE: f64 = 0.4;

/// Part of the slack with which a new issuer begins, so that small customers are served at once, and how many may begin
/// within one window.
const START_SHARE: f64 = 0.25;
const STARTS: f64 = 2.0;

/// A limit as the issuer keeps it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    pub(super) rate: f64,
    /// What a new issuer begins with.
    pub(super) start: f64,
    pub(super) depth: f64,
    life: Millis,
    pub(super) ahead: f64,
}

impl Terms {
    /// The terms of a limit within these bounds.
    pub fn of(quota: Quota, bounds: &QuotaBounds) -> Terms {
        let window = bounds.window.as_secs_f64().max(0.1);
        let room = bounds.over * (quota.rate * window + quota.burst) + bounds.slack;
        let life_s = LIFE_SHARE * room / quota.rate.max(f64::MIN_POSITIVE);
        let life = ((life_s * 1_000.0) as Millis).clamp(SHORTEST_LIFE, LONGEST_LIFE);
        let alive = quota.rate * life as f64 / 1_000.0;
        let unnoticed = quota.rate * ALONE_SHARE * SILENT_SHARE * SILENT_AFTER as f64 / 1_000.0;
        let ahead = AHEAD_SHARE * room;
        let start = START_SHARE * bounds.slack;
        let free = quota.burst + room - alive - unnoticed - ahead - STARTS * start;
        let least = quota.rate * LEAST_DEPTH_S;
        // The slack is there so that a small customer's larger requests fit at all.
        let depth = free.clamp(least, (quota.burst + bounds.slack).max(least));
        let rate = (quota.rate - (depth - free).max(0.0) / window).max(0.0);
        Terms { rate, start: start.min(depth), depth, life, ahead }
    }

    /// How long an allowance lives.
    pub fn life(&self) -> Millis {
        self.life
    }
}
