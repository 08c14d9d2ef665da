//! Attempts that run at upstreams, as other threads reach them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use hgw_types::AttemptId;
use indexmap::IndexMap;
use tokio::sync::{Notify, Semaphore};

use crate::streams::{WINDOW, lock};

/// All attempts that this node runs.
#[derive(Debug, Default)]
pub(crate) struct Attempts(Mutex<IndexMap<AttemptId, Arc<Attempt>>>);

/// One attempt that this node runs.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    cancelled: AtomicBool,
    wake: Notify,
    /// Chunks that the receiving peer has room for.
    pub(crate) credit: Semaphore,
}

impl Attempt {
    fn new(id: AttemptId) -> Self {
        Attempt {
            id,
            cancelled: AtomicBool::new(false),
            wake: Notify::new(),
            credit: Semaphore::new(WINDOW),
        }
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Waits until the attempt is cancelled.
    pub(crate) async fn cancelled(&self) {
        while !self.is_cancelled() {
            self.wake.notified().await;
        }
    }
}

impl Attempts {
    /// Enters an attempt. Done by the control thread before the upstreams' thread hears of it, so
    /// that a cancel that follows at once finds it.
    pub(crate) fn begin(&self, id: AttemptId) -> Arc<Attempt> {
        let attempt = Arc::new(Attempt::new(id));
        lock(&self.0).insert(id, Arc::clone(&attempt));
        attempt
    }

    pub(crate) fn end(&self, id: AttemptId) {
        lock(&self.0).swap_remove(&id);
    }

    pub(crate) fn cancel(&self, id: AttemptId) {
        if let Some(attempt) = lock(&self.0).get(&id) {
            attempt.cancelled.store(true, Ordering::Release);
            attempt.wake.notify_one();
        }
    }

    /// Adds room for `n` chunks, bounded so that a wrong peer cannot overflow the count.
    pub(crate) fn credit(&self, id: AttemptId, n: u32) {
        if let Some(attempt) = lock(&self.0).get(&id) {
            let room = WINDOW.saturating_sub(attempt.credit.available_permits());
            attempt.credit.add_permits(room.min(n as usize));
        }
    }
}
