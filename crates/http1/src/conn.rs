use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::body::Step;
use crate::{Body, Error, Head, Request, Result, head};

/// Room for one read of the socket.
const READ: usize = 8 << 10;

/// Informational answers before the real one; more are no answer.
const MAX_INFORMATIONAL: usize = 4;

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectLimits {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time that sent bytes may stay unacknowledged, and that a silent peer is believed to be
    /// there: a machine that lost power answers nothing, and without this a connection to it hangs.
    pub silence: Duration,
}

impl Default for ConnectLimits {
    fn default() -> Self {
        ConnectLimits { connect: Duration::from_secs(1), silence: Duration::from_secs(2) }
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    /// No request may follow: the last one was not answered whole, or the peer closes.
    spent: bool,
    /// How long the peer keeps the connection without a request, as its last answer said.
    kept_for: Option<Duration>,
    since: Instant,
    answers: u32,
    /// Whether a request was sent whose answer is not whole.
    awaits: bool,
}

/// A request that is given up takes its bytes along.
///
/// Load: the path to a peer is cut for some seconds while requests are sent to it. Their callers leave, and their
/// connections are closed; the bytes still wait to be sent, and reach the peer once the path is back, which runs each of
/// them for nobody. A reset drops them.
impl Drop for Conn {
    fn drop(&mut self) {
        if self.awaits {
            // Where it fails the connection has ended already.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Conn {
    /// Connects.
    pub async fn connect(addr: SocketAddr, limits: ConnectLimits) -> Result<Conn> {
        let connected = timeout(limits.connect, TcpStream::connect(addr)).await;
        let timed_out = || Err(io::Error::from(io::ErrorKind::TimedOut));
        let connected = connected.unwrap_or_else(|_| timed_out());
        let stream = connected.map_err(|source| Error::Connect { source })?;
        keep_alive(&stream, limits.silence).map_err(|source| Error::Connect { source })?;
        let (buf, since) = (BytesMut::new(), Instant::now());
        Ok(Conn { stream, buf, spent: false, kept_for: None, since, answers: 0, awaits: false })
    }

    /// Whether a request was answered on it before.
    pub fn was_used(&self) -> bool {
        self.answers > 0
    }

    /// When its last answer was whole, or it was made.
    pub fn idle_since(&self) -> Instant {
        self.since
    }

    /// Whether another request may be sent: nothing unexpected has come, the peer has not closed, and it
    /// will not close while the request is on its way.
    pub fn is_usable(&mut self, margin: Duration) -> bool {
        let idle = self.since.elapsed();
        let expires = self.kept_for.is_some_and(|kept| idle + margin >= kept);
        if self.spent || expires || !self.buf.is_empty() {
            return false;
        }
        let mut one = [0; 1];
        // Bytes without a request belong to no answer, and an end is an end.
        matches!(self.stream.try_read(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of its answer. An answer may come before the request is
    /// all sent; the connection then takes no other.
    pub async fn send(&mut self, req: &Request) -> Result<Head> {
        self.begin(req).await?;
        self.head(&req.method).await
    }

    /// Sends a request, up to the point where its answer begins to come.
    pub async fn begin(&mut self, req: &Request) -> Result<()> {
        let bytes = req.encode();
        (self.spent, self.awaits) = (true, true);
        let (rd, mut wr) = self.stream.split();
        let mut write = std::pin::pin!(wr.write_all(&bytes));
        tokio::select! {
            biased;
            written = &mut write => {
                written?;
                self.spent = false;
                Ok(())
            }
            // The rest is not sent: the peer would take it for the next request's bytes.
            read = async { rd.ready(tokio::io::Interest::READABLE).await } => {
                read?;
                Ok(())
            }
        }
    }

    /// Waits for the head of the next answer.
    pub async fn head(&mut self, method: &Method) -> Result<Head> {
        let reusable = !std::mem::replace(&mut self.spent, true);
        for _ in 0..=MAX_INFORMATIONAL {
            let head = loop {
                if let Some(head) = head::take(&mut self.buf, method)? {
                    break head;
                }
                if self.read().await? == 0 {
                    return Err(Error::Ended);
                }
            };
            if (100..200).contains(&head.status) {
                continue;
            }
            self.spent = !reusable || head.closes;
            self.kept_for = kept_for(&head).or(self.kept_for);
            return Ok(head);
        }
        Err(Error::Malformed { what: "informational answers without end" })
    }

    /// The next bytes of a body, or nothing where it is whole.
    pub async fn chunk(&mut self, body: &mut Body) -> Result<Option<Bytes>> {
        loop {
            match body.step(&mut self.buf).inspect_err(|_| self.spent = true)? {
                Step::Bytes(bytes) => return Ok(Some(bytes)),
                Step::Whole => {
                    self.since = Instant::now();
                    self.answers += 1;
                    self.awaits = false;
                    return Ok(None);
                }
                Step::More => {
                    if self.read().await.inspect_err(|_| self.spent = true)? == 0 {
                        self.spent = true;
                        body.end()?;
                    }
                }
            }
        }
    }

    /// Collects a whole body of at most so many bytes.
    pub async fn collect(&mut self, mut body: Body, most: usize) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.chunk(&mut body).await? {
            if whole.len() + bytes.len() > most {
                self.spent = true;
                return Err(Error::Malformed { what: "a body without end" });
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    }

    async fn read(&mut self) -> Result<usize> {
        self.buf.reserve(READ);
        Ok(self.stream.read_buf(&mut self.buf).await?)
    }
}

/// `Keep-Alive: timeout=SECONDS`.
fn kept_for(head: &Head) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn keep_alive(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probe = silence.max(Duration::from_secs(1));
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(probe).with_interval(Duration::from_secs(1)).with_retries(2),
    )
}
