//! One HTTP/1.1 connection of a client.
//!
//! A pool of a general library repeats a request by itself where a kept connection has ended, which
//! could run work twice. Here a request is sent once, on one connection, and what became of it is told:
//! whether any byte left, what was answered, and whether the answer is whole.

mod body;
mod conn;
mod error;
mod head;
mod request;

pub use body::Body;
pub use conn::{Conn, ConnectLimits};
pub use error::{Error, Result};
pub use head::{Framing, Head, MAX_HEAD};
pub use request::Request;
