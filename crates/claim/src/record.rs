//! Records of a scope's stream, encoded as CBOR.

use bytes::Bytes;
use hgw_types::{NodeId, Offset, RecordId, Term};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) id: RecordId,
    pub(crate) body: Body,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Acquires the lease for `node`, which had read all records up to `read_to`.
    Claim { node: NodeId, read_to: Offset },
    /// Proposals of the leader. `seq` numbers the leader's records within its term.
    Entries { term: Term, seq: u64, entries: Vec<Entry> },
    /// The state after all valid records up to `covers`.
    Snapshot(Snapshot),
    /// The leader releases the lease.
    Release { term: Term, seq: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) id: RecordId,
    pub(crate) data: Bytes,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) term: Term,
    pub(crate) seq: u64,
    /// The leader, for readers that did not read its claim.
    pub(crate) node: NodeId,
    pub(crate) covers: Offset,
    /// The leader's `seq` at `covers`.
    pub(crate) covers_seq: u64,
    pub(crate) data: Bytes,
}

impl Record {
    pub(crate) fn encode(&self) -> Bytes {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("a record is always CBOR");
        buf.into()
    }

    /// Returns `None` for invalid bytes, which every reader ignores.
    pub(crate) fn decode(data: &[u8]) -> Option<Record> {
        ciborium::from_reader(data).ok()
    }
}
