//! Responses that are streamed event by event.

mod resume;

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use hgw_direct::{AttemptOutcome, EngineId, SMALL_BODY_BYTES, VersionKey};
use hgw_http1::{BodyDecoder, Conn, Error, Framing, Limit, Part};
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use tokio::time::Instant;

use crate::held_bytes::Reservation;
use crate::meter;
use crate::response::{BodyAborted, CallerResponse, ResponseBody};

use super::attempt::{StartedResponse, is_event_stream};
use super::chunk_read::ChunkRead;
use super::engine_response::is_engine_failure;
use super::event_buffer::{EventBuffer, count_events};
use super::event_timing::EventTiming;
use super::read_ahead;
use super::request::RelayedRequest;
use super::silence::Awaited;
use super::source::Source;
use super::start::{self, Failure, NotStarted};
use super::wait::WaitResult;

use resume::SilenceEnd;

/// Longest gap between two events from an engine that still responds on other connections, as a
/// multiple of the route's maximum gap.
const HUNG_AFTER_GAPS: u32 = 6;

/// The same for a route without a maximum gap.
const HUNG_AFTER_DEFAULT: Duration = Duration::from_millis(1_000);

/// Time after which an engine may have cut off a response that was not read meanwhile: engines wait for some seconds.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(1);

/// Makes attempts until a response begins.
pub(super) async fn start(req: &mut RelayedRequest) -> Result<StartedResponse, NotStarted> {
    start_stream(req, None).await
}

/// The response to the caller, which streams the engine's.
pub(super) fn respond(req: RelayedRequest, started: StartedResponse) -> CallerResponse {
    let mut response = Response::new(ResponseBody::Full(None));
    *response.status_mut() = started.head.status;
    *response.headers_mut() = req.node.protocols.upstreams.response_headers(&started.head);
    response.headers_mut().remove(CONTENT_LENGTH);
    response.extensions_mut().insert(req.outcome_of(&started.engine, started.version));
    let reads_ahead = req.node.settings.borrow().features.read_ahead;
    let stream = ResponseStream::new(req, started);
    *response.body_mut() = if reads_ahead {
        read_ahead::start(stream)
    } else {
        ResponseBody::Stream(Box::pin(unfold(stream, ResponseStream::next_piece)))
    };
    response
}

/// Makes attempts until a response begins that is no failure of an engine, as far as retries are left; a
/// stream resumes after the event `last`.
async fn start_stream(
    req: &mut RelayedRequest,
    last: Option<u64>,
) -> Result<StartedResponse, NotStarted> {
    let mut failure = None;
    loop {
        let started = start::start(req, last, failure).await?;
        let is_failure = is_engine_failure(started.head.status);
        req.record_response(&started.engine, is_failure);
        if !is_failure && (last.is_none() || started.head.status == StatusCode::OK) {
            return Ok(started);
        }
        started.source.record_outcome(AttemptOutcome::Failed);
        // A stream that has begun elsewhere is no request that fails everywhere.
        let retries = req.route.kind.may_repeat()
            && match last {
                None => req.take_second_attempt(&started.engine).await,
                Some(_) => req.take_retry().await,
            };
        if !retries {
            return Ok(started);
        }
        failure = Some(Failure::Reason("the engine failed"));
    }
}

/// A response that is being streamed.
pub(super) struct ResponseStream {
    pub(super) req: RelayedRequest,
    engine: EngineId,
    version: VersionKey,
    /// `None` once the response is complete, and between two engines.
    conn: Option<Conn>,
    body: BodyDecoder,
    events: EventBuffer,
    /// Room for a large event that is not complete.
    held_event: Option<Reservation>,
    /// Whether the body consists of events; an error body is passed on unchanged.
    is_events: bool,
    source: Source,
    is_finished: bool,
    timing: EventTiming,
    /// When the last read from the engine ended.
    read_at: Instant,
    /// Whether the response was left unread for so long that the engine may cut it off.
    is_left_unread: bool,
    /// Whether reading has waited for room, so that its pauses are not the engine's.
    is_held_up: bool,
}

