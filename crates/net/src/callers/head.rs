//! The headers that callers may send with any request.

use std::sync::atomic::Ordering;
use std::time::Duration;

use hgw_node::{Failure, FailureCode};
use hgw_types::{ClassId, IdempotencyKey, ParseError, RequestId};
use http::HeaderMap;

use super::Callers;
use super::reply::not_run;

const CLASS: &str = "x-priority-class";
const DEADLINE: &str = "x-deadline-ms";
const KEY: &str = "idempotency-key";

/// Headers that this gateway reads and that upstreams do not get.
pub(super) const OWN: [&str; 4] = [CLASS, DEADLINE, KEY, "host"];

/// What the headers of a request say.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) id: RequestId,
    pub(super) class: Option<ClassId>,
    pub(super) deadline: Option<Duration>,
    pub(super) key: Option<IdempotencyKey>,
}

impl Callers {
    /// The caller's request id, or a new one where it sent none or one that cannot be used.
    pub(super) fn request_id(&self, headers: &HeaderMap) -> RequestId {
        let given =
            headers.get(super::reply::REQUEST_ID).and_then(|v| v.to_str().ok()?.parse().ok());
        given.unwrap_or_else(|| self.new_request_id())
    }

    fn new_request_id(&self) -> RequestId {
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{seq}", self.boot).parse().expect("digits and a dash are a valid id")
    }
}

/// Reads the headers.
pub(super) fn read(id: RequestId, headers: &HeaderMap) -> Result<Head, Failure> {
    if headers.contains_key(super::reply::REQUEST_ID) {
        parse::<RequestId>(headers, super::reply::REQUEST_ID.as_str())?;
    }
    let deadline = parse::<Millis>(headers, DEADLINE)?.map(|m| Duration::from_millis(m.0));
    Ok(Head { id, class: parse(headers, CLASS)?, deadline, key: parse(headers, KEY)? })
}

/// A header's value, if it is there; it must be valid.
fn parse<T: std::str::FromStr<Err = ParseError>>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let bad = |e: String| not_run(FailureCode::BadRequest, format!("header {name}: {e}"));
    let text = value.to_str().map_err(|_| bad("not plain text".into()))?;
    text.parse().map(Some).map_err(|e: ParseError| bad(e.to_string()))
}

/// Milliseconds, at least one.
struct Millis(u64);

impl std::str::FromStr for Millis {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("deadline", s, "1 to 3600000 milliseconds");
        let millis = s.parse().map_err(|_| error())?;
        if !(1..=3_600_000).contains(&millis) {
            return Err(error());
        }
        Ok(Millis(millis))
    }
}
