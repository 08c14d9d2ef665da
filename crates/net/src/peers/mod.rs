//! Connections to peers: one a pair, over which everything between two nodes passes.
//!
//! Each connection starts with both sides proving that they know the shared secret. After it,
//! chunks and credit go from task to task, and all other frames are messages to the control thread.

mod codec;
mod connection;
mod handshake;
mod manager;
mod table;

pub(crate) use handshake::Identity;
pub(crate) use manager::{Command, Peers, run};
pub(crate) use table::{Link, PeerTable};
