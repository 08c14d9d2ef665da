//! Reads server-sent events whose data is JSON.

use bytes::{Buf, BytesMut};

/// Takes bytes in and gives the data of each event out.
#[derive(Debug)]
pub(super) struct EventReader {
    buf: BytesMut,
    max: usize,
}

impl EventReader {
    /// Builds a reader for events of at most `max` bytes.
    pub(super) fn new(max: usize) -> Self {
        EventReader { buf: BytesMut::new(), max }
    }

    /// Adds bytes; false where an unfinished line is larger than allowed.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= self.max || self.buf[..self.max].contains(&b'\n')
    }

    /// The data of the next event. Each event of an engine is one line; comments and other fields
    /// are passed over.
    pub(super) fn next(&mut self) -> Option<BytesMut> {
        while let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
            let mut line = self.buf.split_to(end);
            self.buf.advance(1);
            if line.starts_with(b"data:") {
                line.advance("data:".len());
                return Some(line);
            }
        }
        None
    }
}
