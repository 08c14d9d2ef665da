//! Server-sent event framing.

use bytes::{Bytes, BytesMut};

/// Splits a byte stream into complete events, so that a stream can resume on another engine between
/// two of them.
#[derive(Debug, Default)]
pub(super) struct Events {
    half: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// The id of the last complete event.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Adds bytes and returns all complete events as they were received.
    pub(super) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.half.is_empty() {
            // Usually a read holds only complete events, which need no copy.
            if whole_until(&bytes) == Some(bytes.len()) {
                self.note(&bytes);
                return Some(bytes);
            }
        }
        self.half.extend_from_slice(&bytes);
        let end = whole_until(&self.half)?;
        let events = self.half.split_to(end).freeze();
        self.note(&events);
        Some(events)
    }

    pub(super) fn has_half(&self) -> bool {
        !self.half.is_empty()
    }

    pub(super) fn drop_half(&mut self) {
        self.half.clear();
    }

    fn note(&mut self, events: &[u8]) {
        let lines = events.split(|b| *b == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let id = ids.rev().find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last = id.or(self.last);
    }
}

/// Returns the end of the last complete event.
fn whole_until(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}
