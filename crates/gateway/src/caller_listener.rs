//! Accepts callers' connections.

use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::caller_activity::CloseReason;
use crate::caller_stream::has_unread_bytes;
use crate::dead_peer::PeerWatch;
use crate::shared::Node;
use crate::{caller_connection, listen, meter};

/// Pause after a failed `accept`: without it the loop would spin while the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the node stops listening. What callers had connected by then is served.
pub(crate) async fn serve(node: Node, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.shutdown.until_listening_ends() => break,
        };
        match accepted {
            Ok((stream, _)) => take(&node, stream),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // The runtime may not know yet of connections that the socket has.
    while let Ok((socket, _)) = SockRef::from(&listener).accept() {
        let stream = std::net::TcpStream::from(socket);
        if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream))
        {
            take(&node, stream);
        }
    }
    drop(listener);
    node.shutdown.record_listening_ended();
}

/// Serves a connection in a task of its own, or refuses it.
fn take(node: &Node, stream: TcpStream) {
    let open = node.shutdown.connections.get();
    if let Some(reason) = refusal(node, open) {
        meter::caller_connection_closed(reason, has_unread_bytes(&stream));
        return;
    }
    if listen::set_socket_options(&stream).is_err() {
        return;
    }
    if node.settings.borrow().features.read_ahead && listen::bound_unsent(&stream).is_err() {
        return;
    }
    node.shutdown.connections.set(open + 1);
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = &node.shutdown;
        PeerWatch::new(&node, &stream).serve(caller_connection::serve(&node, stream)).await;
        stop.connections.set(stop.connections.get() - 1);
    });
}

/// Why a new connection is closed before anything is read; none if it is taken. The load balancer retries at
/// another node.
fn refusal(node: &Node, open: usize) -> Option<CloseReason> {
    // Above the limit, file descriptors are kept for connections to engines.
    if open >= node.settings.borrow().max_connections {
        return Some(CloseReason::TooMany);
    }
    (!node.caller_gate.takes_connection()).then_some(CloseReason::Late)
}
