//! How far a process has come, as all its threads see it.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

/// How far a process has come; never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// At work.
    Running,
    /// The machine has finished: the last bytes go out.
    Draining,
    /// Everything ends at once.
    Ended,
}

/// Tells all threads of a process how far it has come.
#[derive(Debug, Clone)]
pub(crate) struct Lifecycle {
    phase: watch::Sender<Phase>,
    stopped: Arc<AtomicBool>,
    broken: Arc<AtomicBool>,
}

/// Ends the process when it is dropped by a panic.
///
/// A task that panics takes one attempt, or one connection, with it without a word: the state
/// machine would wait for its end for ever. A broken invariant ends the process instead, and the
/// platform starts another one.
#[derive(Debug)]
pub(crate) struct PanicGuard(Lifecycle);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.broken.store(true, Ordering::Release);
            self.0.advance(Phase::Ended);
        }
    }
}

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Lifecycle {
            phase: watch::Sender::new(Phase::Running),
            stopped: Arc::default(),
            broken: Arc::default(),
        }
    }

    /// Goes on to `phase`, never back.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let later = *now < phase;
            if later && phase == Phase::Draining {
                self.stopped.store(true, Ordering::Release);
            }
            if later {
                *now = phase;
            }
            later
        });
    }

    /// Whether the machine had finished before the end.
    pub(crate) fn was_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Whether a broken invariant has ended the process.
    pub(crate) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Acquire)
    }

    /// Guards the work of the caller's scope.
    pub(crate) fn guard(&self) -> PanicGuard {
        PanicGuard(self.clone())
    }

    /// Starts a task of the current thread's runtime; its panic ends the process.
    pub(crate) fn spawn<F>(&self, work: F)
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let guard = self.guard();
        tokio::spawn(async move {
            work.await;
            drop(guard);
        });
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until `phase` is reached.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        // An error means that every sender is gone, which includes `self`.
        let _ = rx.wait_for(|now| *now >= phase).await;
    }

    /// Runs `work` until it is done or `phase` is reached.
    pub(crate) async fn until<F: Future<Output = ()>>(&self, phase: Phase, work: F) {
        tokio::select! {
            () = self.reached(phase) => {}
            () = work => {}
        }
    }
}
