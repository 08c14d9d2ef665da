//! Server-sent event framing.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use hgw_http1::{Error, Limit, Part, Result};

/// Longest end of an event: an empty line and the end of the line before it.
const MAX_END_BYTES: usize = 4;

/// Most bytes of an event, with the comments and events without content before it: some tokens of text take far less.
pub(super) const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a byte stream into complete events, so that a stream can resume on another engine between
/// two of them.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Bytes that were added since the last event that goes on in the stream.
    since_progress: usize,
}

impl EventBuffer {
    /// The id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes of an event that is not complete.
    pub(super) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds bytes and returns all complete events as they were received. Fails if the next event is too large.
    pub(super) fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>> {
        self.since_progress += bytes.len();
        let events = self.take_complete(bytes);
        if events.as_ref().is_some_and(|events| self.record_last_id(events)) {
            self.since_progress = self.partial.len();
        }
        if self.since_progress > MAX_EVENT_BYTES {
            let limit = Limit::Bytes(MAX_EVENT_BYTES);
            return Err(Error::TooLarge { part: Part::Event, limit });
        }
        Ok(events)
    }

    fn take_complete(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.partial.is_empty() {
            // Usually a read holds only complete events, which need no copy.
            if complete_len(&bytes) == Some(bytes.len()) {
                return Some(bytes);
            }
        }
        // What is there already has no end of an event, but may have the first bytes of one.
        let scanned = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
        self.partial.extend_from_slice(&bytes);
        let end = scanned + complete_len(&self.partial[scanned..])?;
        let events = self.partial.split_to(end).freeze();
        if self.partial.is_empty() {
            // Large events would keep their memory until the end of the stream.
            self.partial = BytesMut::new();
        }
        Some(events)
    }

    /// Whether an event has begun that is not complete. Line ends alone are none.
    pub(super) fn has_partial(&self) -> bool {
        self.partial.iter().any(|b| !is_line_end(*b))
    }

    /// Takes the line ends after the last event of a stream that has ended.
    pub(super) fn take_line_ends(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.partial).freeze();
        Some(rest).filter(|rest| !rest.is_empty())
    }

    pub(super) fn discard_partial(&mut self) {
        self.partial = BytesMut::new();
        self.since_progress = 0;
    }

    /// Returns whether the stream goes on with these events: their ids increase, or they have data and none has an id.
    fn record_last_id(&mut self, events: &[u8]) -> bool {
        let lines = events.split(|b| *b == b'\n');
        let ids = lines.clone().filter_map(|line| line.strip_prefix(b"id:"));
        let id = ids.rev().find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        let goes_on = match self.last_id {
            None => id.is_some() || lines.clone().any(|line| line.starts_with(b"data")),
            Some(last) => id.is_some_and(|id| id > last),
        };
        self.last_id = id.or(self.last_id);
        goes_on
    }
}

/// Number of complete events, at least 1.
pub(super) fn count_events(events: &[u8]) -> u64 {
    let plain = events.windows(2).filter(|w| *w == b"\n\n").count();
    let crlf = events.windows(4).filter(|w| *w == b"\r\n\r\n").count();
    (plain + crlf).max(1) as u64
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the end of the last complete event. Of an odd number of line ends the last one may be the first of the next
/// event, so that a stream which is resumed after it would go on within an event.
fn complete_len(bytes: &[u8]) -> Option<usize> {
    let mut rest = bytes;
    while let Some(at) = rest.iter().rposition(|b| *b == b'\n') {
        rest = &rest[..at];
        let line_end = if rest.ends_with(b"\n") {
            1
        } else if rest.ends_with(b"\r\n\r") {
            2
        } else {
            continue;
        };
        let line_ends = bytes[..=at].iter().rev().take_while(|b| is_line_end(**b)).count();
        return Some(at + 1 - if (line_ends / line_end).is_multiple_of(2) { 0 } else { line_end });
    }
    None
}
