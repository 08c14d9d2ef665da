//! Server-sent event framing.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Longest end of an event: an empty line and the end of the line before it.
const MAX_END_BYTES: usize = 4;

/// Splits a byte stream into complete events, so that a stream can resume on another engine between
/// two of them.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// The id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns all complete events as they were received.
    pub(super) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.partial.is_empty() {
            // Usually a read holds only complete events, which need no copy.
            if complete_len(&bytes) == Some(bytes.len()) {
                self.record_last_id(&bytes);
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
        self.record_last_id(&events);
        Some(events)
    }

    pub(super) fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    pub(super) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let lines = events.split(|b| *b == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let id = ids.rev().find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last_id = id.or(self.last_id);
    }
}

/// Number of complete events, at least 1.
pub(super) fn count_events(events: &[u8]) -> u64 {
    let plain = events.windows(2).filter(|w| *w == b"\n\n").count();
    let crlf = events.windows(4).filter(|w| *w == b"\r\n\r\n").count();
    (plain + crlf).max(1) as u64
}

/// Returns the end of the last complete event.
fn complete_len(bytes: &[u8]) -> Option<usize> {
    let mut rest = bytes;
    while let Some(at) = rest.iter().rposition(|b| *b == b'\n') {
        rest = &rest[..at];
        if rest.ends_with(b"\n") || rest.ends_with(b"\r\n\r") {
            return Some(at + 1);
        }
    }
    None
}
