use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hgw_node::{Answer, StreamId};
use hgw_types::{AttemptId, NodeId, Tokens};
use hgw_wire::peer::Chunk;
use tokio::sync::Notify;

use super::{WINDOW, lock};

/// The ring between the upstreams' or peers' thread and one caller's task.
#[derive(Debug)]
pub(crate) struct CallerStream {
    pub(crate) id: StreamId,
    /// Wakes the caller's task.
    ready: Notify,
    /// Wakes whoever waits to put a chunk in.
    room: Notify,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    attempt: Option<AttemptId>,
    /// The peer that chunks come from, which gets credit for them.
    peer: Option<NodeId>,
    /// Chunks handled since the peer last got credit.
    uncredited: u32,
    /// All tokens given to the caller, the ones in the ring included.
    tokens: Vec<Arc<str>>,
    /// How many of them the caller's task has taken out.
    taken: usize,
    /// Head and body of a plain service's answer.
    pieces: VecDeque<Chunk>,
    /// Pieces given to the caller, by any attempt.
    piece_count: u32,
    answer: Option<Answer>,
    /// When progress was last reported.
    reported: Option<Instant>,
}

/// What a caller was given.
#[derive(Debug, Default)]
pub(crate) struct Taken {
    pub(crate) tokens: Vec<Arc<str>>,
    pub(crate) begun: bool,
}

/// What became of a chunk.
#[derive(Debug, PartialEq)]
pub(crate) enum Pushed {
    /// It is in the ring, or was there before.
    Taken,
    /// There is no room; the chunk comes back.
    Full(Chunk),
    /// The attempt is not attached to the caller: the chunk is dropped.
    Detached,
    /// A chunk before it is missing: the attempt cannot go on.
    Gap,
}

/// What a caller's task takes out.
#[derive(Debug)]
pub(crate) enum Next {
    /// New tokens, at least one.
    Tokens(Vec<Arc<str>>),
    /// Status and headers of a plain service's answer.
    Head(u16, Vec<(String, String)>),
    /// Bytes of a plain service's answer.
    Body(Bytes),
    /// The last word; nothing is left in the ring.
    End(Answer),
}

/// Credit that is due to a peer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Credit {
    pub(crate) peer: NodeId,
    pub(crate) attempt: AttemptId,
    pub(crate) chunks: u32,
}

impl CallerStream {
    pub(crate) fn new(id: StreamId) -> Self {
        CallerStream { id, ready: Notify::new(), room: Notify::new(), state: Mutex::default() }
    }

    /// Attaches an attempt and returns the one attached before.
    pub(super) fn attach(&self, attempt: AttemptId) -> Option<AttemptId> {
        let mut s = lock(&self.state);
        s.peer = None;
        s.uncredited = 0;
        let old = s.attempt.replace(attempt);
        self.room.notify_waiters();
        old
    }

    /// Detaches the attempt: from now on the caller is given nothing.
    pub(super) fn detach(&self) -> Option<AttemptId> {
        let old = lock(&self.state).attempt.take();
        self.room.notify_waiters();
        old
    }

    pub(super) fn taken(&self) -> Taken {
        let s = lock(&self.state);
        Taken { tokens: s.tokens.clone(), begun: s.piece_count > 0 }
    }

    pub(super) fn finish(&self, answer: Answer) {
        lock(&self.state).answer = Some(answer);
        self.ready.notify_one();
    }

    /// Tokens or pieces given so far, if `attempt` is attached.
    pub(super) fn counted(&self, attempt: AttemptId) -> Option<Tokens> {
        let s = lock(&self.state);
        let count = if s.piece_count > 0 { s.piece_count } else { s.tokens.len() as u32 };
        (s.attempt == Some(attempt)).then_some(Tokens(count))
    }

