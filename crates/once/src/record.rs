//! What a shard's entries say, as CBOR.

use bytes::Bytes;
use hgw_types::{IdempotencyKey, RecordId, ServiceId};
use serde::{Deserialize, Serialize};

/// The key of a call within a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Key {
    pub(crate) service: ServiceId,
    pub(crate) key: IdempotencyKey,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) key: Key,
    /// The shard's time in seconds, which stands still while nobody owns the shard.
    pub(crate) clock: u64,
    pub(crate) body: Body,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// The call may be dispatched by the term of this record, and by no other one.
    Begin { fingerprint: u64 },
    /// The call begun by that record ran; its answer, where it is small enough.
    Done { begin: RecordId, answer: Option<Bytes> },
    /// The call begun by that record did not run and will not: the key is free again.
    NotRun { begin: RecordId },
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("a record is always CBOR");
    buf.into()
}

pub(crate) fn decode<T: for<'de> Deserialize<'de>>(data: &[u8]) -> Option<T> {
    ciborium::from_reader(data).ok()
}
