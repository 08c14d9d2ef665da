use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::answer::Answered;
use crate::shared::Node;

/// Connections that may wait to be accepted: with the usual 128 a burst is dropped and comes again only
/// after seconds.
const BACKLOG: i32 = 4096;

/// Longest time that sent bytes may stay unacknowledged: a caller whose path is cut would else be waited
/// for until the end of its request.
const UNACKED: Duration = Duration::from_secs(5);

pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    // A process that is replaced finds its port still in use by ended connections otherwise.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers on a listener that is not for callers, until the process ends.
pub(crate) async fn serve<A, F>(node: Node, listener: TcpListener, answer: A)
where
    A: Fn(Node, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Answered> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if prepare(&stream).is_err() {
            continue;
        }
        let (node, answer) = (Rc::clone(&node), answer.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| answer(Rc::clone(&node), req));
            // Who breaks off asks again.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(Duration::from_secs(3))
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    socket.set_tcp_keepalive(&keep_alive)
}
