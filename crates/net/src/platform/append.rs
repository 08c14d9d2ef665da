use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hgw_node::{Event, PlatformError};
use hgw_types::{Offset, RecordId, StreamName};
use hgw_wire::platform::Appended;
use http::{Method, Request, StatusCode};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::Platform;
use crate::meter;
use crate::upstreams::{self, CallError};

/// A record on its way to the log.
#[derive(Debug)]
pub(super) struct Append {
    id: RecordId,
    data: Bytes,
    since: Instant,
}

impl Append {
    pub(super) fn new(id: RecordId, data: Bytes) -> Self {
        Append { id, data, since: Instant::now() }
    }
}

/// Starts the task that appends to one stream.
pub(super) fn writer(cx: Arc<Platform>, stream: StreamName) -> mpsc::Sender<Append> {
    let (tx, mut rx) = mpsc::channel::<Append>(cx.limits.waiting);
    let lifecycle = cx.lifecycle.clone();
    lifecycle.spawn(async move {
        while let Some(append) = rx.recv().await {
            let began = Instant::now();
            let outcome = run(&cx, &stream, &append).await;
            let is_silent = began.elapsed() >= cx.limits.call;
            let unknown = outcome == Err(PlatformError::Unknown);
            report(&cx, &stream, append.id, outcome).await;
            if is_silent && unknown {
                give_back(&cx, &stream, &mut rx).await;
            }
        }
    });
    tx
}

/// Gives back unsent what waited behind a call that the log left unanswered: each would take as long, and its maker has to
/// decide anew.
async fn give_back(cx: &Platform, stream: &StreamName, rx: &mut mpsc::Receiver<Append>) {
    for _ in 0..rx.len() {
        let Ok(append) = rx.try_recv() else { return };
        report(cx, stream, append.id, Err(PlatformError::NotSent)).await;
    }
}

/// Hands a record to its stream's task, or reports at once that it was not sent.
pub(super) async fn queue(
    cx: &Platform,
    stream: &StreamName,
    tx: &mpsc::Sender<Append>,
    append: Append,
) {
    if let Err(TrySendError::Full(append) | TrySendError::Closed(append)) = tx.try_send(append) {
        meter::ring_full("append");
        report(cx, stream, append.id, Err(PlatformError::NotSent)).await;
    }
}

async fn run(cx: &Platform, stream: &StreamName, append: &Append) -> Result<Offset, PlatformError> {
    // Calls ahead may each have taken most of the time limit.
    if append.since.elapsed() > cx.limits.call {
        return Err(PlatformError::NotSent);
    }
    let uri = format!("http://{}/streams/{stream}/records", cx.addr);
    let builder = Request::builder().method(Method::POST).uri(uri);
    let req = upstreams::build(builder, append.data.clone()).map_err(|_| PlatformError::NotSent)?;
    match cx.client.call(req, cx.limits.call, cx.limits.answer).await {
        Ok((status, body)) if status.is_success() => {
            let appended = upstreams::read_json::<Appended>(&body);
            appended.map(|a| a.offset).map_err(|_| PlatformError::Unknown)
        }
        Ok((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
            Err(PlatformError::Refused)
        }
        Err(CallError::NotSent(_)) => Err(PlatformError::NotSent),
        Ok(_) | Err(_) => Err(PlatformError::Unknown),
    }
}

async fn report(
    cx: &Platform,
    stream: &StreamName,
    id: RecordId,
    outcome: Result<Offset, PlatformError>,
) {
    meter::append(match outcome {
        Ok(_) => "done",
        Err(PlatformError::Refused) => "refused",
        Err(PlatformError::NotSent) => "not_sent",
        Err(PlatformError::Unknown) => "unknown",
    });
    cx.inbox.deliver(Event::Appended { stream: stream.clone(), id, outcome }).await;
}
