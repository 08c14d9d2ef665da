//! In-flight requests at engines, as reported between nodes.
//!
//! Reports are summed per failure domain, so that their volume does not grow with the square of the
//! number of nodes.

use std::net::SocketAddr;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{EngineId, Millis, StartTime};

/// 32-bit hash that identifies one incarnation of an engine. Engines whose hashes collide are
/// counted together.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct EngineKey(u32);

impl EngineKey {
    pub fn of(engine: &EngineId, started_at: StartTime) -> EngineKey {
        let mut bytes = started_at.0.unwrap_or_default().to_le_bytes().to_vec();
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
    /// Tokens of memory that the requests hold, prompts and output.
    pub held: u32,
}

impl InFlightLoad {
    pub fn plus(self, other: InFlightLoad) -> InFlightLoad {
        InFlightLoad {
            requests: self.requests.saturating_add(other.requests),
            prompts: self.prompts.saturating_add(other.prompts),
            tokens: self.tokens.saturating_add(other.tokens),
            held: self.held.saturating_add(other.held),
        }
    }

    pub fn minus(self, other: InFlightLoad) -> InFlightLoad {
        InFlightLoad {
            requests: self.requests.saturating_sub(other.requests),
            prompts: self.prompts.saturating_sub(other.prompts),
            tokens: self.tokens.saturating_sub(other.tokens),
            held: self.held.saturating_sub(other.held),
        }
    }

    fn is_empty(self) -> bool {
        self == InFlightLoad::default()
    }
}

/// Wire form of one engine's load: requests, prompts and tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRow(pub EngineKey, pub u32, pub u32, pub u32);

impl InFlightRow {
    fn of(key: EngineKey, load: InFlightLoad) -> InFlightRow {
        InFlightRow(key, load.requests, load.prompts, load.tokens)
    }

    fn load(self, held: u32) -> InFlightLoad {
        InFlightLoad { requests: self.1, prompts: self.2, tokens: self.3, held }
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
    fn contains(self, key: EngineKey) -> bool {
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
    /// Tokens held at the engine of each row, in the same order; empty if nothing is held, or if the
    /// sender does not know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<u32>,
}

impl InFlightUpdate {
    fn new(
        full_partition: Option<KeyPartition>,
        loads: &[(EngineKey, InFlightLoad)],
    ) -> InFlightUpdate {
        let rows = loads.iter().map(|(key, load)| InFlightRow::of(*key, *load)).collect();
        let held: Vec<u32> = loads.iter().map(|(_, load)| load.held).collect();
        let is_any_held = held.iter().any(|tokens| *tokens > 0);
        InFlightUpdate { full_partition, rows, held: if is_any_held { held } else { Vec::new() } }
    }

    fn loads(&self) -> impl Iterator<Item = (EngineKey, InFlightLoad)> + '_ {
        // Of another length, it cannot be told which row a value belongs to.
        let is_aligned = self.held.len() == self.rows.len();
        let held = move |at: usize| if is_aligned { self.held[at] } else { 0 };
        self.rows.iter().enumerate().map(move |(at, row)| (row.0, row.load(held(at))))
    }
}

/// Time after which the reports of a silent node are dropped; its requests have ended with it.
const REPORT_TTL: Millis = 2_500;

/// Maximum number of engines that are kept per node; several times as many as any known deployment
/// has.
const MAX_ROWS: usize = 16_384;

/// Latest reports of several nodes, and their sums.
#[derive(Debug, Clone, Default)]
pub struct PeerReports {
    by_peer: IndexMap<SocketAddr, PeerReport>,
    sums: IndexMap<EngineKey, InFlightLoad>,
}

#[derive(Debug, Clone, Default)]
struct PeerReport {
    received_at: Millis,
    rows: IndexMap<EngineKey, InFlightLoad>,
}

impl PeerReports {
    /// Applies a report; returns the engines that it affects.
    pub fn apply(
        &mut self,
        from: SocketAddr,
        now: Millis,
        update: &InFlightUpdate,
    ) -> Vec<EngineKey> {
        let report = self.by_peer.entry(from).or_default();
        report.received_at = now;
        let mut affected: Vec<EngineKey> = update.rows.iter().map(|row| row.0).collect();
        let mut loads: Vec<(EngineKey, InFlightLoad)> = update.loads().collect();
        if let Some(partition) = update.full_partition {
            let in_partition = report.rows.keys().filter(|key| partition.contains(**key));
            let missing = in_partition.filter(|key| !affected.contains(key)).copied();
            let missing: Vec<EngineKey> = missing.collect();
            affected.extend(&missing);
            loads.extend(missing.into_iter().map(|key| (key, InFlightLoad::default())));
        }
        for (key, load) in loads {
            set_load(&mut report.rows, &mut self.sums, key, load);
        }
        affected
    }

