//! Bodies of requests, bounded in size and time.

use bytes::{Bytes, BytesMut};
use hgw_node::{Failure, FailureCode};
use http::{HeaderMap, header};
use xitca_web::body::{BodyExt, RequestBody};

use super::reply::not_run;
use crate::CallerLimits;

/// Reads a whole body.
pub(super) async fn read(
    body: RequestBody,
    headers: &HeaderMap,
    limits: &CallerLimits,
) -> Result<Bytes, Failure> {
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if announced.is_some_and(|n: usize| n > limits.body) {
        return Err(too_large(limits));
    }
    let whole = tokio::time::timeout(limits.body_timeout, collect(body, limits)).await;
    whole.unwrap_or_else(|_| {
        let message = format!("the body did not come within {:?}", limits.body_timeout);
        Err(not_run(FailureCode::BadRequest, message))
    })
}

async fn collect(body: RequestBody, limits: &CallerLimits) -> Result<Bytes, Failure> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|e| not_run(FailureCode::BadRequest, format!("body: {e}")))?;
        if buf.len() + data.len() > limits.body {
            return Err(too_large(limits));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

fn too_large(limits: &CallerLimits) -> Failure {
    not_run(FailureCode::TooLarge, format!("the body is larger than {} bytes", limits.body))
}
