//! Requests that run and wait at engines, as nodes tell each other in sums.
//!
//! Load: 195 nodes send to 93 engines. Each meets an engine every other second, so that what answers tell it of loads
//! is a second old, and four in ten sends are rejected by engines that look idle. Told by each to all, what is sent
//! would grow with the square of the nodes. Summed up by domain, and the domains' sums by one node of each domain, it
//! takes each node a datagram of some hundred bytes in a tick, whatever their number.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{EngineId, Millis, Start};

/// Names one start of an engine in few bytes. Two of some thousand engines share one in one deployment of five hundred,
/// and count for each other then.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EngineKey(u32);

impl EngineKey {
    /// The name of an engine's start.
    pub fn of(engine: &EngineId, start: Start) -> EngineKey {
        let mut bytes = start.0.unwrap_or_default().to_le_bytes().to_vec();
        bytes.extend_from_slice(engine.0.as_bytes());
        EngineKey((xxh3_64(&bytes) & u64::from(u32::MAX)) as u32)
    }
}

/// What is at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flight {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Those of them whose prompts are not read yet.
    pub prompts: u32,
    /// Tokens of these prompts.
    pub tokens: u32,
}

impl Flight {
    /// Both together.
    pub fn plus(self, other: Flight) -> Flight {
        Flight {
            requests: self.requests.saturating_add(other.requests),
            prompts: self.prompts.saturating_add(other.prompts),
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }

    /// This without the other.
    pub fn minus(self, other: Flight) -> Flight {
        Flight {
            requests: self.requests.saturating_sub(other.requests),
            prompts: self.prompts.saturating_sub(other.prompts),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }

    fn is_nothing(self) -> bool {
        self == Flight::default()
    }
}

/// A flight of an engine, as it is told: requests, prompts and tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row(pub EngineKey, pub u32, pub u32, pub u32);

impl Row {
    fn of(key: EngineKey, flight: Flight) -> Row {
        Row(key, flight.requests, flight.prompts, flight.tokens)
    }

    fn flight(self) -> Flight {
        Flight { requests: self.1, prompts: self.2, tokens: self.3 }
    }
}

/// A share of all engines: those that are told of in one datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Which one.
    pub part: u32,
    /// Of how many.
    pub parts: u32,
}

impl Share {
    fn has(self, key: EngineKey) -> bool {
        key.0 % self.parts.max(1) == self.part
    }
}

/// What one datagram tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The engines of which it tells all there is; where it is none, what has changed.
    pub all_of: Option<Share>,
    /// What is at engines.
    pub rows: Vec<Row>,
}

/// Time for which the word of a node holds that says no more: it has ended, and so have its requests.
const HOLDS_FOR: Millis = 2_500;

/// Engines of which one node's word is kept: several times as many as any deployment is known to have.
const MOST_ROWS: usize = 16_384;

/// What several nodes told, each in its place.
#[derive(Debug, Clone, Default)]
pub struct Tellers {
    by: IndexMap<SocketAddr, Teller>,
    sums: IndexMap<EngineKey, Flight>,
}

#[derive(Debug, Clone, Default)]
struct Teller {
    at: Millis,
    rows: IndexMap<EngineKey, Flight>,
}

impl Tellers {
    /// A node tells; gives the engines that this concerns.
    pub fn take(&mut self, from: SocketAddr, now: Millis, told: &Told) -> Vec<EngineKey> {
        let teller = self.by.entry(from).or_default();
        teller.at = now;
        let mut concerned: Vec<EngineKey> = told.rows.iter().map(|row| row.0).collect();
        let mut new: Vec<(EngineKey, Flight)> =
            told.rows.iter().map(|r| (r.0, r.flight())).collect();
        if let Some(share) = told.all_of {
            let meant = teller.rows.keys().filter(|key| share.has(**key));
            let missing = meant.filter(|key| !concerned.contains(key)).copied();
            let missing: Vec<EngineKey> = missing.collect();
            concerned.extend(&missing);
            new.extend(missing.into_iter().map(|key| (key, Flight::default())));
        }
        for (key, flight) in new {
            put(&mut teller.rows, &mut self.sums, key, flight);
        }
        concerned
    }

