//! The listener for callers: HTTP/1.1 with JSON and server-sent events.

mod awake;
mod body;
mod chat;
mod connection;
mod head;
mod open;
mod plain;
mod reply;
mod route;
mod watched;

use std::convert::Infallible;
use std::fmt::Display;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use hgw_events::{Event, emit};
use hgw_types::NodeId;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_server::{Builder, ServerFuture};
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};
use xitca_web::service::{Service, ServiceExt, fn_service};

use crate::CallerLimits;
use crate::inbox::Inbox;
use crate::lifecycle::{Lifecycle, Phase};
use crate::peers::PeerTable;
use crate::streams::Streams;
use connection::Connections;

/// Header fields that a request may have.
const MAX_HEADERS: usize = 64;
/// Bytes of a request's head.
const MAX_HEAD: usize = 32 << 10;
/// Bytes that wait for one caller's socket before no more are taken from its ring.
const WRITE_BUFFER: usize = 64 << 10;
/// Time between two looks for callers that take nothing.
const STALL_LOOK: Duration = Duration::from_secs(1);
/// Time between two looks whether the last connection has ended.
const DRAIN_LOOK: Duration = Duration::from_millis(5);

/// What all callers' requests share.
#[derive(Debug)]
pub(crate) struct Callers {
    node: NodeId,
    limits: CallerLimits,
    inbox: Inbox,
    streams: Arc<Streams>,
    peers: Arc<PeerTable>,
    ready: Arc<AtomicBool>,
    lifecycle: Lifecycle,
    connections: Connections,
    /// Distinguishes the request ids that this process makes.
    boot: u64,
    next: AtomicU64,
}

impl Callers {
    pub(crate) fn new(
        node: NodeId,
        limits: CallerLimits,
        inbox: Inbox,
        streams: Arc<Streams>,
        peers: Arc<PeerTable>,
        ready: Arc<AtomicBool>,
        lifecycle: Lifecycle,
    ) -> Self {
        Callers {
            connections: Connections::new(limits.connections),
            node,
            limits,
            inbox,
            streams,
            peers,
            ready,
            lifecycle,
            boot: rand::random(),
            next: AtomicU64::new(0),
        }
    }

    fn listener_failed(&self, reason: &std::io::Error) {
        let fields: [(&str, &dyn Display); 3] =
            [("node", &self.node), ("duty", &"callers"), ("reason", reason)];
        emit(Event::ListenerFailed, &fields);
    }

    /// Whether no new request is taken any more.
    fn is_ending(&self) -> bool {
        self.lifecycle.phase() > Phase::Running
    }
}

/// Serves callers until the process ends, or until it drains and their last bytes are out.
pub(crate) async fn run(cx: Arc<Callers>, listener: TcpListener, drain: Duration) {
    let mut server = serve(&cx, listener);
    let handle = match server.handle() {
        Ok(handle) => handle,
        Err(e) => {
            return cx.listener_failed(&e);
        }
    };
    let end = async {
        cx.lifecycle.until(Phase::Draining, watch_stalls(&cx)).await;
        let drained = tokio::time::timeout(drain, drained(&cx));
        cx.lifecycle.until(Phase::Ended, async { drop(drained.await) }).await;
        handle.stop(false);
    };
    let (ended, ()) = tokio::join!(server, end);
    if let Err(e) = ended {
        cx.listener_failed(&e);
    }
}

fn serve(cx: &Arc<Callers>, listener: TcpListener) -> ServerFuture {
    let config = HttpServiceConfig::new()
        .request_head_timeout(cx.limits.head_timeout)
        .keep_alive_timeout(cx.limits.idle)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<MAX_HEAD>()
        .max_write_buf_size::<WRITE_BUFFER>();
    let handler = Arc::clone(cx);
    let tracker = Arc::clone(cx);
    let service = fn_service(async move |req: Request<RequestExt<RequestBody>>| {
        Ok::<_, Infallible>(route::handle(&handler, req).await)
    });
    let service = service.enclosed(HttpServiceBuilder::with_config(config));
    let service = service.enclosed_fn(async move |http: &_, stream: Stream| {
        if let Some((stream, entry)) = tracker.connections.admit(stream, tracker.is_ending()) {
            let ended = Service::call(http, stream).await;
            tracker.connections.remove(entry);
            drop(ended);
        }
        Ok::<_, Infallible>(())
    });
    Builder::new()
        .worker_threads(cx.limits.threads)
        .disable_signal()
        .listen("callers", listener, service)
        .build()
}

/// Closes connections whose caller takes nothing of what waits for it.
async fn watch_stalls(cx: &Callers) {
    loop {
        tokio::time::sleep(STALL_LOOK).await;
        // The head's own time runs in the server, from its first byte on.
        let first = cx.limits.head_timeout * 2;
        cx.connections.close_stalled(STALL_LOOK, cx.limits.stall, first);
    }
}

/// Waits until every connection has written its last bytes.
async fn drained(cx: &Callers) {
    loop {
        cx.connections.finish();
        if cx.connections.is_empty() && cx.streams.open_count() == 0 {
            return;
        }
        tokio::time::sleep(DRAIN_LOOK).await;
    }
}
