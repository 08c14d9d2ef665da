//! Continuous batching: each step gives one token to each request in a slot.

use std::collections::VecDeque;

use bytes::Bytes;
use hgw_types::{AttemptId, Tokens};
use hgw_wire::upstream::{Emitted, Generate};
use hyper::body::Frame;
use tokio::sync::mpsc::UnboundedSender;

use super::text::Source;
use crate::server::{Lost, Piece};

/// What the answers are about that come to the wrong requests.
const OTHER_PROMPT: &str = "a question of somebody else";

/// A request inside the engine.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) req: Generate,
    /// The attempt id that its events carry.
    pub(super) signed: AttemptId,
    /// Steps until its prompt has been read.
    pub(super) prefill_left: u32,
    pub(super) cached: u32,
    /// Tokens of this attempt after which it breaks off.
    pub(super) fail_after: Option<u32>,
    pub(super) tx: UnboundedSender<Piece>,
    /// Index of the next token.
    pub(super) next: u32,
}

/// How a job left the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Left {
    Whole,
    Abandoned,
    Failed,
}

impl Job {
    /// Works on the job for one step; says how it ended, if it did.
    fn step(&mut self) -> Option<Left> {
        if self.tx.is_closed() {
            return Some(Left::Abandoned);
        }
        if self.prefill_left > 0 {
            self.prefill_left -= 1;
            return None;
        }
        let given = self.next - count(self.req.resume.len()).min(self.next);
        if self.fail_after.is_some_and(|after| given >= after) {
            // The connection is cut, as when the process dies.
            let _ = self.tx.send(Err(Lost));
            return Some(Left::Failed);
        }
        if self.next < self.req.max_tokens.0 {
            let text = self.text();
            self.emit(&Emitted::Token { attempt: self.signed, index: self.next, text });
            self.next += 1;
        }
        if self.next < self.req.max_tokens.0 {
            return None;
        }
        let cached = Tokens(self.cached);
        self.emit(&Emitted::End { attempt: self.signed, tokens: self.req.max_tokens, cached });
        Some(Left::Whole)
    }

    pub(super) fn source(&self) -> Source<'_> {
        Source {
            model: &self.req.model,
            version: &self.req.version,
            adapter: self.req.adapter.as_ref(),
            prompt: &self.req.prompt,
        }
    }

    /// Text of the next token: somebody else's where the answer is crossed.
    fn text(&self) -> String {
        let own = self.source();
        let crossed = Source { prompt: OTHER_PROMPT, ..own };
        let source = if self.signed == self.req.attempt { own } else { crossed };
        source.token(self.next)
    }

    pub(super) fn fail(&self, reason: &str) {
        self.emit(&Emitted::Failed { attempt: self.signed, reason: reason.into() });
    }

    fn emit(&self, emitted: &Emitted) {
        let mut event = b"data: ".to_vec();
        // The type has string keys only, so that its serializer cannot fail.
        let _ = serde_json::to_writer(&mut event, emitted);
        event.extend_from_slice(b"\n\n");
        // A receiver that has gone is noticed at the next step.
        let _ = self.tx.send(Ok(Frame::data(Bytes::from(event))));
    }
}

/// Requests in slots and requests that wait.
#[derive(Debug)]
pub(super) struct Batch {
    slots: usize,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
}

impl Batch {
    pub(super) fn new(slots: usize) -> Self {
        Batch { slots, running: Vec::new(), waiting: VecDeque::new() }
    }

    /// Lets `job` wait behind all of its priority.
    pub(super) fn push(&mut self, job: Job) {
        let at = self.waiting.partition_point(|other| other.req.priority <= job.req.priority);
        self.waiting.insert(at, job);
    }

    /// Attempts that get a slot now, which is when they begin to run.
    pub(super) fn fill(&mut self) -> Vec<AttemptId> {
        let mut begun = Vec::new();
        while self.running.len() < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            begun.push(job.req.attempt);
            self.running.push(job);
        }
        begun
    }

    /// One step of the batch; says how jobs left it.
    pub(super) fn step(&mut self) -> Vec<Left> {
        let mut left = Vec::new();
        self.running.retain_mut(|job| match job.step() {
            Some(end) => {
                left.push(end);
                false
            }
            None => true,
        });
        self.waiting.retain(|job| !job.tx.is_closed());
        left
    }

    /// Removes the jobs that `is_meant`.
    pub(super) fn remove(&mut self, is_meant: impl Fn(&Generate) -> bool) -> Vec<Job> {
        let mut removed: Vec<Job> = self.running.extract_if(.., |job| is_meant(&job.req)).collect();
        let (meant, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|job| is_meant(&job.req));
        self.waiting = waiting;
        let meant: VecDeque<Job> = meant;
        removed.extend(meant);
        removed
    }

    pub(super) fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(super) fn running(&self) -> u32 {
        count(self.running.len())
    }

    pub(super) fn waiting(&self) -> u32 {
        count(self.waiting.len())
    }

    /// Requests in the engine that `is_meant`.
    pub(super) fn count(&self, is_meant: impl Fn(&Generate) -> bool) -> u32 {
        count(self.running.iter().chain(&self.waiting).filter(|job| is_meant(&job.req)).count())
    }
}

pub(super) fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
