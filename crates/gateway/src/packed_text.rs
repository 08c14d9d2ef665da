//! Packs texts that go between nodes.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a text, so that a packed one cannot fill the memory.
pub(crate) const MAX_TEXT_BYTES: u64 = 16 << 20;

pub(crate) fn pack(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
}

/// Fails if the text is damaged or too long.
pub(crate) fn unpack(packed: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    DeflateDecoder::new(packed).take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(io::Error::other(format!("a text of more than {MAX_TEXT_BYTES} bytes")));
    }
    Ok(text.into())
}