impl ResponseStream {
    fn new(req: RelayedRequest, started: StartedResponse) -> ResponseStream {
        let StartedResponse { engine, version, conn, head, source } = started;
        let is_events = is_event_stream(&head);
        let body = BodyDecoder::new(head.framing);
        let events = EventBuffer::default();
        ResponseStream {
            req,
            engine,
            version,
            conn: Some(conn),
            body,
            events,
            held_event: None,
            is_events,
            source,
            is_finished: false,
            timing: EventTiming::start(),
            read_at: Instant::now(),
            is_left_unread: false,
            is_held_up: false,
        }
    }

    /// Reads the next piece for the caller.
    pub(super) async fn next_piece(
        mut self,
    ) -> Option<(Result<Bytes, BodyAborted>, ResponseStream)> {
        if self.is_finished {
            return None;
        }
        let mut waited_since = Instant::now();
        let mut next_read = None;
        loop {
            self.is_left_unread |= self.read_at.elapsed() >= MIN_UNREAD_TIME;
            let read = match next_read.take() {
                Some(read) => read,
                None => self.read_chunk().await,
            };
            self.read_at = Instant::now();
            match read {
                WaitResult::Done(Ok(Some(bytes))) => {
                    self.req.record_progress(&self.source);
                    let ready = match self.take_ready(bytes) {
                        Ok(ready) => ready,
                        Err(e) => {
                            next_read = Some(WaitResult::Done(Err(e)));
                            continue;
                        }
                    };
                    if let Some(bytes) = ready {
                        self.record_events(&bytes, waited_since);
                        self.timing.record_piece();
                        self.record_output();
                        if self.timing.pieces == 1 {
                            meter::first_byte(&self.req.route, self.req.received_at.elapsed());
                            if self.is_events {
                                self.req.record_first_event(&self.engine, self.version);
                            }
                        }
                        return Some((Ok(bytes), self));
                    }
                }
                WaitResult::Done(Ok(None))
                    if !self.events.has_partial() && !self.lacks_events() =>
                {
                    self.finish();
                    let line_ends = self.events.take_line_ends();
                    return line_ends.map(|bytes| (Ok(bytes), self));
                }
                WaitResult::TimedOut => return Some(self.abort()),
                WaitResult::Stalled => {
                    match self.wait_beside_replacement().await {
                        SilenceEnd::Read(read) => next_read = Some(read),
                        SilenceEnd::Replaced => waited_since = Instant::now(),
                        SilenceEnd::NotReplaced => {}
                    }
                    self.read_at = Instant::now();
                }
                ended @ WaitResult::Done(Ok(None) | Err(_)) if self.may_be_cut_unread(&ended) => {
                    meter::cut_unread();
                    if !self.resume_unread().await {
                        return Some(self.abort());
                    }
                }
                broken @ (WaitResult::EngineRestarted | WaitResult::Done(Ok(None) | Err(_))) => {
                    // The engine may send until its connection is closed.
                    self.conn = None;
                    self.record_broken(&broken).await;
                    if !self.retry_and_resume().await {
                        return Some(self.abort());
                    }
                }
            }
        }
    }

    /// Takes in bytes of the body; returns what is ready for the caller.
    fn take_ready(&mut self, bytes: Bytes) -> hgw_http1::Result<Option<Bytes>> {
        if !self.is_events {
            return Ok(Some(bytes));
        }
        let ready = self.events.push(bytes)?;
        self.hold_partial_event()?;
        Ok(ready)
    }

    /// Takes room for a large event that is not complete.
    fn hold_partial_event(&mut self) -> hgw_http1::Result<()> {
        let (node, bytes) = (&self.req.node, self.events.partial_bytes());
        if bytes <= SMALL_BODY_BYTES || !node.settings.borrow().features.read_ahead {
            self.held_event = None;
            return Ok(());
        }
        let memory = &node.held_memory;
        let held = self.held_event.get_or_insert_with(|| Reservation::empty(memory));
        if held.try_extend(memory, node.read_ahead_bound(), bytes) {
            return Ok(());
        }
        Err(Error::TooLarge { part: Part::Event, limit: Limit::Memory })
    }

