//! Lines of chunked framing: sizes of chunks, and trailers.

use http::{HeaderName, HeaderValue};

use crate::{Error, Result};

const MAX_CHUNK_BYTES: u64 = 1 << 30;

/// Parses `SIZE [; EXTENSION]`, with a size in hexadecimal digits only.
pub(crate) fn parse_size(line: &[u8]) -> Result<u64> {
    let invalid = Error::Malformed { what: "chunk size" };
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let (size, extension) = line.split_at(digits);
    if !is_extension(extension) {
        return Err(invalid);
    }
    let size = std::str::from_utf8(size).ok().and_then(|size| u64::from_str_radix(size, 16).ok());
    size.filter(|size| *size <= MAX_CHUNK_BYTES).ok_or(invalid)
}

/// Whether what follows a size is nothing, or extensions, which are ignored.
fn is_extension(bytes: &[u8]) -> bool {
    bytes.is_empty()
        || bytes.trim_ascii_start().starts_with(b";") && HeaderValue::from_bytes(bytes).is_ok()
}

/// Checks that a line after the last chunk is a field, which is ignored.
pub(crate) fn check_trailer(line: &[u8]) -> Result<()> {
    let invalid = Error::Malformed { what: "trailer" };
    let Some(colon) = line.iter().position(|b| *b == b':') else { return Err(invalid) };
    let (name, value) = (HeaderName::from_bytes(&line[..colon]), &line[colon + 1..]);
    match (name, HeaderValue::from_bytes(value)) {
        (Ok(_), Ok(_)) => Ok(()),
        _ => Err(invalid),
    }
}
