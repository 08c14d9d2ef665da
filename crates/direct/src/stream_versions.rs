//! Which software version began each stream, for callers that take it up at another node.

use std::net::SocketAddr;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use crate::{Millis, ModelRef, RequestDigest, VersionKey};

/// Streams that are remembered; beyond it the earliest half is forgotten, and refused if taken up.
const MAX_STREAMS: usize = 200_000;

/// Interval between two removals of streams that are not taken up any more.
const SWEEP_INTERVAL: Millis = 2_000;

/// Nodes beyond those that all tell each other, that are told of a stream.
const REPLICAS: usize = 3;

/// Nodes that are asked about a stream.
const MAX_ASKED: usize = 16;

/// Identifies a stream over its caller's attempts: by the attempt that brought its first event and by what makes
/// requests the same, so that an id alone reveals and joins nothing.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct StreamKey(u64);

impl StreamKey {
    pub fn of(first_attempt: &str, digest: &RequestDigest, model: Option<&ModelRef>) -> StreamKey {
        let mut hasher = Xxh3Default::new();
        hasher.update(digest.as_bytes());
        hasher.update(model.map(ModelRef::to_string).unwrap_or_default().as_bytes());
        hasher.update(b"\0");
        hasher.update(first_attempt.as_bytes());
        StreamKey(hasher.digest())
    }

    /// Of the nodes that keep streams, those that are told of this one.
    pub fn replicas(self, nodes: &[SocketAddr]) -> Vec<SocketAddr> {
        self.first(nodes, REPLICAS)
    }

    /// Of the nodes that keep streams, those that are asked about this one: its replicas first.
    pub fn asked(self, nodes: &[SocketAddr]) -> Vec<SocketAddr> {
        self.first(nodes, MAX_ASKED)
    }

    /// The first nodes in an order of the stream's own, which is the same at all nodes with the same list.
    fn first(self, nodes: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let mut ranked = nodes.to_vec();
        ranked.sort_by_cached_key(|addr| xxh3_64(format!("{self} {addr}").as_bytes()));
        ranked.truncate(count);
        ranked
    }
}

/// A stream and the version that began it, as told to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(StreamKey, VersionKey, u64)", into = "(StreamKey, VersionKey, u64)")]
pub struct BegunStream {
    pub key: StreamKey,
    pub version: VersionKey,
    /// Time for which it may be taken up, in milliseconds.
    pub life_ms: u64,
}

impl From<(StreamKey, VersionKey, u64)> for BegunStream {
    fn from((key, version, life_ms): (StreamKey, VersionKey, u64)) -> BegunStream {
        BegunStream { key, version, life_ms }
    }
}

impl From<BegunStream> for (StreamKey, VersionKey, u64) {
    fn from(stream: BegunStream) -> (StreamKey, VersionKey, u64) {
        (stream.key, stream.version, stream.life_ms)
    }
}

/// The streams that this node knows.
#[derive(Debug, Clone, Default)]
pub struct StreamVersions {
    streams: IndexMap<StreamKey, Known>,
    swept_at: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    version: VersionKey,
    forget_at: Millis,
}

impl StreamVersions {
    /// Records a stream that has begun or was taken up. Of a stream with two versions neither is known.
    pub fn record(&mut self, stream: BegunStream, now: Millis) {
        self.sweep(now);
        let forget_at = now.saturating_add(stream.life_ms);
        let known = Known { version: stream.version, forget_at };
        let entry = self.streams.entry(stream.key).or_insert(known);
        if entry.version != stream.version {
            entry.version = VersionKey::UNKNOWN;
        }
        entry.forget_at = entry.forget_at.max(forget_at);
        if self.streams.len() > MAX_STREAMS {
            self.streams.drain(..MAX_STREAMS / 2);
        }
    }

    /// The version that began a stream, if known.
    pub fn version(&self, stream: StreamKey, now: Millis) -> Option<VersionKey> {
        let known = self.streams.get(&stream).filter(|known| now < known.forget_at)?;
        (known.version != VersionKey::UNKNOWN).then_some(known.version)
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn sweep(&mut self, now: Millis) {
        if now.saturating_sub(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.streams.retain(|_, known| now < known.forget_at);
        }
    }
}
