//! The socket of a caller's connection, which records why this node closes it and whether bytes were unread then.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use derive_more::Display;
use hgw_direct::Millis;
use hgw_events::{Event, emit};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::meter;
use crate::shared::Node;

/// Why this node closes a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CloseReason {
    #[display("idle")]
    Idle,
    #[display("stopping")]
    Stopping,
    /// The node has as many connections as it may.
    #[display("too many")]
    TooMany,
    /// The node runs late and takes only a share of the new connections.
    #[display("late")]
    Late,
}

/// Activity on a connection.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    pub(crate) open_requests: Cell<u32>,
    pub(crate) last_active: Cell<Millis>,
    /// Why this node closes the connection, once it does.
    pub(crate) closed_for: Cell<Option<CloseReason>>,
}

impl ConnectionActivity {
    pub(crate) fn begin(now: Millis) -> ConnectionActivity {
        ConnectionActivity {
            open_requests: Cell::new(0),
            last_active: Cell::new(now),
            closed_for: Cell::new(None),
        }
    }
}

/// A caller's socket. Records its end if this node closes it.
pub(crate) struct CallerStream {
    tcp: TcpStream,
    node: Node,
    activity: Rc<ConnectionActivity>,
}

impl CallerStream {
    pub(crate) fn new(
        tcp: TcpStream,
        node: Node,
        activity: Rc<ConnectionActivity>,
    ) -> CallerStream {
        CallerStream { tcp, node, activity }
    }

    fn log_closed_unread(&self, reason: CloseReason) {
        let idle_ms = self.node.now().saturating_sub(self.activity.last_active.get());
        emit(
            Event::CallerClosedUnread,
            &[
                ("node", &self.node.settings.borrow().node),
                ("why", &reason),
                ("idle_ms", &idle_ms),
                ("requests", &self.activity.open_requests.get()),
                ("open", &self.node.shutdown.connections.get()),
            ],
        );
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let Some(reason) = self.activity.closed_for.get() else { return };
        let is_unread = has_unread_bytes(&self.tcp);
        meter::caller_connection_closed(reason, is_unread);
        if is_unread {
            self.log_closed_unread(reason);
        }
    }
}

/// Whether bytes have arrived on the socket that have not been read.
pub(crate) fn has_unread_bytes(tcp: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(tcp).peek(&mut byte).is_ok_and(|length| length > 0)
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
