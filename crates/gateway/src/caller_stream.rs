//! The socket of a caller's connection.

use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hgw_events::{Event, emit};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::caller_activity::{CallerActivity, CloseReason};
use crate::meter;

/// Most bytes of a direct read; the runtime reads the rest.
const MAX_DIRECT_BYTES: usize = 4 << 10;

/// A caller's socket. Records activity and why the connection ends.
pub(crate) struct CallerStream {
    tcp: TcpStream,
    activity: Rc<CallerActivity>,
}

impl CallerStream {
    pub(crate) fn new(tcp: TcpStream, activity: Rc<CallerActivity>) -> CallerStream {
        CallerStream { tcp, activity }
    }

    /// Reads what has arrived, whether or not the runtime knows of it; none if nothing has.
    fn read_directly(&self, buf: &mut ReadBuf<'_>) -> Option<io::Result<()>> {
        let mut bytes = [0; MAX_DIRECT_BYTES];
        let max = buf.remaining().min(MAX_DIRECT_BYTES);
        match (&*SockRef::from(&self.tcp)).read(&mut bytes[..max]) {
            Ok(length) => {
                buf.put_slice(&bytes[..length]);
                Some(Ok(()))
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => Some(Err(e)),
        }
    }

    fn log_closed_unread(&self, reason: CloseReason) {
        let node = self.activity.node();
        emit(
            Event::CallerClosedUnread,
            &[
                ("node", &node.settings.borrow().node),
                ("why", &reason),
                ("idle_ms", &self.activity.idle_time()),
                ("requests", &self.activity.open_requests()),
                ("open", &node.shutdown.connections.get()),
            ],
        );
    }

    fn record_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(length)) if length > 0) {
            self.activity.record_sent();
        }
        written
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let Some(reason) = self.activity.closed_for() else { return };
        let is_closed_here = matches!(reason, CloseReason::Idle | CloseReason::Stopping);
        let is_unread =
            is_closed_here && (self.activity.has_partial_head() || has_unread_bytes(&self.tcp));
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
        let before = buf.filled().len();
        let direct = if self.activity.take_direct_read() { self.read_directly(buf) } else { None };
        let read = match direct {
            Some(read) => read,
            None => ready!(Pin::new(&mut self.tcp).poll_read(cx, buf)),
        };
        if buf.filled().len() > before {
            self.activity.record_received();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.record_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.record_written(written)
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
