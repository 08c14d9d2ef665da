//! Chat completions, whole or as server-sent events.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use hgw_node::{Answer, CallerWork, Failure, FailureCode};
use hgw_types::{AdapterId, ModelId, Tokens};
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use xitca_web::body::{ResponseBody, StreamDataBody};

use super::Callers;
use super::open::Open;
use super::reply::{self, Reply, not_run};
use super::route::{Incoming, Result, unexpected};
use super::watched::Watched;
use crate::meter;
use crate::streams::Next;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    text: Option<String>,
}

/// What all parts of one answer say alike.
struct Completion {
    id: String,
    model: String,
    created: u64,
    max_tokens: u32,
}

/// Answers a chat completion.
pub(super) async fn complete(cx: &Arc<Callers>, mut incoming: Incoming) -> Result<Reply> {
    let body = incoming.body(cx).await?;
    let req: ChatRequest = serde_json::from_slice(&body)
        .map_err(|e| not_run(FailureCode::BadRequest, format!("body: {e}")))?;
    let (model, adapter) = split_model(&req.model)?;
    let max_tokens = max_tokens(cx, &req)?;
    let prompt = join(&req.messages)?.into();
    let completion = Completion {
        id: format!("chatcmpl-{}", incoming.head.id),
        model: req.model,
        created: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs()),
        max_tokens,
    };
    let work = CallerWork::Chat { model, adapter, prompt, max_tokens: Tokens(max_tokens) };
    let request = incoming.request(work);
    let open = Open::new(cx, incoming.connection, request)?;
    if req.stream { streamed(open, completion).await } else { whole(open, &completion).await }
}

/// Reads `model` or `model:adapter`.
fn split_model(name: &str) -> Result<(ModelId, Option<AdapterId>)> {
    let bad = |e: hgw_types::ParseError| not_run(FailureCode::BadRequest, format!("model: {e}"));
    match name.split_once(':') {
        None => Ok((name.parse().map_err(bad)?, None)),
        Some((model, adapter)) => {
            Ok((model.parse().map_err(bad)?, Some(adapter.parse().map_err(bad)?)))
        }
    }
}

fn max_tokens(cx: &Callers, req: &ChatRequest) -> Result<u32> {
    let asked = req.max_completion_tokens.or(req.max_tokens);
    let wanted = asked.unwrap_or(cx.limits.default_tokens);
    if (1..=cx.limits.max_tokens).contains(&wanted) {
        return Ok(wanted);
    }
    let message = format!("max_tokens: {wanted} is not within 1 to {}", cx.limits.max_tokens);
    Err(not_run(FailureCode::BadRequest, message).into())
}

