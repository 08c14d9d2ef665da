//! Parsing of response heads.

use std::ops::RangeInclusive;

use bytes::BytesMut;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::{Error, Limit, Part, Result};

/// Largest accepted response head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Most fields of a head, and of the trailers after a body.
pub(crate) const MAX_HEADERS: usize = 64;

/// Status codes of HTTP (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Number of bytes.
    Length(u64),
    Chunked,
    UntilClose,
}

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
    let http10 = parsed.version == Some(0);
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(Error::Malformed { what: "header" }),
        };
    }
    let framing = framing(status, &headers, method)?;
    let requests_close = has_token(&headers, CONNECTION, "close");
    let closes_connection = requests_close || http10 || framing == Framing::UntilClose;
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

fn framing(status: StatusCode, headers: &HeaderMap, method: &Method) -> Result<Framing> {
    if method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || status.is_informational()
    {
        return Ok(Framing::Length(0));
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        let chunked = has_token(headers, TRANSFER_ENCODING, "chunked");
        // With both headers the end of the response is ambiguous, which allows response smuggling.
        if !chunked || headers.contains_key(CONTENT_LENGTH) {
            return Err(Error::Malformed { what: "transfer-encoding" });
        }
        return Ok(Framing::Chunked);
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(Framing::UntilClose),
        (Some(length), None) => {
            let length = length.to_str().ok().and_then(|l| l.parse().ok());
            length.map(Framing::Length).ok_or(Error::Malformed { what: "content-length" })
        }
        (Some(_), Some(_)) => Err(Error::Malformed { what: "more than one content-length" }),
    }
}

fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    let mut tokens = values.iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|w| w.trim().eq_ignore_ascii_case(token))
}
