//! In-flight requests at engines, as reported between nodes.
//!
//! Reports are summed per failure domain, so that their volume does not grow with the square of the
//! number of nodes.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{EngineId, Millis, StartTime};

/// 32-bit hash that identifies one incarnation of an engine. Engines whose hashes collide are
/// counted together.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EngineKey(u32);

impl EngineKey {
    pub fn of(engine: &EngineId, start: StartTime) -> EngineKey {
        let mut bytes = start.0.unwrap_or_default().to_le_bytes().to_vec();
        bytes.extend_from_slice(engine.0.as_bytes());
        EngineKey((xxh3_64(&bytes) & u64::from(u32::MAX)) as u32)
    }
}

/// Load in flight at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlightLoad {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Those whose prefill is not complete.
    pub prompts: u32,
    /// Tokens of these prompts.
    pub tokens: u32,
}

impl InFlightLoad {
    pub fn plus(self, other: InFlightLoad) -> InFlightLoad {
        InFlightLoad {
            requests: self.requests.saturating_add(other.requests),
            prompts: self.prompts.saturating_add(other.prompts),
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }

    pub fn minus(self, other: InFlightLoad) -> InFlightLoad {
        InFlightLoad {
            requests: self.requests.saturating_sub(other.requests),
            prompts: self.prompts.saturating_sub(other.prompts),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }

    fn is_nothing(self) -> bool {
        self == InFlightLoad::default()
    }
}

/// Wire form of one engine's load: requests, prompts and tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRow(pub EngineKey, pub u32, pub u32, pub u32);

impl InFlightRow {
    fn of(key: EngineKey, flight: InFlightLoad) -> InFlightRow {
        InFlightRow(key, flight.requests, flight.prompts, flight.tokens)
    }

    fn flight(self) -> InFlightLoad {
        InFlightLoad { requests: self.1, prompts: self.2, tokens: self.3 }
    }
}

/// Part of all engines, by hash of their key, that one datagram covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyPartition {
    /// Index of the part.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
}

impl KeyPartition {
    fn has(self, key: EngineKey) -> bool {
        key.0 % self.parts.max(1) == self.part
    }
}

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightUpdate {
    /// If set, `rows` contains all loads of this part of the engines; otherwise only changes.
    #[serde(rename = "all_of")]
    pub full_partition: Option<KeyPartition>,
    pub rows: Vec<InFlightRow>,
}

/// Time after which the reports of a silent node are dropped; its requests have ended with it.
const HOLDS_FOR: Millis = 2_500;

/// Maximum number of engines that are kept per node; several times as many as any known deployment
/// has.
const MOST_ROWS: usize = 16_384;

/// Latest reports of several nodes, and their sums.
#[derive(Debug, Clone, Default)]
pub struct PeerReports {
    by: IndexMap<SocketAddr, Teller>,
    sums: IndexMap<EngineKey, InFlightLoad>,
}

#[derive(Debug, Clone, Default)]
struct Teller {
    at: Millis,
    rows: IndexMap<EngineKey, InFlightLoad>,
}

impl PeerReports {
    /// Applies a report; returns the engines that it affects.
    pub fn apply(
        &mut self,
        from: SocketAddr,
        now: Millis,
        told: &InFlightUpdate,
    ) -> Vec<EngineKey> {
        let teller = self.by.entry(from).or_default();
        teller.at = now;
        let mut concerned: Vec<EngineKey> = told.rows.iter().map(|row| row.0).collect();
        let mut new: Vec<(EngineKey, InFlightLoad)> =
            told.rows.iter().map(|r| (r.0, r.flight())).collect();
        if let Some(share) = told.full_partition {
            let meant = teller.rows.keys().filter(|key| share.has(**key));
            let missing = meant.filter(|key| !concerned.contains(key)).copied();
            let missing: Vec<EngineKey> = missing.collect();
            concerned.extend(&missing);
            new.extend(missing.into_iter().map(|key| (key, InFlightLoad::default())));
        }
        for (key, flight) in new {
            put(&mut teller.rows, &mut self.sums, key, flight);
        }
        concerned
    }

