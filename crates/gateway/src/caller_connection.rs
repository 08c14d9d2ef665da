//! Serves one caller's connection until it ends.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::caller_activity::{CallerActivity, CloseReason};
use crate::caller_stream::CallerStream;
use crate::relay;
use crate::response::{BodyAborted, ResponseBody};
use crate::shared::Node;

/// Buffer of a connection, in bytes, unless the configuration allows larger heads.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Serves a connection. What has arrived is read before the connection is closed.
pub(crate) async fn serve(node: &Node, tcp: TcpStream) {
    let activity = Rc::new(CallerActivity::begin(Rc::clone(node)));
    let stream = CallerStream::new(tcp, Rc::clone(&activity));
    let service = service_fn(|req| handle(Rc::clone(&activity), req));
    let max_head = node.state.borrow().catalog.as_ref().map_or(0, |c| c.limits.max_head_bytes);
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    loop {
        tokio::select! {
            biased;
            ended = conn.as_mut() => return activity.record_end(reason_of(ended)),
            () = sleep(activity.plan_check()) => {}
            () = node.shutdown.changed.notified() => {}
        }
        let Some(reason) = activity.reason_to_close() else { continue };
        let last_active = activity.last_active();
        activity.request_direct_read();
        if let Poll::Ready(ended) = poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx))).await {
            return activity.record_end(reason_of(ended));
        }
        if activity.last_active() != last_active || activity.open_requests() > 0 {
            continue;
        }
        activity.record_end(reason);
        conn.as_mut().graceful_shutdown();
        if !activity.has_partial_head() {
            // Sends what is left of the last response.
            let _ = conn.await;
        }
        return;
    }
}

fn reason_of(ended: hyper::Result<()>) -> CloseReason {
    if ended.is_ok() { CloseReason::Ended } else { CloseReason::Failed }
}

async fn handle(
    activity: Rc<CallerActivity>,
    req: Request<Incoming>,
) -> Result<Response<CallerBody>, Infallible> {
    let open_request = OpenRequest::begin(Rc::clone(&activity));
    let node = activity.node();
    let mut response = relay::handle(node, req).await;
    if node.should_close_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| CallerBody { body, _open_request: open_request }))
}

/// Counts a request as open until its response has been passed on completely or given up.
struct OpenRequest(Rc<CallerActivity>);

impl OpenRequest {
    fn begin(activity: Rc<CallerActivity>) -> OpenRequest {
        activity.begin_request();
        OpenRequest(activity)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// A response body. The request counts as open as long as there is any of it.
struct CallerBody {
    body: ResponseBody,
    _open_request: OpenRequest,
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
