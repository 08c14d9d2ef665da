//! Decoding of response bodies.

use bytes::{Bytes, BytesMut};

use crate::chunk_line::{check_trailer, parse_size};
use crate::framing::Framing;
use crate::head::MAX_HEADERS;
use crate::{Error, Limit, Part, Result};

/// Longest line of chunked framing: a chunk size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 256;

/// Decoder of a response body: strips the framing and detects the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    /// Lines of trailers that have been read.
    Trailer(usize),
    UntilClose,
    Complete,
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Bytes(Bytes),
    /// The decoder needs more input.
    NeedsInput,
    Complete,
}

impl BodyDecoder {
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Handles the end of the connection, which completes the body only if that is its framing.
    pub(crate) fn finish(&mut self) -> Result<()> {
        match self.state {
            State::Complete | State::UntilClose => {
                self.state = State::Complete;
                Ok(())
            }
            _ => Err(Error::Incomplete),
        }
    }

    /// Decodes the next bytes in `buf`.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Step> {
        loop {
            match self.state {
                State::Complete => return Ok(Step::Complete),
                _ if buf.is_empty() => return Ok(Step::NeedsInput),
                State::UntilClose => return Ok(Step::Bytes(buf.split().freeze())),
                State::Length(remaining) => {
                    let (bytes, remaining) = take_up_to(buf, remaining);
                    self.state =
                        if remaining == 0 { State::Complete } else { State::Length(remaining) };
                    return Ok(Step::Bytes(bytes));
                }
                State::Chunk(remaining) => {
                    let (bytes, remaining) = take_up_to(buf, remaining);
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Step::Bytes(bytes));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buf)? else { return Ok(Step::NeedsInput) };
                    let size = parse_size(&line)?;
                    self.state = if size == 0 { State::Trailer(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buf)? else { return Ok(Step::NeedsInput) };
                    if !line.is_empty() {
                        return Err(Error::Malformed { what: "line after a chunk" });
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer(lines) => {
                    let Some(line) = take_line(buf)? else { return Ok(Step::NeedsInput) };
                    if line.is_empty() {
                        self.state = State::Complete;
                        continue;
                    }
                    if lines >= MAX_HEADERS {
                        let limit = Limit::Lines(MAX_HEADERS);
                        return Err(Error::TooLarge { part: Part::Trailers, limit });
                    }
                    check_trailer(&line)?;
                    self.state = State::Trailer(lines + 1);
                }
            }
        }
    }
}

/// Takes up to `remaining` bytes; returns them and the number of bytes still missing.
fn take_up_to(buf: &mut BytesMut, remaining: u64) -> (Bytes, u64) {
    let take = usize::try_from(remaining).unwrap_or(usize::MAX).min(buf.len());
    (buf.split_to(take).freeze(), remaining - take as u64)
}

fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        if buf.len() > MAX_LINE_BYTES {
            let limit = Limit::Bytes(MAX_LINE_BYTES);
            return Err(Error::TooLarge { part: Part::ChunkLine, limit });
        }
        return Ok(None);
    };
    let mut line = buf.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    } else {
        return Err(Error::Malformed { what: "line ending" });
    }
    Ok(Some(line.freeze()))
}
