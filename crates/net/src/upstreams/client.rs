//! HTTP calls with bounds on time and size.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::body::SendBody;

/// Outcome of a call.
pub(crate) type Result<T> = std::result::Result<T, CallError>;

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum CallError {
    /// No connection: no byte of the call can have arrived.
    #[display("cannot connect: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke; the call may have arrived.
    #[display("broken: {_0}")]
    Broken(#[error(not(source))] String),
    /// No answer in time; the call may have arrived.
    #[display("no answer in time")]
    Timeout,
    /// The answer is larger than allowed.
    #[display("the answer is too large")]
    TooLarge,
    /// The answer is not what it should be.
    #[display("unreadable answer: {_0}")]
    Unreadable(#[error(not(source))] String),
}

/// An HTTP/1.1 client.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient(Client<HttpConnector, SendBody>);

impl HttpClient {
    /// Builds a client that keeps `kept` unused connections to each address, for at most `idle`.
    pub(crate) fn new(connect: Duration, idle: Duration, kept: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(kept)
            .http1_max_buf_size(MAX_HEAD)
            .build(connector);
        HttpClient(client)
    }

    /// Sends a request and waits for the head of the answer. The caller bounds the time.
    pub(crate) async fn send(&self, req: Request<SendBody>) -> Result<Response<Incoming>> {
        let answer = self.0.request(req).await.map_err(|e| {
            if e.is_connect() {
                CallError::NotSent(cause(&e))
            } else {
                CallError::Broken(cause(&e))
            }
        })?;
        check_head(&answer)?;
        Ok(answer)
    }

    /// Sends a request and reads the whole answer, of at most `max` bytes, within `timeout`.
    pub(crate) async fn call(
        &self,
        req: Request<SendBody>,
        timeout: Duration,
        max: usize,
    ) -> Result<(StatusCode, Bytes)> {
        let work = async {
            let res = self.send(req).await?;
            let status = res.status();
            Ok((status, collect(res.into_body(), max).await?))
        };
        tokio::time::timeout(timeout, work).await.map_err(|_| CallError::Timeout)?
    }
}

/// Statuses of final answers (RFC 9110, 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Checks what the library does not: that the status is one of HTTP, and that the body has no coding beside chunks, which
/// nobody here would undo.
fn check_head(answer: &Response<Incoming>) -> Result<()> {
    let status = answer.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return Err(CallError::Unreadable(format!("status {status}")));
    }
    let codings: Vec<_> = answer.headers().get_all(header::TRANSFER_ENCODING).iter().collect();
    match codings.as_slice() {
        [] => Ok(()),
        [coding] if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
        _ => Err(CallError::Unreadable("transfer-encoding".into())),
    }
}

/// Reads a body of at most `max` bytes.
pub(crate) async fn collect(mut body: Incoming, max: usize) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CallError::Broken(cause(&e)))?;
        let Some(data) = frame.data_ref() else { continue };
        if buf.len() + data.len() > max {
            return Err(CallError::TooLarge);
        }
        buf.extend_from_slice(data);
    }
    Ok(buf.freeze())
}

/// Builds a request with a JSON body.
pub(crate) fn post_json<T: Serialize>(
    addr: &str,
    path: &str,
    body: &T,
) -> Result<Request<SendBody>> {
    let body = serde_json::to_vec(body).map_err(|e| CallError::NotSent(e.to_string()))?;
    build(
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{path}"))
            .header(header::CONTENT_TYPE, "application/json"),
        body.into(),
    )
}

/// Builds a request without a body.
pub(crate) fn get(addr: &str, path: &str) -> Result<Request<SendBody>> {
    build(Request::builder().uri(format!("http://{addr}{path}")), Bytes::new())
}

/// Finishes a request; one that cannot be built is never sent.
pub(crate) fn build(builder: http::request::Builder, body: Bytes) -> Result<Request<SendBody>> {
    builder.body(SendBody::new(body)).map_err(|e| CallError::NotSent(e.to_string()))
}

/// Reads a JSON answer.
pub(crate) fn read_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|e| CallError::Unreadable(e.to_string()))
}

/// The innermost cause of an error, which is the one that tells something.
pub(crate) fn cause(e: &dyn std::error::Error) -> String {
    let mut inner = e;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
