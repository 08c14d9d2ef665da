use std::time::Duration;

use hgw_types::Time;

/// When a node says again what is in force.
///
/// Records expire. A node that starts later than the last change expired would find no configuration
/// in the log, so some node writes a refresh well before that. Any node may; the one that comes first
/// does it first, and the others only if they have not read its refresh some time later.
#[derive(Debug)]
pub struct Refresher {
    every: Duration,
    stagger: Duration,
    last: Time,
}

impl Refresher {
    /// `every` is at most a quarter of the time that the log keeps records; `stagger` is how much
    /// later each next node writes.
    pub fn new(now: Time, every: Duration, stagger: Duration) -> Refresher {
        Refresher { every, stagger, last: now }
    }

    /// A refresh was read.
    pub fn seen(&mut self, now: Time) {
        self.last = now;
    }

    /// Whether this node is to append a refresh now, when it is number `rank` among the live nodes,
    /// from 0. Says so once a `stagger`.
    pub fn due(&mut self, now: Time, rank: u32) -> bool {
        let wait = self.every + self.stagger * rank.min(MAX_RANK);
        if now.since(self.last) < wait {
            return false;
        }
        self.last = now - wait + self.stagger;
        true
    }
}

/// Nodes that come later than this in rank wait no longer than it.
const MAX_RANK: u32 = 16;
