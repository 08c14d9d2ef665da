//! Where the chunks of an attempt go.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hgw_node::{Event, Sink};
use hgw_wire::peer::{Chunk, RecordedAnswer};

use super::Upstreams;
use crate::attempts::Attempt;
use crate::peers::Link;
use crate::streams::{CallerStream, Pushed};

/// Hands chunks on, and reports progress at a bounded rate.
pub(super) struct Outlet {
    attempt: Arc<Attempt>,
    to: To,
    reported: Option<Instant>,
    period: Duration,
}

enum To {
    Caller(Arc<CallerStream>),
    Peer(Arc<Link>),
    Buffer(Collected),
    /// Nobody is attached: chunks are dropped.
    Nobody,
}

/// A whole answer in the making.
#[derive(Debug, Default)]
struct Collected {
    status: u16,
    headers: Vec<(String, String)>,
    body: BytesMut,
    max: usize,
}

impl Outlet {
    pub(super) fn new(cx: &Upstreams, attempt: &Arc<Attempt>, sink: &Sink) -> Result<Self, String> {
        let to = match sink {
            Sink::Caller => cx.streams.of_attempt(attempt.id).map_or(To::Nobody, To::Caller),
            Sink::Peer(peer) => To::Peer(cx.peers.get(peer).ok_or("the peer has gone")?),
            Sink::Collect => {
                To::Buffer(Collected { max: cx.limits.collected, ..Collected::default() })
            }
        };
        let period = cx.limits.progress;
        Ok(Outlet { attempt: Arc::clone(attempt), to, reported: None, period })
    }

    /// Hands a chunk on, waiting for room; the error says why the attempt cannot go on.
    pub(super) async fn push(&mut self, chunk: Chunk) -> Result<(), String> {
        match &mut self.to {
            To::Nobody => Ok(()),
            To::Caller(stream) => match stream.push_wait(self.attempt.id, chunk).await {
                Pushed::Gap => Err("a piece of the answer is missing".into()),
                Pushed::Taken | Pushed::Detached | Pushed::Full(_) => Ok(()),
            },
            To::Peer(link) => {
                let permit = tokio::select! {
                    permit = self.attempt.credit.acquire() => permit,
                    () = link.closed() => return Err("the peer has gone".into()),
                };
                permit.map_err(|_| "the attempt has ended")?.forget();
                let sent = link.send_chunk(self.attempt.id, chunk).await;
                sent.map_err(|_| "the peer has gone".into())
            }
            To::Buffer(answer) => answer.add(chunk),
        }
    }

    /// Reports progress, unless it was reported a short time ago or control is busy.
    pub(super) fn progress(&mut self, cx: &Upstreams, tokens: usize) {
        if self.reported.is_some_and(|at| at.elapsed() < self.period) {
            return;
        }
        self.reported = Some(Instant::now());
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        cx.inbox.offer(Event::Progress { attempt: self.attempt.id, tokens });
    }

    /// The whole answer, where it was collected.
    pub(super) fn into_answer(self) -> Option<RecordedAnswer> {
        let To::Buffer(answer) = self.to else { return None };
        let body = answer.body.freeze();
        Some(RecordedAnswer { status: answer.status, headers: answer.headers, body })
    }
}

impl Collected {
    fn add(&mut self, chunk: Chunk) -> Result<(), String> {
        match chunk {
            Chunk::Head { status, headers } => {
                self.status = status;
                self.headers = headers;
            }
            Chunk::Body(bytes) => self.body.extend_from_slice(&bytes),
            Chunk::Token { text, .. } => {
                self.status = 200;
                self.body.extend_from_slice(text.as_bytes());
            }
        }
        if self.body.len() > self.max {
            return Err("the answer is larger than is kept".into());
        }
        Ok(())
    }
}
