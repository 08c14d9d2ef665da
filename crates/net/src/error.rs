use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Outcome of starting a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a process cannot start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A listener's address cannot be used.
    #[display("cannot listen for {duty} on {addr}: {source}")]
    Listen {
        /// Who the listener is for.
        duty: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A thread or its runtime cannot be started.
    #[display("cannot start the thread for {duty}: {source}")]
    Thread {
        /// What the thread is for.
        duty: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}
