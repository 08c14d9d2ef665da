//! Requests and their encoding.

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, Method};

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    /// Path and query, sent verbatim.
    pub target: String,
    /// All headers except `Content-Length`, which is derived from the body.
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Request {
    pub fn get(target: impl Into<String>, host: &str) -> Request {
        Request::new(Method::GET, target, host, Bytes::new())
    }

    pub fn post(target: impl Into<String>, host: &str, body: Bytes) -> Request {
        Request::new(Method::POST, target, host, body)
    }

    fn new(method: Method, target: impl Into<String>, host: &str, body: Bytes) -> Request {
        let mut headers = HeaderMap::new();
        if let Ok(host) = host.parse() {
            headers.insert(http::header::HOST, host);
        }
        Request { method, target: target.into(), headers, body }
    }

    pub(crate) fn encode(&self) -> BytesMut {
        let mut buf = BytesMut::with_capacity(512 + self.body.len());
        buf.put_slice(self.method.as_str().as_bytes());
        buf.put_u8(b' ');
        buf.put_slice(self.target.as_bytes());
        buf.put_slice(b" HTTP/1.1\r\n");
        for (name, value) in &self.headers {
            buf.put_slice(name.as_str().as_bytes());
            buf.put_slice(b": ");
            buf.put_slice(value.as_bytes());
            buf.put_slice(b"\r\n");
        }
        let may_have_body = !matches!(self.method, Method::GET | Method::HEAD | Method::DELETE);
        if may_have_body || !self.body.is_empty() {
            buf.put_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        }
        buf.put_slice(b"\r\n");
        buf.put_slice(&self.body);
        buf
    }
}
