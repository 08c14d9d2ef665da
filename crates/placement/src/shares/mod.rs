//! One failure domain's share of the weight store.
//!
//! All domains load from one store, which slows down for everybody once it is asked for more than it
//! gives. Domains can be cut off from each other, so none can ask the others first: each keeps to a
//! share that it works out from the configuration alone, and the shares add up to less than the whole.

use std::time::Duration;

use hgw_config::{Document, ServiceKind, WeightStore};
use hgw_types::{DomainId, Time};

/// Part of the store's rate that is shared out; the rest is for keepers that take over, which start
/// with an empty bucket but do not know when their predecessor last loaded.
const SHARED_OUT: f64 = 0.9;

/// One domain's share: a bucket of loads that refills at the domain's rate, and a bound on loads at
/// once.
///
/// Where there are more domains than slots, each domain has one load at once and rests after it, so
/// that over time it takes no more than its fraction of the slots. Without a clock that domains
/// share, nothing stronger can be had without asking the others: the average stays below the
/// store's bound, a single moment may not.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    every: Duration,
    parallel: usize,
    /// Seconds of rest for each second of loading; above 0 only for fractional slots.
    rest: f64,
    tokens: f64,
    filled: Time,
    busy_since: Option<Time>,
    rests_until: Time,
}

impl Shares {
    /// A share with an empty bucket.
    pub fn new(now: Time) -> Shares {
        Shares { filled: now, ..Shares::default() }
    }

    /// Works out the share of `domain`; its bucket stays as full as it was.
    pub fn configure(&mut self, document: &Document, domain: &DomainId) {
        let domains = loading_domains(document);
        let rank = domains.iter().position(|d| *d == domain);
        let Some(rank) = rank else {
            self.parallel = 0;
            return;
        };
        let WeightStore { loads_per_second, parallel } = document.weight_store;
        let rate = loads_per_second.as_per_second() * SHARED_OUT / domains.len() as f64;
        self.every = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        (self.parallel, self.rest) = slots(parallel as usize, domains.len(), rank);
    }

    /// Whether a load may begin now, with `running` others under way; if so, it is counted.
    pub fn take(&mut self, now: Time, running: usize) -> bool {
        self.refill(now);
        let may = running < self.parallel && self.tokens >= 1.0 && now >= self.rests_until;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// To be told at each tick how many loads are under way.
    pub fn observe(&mut self, now: Time, running: usize) {
        if self.rest == 0.0 {
            return;
        }
        match (self.busy_since, running) {
            (None, 1..) => self.busy_since = Some(now),
            (Some(since), 0) => {
                self.busy_since = None;
                self.rests_until = now + now.since(since).mul_f64(self.rest);
            }
            _ => {}
        }
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() / self.every.as_secs_f64().max(1e-6);
        self.filled = now;
        // No more than one: a bucket that saves up would let all domains burst together.
        self.tokens = (self.tokens + gained).min(1.0);
    }
}

/// Domains that have model engines, in the order of the configuration.
fn loading_domains(document: &Document) -> Vec<&DomainId> {
    let is_engine =
        |service| document.services.get(service).is_some_and(|s| s.kind == ServiceKind::Model);
    let has_engine = |id: &DomainId| {
        document.upstreams.values().any(|u| u.domain == *id && is_engine(&u.service))
    };
    document.domains.keys().filter(|id| has_engine(id)).collect()
}

/// Loads at once for the domain of this rank, and its rest.
fn slots(parallel: usize, domains: usize, rank: usize) -> (usize, f64) {
    if parallel <= domains {
        // Below one slot each: one at once, with a rest that makes up for it. One slot of all is
        // left out, as above, where there is more than one.
        let shared = parallel.saturating_sub(1).max(1) as f64;
        return (1, domains as f64 / shared - 1.0);
    }
    let shared = parallel - 1;
    (shared / domains + usize::from(rank < shared % domains), 0.0)
}
