//! One failure domain's share of the weight store.
//!
//! All domains load from one store, which slows down for all of them when overloaded. Domains may
//! be unable to reach each other, so each computes its share from the configuration alone, and the
//! shares add up to less than the total.

use std::time::Duration;

use hgw_config::{Document, ServiceKind, WeightStore};
use hgw_types::{DomainId, Time};

/// Fraction of the store's rate that is shared. The rest is for new leaders, which start with an
/// empty token bucket but do not know when the previous leader last loaded.
const SHARED_FRACTION: f64 = 0.9;

/// One domain's share: a token bucket of loads and a limit on concurrent loads.
///
/// If there are more domains than slots, each domain runs one load at a time and pauses after it,
/// so that its average use stays within its fraction of the slots. The domains share no clock, so
/// concurrent loads may briefly exceed the store's limit.
#[derive(Debug, Clone, Default)]
pub struct WeightStoreShare {
    interval: Duration,
    parallel: usize,
    /// Seconds of pause for each second of loading; above 0 only if domains outnumber slots.
    pause_factor: f64,
    tokens: f64,
    refilled_at: Time,
    busy_since: Option<Time>,
    paused_until: Time,
}

impl WeightStoreShare {
    /// Creates a share with an empty token bucket.
    pub fn new(now: Time) -> WeightStoreShare {
        WeightStoreShare { refilled_at: now, ..WeightStoreShare::default() }
    }

    /// Computes the share of `domain`; the tokens in the bucket are kept.
    pub fn configure(&mut self, document: &Document, domain: &DomainId) {
        let domains = domains_with_engines(document);
        let rank = domains.iter().position(|d| *d == domain);
        let Some(rank) = rank else {
            self.parallel = 0;
            return;
        };
        let WeightStore { loads_per_second, parallel } = document.weight_store;
        let rate = loads_per_second.as_per_second() * SHARED_FRACTION / domains.len() as f64;
        self.interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        (self.parallel, self.pause_factor) = slots(parallel as usize, domains.len(), rank);
    }

    /// Takes a token if a load may begin now, with `running` others in progress.
    pub fn try_acquire(&mut self, now: Time, running: usize) -> bool {
        self.refill(now);
        let allowed = running < self.parallel && self.tokens >= 1.0 && now >= self.paused_until;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Must be called at each tick with the number of loads in progress.
    pub fn observe(&mut self, now: Time, running: usize) {
        if self.pause_factor == 0.0 {
            return;
        }
        match (self.busy_since, running) {
            (None, 1..) => self.busy_since = Some(now),
            (Some(since), 0) => {
                self.busy_since = None;
                self.paused_until = now + now.since(since).mul_f64(self.pause_factor);
            }
            _ => {}
        }
    }

    fn refill(&mut self, now: Time) {
        let gained =
            now.since(self.refilled_at).as_secs_f64() / self.interval.as_secs_f64().max(1e-6);
        self.refilled_at = now;
        // At most one token, so that idle domains cannot all burst at once.
        self.tokens = (self.tokens + gained).min(1.0);
    }
}

fn domains_with_engines(document: &Document) -> Vec<&DomainId> {
    let is_engine =
        |service| document.services.get(service).is_some_and(|s| s.kind == ServiceKind::Model);
    let has_engine = |id: &DomainId| {
        document.upstreams.values().any(|u| u.domain == *id && is_engine(&u.service))
    };
    document.domains.keys().filter(|id| has_engine(id)).collect()
}

/// Concurrent loads of the domain with this rank, and its pause factor.
fn slots(parallel: usize, domains: usize, rank: usize) -> (usize, f64) {
    if parallel <= domains {
        // Fewer slots than domains: one load at a time with a pause. If there are several slots,
        // one is not shared out, as with the rate.
        let shared = parallel.saturating_sub(1).max(1) as f64;
        return (1, domains as f64 / shared - 1.0);
    }
    let shared = parallel - 1;
    (shared / domains + usize::from(rank < shared % domains), 0.0)
}
