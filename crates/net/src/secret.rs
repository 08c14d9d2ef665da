use std::fmt;

use bytes::Bytes;

/// A text that must not get into logs or dumps.
#[derive(Clone)]
pub(crate) struct Secret(Bytes);

impl Secret {
    pub(crate) fn new(text: &str) -> Self {
        Secret(Bytes::copy_from_slice(text.as_bytes()))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}
