//! Errors of the operator client.

use std::net::SocketAddr;

use derive_more::{Display, Error};

pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Display, Error)]
pub enum Error {
    #[display("cannot reach the operator listener at {addr}: {source}")]
    Unreachable { addr: SocketAddr, source: hyper_util::client::legacy::Error },
    /// The node may have carried the call out.
    #[display(
        "{addr} did not respond before the timeout; a change may still have been applied: query it \
         with `hibiscusgw outcome ID`"
    )]
    Timeout { addr: SocketAddr },
    /// The node may have carried the call out.
    #[display("the response ended early: {source}")]
    IncompleteResponse { source: Box<dyn std::error::Error + Send + Sync> },
    #[display("the response has no gRPC status; the address may not be an operator listener")]
    MissingStatus,
    #[display("the response is not a valid gRPC message")]
    Malformed,
    #[display("the operator token has characters that are not allowed in an HTTP header")]
    InvalidToken,
    #[display("the node refused the call with gRPC status {status}: {message}")]
    Refused { status: u16, message: String },
}
