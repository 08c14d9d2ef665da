//! That a configuration is the newest, as far as a node can show.
//!
//! Load: a key is taken away while a node is cut off from the store, frozen, or turned away. What it has of the
//! configuration still names the key, and with it whoever found the key goes on. A node therefore shows, before a request
//! with a key is sent to an engine, that its configuration was the newest less than the allowed time ago. Whoever takes a
//! key away is told so later than the store was asked: a key that was taken after that question is younger than the
//! proof, and a request that came with it was sent within the allowed time.

use std::time::Duration;

/// What was learnt that is kept: a node may hear of newer versions before it has their text.
const MOST_KEPT: usize = 4;

/// That no configuration newer than a version was there at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// The version.
    pub newest: u64,
    /// When the store was asked, by the clock that counts what the machine was suspended for.
    pub asked: Duration,
}

/// What a node has learnt of versions, by its own questions or the word of others.
#[derive(Debug, Clone, Default)]
pub struct Proof {
    seen: Vec<Seen>,
}

impl Proof {
    /// Learns that no newer version was there when the store was asked. An answer that was long on its way speaks for the
    /// time of its question only.
    pub fn learn(&mut self, seen: Seen) {
        self.seen.retain(|known| known.newest != seen.newest || known.asked > seen.asked);
        if !self.seen.iter().any(|known| known.newest == seen.newest) {
            self.seen.push(seen);
        }
        if self.seen.len() > MOST_KEPT {
            self.seen.sort_unstable_by_key(|seen| seen.newest);
            self.seen.remove(0);
        }
    }

    /// When it was last known that no version newer than this one was there.
    pub fn of(&self, version: u64) -> Option<Seen> {
        let known = self.seen.iter().filter(|seen| seen.newest <= version);
        known.max_by_key(|seen| seen.asked).copied()
    }

    /// How long ago that was.
    pub fn age(&self, version: u64, now: Duration) -> Option<Duration> {
        self.of(version).map(|seen| now.saturating_sub(seen.asked))
    }
}
