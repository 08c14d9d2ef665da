//! TCP listeners and the options of accepted sockets.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_http1::close_if_dead;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::dead_peer::{DEAD_CALLER_TIMEOUT, PeerWatch};
use crate::response::ResponseResult;
use crate::shared::Node;

/// Listen backlog: with the usual 128, connections of a burst are dropped and retried only after
/// seconds.
const BACKLOG: i32 = 4096;

pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    // Without this, a restarted process finds its port in use by closed connections.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Pause after a failed `accept`, so that the loop does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves a listener that is not for callers, until the process ends.
pub(crate) async fn serve<H, F>(node: Node, listener: TcpListener, handler: H)
where
    H: Fn(Node, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = ResponseResult> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if set_socket_options(&stream).is_err() {
            continue;
        }
        let (node, handler) = (Rc::clone(&node), handler.clone());
        let watch = PeerWatch::new(&node, &stream);
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| handler(Rc::clone(&node), req));
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client retries after a broken connection.
            watch.serve(async { drop(conn.await) }).await;
        });
    }
}

/// Bytes of a response that the kernel takes beyond what is on its way to the caller. Without a bound it takes megabytes
/// for a caller that does not read, which no bound of this node covers.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Bounds what the kernel holds of responses, so that the rest is in buffers of this node.
pub(crate) fn bound_unsent(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    close_if_dead(&SockRef::from(stream), DEAD_CALLER_TIMEOUT)
}
