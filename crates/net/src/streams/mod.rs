//! Open requests of callers, and the rings that chunks of answers reach them by.

mod stream;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hgw_node::{Answer, StreamId};
use hgw_types::{AttemptId, Tokens};
use indexmap::IndexMap;

use crate::meter;

pub(crate) use stream::{CallerStream, Credit, Next, Pushed, Taken};

/// Chunks that a stream's ring holds, and the credit that a sending peer starts with.
pub(crate) const WINDOW: usize = 64;

/// Locks `m`. A thread that panicked has broken an invariant and ends the process anyway.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All open requests of callers.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    next: AtomicU64,
    tables: Mutex<Tables>,
}

#[derive(Debug, Default)]
struct Tables {
    by_id: IndexMap<StreamId, Arc<CallerStream>>,
    by_attempt: IndexMap<AttemptId, Arc<CallerStream>>,
}

impl Streams {
    /// Opens a request unless `limit` are open.
    pub(crate) fn open(&self, limit: usize) -> Option<Arc<CallerStream>> {
        let id = StreamId(self.next.fetch_add(1, Ordering::Relaxed));
        let mut tables = lock(&self.tables);
        if tables.by_id.len() >= limit {
            return None;
        }
        let stream = Arc::new(CallerStream::new(id));
        tables.by_id.insert(id, Arc::clone(&stream));
        meter::open_streams(1.0);
        Some(stream)
    }

    /// Forgets a request; what its ring holds can still be taken. False if it was gone before.
    pub(crate) fn close(&self, id: StreamId) -> bool {
        let mut tables = lock(&self.tables);
        let Some(stream) = tables.by_id.swap_remove(&id) else { return false };
        if let Some(attempt) = stream.detach() {
            tables.by_attempt.swap_remove(&attempt);
        }
        meter::open_streams(-1.0);
        true
    }

    /// Gives the chunks of `attempt`, and of no other, to the caller of `id`.
    pub(crate) fn attach(&self, id: StreamId, attempt: AttemptId) {
        let mut tables = lock(&self.tables);
        let Some(stream) = tables.by_id.get(&id).map(Arc::clone) else { return };
        if let Some(old) = stream.attach(attempt) {
            tables.by_attempt.swap_remove(&old);
        }
        tables.by_attempt.insert(attempt, stream);
    }

    /// Gives the caller of `id` no more chunks, and says what it was given.
    pub(crate) fn seal(&self, id: StreamId) -> Taken {
        let mut tables = lock(&self.tables);
        let Some(stream) = tables.by_id.get(&id).map(Arc::clone) else { return Taken::default() };
        if let Some(attempt) = stream.detach() {
            tables.by_attempt.swap_remove(&attempt);
        }
        drop(tables);
        stream.taken()
    }

    /// The last word to the caller of `id`.
    pub(crate) fn answer(&self, id: StreamId, answer: Answer) {
        let stream = lock(&self.tables).by_id.get(&id).map(Arc::clone);
        if let Some(stream) = stream {
            self.close(id);
            stream.finish(answer);
        }
    }

    /// The stream that the chunks of `attempt` are given to now.
    pub(crate) fn of_attempt(&self, attempt: AttemptId) -> Option<Arc<CallerStream>> {
        lock(&self.tables).by_attempt.get(&attempt).map(Arc::clone)
    }

    /// Whether the caller has been given the whole of an answer of `count` tokens or chunks.
    ///
    /// A connection to a peer may break and another one stand before the end is reported: chunks
    /// lost with the old one would cut the answer without anybody noticing.
    pub(crate) fn is_whole(&self, attempt: AttemptId, count: u32) -> bool {
        self.of_attempt(attempt).is_none_or(|stream| stream.counted(attempt) == Some(Tokens(count)))
    }

    pub(crate) fn open_count(&self) -> usize {
        lock(&self.tables).by_id.len()
    }
}
