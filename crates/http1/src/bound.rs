//! Bounds of a response: a peer in trouble may send bytes without end.

use derive_more::Display;

/// Part of a response that is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Part {
    #[display("head")]
    Head,
    /// A line of chunked framing: a chunk size or a trailer.
    #[display("chunk line")]
    ChunkLine,
    #[display("trailers")]
    Trailers,
    #[display("body")]
    Body,
    /// An event of a stream.
    #[display("event")]
    Event,
}

/// The largest size of a part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Limit {
    #[display("{_0} bytes")]
    Bytes(usize),
    #[display("{_0} lines")]
    Lines(usize),
    /// Memory that is left for responses.
    #[display("the memory for responses")]
    Memory,
}
