//! Accepts and serves callers' connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::Millis;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::dead_peer::PeerWatch;
use crate::response::ResponseResult;
use crate::shared::Node;
use crate::{listen, relay};

/// Pause after a failed `accept`: without it the loop would spin while the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between checks for an idle connection.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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
        // Above the limit, file descriptors are kept for connections to engines; the load balancer
        // retries at another node, as it does for what an overloaded node does not read.
        if open >= node.settings.borrow().max_connections
            || !node.caller_gate.takes_connection()
            || listen::set_socket_options(&stream).is_err()
        {
            continue;
        }
        if node.settings.borrow().features.read_ahead && listen::bound_unsent(&stream).is_err() {
            continue;
        }
        node.shutdown.connections.set(open + 1);
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let stop = &node.shutdown;
            PeerWatch::new(&node, &stream).serve(serve_connection(&node, stream)).await;
            stop.connections.set(stop.connections.get() - 1);
        });
    }
}

/// Activity on a connection.
struct ConnectionActivity {
    open_requests: Cell<u32>,
    last_active: Cell<Millis>,
}

async fn serve_connection(node: &Node, stream: TcpStream) {
    let activity = Rc::new(ConnectionActivity {
        open_requests: Cell::new(0),
        last_active: Cell::new(node.now()),
    });
    let service = service_fn(|req| handle(Rc::clone(node), Rc::clone(&activity), req));
    let max_head =
        node.state.borrow().catalog.as_ref().map_or(16 << 10, |c| c.limits.max_head_bytes);
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head.max(16 << 10))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            // The connection has ended; an error of the caller needs no handling.
            _ = conn.as_mut() => return,
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {}
            () = node.shutdown.changed.notified() => {}
        }
        let idle = node.now().saturating_sub(activity.last_active.get());
        let idle_timeout = node.state.borrow().catalog.as_ref().map(|c| c.limits.idle_timeout);
        let idle_timeout = idle_timeout.unwrap_or(Duration::from_secs(60)).as_millis() as Millis;
        let is_idle = activity.open_requests.get() == 0 && idle > idle_timeout;
        if !is_shutting_down && (is_idle || node.shutdown.closing.get()) {
            is_shutting_down = true;
            conn.as_mut().graceful_shutdown();
        }
    }
}

/// Counts a request as in progress until its response head is returned.
struct OpenRequest(Rc<ConnectionActivity>, Node);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0.last_active.set(self.1.now());
    }
}

async fn handle(
    node: Node,
    activity: Rc<ConnectionActivity>,
    req: Request<Incoming>,
) -> ResponseResult {
    activity.open_requests.set(activity.open_requests.get() + 1);
    let open_request = OpenRequest(activity, Rc::clone(&node));
    let mut response = relay::handle(&node, req).await;
    if node.should_close_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    drop(open_request);
    Ok(response)
}
