//! Records of the log as CBOR.

use bytes::Bytes;

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    let mut buf = Vec::new();
    // Writing to memory fails only for types that CBOR cannot hold, which these are not.
    ciborium::into_writer(value, &mut buf).expect("the type has a CBOR form");
    buf.into()
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(data: &[u8]) -> Option<T> {
    ciborium::from_reader(data).ok()
}
