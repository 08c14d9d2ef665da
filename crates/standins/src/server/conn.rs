//! Connections that can go silent for good.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Says which connections have gone silent.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    next: AtomicU64,
    silent_below: AtomicU64,
}

impl Gate {
    /// Silences all connections that exist now, but for those that control the faults.
    pub(crate) fn silence(&self) {
        self.silent_below.store(self.next.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

/// A connection's place in the order of connections.
#[derive(Debug)]
pub(crate) struct Ticket {
    number: u64,
    gate: Arc<Gate>,
    control: AtomicBool,
}

impl Ticket {
    pub(crate) fn new(gate: Arc<Gate>) -> Self {
        let number = gate.next.fetch_add(1, Ordering::SeqCst);
        Ticket { number, gate, control: AtomicBool::new(false) }
    }

    /// Exempts the connection from all faults of connections.
    pub(crate) fn make_control(&self) {
        self.control.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_control(&self) -> bool {
        self.control.load(Ordering::SeqCst)
    }

    fn is_silent(&self) -> bool {
        !self.is_control() && self.number < self.gate.silent_below.load(Ordering::SeqCst)
    }
}

/// A TCP connection that neither reads nor writes once it is silent, and is never woken again.
#[derive(Debug)]
pub(crate) struct Conn {
    tcp: TcpStream,
    ticket: Arc<Ticket>,
}

impl Conn {
    pub(crate) fn new(tcp: TcpStream, ticket: Arc<Ticket>) -> Self {
        Conn { tcp, ticket }
    }
}

impl AsyncRead for Conn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ticket.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.ticket.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.ticket.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
