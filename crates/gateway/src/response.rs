//! Responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_core::Stream;
use hgw_direct::{EngineId, Refusal, VersionKey};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};

/// A response body that ended early; its connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("response body ended early")]
pub(crate) struct BodyAborted;

type PieceStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>>>>;

pub(crate) enum ResponseBody {
    Full(Option<Bytes>),
    Stream(PieceStream),
}

/// What a response to a caller is, for a node that forwarded the request. Kept with the response as an
/// extension.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    /// The response of an engine, after so many attempts that may have been executed.
    Engine { engine: EngineId, version: VersionKey, runs: u32 },
    /// The request has not run.
    Refused(Refusal),
    /// No engine has completed it, after so many attempts that may have been executed.
    Failed { runs: u32 },
}

pub(crate) type CallerResponse = Response<ResponseBody>;

/// Result of a service function: failures are responses too.
pub(crate) type ResponseResult = Result<CallerResponse, Infallible>;

impl ResponseBody {
    pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
        let bytes = bytes.into();
        ResponseBody::Full((!bytes.is_empty()).then_some(bytes))
    }
}

/// Whether a caller takes this status for a promise that its request has not run and will not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Builds a JSON error response of this node's own.
pub(crate) fn json_error(status: StatusCode, message: &str) -> CallerResponse {
    let mut response = Response::new(ResponseBody::full(format!("{{\"error\":\"{message}\"}}")));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Stream(pieces) => {
                pieces.as_mut().poll_next(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
