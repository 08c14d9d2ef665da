//! A client connection that sends one request at a time.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::body::Step;
use crate::liveness::{DEAD_PEER_TIMEOUT, close_if_dead};
use crate::{BodyDecoder, Error, Head, Limit, Part, Request, Result, head};

/// Buffer space for one read of the socket, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Largest piece of a body that is made up of several chunks, in bytes. A peer may put a byte into each, and each piece has
/// its cost for the reader.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// Most informational (1xx) responses accepted before the final one.
const MAX_INFORMATIONAL: usize = 4;

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnTimeouts {
    pub connect: Duration,
    /// Longest time that sent bytes or probes may stay unacknowledged. Without this, a connection to a machine
    /// that lost power hangs.
    pub dead_peer: Duration,
}

impl Default for ConnTimeouts {
    fn default() -> Self {
        ConnTimeouts { connect: Duration::from_secs(1), dead_peer: DEAD_PEER_TIMEOUT }
    }
}

/// How long a body may take: a long one on a slow link needs its time, so its total time is no evidence that the rest is
/// lost.
#[derive(Debug, Clone, Copy)]
pub struct BodyPace {
    /// Longest time until the next bytes.
    pub max_pause: Duration,
    /// Longest time for all, so that a body which trickles does not hold up the reader.
    pub max_time: Duration,
}

#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    /// No further request may be sent: the last response is incomplete, or the peer closes the connection.
    must_close: bool,
    /// How long the peer keeps an idle connection open, from the `Keep-Alive` header of its last response.
    keep_alive_timeout: Option<Duration>,
    /// When the last response was complete, or the connection was opened.
    idle_since: Instant,
    responses: u32,
    /// Whether a request has been sent whose response is not complete.
    response_pending: bool,
    /// What follows the bytes of a body that were returned last.
    body_error: Option<Error>,
    peer_start: Option<u64>,
}