    /// Records events that arrived together for the engine's speed.
    fn record_events(&self, events: &[u8], waited_since: Instant) {
        if self.is_events {
            let max_gap = self.req.route.max_event_gap;
            self.source.record_events(count_events(events), waited_since, max_gap);
        }
    }

    async fn read_chunk(&mut self) -> ChunkRead {
        let req = &self.req;
        let Some(conn) = &mut self.conn else { return WaitResult::Done(Ok(None)) };
        let chunk = conn.read_chunk(&mut self.body);
        let may_resume = req.route.kind.may_repeat() && req.attempts.has_one_left();
        if !may_resume || !self.is_events {
            return req.wait_for(&self.source, chunk).await;
        }
        let hung = req.route.max_event_gap.map_or(HUNG_AFTER_DEFAULT, |gap| gap * HUNG_AFTER_GAPS);
        let chunk = std::pin::pin!(chunk);
        match &self.source {
            Source::Engine(guard) => req.unless_unresponsive(guard, hung, chunk).await,
            Source::Forwarder(guard) => req.wait_for_forwarder(guard.addr, Some(hung), chunk).await,
        }
    }

    /// Records how much output has arrived: a read may hold several events, which are numbered.
    fn record_output(&self) {
        if self.is_events {
            let events = self.events.last_id().unwrap_or(0).max(u64::from(self.timing.pieces));
            let events = u32::try_from(events).unwrap_or(u32::MAX);
            self.source.record_output(events.saturating_mul(self.req.tokens_per_event));
        }
    }

    /// Whether the connection of a body without any framing has ended before its first event.
    fn lacks_events(&self) -> bool {
        let Source::Engine(guard) = &self.source else { return false };
        self.is_events
            && guard.framing() == Some(Framing::UntilClose)
            && self.timing.pieces == 0
            && self.req.info.last_event.is_none()
    }

    /// Records that the response ended early, with what was read last.
    async fn record_broken(&self, last: &ChunkRead) {
        if let Source::Engine(_) = self.source {
            self.req.node.mark_broken(&self.engine);
            if let WaitResult::Done(Err(e)) = last {
                self.req.log_if_malformed(&self.engine, e);
            }
        }
        self.req.record_broken(&self.source, last).await;
    }

    fn record_silence(&self) {
        match &self.source {
            Source::Engine(_) => self.req.record_silence(&self.engine, Awaited::Event),
            Source::Forwarder(guard) => guard.record_refused(),
        }
    }

    /// Whether the engine may have ended the response as nobody read it.
    fn may_be_cut_unread(&self, ended: &ChunkRead) -> bool {
        if matches!(ended, WaitResult::Done(Err(e)) if e.is_malformed()) {
            return false;
        }
        let is_restarted = match &self.source {
            Source::Engine(guard) => guard.engine_restarted(),
            Source::Forwarder(_) => false,
        };
        self.is_left_unread && !is_restarted && self.req.node.settings.borrow().features.read_ahead
    }

    /// Records that reading waits for room.
    pub(super) fn record_held_up(&mut self) {
        self.is_held_up = true;
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if self.is_events {
            self.req.record_completion(&self.source);
        }
        self.source.record_outcome(if self.is_events {
            AttemptOutcome::Success
        } else {
            AttemptOutcome::Failed
        });
        if let Some(mean_gap) = self.timing.mean_gap().filter(|_| !self.is_held_up) {
            self.source.record_event_interval(mean_gap);
        }
        if let Some(conn) = self.conn.take() {
            self.source.return_connection(conn);
        }
        self.req.log_served(&self.engine, &self.source, 200, &self.timing);
    }

    pub(super) fn abort(mut self) -> (Result<Bytes, BodyAborted>, ResponseStream) {
        self.is_finished = true;
        self.conn = None;
        self.req.log_failed(200, "broken off");
        (Err(BodyAborted), self)
    }
}
