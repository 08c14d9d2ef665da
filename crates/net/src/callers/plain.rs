//! Calls of plain services, under `/svc/{service}/`.

use std::io;
use std::sync::Arc;

use futures_util::stream;
use hgw_node::{Answer, CallerWork, FailureCode};
use hgw_wire::peer::PlainWork;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use xitca_web::body::{ResponseBody, StreamDataBody};

use super::open::Open;
use super::reply::{self, Reply, not_run};
use super::route::{Incoming, Result, unexpected};
use super::watched::Watched;
use super::{Callers, head};
use crate::meter;
use crate::streams::Next;
use crate::upstreams::is_end_to_end;

/// Calls a service; `rest` is the path behind `/svc/`.
pub(super) async fn call(cx: &Arc<Callers>, mut incoming: Incoming, rest: &str) -> Result<Reply> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service
        .parse()
        .map_err(|_| not_run(FailureCode::NotFound, format!("no such service: {service}")))?;
    let query = incoming.parts.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let body = incoming.body(cx).await?;
    let work = PlainWork {
        method: incoming.parts.method.to_string(),
        path: format!("/{path}{query}"),
        headers: forwarded(&incoming.parts.headers),
        body,
    };
    let request = incoming.request(CallerWork::Plain { service, work });
    let open = Open::new(cx, incoming.connection, request)?;
    match open.next().await? {
        Next::Head(status, headers) if has_no_body(status) => {
            without_body(open, status, &headers).await
        }
        Next::Head(status, headers) => streamed(open, status, &headers),
        Next::End(Answer::Recorded(answer)) => {
            meter::request("whole");
            let empty = has_no_body(answer.status);
            let body = if empty { ResponseBody::none() } else { ResponseBody::bytes(answer.body) };
            with_head(answer.status, &answer.headers, body, &open.request_id)
        }
        Next::End(Answer::Failed(failure)) => Err(failure.into()),
        _ => Err(unexpected().into()),
    }
}

/// Headers of the caller that go on to the upstream.
fn forwarded(headers: &HeaderMap) -> Vec<(String, String)> {
    let goes_on = |name: &HeaderName| {
        is_end_to_end(name) && !head::OWN.contains(&name.as_str()) && name != "expect"
    };
    headers
        .iter()
        .filter(|(name, _)| goes_on(name))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect()
}

/// Whether answers with this status end with their head.
fn has_no_body(status: u16) -> bool {
    matches!(status, 204 | 304)
}

/// An answer that ends with its head. The server would write the frame of an empty streamed body,
/// which the caller would take for the start of the next answer.
async fn without_body(open: Open, status: u16, headers: &[(String, String)]) -> Result<Reply> {
    loop {
        match open.next().await? {
            Next::Body(_) => {}
            Next::End(Answer::Whole) => break,
            Next::End(Answer::Failed(failure)) => return Err(failure.into()),
            _ => return Err(unexpected().into()),
        }
    }
    meter::request("whole");
    with_head(status, headers, ResponseBody::none(), &open.request_id)
}

/// An answer whose body is handed on as it comes.
///
/// Where it breaks off, the body ends with an error, which closes the connection without the last
/// chunk: the caller sees that the answer is cut and cannot take it for a whole one.
fn streamed(open: Open, status: u16, headers: &[(String, String)]) -> Result<Reply> {
    let id = open.request_id.clone();
    let connection = open.connection();
    let pieces = stream::unfold(Some(open), |open| async move {
        let open = open?;
        match open.next().await {
            Ok(Next::Body(bytes)) => Some((Ok(bytes), Some(open))),
            Ok(Next::End(Answer::Whole)) => {
                meter::request("whole");
                None
            }
            Ok(Next::End(Answer::Failed(failure))) => {
                open.count(&failure);
                Some((Err(io::Error::other(failure.message)), None))
            }
            Ok(_) | Err(_) => Some((Err(io::Error::other("the answer broke off")), None)),
        }
    });
    let body = ResponseBody::boxed(StreamDataBody::new(Watched::new(connection, pieces)));
    with_head(status, headers, body, &id)
}

fn with_head(
    status: u16,
    headers: &[(String, String)],
    body: ResponseBody,
    request_id: &str,
) -> Result<Reply> {
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(status).map_err(|_| unexpected())?;
    for (name, value) in headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().append(name, value);
        }
    }
    reply::add_request_id(reply.headers_mut(), request_id);
    Ok(reply)
}
