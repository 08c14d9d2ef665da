use std::io;

use derive_more::{Display, Error, From};

/// What went wrong on a connection.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be made in time or was refused: nothing was sent.
    #[display("no connection: {source}")]
    #[from(skip)]
    Connect {
        /// Why.
        source: io::Error,
    },
    /// The connection broke.
    #[display("connection broke: {_0}")]
    Io(io::Error),
    /// The peer closed the connection before the answer was whole.
    #[display("connection ended before the answer was whole")]
    Ended,
    /// What came is no HTTP/1.1 answer.
    #[display("not an HTTP/1.1 answer: {what}")]
    #[from(skip)]
    Malformed {
        /// Which part of it.
        what: &'static str,
    },
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