    /// Ends what nodes said that say no more, or that are not wanted any more.
    pub fn keep(&mut self, now: Millis, is_wanted: impl Fn(&SocketAddr) -> bool) {
        let ended = |addr: &SocketAddr, teller: &Teller| {
            now.saturating_sub(teller.at) >= HOLDS_FOR || !is_wanted(addr)
        };
        for (_, teller) in self.by.iter_mut().filter(|(addr, teller)| ended(addr, teller)) {
            for key in teller.rows.keys().copied().collect::<Vec<_>>() {
                put(&mut teller.rows, &mut self.sums, key, Flight::default());
            }
        }
        self.by.retain(|addr, teller| !ended(addr, teller));
    }

    /// How many nodes have told something within so many milliseconds.
    pub fn heard_within(&self, age: Millis, now: Millis) -> usize {
        self.by.values().filter(|teller| now.saturating_sub(teller.at) < age).count()
    }

    /// What all of them together have at an engine.
    pub fn sum(&self, key: EngineKey) -> Flight {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    /// The same for all engines where there is anything.
    pub fn sums(&self) -> impl Iterator<Item = (EngineKey, Flight)> + '_ {
        self.sums.iter().map(|(key, flight)| (*key, *flight))
    }
}

fn put(
    rows: &mut IndexMap<EngineKey, Flight>,
    sums: &mut IndexMap<EngineKey, Flight>,
    key: EngineKey,
    flight: Flight,
) {
    if !rows.contains_key(&key) && (flight.is_nothing() || rows.len() >= MOST_ROWS) {
        return;
    }
    let before = rows.get(&key).copied().unwrap_or_default();
    if flight.is_nothing() {
        rows.swap_remove(&key);
    } else {
        rows.insert(key, flight);
    }
    let sum = sums.get(&key).copied().unwrap_or_default().minus(before).plus(flight);
    if sum.is_nothing() {
        sums.swap_remove(&key);
    } else {
        sums.insert(key, sum);
    }
}

/// Engines that one datagram tells of: a row takes some ten bytes, and networks carry 1,400 whole.
const MOST_TOLD: usize = 100;

/// Time after which everything is told again: a datagram may have been lost.
const WHOLE_EVERY: Millis = 1_000;

fn all(flights: &IndexMap<EngineKey, Flight>) -> Vec<Told> {
    let parts = u32::try_from(flights.len().div_ceil(MOST_TOLD / 2)).unwrap_or(u32::MAX).max(1);
    let part = |part| {
        let share = Share { part, parts };
        let rows = flights.iter().filter(|(key, _)| share.has(**key));
        let rows = rows.take(MOST_TOLD).map(|(key, flight)| Row::of(*key, *flight)).collect();
        Told { all_of: Some(share), rows }
    };
    (0..parts).map(part).collect()
}

/// What was told last, so that only what changes is told.
#[derive(Debug, Clone, Default)]
pub struct Telling {
    sent: IndexMap<EngineKey, Flight>,
    whole_at: Option<Millis>,
}

impl Telling {
    /// What there is to tell of this, in datagrams; nothing where nothing has changed.
    pub fn next(&mut self, now: Millis, flights: &IndexMap<EngineKey, Flight>) -> Vec<Told> {
        let whole = self.whole_at.is_none_or(|at| now.saturating_sub(at) >= WHOLE_EVERY);
        let told = if whole {
            self.whole_at = Some(now);
            all(flights)
        } else {
            self.changes(flights)
        };
        self.sent.clone_from(flights);
        told
    }

    fn changes(&self, flights: &IndexMap<EngineKey, Flight>) -> Vec<Told> {
        let changed = flights.iter().filter(|(key, flight)| self.sent.get(*key) != Some(flight));
        let ended = self.sent.keys().filter(|key| !flights.contains_key(*key));
        let ended = ended.map(|key| Row::of(*key, Flight::default()));
        let rows = changed.map(|(key, flight)| Row::of(*key, *flight)).chain(ended);
        let rows: Vec<Row> = rows.collect();
        rows.chunks(MOST_TOLD).map(|rows| Told { all_of: None, rows: rows.to_vec() }).collect()
    }

    /// What was told of an engine last.
    pub fn sent(&self, key: EngineKey) -> Flight {
        self.sent.get(&key).copied().unwrap_or_default()
    }
}
