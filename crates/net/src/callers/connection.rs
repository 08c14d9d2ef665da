//! Callers' connections, as they are watched from outside of the HTTP server.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use xitca_io::net::Stream;

use crate::meter;
use crate::streams::lock;

use super::awake::AwakeClock;

/// What a connection that is not taken is told before it is closed.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
content-type: application/json\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 117\r\n\r\n\
{\"error\":{\"code\":\"overloaded\",\"ran\":\"not_run\",\"message\":\"no more connections\",\
\"request_id\":\"\",\"retry_after_ms\":1000}}";

/// All callers' connections.
#[derive(Debug)]
pub(super) struct Connections {
    limit: usize,
    clock: Arc<AwakeClock>,
    open: Mutex<IndexMap<SocketAddr, Arc<Connection>>>,
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Connection {
    addr: SocketAddr,
    socket: TcpStream,
    clock: Arc<AwakeClock>,
    /// Since when bytes wait for the caller, by `clock`; 0 where none do.
    writing: AtomicU64,
    /// When it was opened, by `clock`.
    opened: u64,
    /// Whether a request has come.
    used: AtomicBool,
}

impl Connections {
    pub(super) fn new(limit: usize) -> Self {
        Connections { limit, clock: Arc::new(AwakeClock::start()), open: Mutex::default() }
    }

    /// Enters a new connection, or turns it away where there are too many.
    pub(super) fn admit(&self, stream: Stream, ending: bool) -> Option<(Stream, Arc<Connection>)> {
        let Stream::Tcp(socket, addr) = stream else { return None };
        // Small events are to leave at once.
        socket.set_nodelay(true).ok()?;
        let mut open = lock(&self.open);
        if ending || open.len() >= self.limit {
            drop(open);
            meter::request("connection_refused");
            // The socket does not block: what does not fit its buffer is lost with the connection.
            let _ = (&socket).write(FULL);
            return None;
        }
        let twin = socket.try_clone().ok()?;
        let entry = Arc::new(Connection {
            addr,
            socket: twin,
            clock: Arc::clone(&self.clock),
            writing: AtomicU64::new(0),
            opened: self.clock.now(),
            used: AtomicBool::new(false),
        });
        open.insert(addr, Arc::clone(&entry));
        Some((Stream::Tcp(socket, addr), entry))
    }

    pub(super) fn remove(&self, entry: Arc<Connection>) {
        let mut open = lock(&self.open);
        // Another connection may have the same address by now.
        if open.get(&entry.addr).is_some_and(|now| Arc::ptr_eq(now, &entry)) {
            open.swap_remove(&entry.addr);
        }
    }

    pub(super) fn get(&self, addr: &SocketAddr) -> Option<Arc<Connection>> {
        lock(&self.open).get(addr).map(Arc::clone)
    }

    pub(super) fn is_empty(&self) -> bool {
        lock(&self.open).is_empty()
    }

    /// Closes connections whose caller has taken nothing of what waits for it for longer than
    /// `stall`, or has sent no request at all within `first`.
    ///
    /// A caller that stops reading would hold its request, and the work behind it, for ever. A
    /// stranger that only connects would hold one of a bounded number of connections for as long as
    /// a caller between two requests may. It is called each `interval`; the time in which this process did not run is
    /// left out, as what callers sent or took meanwhile is not known yet.
    pub(super) fn close_stalled(&self, interval: Duration, stall: Duration, first: Duration) {
        self.clock.look(interval);
        for entry in lock(&self.open).values() {
            let unused = !entry.used.load(Ordering::Relaxed) && entry.open_for() > first;
            if unused || entry.stalled_for().is_some_and(|t| t > stall) {
                // An error means that the connection has ended by itself.
                let _ = entry.socket.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets every connection end after what it writes now: no further request can come in.
    pub(super) fn finish(&self) {
        for entry in lock(&self.open).values() {
            // An error means that the connection has ended by itself.
            let _ = entry.socket.shutdown(Shutdown::Read);
        }
    }
}

impl Connection {
    /// Notes that a request has come: its caller has taken the answer before it.
    pub(super) fn begin_request(&self) {
        self.used.store(true, Ordering::Relaxed);
        self.wrote();
    }

    /// Whether the caller has closed the connection.
    pub(super) fn is_gone(&self) -> bool {
        match self.socket.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Notes that bytes wait for the caller from now on.
    pub(super) fn writes(&self) {
        self.writing.store(self.clock.now().max(1), Ordering::Relaxed);
    }

    /// Notes that the caller has taken all that waited.
    pub(super) fn wrote(&self) {
        self.writing.store(0, Ordering::Relaxed);
    }

    fn stalled_for(&self) -> Option<Duration> {
        let since = self.writing.load(Ordering::Relaxed);
        (since > 0).then(|| Duration::from_millis(self.clock.now().saturating_sub(since)))
    }

    fn open_for(&self) -> Duration {
        Duration::from_millis(self.clock.now().saturating_sub(self.opened))
    }
}
