//! What stands in a scope's stream, as CBOR.

use bytes::Bytes;
use hgw_types::{NodeId, Offset, RecordId, Term};
use serde::{Deserialize, Serialize};

/// A record of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) id: RecordId,
    pub(crate) body: Body,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Takes the scope for `node`, which had read all records up to `read_to`.
    Claim { node: NodeId, read_to: Offset },
    /// Proposals of the holder. `seq` counts the holder's records within its term.
    Entries { term: Term, seq: u64, entries: Vec<Entry> },
    /// The state after all valid records up to `covers`.
    Snapshot(Snapshot),
    /// The holder gives the scope up.
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
    /// The holder, for readers that did not see its claim.
    pub(crate) node: NodeId,
    pub(crate) covers: Offset,
    /// The holder's `seq` as it was at `covers`.
    pub(crate) covers_seq: u64,
    pub(crate) data: Bytes,
}

impl Record {
    pub(crate) fn encode(&self) -> Bytes {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("a record is always CBOR");
        buf.into()
    }

    /// Nothing where the bytes are no record: such bytes are void for every reader alike.
    pub(crate) fn decode(data: &[u8]) -> Option<Record> {
        ciborium::from_reader(data).ok()
    }
}
