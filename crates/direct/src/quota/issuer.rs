use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::{CustomerId, Millis};

use super::bucket::Bucket;
use super::{ALONE_SHARE, SILENT_AFTER, Terms, Want};

/// Part of what there is that one asker gets at the most, times its part of the nodes; and the same whatever that is.
///
/// Load: all ask for several times what there is. The first to ask in each moment would get all of it, more than its
/// callers use before it lapses, and the others nothing.
const OF_ITS_PART: f64 = 2.0;
const LEAST_PART: f64 = 0.125;

/// The one node that gives allowances from the limits.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    /// Since when it does.
    since: Millis,
    buckets: IndexMap<CustomerId, Bucket>,
    /// Who asked, when, and for how many nodes.
    heard: IndexMap<SocketAddr, (Millis, u32)>,
    /// What they wanted and did not get.
    unmet: IndexMap<CustomerId, IndexMap<SocketAddr, (f64, Millis)>>,
}

/// Time for which what a node did not get counts as wanted.
const UNMET_FOR: Millis = 200;

impl Issuer {
    /// Begins with nearly empty buckets.
    pub fn begin(now: Millis) -> Issuer {
        Issuer { since: now, ..Issuer::default() }
    }

    /// A node asks, for itself and those that ask it.
    pub fn hear(&mut self, from: SocketAddr, nodes: u32, now: Millis) {
        self.heard.insert(from, (now, nodes));
        self.heard.retain(|_, (at, _)| now.saturating_sub(*at) < SILENT_AFTER);
    }

    /// Part of all nodes that it has not heard of lately; itself it hears. One that has just begun has yet to hear from
    /// the others: after all processes were killed nobody has found its head, and nobody uses a share alone.
    pub fn silent_share(&self, nodes: u32, now: Millis) -> f64 {
        if now.saturating_sub(self.since) < SILENT_AFTER {
            return 0.0;
        }
        let lately = self.heard.values().filter(|(at, _)| now.saturating_sub(*at) < SILENT_AFTER);
        let heard: u32 = 1 + lately.map(|(_, nodes)| *nodes).sum::<u32>();
        f64::from(nodes.saturating_sub(heard)) / f64::from(nodes.max(1))
    }

    /// The part of what there is that a node may get which asks for so many nodes of all.
    pub fn part_of(asks_for: u32, nodes: u32) -> f64 {
        let part = f64::from(asks_for.max(1)) / f64::from(nodes.max(1));
        (OF_ITS_PART * part).clamp(LEAST_PART, 1.0)
    }

    /// Gives of what a customer may use; `alone` was used without the issuer, and `silent` is the part of the nodes that
    /// may be doing so. Of what there is only this `part` is given, but for what one request lacks.
    pub fn give(
        &mut self,
        from: SocketAddr,
        customer: &CustomerId,
        terms: &Terms,
        want: &Want,
        (alone, silent, part): (f64, f64, f64),
        now: Millis,
    ) -> Answer {
        let empty = Bucket { level: terms.start, at: self.since };
        let bucket = self.buckets.entry(customer.clone()).or_insert(empty);
        bucket.fill(now, terms.rate * (1.0 - ALONE_SHARE * silent), terms.depth);
        // What was used before it began is not of its bucket.
        if now.saturating_sub(self.since) >= SILENT_AFTER {
            bucket.level -= alone;
        }
        let there = (bucket.level * part).max(want.least.min(bucket.level));
        let amount = want.of(there);
        bucket.level -= amount;
        let unmet = self.unmet.entry(customer.clone()).or_default();
        unmet.retain(|_, (_, at)| now.saturating_sub(*at) < UNMET_FOR);
        let is_short = amount < want.needed && bucket.level < want.least;
        if !is_short {
            unmet.swap_remove(&from);
            return Answer { amount, room_in: None };
        }
        unmet.insert(from, (want.needed - amount, now));
        let lacks: f64 = unmet.values().map(|(amount, _)| amount).sum::<f64>() - bucket.level;
        let rate = terms.rate.max(f64::MIN_POSITIVE);
        Answer { amount, room_in: Some((1_000.0 * lacks / rate) as Millis) }
    }
}

/// What an issuer gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// So much.
    pub amount: f64,
    /// Where there is no more at the moment: when there will be, in milliseconds.
    pub room_in: Option<Millis>,
}
