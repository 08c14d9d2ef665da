//! Errors of a connection.

use std::io;

use derive_more::{Display, Error, From};

use crate::{Limit, Part};

#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Connecting failed or timed out, so nothing was sent.
    #[display("could not connect: {source}")]
    #[from(skip)]
    Connect { source: io::Error },
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The peer closed the connection before the response was complete.
    #[display("connection closed before the response was complete")]
    Incomplete,
    /// The response began, and no more of it arrived in time.
    #[display("the response stopped after {received} bytes")]
    #[from(skip)]
    Stalled {
        /// Bytes of the body that had arrived.
        received: usize,
    },
    /// The received bytes are not a valid response.
    #[display("invalid response: {what}")]
    #[from(skip)]
    Malformed {
        /// The invalid part.
        what: &'static str,
    },
    /// The response exceeds what a sound peer sends, or what the reader has room for.
    #[display("the {part} of the response exceeds {limit}")]
    #[from(skip)]
    TooLarge { part: Part, limit: Limit },
}

impl Error {
    /// Whether the peer sent what is no response.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Error::Malformed { .. } | Error::TooLarge { .. })
    }

    /// Whether nobody listens at the address.
    pub fn is_refused(&self) -> bool {
        let Error::Connect { source } = self else { return false };
        source.kind() == io::ErrorKind::ConnectionRefused
    }
}

pub type Result<T> = std::result::Result<T, Error>;