/// Joins the messages to one text, a line for each: `role: content`.
fn join(messages: &[ChatMessage]) -> Result<String> {
    if messages.is_empty() {
        return Err(not_run(FailureCode::BadRequest, "messages: at least one is needed").into());
    }
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            Some(Content::Text(text)) => prompt.push_str(text),
            Some(Content::Parts(parts)) => {
                prompt.extend(parts.iter().filter_map(|part| part.text.as_deref()));
            }
            None => {}
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

#[derive(Debug, Serialize)]
struct WholeBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [WholeChoice; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct WholeChoice {
    index: u32,
    message: AssistantMessage,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct AssistantMessage {
    role: &'static str,
    content: String,
}

/// Tokens of the answer; engines do not say how many the prompt had.
#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Collects the answer and sends it at once.
async fn whole(open: Open, completion: &Completion) -> Result<Reply> {
    let mut content = String::new();
    let mut count = 0;
    loop {
        match open.next().await? {
            Next::Tokens(tokens) => {
                count += tokens.len() as u32;
                content.extend(tokens.iter().map(|t| &**t));
            }
            Next::End(Answer::Whole) => break,
            Next::End(Answer::Failed(failure)) => return Err(failure.into()),
            _ => return Err(unexpected().into()),
        }
    }
    meter::request("whole");
    let message = AssistantMessage { role: "assistant", content };
    let body = WholeBody {
        id: &completion.id,
        object: "chat.completion",
        created: completion.created,
        model: &completion.model,
        choices: [WholeChoice { index: 0, message, finish_reason: completion.reason(count) }],
        usage: Usage { completion_tokens: count },
    };
    let body = serde_json::to_vec(&body).expect("a completion can be written");
    Ok(reply::json(StatusCode::OK, body, &open.request_id))
}

/// Sends tokens as they come. The head waits for the first one, so that a failure before it still
/// gets its own status.
async fn streamed(open: Open, completion: Completion) -> Result<Reply> {
    let first = match open.next().await? {
        Next::End(Answer::Failed(failure)) => return Err(failure.into()),
        next => next,
    };
    let id = open.request_id.clone();
    let connection = open.connection();
    let events = EventStream { open, head: completion.event_head(), completion, count: 0 };
    let body = stream::unfold(Some((events, Some(first))), |state| async move {
        let (mut events, first) = state?;
        let next = match first {
            Some(next) => Ok(next),
            None => events.open.next().await,
        };
        let (bytes, over) = events.write(next);
        Some((Ok::<Bytes, Infallible>(bytes), (!over).then_some((events, None))))
    });
    let mut res =
        Response::new(ResponseBody::boxed(StreamDataBody::new(Watched::new(connection, body))));
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply::add_request_id(headers, &id);
    Ok(res)
}

/// Writes the events of one answer.
struct EventStream {
    open: Open,
    completion: Completion,
    /// What every event starts with.
    head: String,
    count: u32,
}

impl EventStream {
    /// The bytes for what came, and whether they are the last.
    ///
    /// A failure in the middle is an event of its own, and the stream then ends without `[DONE]`.
    fn write(&mut self, next: Result<Next>) -> (Bytes, bool) {
        let mut buf = BytesMut::new();
        let over = match next {
            Ok(Next::Tokens(tokens)) => {
                self.count += tokens.len() as u32;
                tokens.iter().for_each(|token| self.delta(&mut buf, token));
                false
            }
            Ok(Next::End(Answer::Whole)) => {
                meter::request("whole");
                self.last(&mut buf);
                true
            }
            Ok(Next::End(Answer::Failed(failure))) => {
                self.failed(&mut buf, &failure);
                true
            }
            Ok(_) => {
                self.failed(&mut buf, &unexpected());
                true
            }
            Err(_) => true,
        };
        (buf.freeze(), over)
    }

    fn delta(&self, buf: &mut BytesMut, token: &str) {
        let text = serde_json::to_string(token).expect("a text can be written");
        let head = &self.head;
        write!(buf, "{head}{{\"content\":{text}}},\"finish_reason\":null}}]}}\n\n")
            .expect("a buffer grows");
    }

    fn last(&self, buf: &mut BytesMut) {
        let (head, reason) = (&self.head, self.completion.reason(self.count));
        write!(buf, "{head}{{}},\"finish_reason\":\"{reason}\"}}]}}\n\ndata: [DONE]\n\n")
            .expect("a buffer grows");
    }

    fn failed(&self, buf: &mut BytesMut, failure: &Failure) {
        self.open.count(failure);
        buf.extend_from_slice(b"data: ");
        buf.extend_from_slice(&reply::error_json(failure, &self.open.request_id));
        buf.extend_from_slice(b"\n\n");
    }
}

impl Completion {
    fn reason(&self, count: u32) -> &'static str {
        if count >= self.max_tokens { "length" } else { "stop" }
    }

    /// What every event starts with, up to the delta.
    fn event_head(&self) -> String {
        let id = serde_json::to_string(&self.id).expect("a text can be written");
        let model = serde_json::to_string(&self.model).expect("a text can be written");
        let created = self.created;
        format!(
            "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"created\":{created},\
             \"model\":{model},\"choices\":[{{\"index\":0,\"delta\":"
        )
    }
}