    /// Drops the reports of nodes that are silent or that `is_wanted` rejects; returns the engines
    /// that they named.
    pub fn expire(
        &mut self,
        now: Millis,
        is_wanted: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<EngineKey> {
        let mut affected = Vec::new();
        let is_expired = |addr: &SocketAddr, report: &PeerReport| {
            now.saturating_sub(report.received_at) >= REPORT_TTL || !is_wanted(addr)
        };
        for (_, report) in self.by_peer.iter_mut().filter(|(addr, report)| is_expired(addr, report))
        {
            for key in report.rows.keys().copied().collect::<Vec<_>>() {
                set_load(&mut report.rows, &mut self.sums, key, InFlightLoad::default());
                affected.push(key);
            }
        }
        self.by_peer.retain(|addr, report| !is_expired(addr, report));
        affected
    }

    /// Number of nodes that sent a report within `age`.
    pub fn active_within(&self, age: Millis, now: Millis) -> usize {
        self.by_peer.values().filter(|report| now.saturating_sub(report.received_at) < age).count()
    }

    /// Total load that all these nodes have in flight at an engine.
    pub fn sum(&self, key: EngineKey) -> InFlightLoad {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    pub fn sums(&self) -> impl Iterator<Item = (EngineKey, InFlightLoad)> + '_ {
        self.sums.iter().map(|(key, load)| (*key, *load))
    }
}

fn set_load(
    rows: &mut IndexMap<EngineKey, InFlightLoad>,
    sums: &mut IndexMap<EngineKey, InFlightLoad>,
    key: EngineKey,
    load: InFlightLoad,
) {
    if !rows.contains_key(&key) && (load.is_empty() || rows.len() >= MAX_ROWS) {
        return;
    }
    let previous = rows.get(&key).copied().unwrap_or_default();
    if load.is_empty() {
        rows.swap_remove(&key);
    } else {
        rows.insert(key, load);
    }
    let sum = sums.get(&key).copied().unwrap_or_default().minus(previous).plus(load);
    if sum.is_empty() {
        sums.swap_remove(&key);
    } else {
        sums.insert(key, sum);
    }
}

/// Maximum number of rows per datagram.
const MAX_ROWS_PER_UPDATE: usize = 100;

/// Bytes of the rows of one datagram at most; with the rest of it, below the usual MTU.
const MAX_ROW_BYTES_PER_UPDATE: usize = 1_300;

/// Parts of a complete report at most; more than engines that are kept per node.
const MAX_PARTS: u32 = 1 << 15;

/// Interval of complete reports, which make up for lost datagrams.
const FULL_REPORT_INTERVAL: Millis = 1_000;

/// Bytes of a row and of the tokens held there, in CBOR.
fn row_bytes(key: EngineKey, load: InFlightLoad) -> usize {
    let numbers = [key.0, load.requests, load.prompts, load.tokens, load.held];
    1 + numbers.map(number_bytes).iter().sum::<usize>()
}

/// Bytes of a number in CBOR.
fn number_bytes(number: u32) -> usize {
    match number {
        0..=23 => 1,
        24..=0xff => 2,
        0x100..=0xffff => 3,
        _ => 5,
    }
}

/// How many of these loads fit into one datagram.
fn fitting(loads: &[(EngineKey, InFlightLoad)]) -> usize {
    let bytes = loads.iter().scan(0, |sum, (key, load)| {
        *sum += row_bytes(*key, *load);
        Some(*sum)
    });
    bytes.take(MAX_ROWS_PER_UPDATE).take_while(|sum| *sum <= MAX_ROW_BYTES_PER_UPDATE).count()
}

/// The loads by part, for this number of parts.
fn partitions(
    loads: &IndexMap<EngineKey, InFlightLoad>,
    parts: u32,
) -> Vec<Vec<(EngineKey, InFlightLoad)>> {
    let mut partitions = vec![Vec::new(); parts as usize];
    for (key, load) in loads {
        partitions[(key.0 % parts) as usize].push((*key, *load));
    }
    partitions
}

fn full_updates(loads: &IndexMap<EngineKey, InFlightLoad>) -> Vec<InFlightUpdate> {
    let bytes: usize = loads.iter().map(|(key, load)| row_bytes(*key, *load)).sum();
    let by_rows = loads.len().div_ceil(MAX_ROWS_PER_UPDATE / 2);
    let parts = by_rows.max(bytes.div_ceil(MAX_ROW_BYTES_PER_UPDATE / 2)).max(1);
    let mut parts = u32::try_from(parts).unwrap_or(MAX_PARTS).min(MAX_PARTS);
    let mut split = partitions(loads, parts);
    // Hashes spread unevenly, and a row that is left out would be taken for an idle engine.
    while parts < MAX_PARTS && split.iter().any(|part| fitting(part) < part.len()) {
        parts += parts.div_ceil(4);
        split = partitions(loads, parts);
    }
    let update = |(part, loads): (usize, &Vec<(EngineKey, InFlightLoad)>)| {
        let partition = KeyPartition { part: part as u32, parts };
        InFlightUpdate::new(Some(partition), &loads[..fitting(loads)])
    };
    split.iter().enumerate().map(update).collect()
}

/// Sends reports that contain only what changed since the previous one.
#[derive(Debug, Clone, Default)]
pub struct UpdateTracker {
    last_sent: IndexMap<EngineKey, InFlightLoad>,
    full_sent_at: Option<Millis>,
}

impl UpdateTracker {
    /// The datagrams to send now; empty if nothing changed.
    pub fn next_updates(
        &mut self,
        now: Millis,
        loads: &IndexMap<EngineKey, InFlightLoad>,
    ) -> Vec<InFlightUpdate> {
        let is_full =
            self.full_sent_at.is_none_or(|at| now.saturating_sub(at) >= FULL_REPORT_INTERVAL);
        let updates = if is_full {
            self.full_sent_at = Some(now);
            full_updates(loads)
        } else {
            self.changes(loads)
        };
        self.last_sent.clone_from(loads);
        updates
    }

    /// Loads that differ from those that were reported last.
    pub fn changed_loads(
        &self,
        loads: &IndexMap<EngineKey, InFlightLoad>,
    ) -> Vec<(EngineKey, InFlightLoad)> {
        let changed = loads.iter().filter(|(key, load)| self.last_sent.get(*key) != Some(load));
        let ended = self.last_sent.keys().filter(|key| !loads.contains_key(*key));
        let ended = ended.map(|key| (*key, InFlightLoad::default()));
        changed.map(|(key, load)| (*key, *load)).chain(ended).collect()
    }

    fn changes(&self, loads: &IndexMap<EngineKey, InFlightLoad>) -> Vec<InFlightUpdate> {
        let changed = self.changed_loads(loads);
        let mut remaining = &changed[..];
        let mut updates = Vec::new();
        while !remaining.is_empty() {
            let (next, rest) = remaining.split_at(fitting(remaining).max(1));
            updates.push(InFlightUpdate::new(None, next));
            remaining = rest;
        }
        updates
    }

    /// The load at an engine that was reported last.
    pub fn last_sent(&self, key: EngineKey) -> InFlightLoad {
        self.last_sent.get(&key).copied().unwrap_or_default()
    }
}
