//! Callers' connections.

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

use crate::answer::Answered;
use crate::shared::Node;
use crate::{listen, relay};

/// Pause after a connection could not be accepted, for want of descriptors: without it the thread would
/// do nothing else.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between two looks at whether a connection has been unused for too long.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// Takes callers' connections until the process ends.
pub(crate) async fn serve(node: Node, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let open = node.stop.connections.get();
        // Beyond the descriptors that engines' connections need, the balancer's other nodes take it.
        if open >= node.settings.borrow().connections || listen::prepare(&stream).is_err() {
            continue;
        }
        node.stop.connections.set(open + 1);
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let stop = &node.stop;
            connection(&node, stream).await;
            stop.connections.set(stop.connections.get() - 1);
        });
    }
}

/// What a connection is doing.
struct Use {
    requests: Cell<u32>,
    since: Cell<Millis>,
}

async fn connection(node: &Node, stream: TcpStream) {
    let usage = Rc::new(Use { requests: Cell::new(0), since: Cell::new(node.now()) });
    let service = service_fn(|req| answer(Rc::clone(node), Rc::clone(&usage), req));
    let limit = node.state.borrow().catalog.as_ref().map_or(16 << 10, |c| c.limits.max_head_bytes);
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limit.max(16 << 10))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let mut told = false;
    loop {
        tokio::select! {
            // Its end, also by a fault of the caller's, needs nothing more.
            _ = conn.as_mut() => return,
            () = tokio::time::sleep(IDLE_CHECK) => {}
            () = node.stop.changed.notified() => {}
        }
        let idle = node.now().saturating_sub(usage.since.get());
        let longest = node.state.borrow().catalog.as_ref().map(|c| c.limits.idle_timeout);
        let longest = longest.unwrap_or(Duration::from_secs(60)).as_millis() as Millis;
        let unused = usage.requests.get() == 0 && idle > longest;
        if !told && (unused || node.stop.closing.get()) {
            told = true;
            conn.as_mut().graceful_shutdown();
        }
    }
}

/// Counts a request of a connection until its answer is out.
struct Counted(Rc<Use>, Node);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.since.set(self.1.now());
    }
}

async fn answer(node: Node, usage: Rc<Use>, req: Request<Incoming>) -> Answered {
    usage.requests.set(usage.requests.get() + 1);
    let counted = Counted(usage, Rc::clone(&node));
    let mut answer = relay::answer(&node, req).await;
    if node.sends_away() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    drop(counted);
    Ok(answer)
}
