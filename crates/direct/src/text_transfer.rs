//! Transfers a text between nodes in parts: a slow link delays it, and does not prevent it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Nodes that one node sends a text to at a time. Those that ask meanwhile take it from these.
const MAX_RECEIVERS: usize = 3;

/// Size up to which a text is sent to all that ask at once, as waiting for a turn would take longer.
const SMALL_TEXT_BYTES: u64 = 4 << 10;

/// Time after its last request within which a node counts as receiving: several times that of a part on a slow link.
const RECEIVING_FOR: Millis = 400;

/// Maximum number of nodes that a node is referred to.
const MAX_REFERRALS: usize = 4;

/// Referrals that a node follows in a row before it asks the node that told it of the text again.
const MAX_REFERRAL_DEPTH: u32 = 2;

/// Identifies the packed text of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTextId {
    pub version: u64,
    pub digest: u64,
    /// Size in bytes.
    pub length: u64,
}

impl PackedTextId {
    pub fn of(version: u64, packed: &[u8]) -> PackedTextId {
        PackedTextId { version, digest: xxh3_64(packed), length: packed.len() as u64 }
    }
}

/// A packed text, as far as it has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialText {
    id: PackedTextId,
    bytes: Vec<u8>,
}

impl PartialText {
    pub fn new(id: PackedTextId) -> PartialText {
        PartialText { id, bytes: Vec::new() }
    }

    pub fn id(&self) -> PackedTextId {
        self.id
    }

    /// The part from `offset` on that has arrived, at most so many bytes of it.
    pub fn part(&self, offset: u64, max_bytes: usize) -> &[u8] {
        let arrived = usize::try_from(offset).ok().and_then(|offset| self.bytes.get(offset..));
        arrived.map_or(&[], |bytes| &bytes[..bytes.len().min(max_bytes)])
    }

    /// Number of bytes that have arrived.
    pub fn offset(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Appends what is new of a part, which another transfer may have brought in part. Returns false if bytes before it are
    /// missing, or it has none or too many.
    pub fn append(&mut self, offset: u64, part: &[u8]) -> bool {
        let end = offset + part.len() as u64;
        let fits = offset <= self.offset() && !part.is_empty() && end <= self.id.length;
        if fits {
            let known = (self.offset() - offset) as usize;
            self.bytes.extend_from_slice(part.get(known..).unwrap_or_default());
        }
        fits
    }

    pub fn is_complete(&self) -> bool {
        self.offset() == self.id.length
    }

    /// The packed text, if it is complete and what was announced.
    pub fn into_packed(self) -> Option<Vec<u8>> {
        let is_intact = PackedTextId::of(self.id.version, &self.bytes) == self.id;
        is_intact.then_some(self.bytes)
    }
}

/// Decides whom a node sends its text to.
#[derive(Debug, Clone, Default)]
pub struct SendSlots {
    /// Nodes that receive it.
    receivers: IndexMap<SocketAddr, Receiver>,
    /// Nodes that have received all of it, with their failure domains.
    holders: IndexMap<SocketAddr, String>,
    /// Version that they have received.
    version: u64,
}

#[derive(Debug, Clone)]
struct Receiver {
    domain: String,
    /// Time of its last request.
    asked_at: Millis,
}

impl SendSlots {
    /// Whether a node that asks gets a part now. One that is receiving goes first until it has all.
    pub fn admit(
        &mut self,
        now: Millis,
        text: PackedTextId,
        receiver: SocketAddr,
        domain: &str,
    ) -> bool {
        if text.length <= SMALL_TEXT_BYTES {
            return true;
        }
        self.receivers.retain(|_, r| now.saturating_sub(r.asked_at) < RECEIVING_FOR);
        if !self.receivers.contains_key(&receiver) && self.receivers.len() >= MAX_RECEIVERS {
            return false;
        }
        let domain = domain.to_owned();
        self.receivers.insert(receiver, Receiver { domain, asked_at: now });
        true
    }

    /// Records that a node gets the last part of a version.
    pub fn record_complete(&mut self, receiver: SocketAddr, domain: &str, version: u64) {
        self.receivers.shift_remove(&receiver);
        if version > self.version {
            (self.version, self.holders) = (version, IndexMap::new());
        }
        if version == self.version {
            self.holders.insert(receiver, domain.to_owned());
        }
    }

    /// Nodes that have received a version or are receiving one, for a node that asks for it: those of its own failure
    /// domain if there are any, as bytes between domains are dear. `random`, in `0..1`, spreads those that ask.
    pub fn referrals(
        &self,
        version: u64,
        asker: SocketAddr,
        domain: &str,
        random: f64,
    ) -> Vec<SocketAddr> {
        let holders = self.holders.iter().filter(|_| version == self.version);
        let receivers = self.receivers.iter().map(|(addr, r)| (addr, &r.domain));
        let others: Vec<_> = holders.chain(receivers).filter(|(addr, _)| **addr != asker).collect();
        let is_near = |(_, of): &&(&SocketAddr, &String)| *of == domain;
        let has_near = others.iter().any(|other| is_near(&other));
        let all = others.iter().filter(|other| !has_near || is_near(other));
        let mut referrals: Vec<SocketAddr> = all.map(|(addr, _)| **addr).collect();
        let start = (random * referrals.len() as f64) as usize;
        let start = start.min(referrals.len());
        referrals.rotate_left(start);
        referrals.truncate(MAX_REFERRALS);
        referrals
    }
}

/// Where a node takes a text from: the node that told of it, or those that this one refers to.
#[derive(Debug, Clone)]
pub struct TransferSource {
    teller: SocketAddr,
    source: SocketAddr,
    /// Referrals followed since the node that told of the text was asked.
    depth: u32,
    progress_at: Millis,
}

/// What to do after an answer that brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the source now.
    AskNow,
    /// Ask it after a pause.
    AskLater,
    /// Take the text from elsewhere.
    GiveUp,
}

impl TransferSource {
    pub fn new(teller: SocketAddr, now: Millis) -> TransferSource {
        TransferSource { teller, source: teller, depth: 0, progress_at: now }
    }

    /// Node to ask.
    pub fn addr(&self) -> SocketAddr {
        self.source
    }

    pub fn record_progress(&mut self, now: Millis) {
        self.progress_at = now;
    }

    /// Records that the source sends to others, and to whom it refers.
    pub fn record_busy(
        &mut self,
        now: Millis,
        referrals: &[SocketAddr],
        max_stall: Millis,
    ) -> NextStep {
        if now.saturating_sub(self.progress_at) >= max_stall {
            return NextStep::GiveUp;
        }
        let is_new = |addr: &&SocketAddr| **addr != self.source && **addr != self.teller;
        match referrals.iter().find(is_new).filter(|_| self.depth < MAX_REFERRAL_DEPTH) {
            Some(referral) => {
                (self.source, self.depth) = (*referral, self.depth + 1);
                NextStep::AskNow
            }
            None => {
                (self.source, self.depth) = (self.teller, 0);
                NextStep::AskLater
            }
        }
    }

    /// Records that the source has not answered, or lacks the text.
    pub fn record_failure(&mut self) -> NextStep {
        if self.source == self.teller {
            return NextStep::GiveUp;
        }
        (self.source, self.depth) = (self.teller, 0);
        NextStep::AskNow
    }
}
