//! Server-sent event framing.

use bytes::{Bytes, BytesMut};

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
        self.partial.extend_from_slice(&bytes);
        let end = complete_len(&self.partial)?;
        let events = self.partial.split_to(end).freeze();
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
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}
