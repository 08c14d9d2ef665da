//! Which path does what.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hgw_events::{Event, emit};
use hgw_node::{Answer, CallerRequest, CallerWork, Failure, FailureCode, Ran};
use http::{Method, Request, StatusCode, request::Parts};
use serde::Serialize;
use xitca_web::body::RequestBody;
use xitca_web::http::RequestExt;

use super::connection::Connection;
use super::head::Head;
use super::open::Open;
use super::reply::{self, Reply, not_run};
use super::{Callers, body, chat, head, plain};
use crate::meter;
use crate::streams::Next;

const TEXT: &str = "text/plain; charset=utf-8";

/// Path under which plain services are called.
const SERVICES: &str = "/svc/";

/// Outcome of answering a request.
pub(super) type Result<T> = std::result::Result<T, Unanswered>;

/// Why a request gets no answer of its own.
#[derive(Debug)]
pub(super) enum Unanswered {
    /// It failed, and its caller is to be told.
    Failed(Failure),
    /// Its caller has gone.
    Gone,
}

impl From<Failure> for Unanswered {
    fn from(failure: Failure) -> Self {
        Unanswered::Failed(failure)
    }
}

/// A request whose head has been read.
pub(super) struct Incoming {
    pub(super) parts: Parts,
    pub(super) head: Head,
    pub(super) connection: Option<Arc<Connection>>,
    body: RequestBody,
}

impl Incoming {
    /// Reads the body.
    pub(super) async fn body(&mut self, cx: &Callers) -> std::result::Result<Bytes, Failure> {
        let body = std::mem::take(&mut self.body);
        body::read(body, &self.parts.headers, &cx.limits).await
    }

    /// The request as the control thread gets it.
    pub(super) fn request(&self, work: CallerWork) -> CallerRequest {
        CallerRequest {
            id: self.head.id.clone(),
            class: self.head.class.clone(),
            deadline: self.head.deadline,
            key: self.head.key.clone(),
            work,
        }
    }
}

/// Answers one request.
pub(super) async fn handle(cx: &Arc<Callers>, req: Request<RequestExt<RequestBody>>) -> Reply {
    let (parts, ext) = req.into_parts();
    let connection = cx.connections.get(ext.socket_addr());
    if let Some(connection) = &connection {
        connection.begin_request();
    }
    let (_, body) = ext.replace_body(());
    let reply = match fixed(cx, &parts) {
        Some(reply) => reply,
        None => {
            let id = cx.request_id(&parts.headers);
            let name = id.to_string();
            let answered = match head::read(id, &parts.headers) {
                Ok(head) => {
                    dispatch(cx, Incoming { parts, head, connection: connection.clone(), body })
                        .await
                }
                Err(failure) => Err(failure.into()),
            };
            answered.unwrap_or_else(|unanswered| match unanswered {
                Unanswered::Failed(failure) => {
                    count(cx, &failure, &name);
                    reply::error(&failure, &name)
                }
                // Nobody reads it; the connection ends with it.
                Unanswered::Gone => reply::error(&unexpected(), &name),
            })
        }
    };
    if let Some(connection) = connection {
        connection.writes();
    }
    reply
}

/// Counts a failed request by whether it ran, and logs it unless it was refused at once: under a
/// burst refusals come by the thousand, and the caller is told all of it.
pub(super) fn count(cx: &Callers, failure: &Failure, request_id: &str) {
    meter::request(match failure.ran {
        Ran::NotRun => "not_run",
        Ran::MayHaveRun => "may_have_run",
    });
    let (code, ran) = (failure.code, failure.ran);
    if ran == Ran::MayHaveRun || code == FailureCode::UpstreamFailed {
        let fields: [(&str, &dyn Display); 4] =
            [("node", &cx.node), ("request", &request_id), ("code", &code), ("ran", &ran)];
        emit(Event::RequestFailed, &fields);
    }
}

/// Answers of the process itself.
fn fixed(cx: &Callers, parts: &Parts) -> Option<Reply> {
    let ok = |body: String| reply::whole(StatusCode::OK, TEXT, body, "");
    let reply = match parts.uri.path() {
        "/livez" => ok("live\n".into()),
        "/readyz" if cx.ready.load(Ordering::Acquire) && !cx.is_ending() => ok("ready\n".into()),
        "/readyz" => reply::whole(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n", ""),
        "/metrics" => match meter::recorder() {
            Some(recorder) => ok(recorder.render()),
            None => reply::whole(StatusCode::NOT_FOUND, TEXT, "no recorder\n", ""),
        },
        _ => return None,
    };
    if parts.method == Method::GET || parts.method == Method::HEAD {
        Some(reply)
    } else {
        Some(reply::wrong_method("GET", ""))
    }
}

async fn dispatch(cx: &Arc<Callers>, incoming: Incoming) -> Result<Reply> {
    let path = incoming.parts.uri.path().to_string();
    let id = incoming.head.id.to_string();
    match path.as_str() {
        "/v1/chat/completions" if incoming.parts.method == Method::POST => {
            chat::complete(cx, incoming).await
        }
        "/v1/chat/completions" => Ok(reply::wrong_method("POST", &id)),
        "/v1/models" if incoming.parts.method == Method::GET => models(cx, incoming).await,
        "/v1/models" => Ok(reply::wrong_method("GET", &id)),
        path => match path.strip_prefix(SERVICES) {
            Some(rest) => plain::call(cx, incoming, rest).await,
            None => Err(not_run(FailureCode::NotFound, format!("no such path: {path}")).into()),
        },
    }
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

async fn models(cx: &Arc<Callers>, incoming: Incoming) -> Result<Reply> {
    let request = incoming.request(CallerWork::Models);
    let open = Open::new(cx, incoming.connection, request)?;
    match open.next().await? {
        Next::End(Answer::Models(names)) => {
            let entry = |id| ModelEntry { id, object: "model", owned_by: "hibiscusgw" };
            let list = ModelList { object: "list", data: names.into_iter().map(entry).collect() };
            let body = serde_json::to_vec(&list).expect("a list of names can be written");
            meter::request("whole");
            Ok(reply::json(StatusCode::OK, body, &open.request_id))
        }
        Next::End(Answer::Failed(failure)) => Err(failure.into()),
        _ => Err(unexpected().into()),
    }
}

/// The answer does not fit the request: an invariant of the state machine is broken.
pub(super) fn unexpected() -> Failure {
    let ran = Ran::MayHaveRun;
    let message = "the answer does not fit the request".into();
    Failure { code: FailureCode::UpstreamFailed, ran, retry_after: None, message }
}
