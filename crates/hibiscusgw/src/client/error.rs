use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Outcome of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call gave no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The node cannot be reached.
    #[display("{addr} cannot be reached: {source}")]
    Unreachable {
        /// The node's listener for operators.
        addr: SocketAddr,
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The node did not answer in time; what was asked may have been done.
    #[display("{addr} did not answer in time; ask for the outcome by the change's id")]
    NoAnswer {
        /// The node's listener for operators.
        addr: SocketAddr,
    },
    /// The answer broke off; what was asked may have been done.
    #[display("the answer broke off: {source}")]
    BrokenOff {
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer has no gRPC status.
    #[display("the answer is not one of an operators' listener")]
    NoStatus,
    /// The answer cannot be read.
    #[display("the answer cannot be read")]
    Malformed,
    /// The token cannot stand in a header.
    #[display("the token has characters that no header may have")]
    Token,
    /// The node refused the call.
    #[display("refused, status {status}: {message}")]
    Refused {
        /// The gRPC status.
        status: u16,
        /// What the node says.
        message: String,
    },
}
