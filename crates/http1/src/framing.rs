//! How the end of a response body is determined.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version};

use crate::{Error, Result};

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Number of bytes.
    Length(u64),
    Chunked,
    UntilClose,
}

/// The framing of a response to a request with this method (RFC 9112, 6.3).
pub(crate) fn framing(
    status: StatusCode,
    version: Version,
    headers: &HeaderMap,
    method: &Method,
) -> Result<Framing> {
    let declared = declared(version, headers)?;
    if method == Method::HEAD || status == StatusCode::NOT_MODIFIED {
        return Ok(Framing::Length(0));
    }
    if status.is_informational() || status == StatusCode::NO_CONTENT {
        // Such a response has no body and declares none, so that a declared one is the body of another status.
        return match declared {
            None | Some(Framing::Length(0)) => Ok(Framing::Length(0)),
            Some(_) => Err(Error::Malformed { what: "body with a status that has none" }),
        };
    }
    Ok(declared.unwrap_or(Framing::UntilClose))
}

/// The framing that the headers declare.
fn declared(version: Version, headers: &HeaderMap) -> Result<Option<Framing>> {
    let first_two = |name| {
        let mut values = headers.get_all(name).iter();
        (values.next(), values.next())
    };
    match (first_two(TRANSFER_ENCODING), first_two(CONTENT_LENGTH)) {
        ((None, _), (None, _)) => Ok(None),
        ((None, _), (Some(length), None)) => parse_length(length).map(Framing::Length).map(Some),
        ((None, _), _) => Err(Error::Malformed { what: "more than one content-length" }),
        // HTTP/1.0 knows no chunks. With both headers the end of the response is ambiguous, which allows response smuggling.
        ((Some(coding), None), (None, _)) if version == Version::HTTP_11 && is_chunked(coding) => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(Error::Malformed { what: "transfer-encoding" }),
    }
}

/// Whether the body is in chunks and has no other coding, which this client could not undo.
fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(b"chunked")
}

/// Parses digits only; `u64::from_str` also takes a sign.
fn parse_length(value: &HeaderValue) -> Result<u64> {
    let invalid = Error::Malformed { what: "content-length" };
    let digits = value.to_str().ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    digits.and_then(|digits| digits.parse().ok()).ok_or(invalid)
}
