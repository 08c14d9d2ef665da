//! Decoding of response bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::head::Framing;
use crate::{Error, Result};

/// Longest line of chunked framing: a chunk size or a trailer, in bytes.
const MAX_CHUNK_LINE: usize = 256;

const MAX_CHUNK: u64 = 1 << 30;

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
    Trailer,
    UntilClose,
    Whole,
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Bytes(Bytes),
    /// The decoder needs more input.
    More,
    Whole,
}

impl BodyDecoder {
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Whole,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    pub fn is_complete(&self) -> bool {
        self.state == State::Whole
    }

    /// Handles the end of the connection, which completes the body only if that is its framing.
    pub(crate) fn end(&mut self) -> Result<()> {
        match self.state {
            State::Whole | State::UntilClose => {
                self.state = State::Whole;
                Ok(())
            }
            _ => Err(Error::Incomplete),
        }
    }

    /// Decodes the next bytes in `buf`.
    pub(crate) fn step(&mut self, buf: &mut BytesMut) -> Result<Step> {
        loop {
            match self.state {
                State::Whole => return Ok(Step::Whole),
                _ if buf.is_empty() => return Ok(Step::More),
                State::UntilClose => return Ok(Step::Bytes(buf.split().freeze())),
                State::Length(left) => {
                    let (bytes, left) = split(buf, left);
                    self.state = if left == 0 { State::Whole } else { State::Length(left) };
                    return Ok(Step::Bytes(bytes));
                }
                State::Chunk(left) => {
                    let (bytes, left) = split(buf, left);
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Step::Bytes(bytes));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buf)? else { return Ok(Step::More) };
                    let size = chunk_size(&line)?;
                    self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buf)? else { return Ok(Step::More) };
                    if !line.is_empty() {
                        return Err(Error::Malformed { what: "line after a chunk" });
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = take_line(buf)? else { return Ok(Step::More) };
                    if line.is_empty() {
                        self.state = State::Whole;
                    }
                }
            }
        }
    }
}

fn split(buf: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let take = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
    (buf.split_to(take).freeze(), left - take as u64)
}

fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        if buf.len() > MAX_CHUNK_LINE {
            return Err(Error::Malformed { what: "chunk size" });
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

fn chunk_size(line: &Bytes) -> Result<u64> {
    let bad = Error::Malformed { what: "chunk size" };
    let mut size = line.clone();
    if let Some(at) = line.iter().position(|b| *b == b';') {
        size.truncate(at);
    }
    let Ok(text) = std::str::from_utf8(size.chunk()) else { return Err(bad) };
    match u64::from_str_radix(text.trim(), 16) {
        Ok(size) if size <= MAX_CHUNK && !text.starts_with('+') => Ok(size),
        _ => Err(bad),
    }
}