    /// Drops the reports of nodes that are silent or that `is_wanted` rejects.
    pub fn expire(&mut self, now: Millis, is_wanted: impl Fn(&SocketAddr) -> bool) {
        let ended = |addr: &SocketAddr, teller: &Teller| {
            now.saturating_sub(teller.at) >= HOLDS_FOR || !is_wanted(addr)
        };
        for (_, teller) in self.by.iter_mut().filter(|(addr, teller)| ended(addr, teller)) {
            for key in teller.rows.keys().copied().collect::<Vec<_>>() {
                put(&mut teller.rows, &mut self.sums, key, InFlightLoad::default());
            }
        }
        self.by.retain(|addr, teller| !ended(addr, teller));
    }

    /// Number of nodes that sent a report within `age`.
    pub fn active_within(&self, age: Millis, now: Millis) -> usize {
        self.by.values().filter(|teller| now.saturating_sub(teller.at) < age).count()
    }

    /// Total load that all these nodes have in flight at an engine.
    pub fn sum(&self, key: EngineKey) -> InFlightLoad {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    pub fn sums(&self) -> impl Iterator<Item = (EngineKey, InFlightLoad)> + '_ {
        self.sums.iter().map(|(key, flight)| (*key, *flight))
    }
}

fn put(
    rows: &mut IndexMap<EngineKey, InFlightLoad>,
    sums: &mut IndexMap<EngineKey, InFlightLoad>,
    key: EngineKey,
    flight: InFlightLoad,
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

/// Maximum number of rows per datagram; keeps datagrams below the usual MTU.
const MOST_TOLD: usize = 100;

/// Interval of complete reports, which make up for lost datagrams.
const WHOLE_EVERY: Millis = 1_000;

fn all(flights: &IndexMap<EngineKey, InFlightLoad>) -> Vec<InFlightUpdate> {
    let parts = u32::try_from(flights.len().div_ceil(MOST_TOLD / 2)).unwrap_or(u32::MAX).max(1);
    let part = |part| {
        let share = KeyPartition { part, parts };
        let rows = flights.iter().filter(|(key, _)| share.has(**key));
        let rows =
            rows.take(MOST_TOLD).map(|(key, flight)| InFlightRow::of(*key, *flight)).collect();
        InFlightUpdate { full_partition: Some(share), rows }
    };
    (0..parts).map(part).collect()
}

/// Sends reports that contain only what changed since the previous one.
#[derive(Debug, Clone, Default)]
pub struct UpdateTracker {
    last_sent: IndexMap<EngineKey, InFlightLoad>,
    whole_at: Option<Millis>,
}

impl UpdateTracker {
    /// The datagrams to send now; empty if nothing changed.
    pub fn next_updates(
        &mut self,
        now: Millis,
        flights: &IndexMap<EngineKey, InFlightLoad>,
    ) -> Vec<InFlightUpdate> {
        let whole = self.whole_at.is_none_or(|at| now.saturating_sub(at) >= WHOLE_EVERY);
        let told = if whole {
            self.whole_at = Some(now);
            all(flights)
        } else {
            self.changes(flights)
        };
        self.last_sent.clone_from(flights);
        told
    }

    fn changes(&self, flights: &IndexMap<EngineKey, InFlightLoad>) -> Vec<InFlightUpdate> {
        let changed =
            flights.iter().filter(|(key, flight)| self.last_sent.get(*key) != Some(flight));
        let ended = self.last_sent.keys().filter(|key| !flights.contains_key(*key));
        let ended = ended.map(|key| InFlightRow::of(*key, InFlightLoad::default()));
        let rows = changed.map(|(key, flight)| InFlightRow::of(*key, *flight)).chain(ended);
        let rows: Vec<InFlightRow> = rows.collect();
        rows.chunks(MOST_TOLD)
            .map(|rows| InFlightUpdate { full_partition: None, rows: rows.to_vec() })
            .collect()
    }

    /// The load at an engine that was reported last.
    pub fn last_sent(&self, key: EngineKey) -> InFlightLoad {
        self.last_sent.get(&key).copied().unwrap_or_default()
    }
}
