//! Responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_core::Stream;
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};

/// A response body that ended early; its connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("response body ended early")]
pub(crate) struct BrokenOff;

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>;

pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Pieces(Pieces),
}

pub(crate) type Answer = Response<AnswerBody>;

/// Result of a service function: failures are responses too.
pub(crate) type Answered = Result<Answer, Infallible>;

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        let bytes = bytes.into();
        AnswerBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

/// Builds a JSON error response of this node's own.
pub(crate) fn own(status: StatusCode, message: &str) -> Answer {
    let mut response = Response::new(AnswerBody::whole(format!("{{\"error\":\"{message}\"}}")));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Pieces(pieces) => {
                pieces.as_mut().poll_next(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}
