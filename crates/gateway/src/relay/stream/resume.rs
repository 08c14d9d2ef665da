//! Streams that go on at another engine, after the last complete event that has come.

use std::pin::pin;

use hgw_http1::BodyDecoder;
use tokio::time::Instant;

use crate::relay::attempt::StartedResponse;
use crate::relay::chunk_read::{ChunkRead, ends_early};
use crate::relay::source::Source;
use crate::relay::wait::WaitResult;

use super::{ResponseStream, start_stream};

/// How the search for another engine than the silent one ended.
pub(super) enum SilenceEnd {
    /// The silent engine went on, or its response ended.
    Read(ChunkRead),
    /// Another engine goes on.
    Replaced,
    /// No other engine was found; the silent one is waited for.
    NotReplaced,
}

impl ResponseStream {
    /// Looks for another engine that resumes the stream, while the silent one may go on as well.
    pub(super) async fn wait_beside_replacement(&mut self) -> SilenceEnd {
        self.record_silence();
        let last = self.last_event();
        let may_end = !self.events.has_partial() && !self.lacks_events();
        let Some(conn) = &mut self.conn else {
            return SilenceEnd::Read(WaitResult::Done(Ok(None)));
        };
        self.req.silent_attempts = 1;
        let (read, started) = {
            let chunk = conn.read_chunk(&mut self.body);
            let mut chunk = pin!(self.source.wait_for(self.req.deadline_at, chunk));
            let mut replacement = pin!(start_stream(&mut self.req, Some(last)));
            tokio::select! {
                biased;
                read = &mut chunk => match read {
                    read if ends_early(&read, may_end) => (Some(read), Some(replacement.await)),
                    read => (Some(read), None),
                },
                started = &mut replacement => (None, Some(started)),
            }
        };
        self.req.silent_attempts = 0;
        self.req.count_cancelled_attempt();
        match (read, started.and_then(StartedResponse::resuming)) {
            (read, Some(started)) => {
                if let Some(read) = read {
                    self.record_broken(&read).await;
                }
                self.go_on_at(started, last);
                SilenceEnd::Replaced
            }
            (Some(read), None) => {
                if let (Source::Engine(_), WaitResult::Done(Ok(_))) = (&self.source, &read) {
                    self.req.node.record_reachable(&self.engine);
                }
                SilenceEnd::Read(read)
            }
            (None, None) => SilenceEnd::NotReplaced,
        }
    }

    /// Resumes on another engine after the last complete event, if the retry budget allows it.
    pub(super) async fn retry_and_resume(&mut self) -> bool {
        let req = &mut self.req;
        if !self.is_events || !req.route.kind.may_repeat() || !req.take_retry().await {
            return false;
        }
        self.resume().await
    }

    /// Resumes a response that the engine cut off as it was not read, if the route allows that. It is no
    /// failure: any engine may go on, and no retry is taken from the budget.
    pub(super) async fn resume_unread(&mut self) -> bool {
        let req = &mut self.req;
        if !self.is_events || !req.route.kind.may_repeat() || !req.obtain_attempt().await {
            return false;
        }
        req.tried_engines.retain(|tried| *tried != self.engine);
        self.resume().await
    }

    /// Resumes on another engine; the retry has been taken from the retry budget.
    async fn resume(&mut self) -> bool {
        // Closes the connection, which ends the request at the previous engine.
        self.conn = None;
        let last = self.last_event();
        let started = start_stream(&mut self.req, Some(last)).await;
        let Some(started) = StartedResponse::resuming(started) else { return false };
        self.go_on_at(started, last);
        true
    }

    /// The last complete event that has come.
    fn last_event(&self) -> u64 {
        self.events.last_id().or(self.req.info.last_event).unwrap_or(0)
    }

    /// Takes what follows the event `last` from another engine.
    fn go_on_at(&mut self, started: StartedResponse, last: u64) {
        self.req.log_resumed(&self.engine, &started.engine, last);
        self.events.discard_partial();
        self.held_event = None;
        self.body = BodyDecoder::new(started.head.framing);
        self.engine = started.engine;
        self.version = started.version;
        self.conn = Some(started.conn);
        self.source = started.source;
        (self.read_at, self.is_left_unread) = (Instant::now(), false);
    }
}
