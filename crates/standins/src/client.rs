//! A small HTTP client for tests, the demo and the stand-ins themselves.

use std::fmt;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;

use crate::faults::Faults;

/// Outcome of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call has no answer, or no more of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError(String);

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CallError {}

fn error(e: impl std::error::Error) -> CallError {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text = format!("{text}: {e}");
        source = e.source();
    }
    CallError(text)
}

/// Bound on each wait of the client: a guard against hanging, far above anything expected.
pub const GUARD: Duration = Duration::from_secs(120);

/// Time that a sender who does not wait for an answer stays connected.
const LEAVE_AFTER: Duration = Duration::from_millis(20);

/// A client whose calls block the thread. Each call has a connection of its own.
#[derive(Debug)]
pub struct Caller {
    runtime: Arc<Runtime>,
    addr: SocketAddr,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body as text.
    pub body: String,
}

impl Whole {
    /// The body read as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.body).map_err(error)
    }
}

impl Caller {
    /// A client for the server at `addr`.
    pub fn new(addr: SocketAddr) -> Result<Caller> {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(error)?;
        Ok(Caller { runtime: Arc::new(runtime), addr })
    }

    /// Sends a request and waits for the whole answer.
    pub fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Whole> {
        let answer = self.begin(method, path, headers, body.into())?;
        let (status, headers) = (answer.status(), answer.headers().clone());
        let body = self.wait(answer.into_body().collect())?.to_bytes();
        Ok(Whole { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
    }

    /// `GET path`, the answer read as JSON.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call(Method::GET, path, &[], Bytes::new())?.json()
    }

    /// `POST path` with `value` as JSON.
    pub fn post(&self, path: &str, value: &impl Serialize) -> Result<Whole> {
        let body = serde_json::to_vec(value).map_err(error)?;
        self.call(Method::POST, path, &[("content-type", "application/json")], body)
    }

    /// `POST path` with `value` as JSON; goes away once that is sent, without an answer.
    pub fn post_and_leave(&self, path: &str, value: &impl Serialize) -> Result<()> {
        let body = serde_json::to_vec(value).map_err(error)?;
        let mut tcp = TcpStream::connect(self.addr).map_err(error)?;
        let (addr, len) = (self.addr, body.len());
        write!(tcp, "POST {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-length: {len}\r\n\r\n")
            .and_then(|()| tcp.write_all(&body))
            .map_err(error)?;
        // Long enough for the request to be read before the connection ends.
        std::thread::sleep(LEAVE_AFTER);
        Ok(())
    }

    /// Opens a stream of server-sent events; an answer that is none is given whole.
    pub fn stream(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        value: &impl Serialize,
    ) -> Result<Events> {
        let body = serde_json::to_vec(value).map_err(error)?;
        let mut all = vec![("content-type", "application/json")];
        all.extend_from_slice(headers);
        let answer = self.begin(Method::POST, path, &all, body.into())?;
        let (status, headers) = (answer.status(), answer.headers().clone());
        let runtime = Arc::clone(&self.runtime);
        Ok(Events { runtime, status, headers, body: answer.into_body(), buf: BytesMut::new() })
    }

    /// Puts faults in force at a stand-in.
    pub fn faults(&self, faults: &Faults) -> Result<()> {
        let answer = self.post("/faults", faults)?;
        if answer.status.is_success() { Ok(()) } else { Err(CallError(answer.body)) }
    }

    /// What a stand-in has seen.
    pub fn record<T: DeserializeOwned>(&self) -> Result<T> {
        self.get("/record")
    }

    fn begin(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body)).map_err(error)?;
        self.wait(async move { client().request(req).await })
    }

    fn wait<T, E: std::error::Error>(
        &self,
        work: impl Future<Output = std::result::Result<T, E>>,
    ) -> Result<T> {
        guarded(&self.runtime, work)
    }
}

fn guarded<T, E: std::error::Error>(
    runtime: &Runtime,
    work: impl Future<Output = std::result::Result<T, E>>,
) -> Result<T> {
    match runtime.block_on(async { tokio::time::timeout(GUARD, work).await }) {
        Ok(outcome) => outcome.map_err(error),
        Err(_) => Err(CallError("no answer within the guard time".into())),
    }
}

/// An answer that comes as server-sent events.
#[derive(Debug)]
pub struct Events {
    runtime: Arc<Runtime>,
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    buf: BytesMut,
}

/// Empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

impl Events {
    /// The data of the next event, or nothing at the end of the answer.
    pub fn next_event(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if !self.more()? {
                return Ok(None);
            }
        }
    }

    /// The data of an event that has come whole.
    fn take_event(&mut self) -> Option<String> {
        let at = self.buf.windows(2).position(|two| two == EVENT_END)?;
        let event = self.buf.split_to(at);
        self.buf.advance(EVENT_END.len());
        let text = String::from_utf8_lossy(&event);
        let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
        Some(data.map(str::trim_start).collect::<Vec<_>>().join("\n"))
    }

    /// The data of the next event if it comes within `time`; nothing where the answer ends or
    /// breaks.
    pub fn next_within(&mut self, time: Duration) -> Option<String> {
        let started = Instant::now();
        loop {
            if let Some(event) = self.take_event() {
                return Some(event);
            }
            let left = time.checked_sub(started.elapsed())?;
            let frame = self.body.frame();
            let wait = async { tokio::time::timeout(left, frame).await };
            let frame = self.runtime.block_on(wait).ok()??.ok()?;
            self.buf.extend_from_slice(frame.data_ref()?);
        }
    }

    /// The rest of the body as text.
    pub fn rest(mut self) -> Result<String> {
        while self.more()? {}
        Ok(String::from_utf8_lossy(&self.buf).into_owned())
    }

    fn more(&mut self) -> Result<bool> {
        let frame = self.body.frame();
        let wait = async { Ok::<_, CallError>(frame.await) };
        let Some(frame) = guarded(&self.runtime, wait)? else {
            return Ok(false);
        };
        if let Some(data) = frame.map_err(error)?.data_ref() {
            self.buf.extend_from_slice(data);
        }
        Ok(true)
    }
}

fn client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector)
}

/// Whether `GET uri` is answered with success.
pub(crate) async fn get_ok(uri: &str) -> bool {
    let Ok(req) = Request::get(uri).body(Full::<Bytes>::default()) else { return false };
    match client().request(req).await {
        Ok(answer) => answer.status().is_success() && answer.into_body().collect().await.is_ok(),
        Err(_) => false,
    }
}
