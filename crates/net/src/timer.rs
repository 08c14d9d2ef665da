//! The timer service: parts subscribe with a period, one thread calls them.

use std::thread;
use std::time::{Duration, Instant};

use crate::lifecycle::{Lifecycle, Phase};
use crate::{Error, Result};

type Subscriber = Box<dyn Fn() + Send>;

/// Longest sleep, so that the thread sees the end of the process.
const LONGEST_SLEEP: Duration = Duration::from_millis(50);

/// Collects subscribers before the thread starts.
#[derive(Default)]
pub(crate) struct Timer {
    entries: Vec<Entry>,
}

struct Entry {
    period: Duration,
    due: Instant,
    call: Subscriber,
}

impl Timer {
    /// Calls `call` every `period`; it must not block.
    pub(crate) fn subscribe(&mut self, period: Duration, call: impl Fn() + Send + 'static) {
        self.entries.push(Entry { period, due: Instant::now() + period, call: Box::new(call) });
    }

    /// Starts the thread, which ends with the process.
    pub(crate) fn start(mut self, lifecycle: Lifecycle) -> Result<thread::JoinHandle<()>> {
        let run = move || {
            while lifecycle.phase() < Phase::Ended {
                let next = self.call_due(Instant::now());
                thread::sleep(next.min(LONGEST_SLEEP));
            }
        };
        let thread = thread::Builder::new().name("timer".into()).spawn(run);
        thread.map_err(|source| Error::Thread { duty: "timer", source })
    }

    /// Calls everyone who is due and returns the time until the next one is.
    fn call_due(&mut self, now: Instant) -> Duration {
        let mut next = LONGEST_SLEEP;
        for entry in &mut self.entries {
            if entry.due <= now {
                (entry.call)();
                // A late thread does not make up for missed calls.
                entry.due = now + entry.period;
            }
            next = next.min(entry.due - now);
        }
        next
    }
}
