//! Building answers.

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};

use super::{Lost, Piece};

/// Body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Lost>;

/// An answer with `value` as JSON.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    with_status(StatusCode::OK, value)
}

/// An answer that says what is wrong.
pub(crate) fn failure(status: StatusCode, error: &str) -> Response<Body> {
    with_status(status, &serde_json::json!({ "error": error }))
}

/// An answer with a status and `value` as JSON.
pub(crate) fn with_status(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    // Every type answered here has string keys and no failing serializer.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Full::from(body).map_err(|e| match e {}).boxed_unsync());
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// A body read as JSON, or the answer that says what is wrong with it.
pub(crate) fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(body)
        .map_err(|e| Box::new(failure(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// An answer of server-sent events.
pub(crate) fn stream(mut rx: UnboundedReceiver<Piece>) -> Response<Body> {
    stream_of(StreamBody::new(poll_fn(move |cx| rx.poll_recv(cx))).boxed_unsync())
}

/// The same, of pieces that are made only as fast as they are written.
pub(crate) fn bounded_stream(mut rx: Receiver<Piece>) -> Response<Body> {
    stream_of(StreamBody::new(poll_fn(move |cx| rx.poll_recv(cx))).boxed_unsync())
}

fn stream_of(body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

/// The value of `name` in the query of `uri`, if it can be read as one.
pub(crate) fn query<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
