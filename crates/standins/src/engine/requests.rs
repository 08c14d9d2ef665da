//! Requests for text at a stand-in engine.

use std::time::Instant;

use bytes::Bytes;
use hgw_types::AttemptId;
use hgw_wire::upstream::{Cancel, Generate};
use http::{Request, Response, StatusCode};
use tokio::sync::mpsc;

use super::batch::{Job, count};
use super::{Engine, Inner};
use crate::server::{Body, failure, json, read_json, stream};

impl Engine {
    /// Takes a request in, or refuses it before it runs.
    pub(super) fn generate(&self, req: &Request<Bytes>) -> Response<Body> {
        let req: Generate = match read_json(req.body()) {
            Ok(req) => req,
            Err(answer) => return *answer,
        };
        let mut inner = self.lock();
        inner.note_leaving();
        if !inner.memory.can_serve(&req.model, &req.version, req.adapter.as_ref()) {
            inner.record.refused += 1;
            return failure(StatusCode::CONFLICT, "it is not resident");
        }
        let (tx, rx) = mpsc::unbounded_channel();
        let job = self.job(&mut inner, req, tx);
        if job.source().tokens(job.next) != job.req.resume {
            inner.record.wrong_resumes += 1;
        }
        inner.batch.push(job);
        drop(inner);
        self.work.notify_one();
        stream(rx)
    }

    fn job(
        &self,
        inner: &mut Inner,
        req: Generate,
        tx: mpsc::UnboundedSender<crate::server::Piece>,
    ) -> Job {
        let adapter = req.adapter.as_ref().map_or("", |a| a.as_str());
        let owner = format!("{} {} {adapter}", req.model, req.version);
        let found = inner.cache.take_in(&owner, &req.prompt);
        let unread = found.total.saturating_sub(found.cached);
        Job {
            signed: if self.switches.crossed() { other(req.attempt) } else { req.attempt },
            prefill_left: unread / self.settings.prefill_per_step.max(1),
            cached: found.cached,
            fail_after: self.switches.stream_fault(),
            next: count(req.resume.len()),
            req,
            tx,
        }
    }

    /// Ends an attempt; one that is not known has ended before.
    pub(super) fn cancel(&self, req: &Request<Bytes>) -> Response<Body> {
        let cancel: Cancel = match read_json(req.body()) {
            Ok(cancel) => cancel,
            Err(answer) => return *answer,
        };
        let mut inner = self.lock();
        let ended = inner.batch.remove(|req| req.attempt == cancel.attempt);
        inner.record.cancelled += ended.len() as u64;
        json(&serde_json::json!({ "ended": ended.len() }))
    }
}

impl Inner {
    /// Notes work that comes although the engine says that it is leaving.
    fn note_leaving(&mut self) {
        if let Some(since) = self.left_at {
            let ms = Instant::now().duration_since(since).as_millis();
            self.record.after_leaving += 1;
            self.record.last_after_leaving_ms = u64::try_from(ms).unwrap_or(u64::MAX);
        }
    }
}

/// An attempt id that belongs to nobody here.
pub(crate) fn other(attempt: AttemptId) -> AttemptId {
    AttemptId { boot: attempt.boot ^ 1, seq: attempt.seq }
}
