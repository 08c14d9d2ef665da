//! What stands in the configuration's stream, as CBOR.

use bytes::Bytes;
use hgw_types::Offset;
use serde::{Deserialize, Serialize};

use crate::{Change, Document};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// An operator's change.
    Change(Change),
    /// Says again what is in force, since records expire. Changes nothing.
    Refresh(Refresh),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Refresh {
    /// The version in force after all records up to `covers`.
    pub(crate) version: Offset,
    /// How far the writer had folded the stream, without a gap.
    pub(crate) covers: Offset,
    pub(crate) document: Document,
}

impl Record {
    pub(crate) fn encode(&self) -> Bytes {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("a record is always CBOR");
        buf.into()
    }

    pub(crate) fn decode(data: &[u8]) -> Option<Record> {
        ciborium::from_reader(data).ok()
    }
}

impl Change {
    /// The record that publishes the change.
    pub fn encode(self) -> Bytes {
        Record::Change(self).encode()
    }
}
