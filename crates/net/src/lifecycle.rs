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
}

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Running), stopped: Arc::default() }
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
