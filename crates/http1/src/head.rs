//! Parsing of response heads.

use std::ops::RangeInclusive;

use bytes::BytesMut;
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version};

use crate::framing::{Framing, framing};
use crate::{Error, Limit, Part, Result};

/// Largest accepted response head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Most fields of a head, and of the trailers after a body.
pub(crate) const MAX_HEADERS: usize = 64;

/// Status codes of HTTP (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub struct Head {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub framing: Framing,
    /// Whether the peer closes the connection after the response.
    pub closes_connection: bool,
}

/// Removes a complete head from the buffer, or returns `None` if more bytes are needed.
pub(crate) fn take_head(buf: &mut BytesMut, method: &Method) -> Result<Option<Head>> {
    let mut parsed_headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut parsed_headers);
    let too_large = |limit| Error::TooLarge { part: Part::Head, limit };
    let status = parsed.parse(buf).map_err(|e| match e {
        httparse::Error::TooManyHeaders => too_large(Limit::Lines(MAX_HEADERS)),
        _ => Error::Malformed { what: "head" },
    })?;
    let httparse::Status::Complete(len) = status else {
        if buf.len() > MAX_HEAD_BYTES {
            return Err(too_large(Limit::Bytes(MAX_HEAD_BYTES)));
        }
        return Ok(None);
    };
    let code = parsed.code.ok_or(Error::Malformed { what: "status" })?;
    let status = parse_status(code)?;
    let version = if parsed.version == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 };
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(Error::Malformed { what: "header" }),
        };
    }
    if has_bare_line_feed(&buf[..len]) {
        return Err(Error::Malformed { what: "line ending" });
    }
    let framing = framing(status, version, &headers, method)?;
    let closes_connection =
        version == Version::HTTP_10 || framing == Framing::UntilClose || requests_close(&headers);
    let _ = buf.split_to(len);
    Ok(Some(Head { status, headers, framing, closes_connection }))
}

/// Takes three digits for a status only if they are one of HTTP, and none that changes the protocol: no request asks for
/// that.
fn parse_status(code: u16) -> Result<StatusCode> {
    let status = StatusCode::from_u16(code).ok().filter(|_| STATUS_CODES.contains(&code));
    let status = status.filter(|status| *status != StatusCode::SWITCHING_PROTOCOLS);
    status.ok_or(Error::Malformed { what: "status" })
}

/// Whether a line ends without a carriage return, as where a byte of a value was changed into a line feed.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let is_bare = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    head.starts_with(b"\n") || head.windows(2).any(is_bare)
}

/// Whether the peer closes the connection after the response. It may, if the header cannot be read.
fn requests_close(headers: &HeaderMap) -> bool {
    let names_close = |options: &str| {
        options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
    };
    headers.get_all(CONNECTION).iter().any(|value| value.to_str().map_or(true, names_close))
}
