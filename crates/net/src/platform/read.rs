use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hgw_node::{Event, ReadOutcome};
use hgw_types::{Offset, StreamName};
use hgw_wire::platform::{Batch, Trimmed};
use http::StatusCode;

use super::Platform;
use crate::meter;
use crate::upstreams;

/// Reads a stream from `from` and reports what came.
pub(super) async fn run(cx: Arc<Platform>, stream: StreamName, from: Offset) {
    let outcome = read(&cx, &stream, from).await.unwrap_or(ReadOutcome::Failed);
    meter::read(match outcome {
        ReadOutcome::Records { .. } => "records",
        ReadOutcome::Trimmed { .. } => "trimmed",
        ReadOutcome::Failed => "failed",
    });
    cx.inbox.deliver(Event::Read { stream, from, outcome }).await;
}

async fn read(cx: &Platform, stream: &StreamName, from: Offset) -> Option<ReadOutcome> {
    let (max, wait) = (cx.limits.batch, cx.limits.read_wait);
    let wait_ms = wait.as_millis();
    let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
    let req = upstreams::get(&cx.addr, &path).ok()?;
    let (status, body) = cx.client.call(req, wait + cx.limits.call, cx.limits.answer).await.ok()?;
    if status == StatusCode::GONE {
        let trimmed: Trimmed = upstreams::read_json(&body).ok()?;
        return Some(ReadOutcome::Trimmed { first: trimmed.first });
    }
    if !status.is_success() {
        return None;
    }
    let batch: Batch = upstreams::read_json(&body).ok()?;
    let records: Option<Vec<(Offset, Bytes)>> = batch
        .records
        .into_iter()
        .map(|r| Some((r.offset, STANDARD.decode(r.data).ok()?.into())))
        .collect();
    Some(ReadOutcome::Records { records: records?, next: batch.next })
}