    /// Puts a chunk in. One from a peer is within the credit given to it, which twice the ring's
    /// size covers where an attempt before it has left chunks behind.
    pub(crate) fn push(&self, attempt: AttemptId, chunk: Chunk, peer: Option<&NodeId>) -> Pushed {
        let mut s = lock(&self.state);
        if s.attempt != Some(attempt) {
            return Pushed::Detached;
        }
        if let Some(peer) = peer {
            s.uncredited += 1;
            if s.peer.is_none() {
                s.peer = Some(peer.clone());
            }
        }
        let limit = if peer.is_some() { 2 * WINDOW } else { WINDOW };
        let pushed = s.put(chunk, limit);
        drop(s);
        if pushed == Pushed::Taken {
            self.ready.notify_one();
        }
        pushed
    }

    /// Puts a chunk in, waiting for room.
    pub(crate) async fn push_wait(&self, attempt: AttemptId, chunk: Chunk) -> Pushed {
        let mut chunk = chunk;
        loop {
            let mut room = std::pin::pin!(self.room.notified());
            // Registered before the look at the ring, so that no wake-up is missed.
            room.as_mut().enable();
            match self.push(attempt, chunk, None) {
                Pushed::Full(back) => chunk = back,
                done => return done,
            }
            room.await;
        }
    }

    /// Tokens so far, if `attempt` is attached and progress was not reported within `period`.
    pub(crate) fn progress(&self, attempt: AttemptId, period: Duration) -> Option<u32> {
        let mut s = lock(&self.state);
        let recent = s.reported.is_some_and(|at| at.elapsed() < period);
        if recent || s.attempt != Some(attempt) {
            return None;
        }
        s.reported = Some(Instant::now());
        Some(s.tokens.len() as u32)
    }

    /// Waits for the next thing for the caller, and gives the credit that is due for it.
    pub(crate) async fn next(&self) -> (Next, Option<Credit>) {
        loop {
            let found = {
                let mut s = lock(&self.state);
                s.take().map(|next| (next, s.credit()))
            };
            if let Some(found) = found {
                self.room.notify_waiters();
                return found;
            }
            self.ready.notified().await;
        }
    }
}

impl State {
    fn put(&mut self, chunk: Chunk, limit: usize) -> Pushed {
        match chunk {
            Chunk::Token { index, .. } if (index as usize) < self.tokens.len() => Pushed::Taken,
            Chunk::Token { index, .. } if index as usize > self.tokens.len() => Pushed::Gap,
            Chunk::Token { .. } if self.tokens.len() - self.taken >= limit => Pushed::Full(chunk),
            Chunk::Token { text, .. } => {
                self.tokens.push(text);
                Pushed::Taken
            }
            Chunk::Head { .. } if self.piece_count > 0 => Pushed::Gap,
            Chunk::Body(_) if self.piece_count == 0 => Pushed::Gap,
            Chunk::Body(_) if self.pieces.len() >= limit => Pushed::Full(chunk),
            Chunk::Head { .. } | Chunk::Body(_) => {
                self.pieces.push_back(chunk);
                self.piece_count += 1;
                Pushed::Taken
            }
        }
    }

    fn take(&mut self) -> Option<Next> {
        if self.taken < self.tokens.len() {
            let tokens = self.tokens[self.taken..].to_vec();
            self.taken = self.tokens.len();
            return Some(Next::Tokens(tokens));
        }
        match self.pieces.pop_front() {
            Some(Chunk::Head { status, headers }) => Some(Next::Head(status, headers)),
            Some(Chunk::Body(bytes)) => Some(Next::Body(bytes)),
            Some(Chunk::Token { .. }) | None => self.answer.take().map(Next::End),
        }
    }

    /// Credit is given in halves of the window, so that it is few messages and never runs out.
    fn credit(&mut self) -> Option<Credit> {
        if (self.uncredited as usize) < WINDOW / 2 {
            return None;
        }
        let credit =
            Credit { peer: self.peer.clone()?, attempt: self.attempt?, chunks: self.uncredited };
        self.uncredited = 0;
        Some(credit)
    }
}
