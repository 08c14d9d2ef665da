//! An HTTP/1.1 client connection that never retries.
//!
//! Pooling clients retry a request when a reused connection turns out to be closed, which could run work
//! twice. A [`Conn`] sends a request once and reports whether it was sent, and whether the response is
//! complete.

mod body;
mod bound;
mod chunk_line;
mod conn;
mod end_to_end;
mod error;
mod framing;
mod head;
mod liveness;
mod request;

pub use body::BodyDecoder;
pub use bound::{Limit, Part};
pub use conn::{BodyPace, Conn, ConnTimeouts};
pub use end_to_end::end_to_end_headers;
pub use error::{Error, Result};
pub use framing::Framing;
pub use head::{Head, MAX_HEAD_BYTES};
pub use liveness::{DEAD_PEER_TIMEOUT, close_if_dead};
pub use request::Request;
