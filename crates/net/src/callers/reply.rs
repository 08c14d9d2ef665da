//! Answers to callers that are whole at once, errors among them.

use std::time::Duration;

use bytes::Bytes;
use hgw_node::{Failure, FailureCode, Ran};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use xitca_web::body::ResponseBody;

/// Header with the request id.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

pub(super) type Reply = Response<ResponseBody>;

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    code: String,
    ran: String,
    message: &'a str,
    request_id: &'a str,
    retry_after_ms: Option<u64>,
}

/// Builds a failure of a request that did not run.
pub(super) fn not_run(code: FailureCode, message: impl Into<String>) -> Failure {
    Failure { code, ran: Ran::NotRun, retry_after: None, message: message.into() }
}

/// The body that tells a failure.
pub(super) fn error_json(failure: &Failure, request_id: &str) -> Vec<u8> {
    let error = ErrorDetail {
        code: failure.code.to_string(),
        ran: failure.ran.to_string(),
        message: &failure.message,
        request_id,
        retry_after_ms: failure.retry_after.map(|d| d.as_millis() as u64),
    };
    serde_json::to_vec(&ErrorBody { error }).expect("an error body can be written")
}

/// The whole answer that tells a failure.
pub(super) fn error(failure: &Failure, request_id: &str) -> Reply {
    let mut reply = json(status(failure), error_json(failure, request_id), request_id);
    if let Some(after) = failure.retry_after {
        let seconds = HeaderValue::from(whole_seconds(after));
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}

/// The same failure as an answer to a method that the path does not have.
pub(super) fn wrong_method(allowed: &'static str, request_id: &str) -> Reply {
    let failure = not_run(FailureCode::BadRequest, format!("only {allowed} is allowed here"));
    let mut reply = error(&failure, request_id);
    *reply.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    reply.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
    reply
}

/// A whole answer in JSON.
pub(super) fn json(status: StatusCode, body: impl Into<Bytes>, request_id: &str) -> Reply {
    whole(status, "application/json", body, request_id)
}

/// A whole answer.
pub(super) fn whole(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
    request_id: &str,
) -> Reply {
    let mut reply = Response::new(ResponseBody::bytes(body.into()));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    add_request_id(headers, request_id);
    reply
}

/// Adds the request id, if there is one.
pub(super) fn add_request_id(headers: &mut http::HeaderMap, request_id: &str) {
    if let (false, Ok(value)) = (request_id.is_empty(), HeaderValue::try_from(request_id)) {
        headers.insert(REQUEST_ID, value);
    }
}

fn status(failure: &Failure) -> StatusCode {
    match (failure.code, failure.ran) {
        (FailureCode::BadRequest, _) => StatusCode::BAD_REQUEST,
        (FailureCode::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (FailureCode::NotFound, _) => StatusCode::NOT_FOUND,
        (FailureCode::KeyReused, _) => StatusCode::UNPROCESSABLE_ENTITY,
        (FailureCode::TooLate, Ran::MayHaveRun) => StatusCode::GATEWAY_TIMEOUT,
        (FailureCode::Overloaded, _) => StatusCode::TOO_MANY_REQUESTS,
        (FailureCode::UpstreamFailed, _) => StatusCode::BAD_GATEWAY,
        (FailureCode::TooLate | FailureCode::Unavailable | FailureCode::Stopping, _) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Seconds for `Retry-After`, which has no fractions: rounded up, so that nobody comes too early.
fn whole_seconds(d: Duration) -> u64 {
    d.as_millis().div_ceil(1000) as u64
}