/// Resets the connection if a request was cancelled: otherwise bytes still queued in the kernel would reach
/// the peer after a network failure ends, and the peer would run a request that nobody waits for.
impl Drop for Conn {
    fn drop(&mut self) {
        if self.response_pending {
            // Fails only if the connection is already closed.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Conn {
    pub async fn connect(addr: SocketAddr, timeouts: ConnTimeouts) -> Result<Conn> {
        let connected = timeout(timeouts.connect, TcpStream::connect(addr)).await;
        let timed_out = || Err(io::Error::from(io::ErrorKind::TimedOut));
        let connected = connected.unwrap_or_else(|_| timed_out());
        let stream = connected.map_err(|source| Error::Connect { source })?;
        let options = stream
            .set_nodelay(true)
            .and_then(|()| close_if_dead(&SockRef::from(&stream), timeouts.dead_peer));
        options.map_err(|source| Error::Connect { source })?;
        let (buf, idle_since) = (BytesMut::new(), Instant::now());
        Ok(Conn {
            stream,
            buf,
            must_close: false,
            keep_alive_timeout: None,
            idle_since,
            responses: 0,
            response_pending: false,
            body_error: None,
            peer_start: None,
        })
    }

    /// Whether a complete response has been read on this connection.
    pub fn was_used(&self) -> bool {
        self.responses > 0
    }

    /// When the last response was complete, or the connection was opened.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// How long the peer keeps an idle connection open, if it has said so.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Start time of the peer's process, if it has been told on this connection, which no restart outlives.
    pub fn peer_start(&self) -> Option<u64> {
        self.peer_start
    }

    /// Records the start time that the peer has told on this connection.
    pub fn record_peer_start(&mut self, start: u64) {
        self.peer_start = Some(start);
    }

    /// Whether another request may be sent: the connection is open, has no unexpected bytes, and the peer's
    /// keep-alive timeout does not expire within `margin`.
    pub fn is_reusable(&mut self, margin: Duration) -> bool {
        let idle = self.idle_since.elapsed();
        let expires_soon = self.keep_alive_timeout.is_some_and(|timeout| idle + margin >= timeout);
        if self.must_close || expires_soon || !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        // Both unsolicited bytes and the end of the stream make the connection unusable.
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed the connection or sent something, by the socket itself: after the process did not
    /// run for a while, the runtime may not know yet.
    pub fn has_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of the response. If the response starts before the request is
    /// completely sent, the connection cannot be reused.
    pub async fn round_trip(&mut self, req: &Request) -> Result<Head> {
        self.send_request(req).await?;
        self.read_head(&req.method).await
    }

    /// Sends a request; stops early if the response starts before all bytes are sent.
    pub async fn send_request(&mut self, req: &Request) -> Result<()> {
        let bytes = req.encode();
        (self.must_close, self.response_pending) = (true, true);
        let (rd, mut wr) = self.stream.split();
        let mut write = std::pin::pin!(wr.write_all(&bytes));
        tokio::select! {
            biased;
            written = &mut write => {
                written?;
                self.must_close = false;
                Ok(())
            }
            // The rest of the request is not sent, so the connection cannot be reused.
            read = async { rd.ready(tokio::io::Interest::READABLE).await } => {
                read?;
                Ok(())
            }
        }
    }

    /// Reads the head of the next response, skipping informational ones.
    pub async fn read_head(&mut self, method: &Method) -> Result<Head> {
        let reusable = !std::mem::replace(&mut self.must_close, true);
        for _ in 0..=MAX_INFORMATIONAL {
            let head = loop {
                if let Some(head) = head::take_head(&mut self.buf, method)? {
                    break head;
                }
                if self.read().await? == 0 {
                    return Err(Error::Incomplete);
                }
            };
            if head.status.is_informational() {
                continue;
            }
            self.must_close = !reusable || head.closes_connection;
            self.keep_alive_timeout = parse_keep_alive_timeout(&head).or(self.keep_alive_timeout);
            return Ok(head);
        }
        Err(Error::Malformed { what: "too many informational responses" })
    }

    /// Reads the next bytes of a body, or `None` at its end. Small chunks that have arrived are returned together.
    pub async fn read_chunk(&mut self, body: &mut BodyDecoder) -> Result<Option<Bytes>> {
        if let Some(e) = self.body_error.take() {
            return Err(e);
        }
        loop {
            match body.decode(&mut self.buf).inspect_err(|_| self.must_close = true)? {
                Step::Bytes(bytes) => return Ok(Some(self.join_chunks(bytes, body))),
                Step::Complete => {
                    self.idle_since = Instant::now();
                    self.responses += 1;
                    self.response_pending = false;
                    return Ok(None);
                }
                Step::NeedsInput => {
                    if self.read().await.inspect_err(|_| self.must_close = true)? == 0 {
                        self.must_close = true;
                        body.finish()?;
                    }
                }
            }
        }
    }

    /// Adds the chunks after `first` that have arrived. An error among them is kept for the next read.
    fn join_chunks(&mut self, first: Bytes, body: &mut BodyDecoder) -> Bytes {
        let mut joined = None;
        let mut len = first.len();
        while len < MAX_JOINED_BYTES {
            match body.decode(&mut self.buf) {
                Ok(Step::Bytes(bytes)) => {
                    len += bytes.len();
                    joined.get_or_insert_with(|| BytesMut::from(&*first)).extend_from_slice(&bytes);
                }
                Ok(Step::NeedsInput | Step::Complete) => break,
                Err(e) => {
                    self.must_close = true;
                    self.body_error = Some(e);
                    break;
                }
            }
        }
        joined.map_or(first, BytesMut::freeze)
    }

    /// Reads a complete body of at most `max_bytes` bytes.
    pub async fn read_body(&mut self, mut body: BodyDecoder, max_bytes: usize) -> Result<Bytes> {
        let mut body_bytes = BytesMut::new();
        while let Some(bytes) = self.read_chunk(&mut body).await? {
            if body_bytes.len() + bytes.len() > max_bytes {
                self.must_close = true;
                return Err(body_too_large(max_bytes));
            }
            body_bytes.extend_from_slice(&bytes);
        }
        Ok(body_bytes.freeze())
    }

    /// Reads past a complete body of at most `max_bytes` bytes, of which nothing is kept.
    pub async fn skip_body(&mut self, mut body: BodyDecoder, max_bytes: usize) -> Result<()> {
        let mut skipped = 0;
        while let Some(bytes) = self.read_chunk(&mut body).await? {
            skipped += bytes.len();
            if skipped > max_bytes {
                self.must_close = true;
                return Err(body_too_large(max_bytes));
            }
        }
        Ok(())
    }

    /// Reads a complete body of at most `max_bytes` bytes as long as it goes on; `record_bytes` is told of all that
    /// arrives.
    pub async fn read_body_at_pace(
        &mut self,
        mut body: BodyDecoder,
        max_bytes: usize,
        pace: BodyPace,
        mut record_bytes: impl FnMut(usize),
    ) -> Result<Bytes> {
        let mut body_bytes = BytesMut::new();
        let until = Instant::now() + pace.max_time;
        loop {
            let stalled = Error::Stalled { received: body_bytes.len() };
            let next_until = until.min(Instant::now() + pace.max_pause);
            let chunk = timeout_at(next_until, self.read_chunk(&mut body)).await;
            let Some(bytes) = chunk.map_err(|_| stalled)?? else { return Ok(body_bytes.freeze()) };
            if body_bytes.len() + bytes.len() > max_bytes {
                self.must_close = true;
                return Err(body_too_large(max_bytes));
            }
            record_bytes(bytes.len());
            body_bytes.extend_from_slice(&bytes);
        }
    }

    async fn read(&mut self) -> Result<usize> {
        self.buf.reserve(READ_BUFFER_BYTES);
        Ok(self.stream.read_buf(&mut self.buf).await?)
    }
}

fn body_too_large(max_bytes: usize) -> Error {
    Error::TooLarge { part: Part::Body, limit: Limit::Bytes(max_bytes) }
}

/// Parses `Keep-Alive: timeout=SECONDS`.
fn parse_keep_alive_timeout(head: &Head) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
