//! Accepts callers' connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::caller_activity::CloseReason;
use crate::caller_stream::has_unread_bytes;
use crate::dead_peer::PeerWatch;
use crate::shared::Node;
use crate::{caller_connection, listen, meter};

/// Pause after a failed `accept`: without it the loop would spin while the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends.
pub(crate) async fn serve(node: Node, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let open = node.shutdown.connections.get();
        if let Some(reason) = refusal(&node, open) {
            meter::caller_connection_closed(reason, has_unread_bytes(&stream));
            continue;
        }
        if listen::set_socket_options(&stream).is_err() {
            continue;
        }
        if node.settings.borrow().features.read_ahead && listen::bound_unsent(&stream).is_err() {
            continue;
        }
        node.shutdown.connections.set(open + 1);
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let stop = &node.shutdown;
            PeerWatch::new(&node, &stream).serve(caller_connection::serve(&node, stream)).await;
            stop.connections.set(stop.connections.get() - 1);
        });
    }
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
