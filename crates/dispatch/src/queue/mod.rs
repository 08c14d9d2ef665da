//! The one queue before one upstream.
//!
//! One place knows all work in flight at the upstream, so that it is neither overrun nor left idle,
//! and keeps one order: urgent work by deadline, then deferrable work. See [`Queue`].

mod admit;
mod estimate;
mod pace;
mod settings;
mod slots;
mod step;

use std::time::Duration;

use hgw_config::Urgency;
use hgw_types::{AttemptId, Time};
use indexmap::IndexMap;

use crate::{End, Job, Report, Taken};
use pace::Pace;

pub use settings::QueueSettings;

/// The one queue before one upstream.
///
/// Feed it what happens and call [`Queue::poll`] after each event and at [`Queue::next_wake`]; it
/// says what to start, give up, preempt and abandon.
#[derive(Debug)]
pub struct Queue {
    settings: QueueSettings,
    pace: Pace,
    /// Urgent work, earliest deadline first.
    urgent: Vec<Waiting>,
    /// Deferrable work, earliest deadline first: preempted work that comes back keeps its place.
    deferrable: Vec<Waiting>,
    running: IndexMap<AttemptId, Running>,
    leaving: bool,
    /// Urgent requests refused for their length since one was let in all the same.
    passed_over: u32,
    foreign: Foreign,
    /// When deferrable work last started, or the queue began.
    deferrable_served: Time,
    /// When [`Queue::poll`] was last called: what was due by then waits for an event, not for time.
    polled: Time,
}

#[derive(Debug)]
struct Waiting {
    job: Job,
    since: Time,
}

#[derive(Debug)]
struct Running {
    job: Job,
    started: Time,
    /// Tokens told so far, and when.
    tokens: u32,
    told: Time,
    /// Cancelled, but not yet seen to end: it holds its slot still.
    ending: bool,
    /// Aged deferrable work is let through to its end.
    protected: bool,
}

/// Work at the upstream that this queue did not send, from late reports.
///
/// During a change of dispatcher two may send for a while. A queue that ignored the other's work
/// would overrun the upstream, and every estimate would be too early.
#[derive(Debug, Default)]
struct Foreign {
    count: u32,
    /// Most work of our own since the report before last: a report is never so old that it shows
    /// more of ours than that.
    peak: u32,
    peak_before: u32,
}

/// Counts for dumps and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Urgent requests that wait.
    pub urgent_waiting: usize,
    /// Deferrable requests that wait.
    pub deferrable_waiting: usize,
    /// Requests at the upstream.
    pub running: usize,
    /// Those of them that are deferrable.
    pub deferrable_running: usize,
    /// Requests at the upstream that this queue did not send.
    pub foreign: u32,
    /// Time of a token.
    pub step: Duration,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
}

impl Queue {
    /// An empty queue before an idle upstream.
    pub fn new(settings: QueueSettings) -> Self {
        Queue {
            pace: Pace::new(settings.first_guess),
            settings,
            urgent: Vec::new(),
            deferrable: Vec::new(),
            running: IndexMap::new(),
            leaving: false,
            passed_over: 0,
            foreign: Foreign::default(),
            deferrable_served: Time::ZERO,
            polled: Time::ZERO,
        }
    }

    /// Running work has made progress: `tokens` is the count of this attempt so far, at least 1.
    pub fn progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(r) = self.running.get_mut(&attempt) else { return };
        if tokens <= r.tokens {
            return;
        }
        if r.tokens == 0 {
            // Further tokens told together with the first say nothing about either.
            if tokens == 1 {
                self.pace.first_token(r.job.prompt.0, now.since(r.started));
            }
        } else {
            self.pace.tokens(tokens - r.tokens, now.since(r.told));
        }
        r.tokens = tokens;
        r.told = now;
    }

    /// Running work has ended at the upstream; its slot is free.
    pub fn ended(&mut self, now: Time, attempt: AttemptId, end: End) {
        let Some(r) = self.running.swap_remove(&attempt) else { return };
        if end != End::Whole || r.ending {
            return;
        }
        if r.job.model.is_none() {
            self.pace.called(now.since(r.started));
        } else {
            self.pace.whole(r.job.urgency, r.job.output.0, r.tokens);
        }
    }

    /// Nobody waits for this work any more. Running work keeps its slot until [`Queue::ended`].
    pub fn cancel(&mut self, _now: Time, attempt: AttemptId) -> Option<Taken> {
        if let Some(r) = self.running.get_mut(&attempt) {
            r.ending = true;
            return Some(Taken::Running);
        }
        for queue in [&mut self.urgent, &mut self.deferrable] {
            if let Some(i) = queue.iter().position(|w| w.job.attempt == attempt) {
                queue.remove(i);
                return Some(Taken::Queued);
            }
        }
        None
    }

    /// The upstream's own word on its load.
    pub fn report(&mut self, _now: Time, report: &Report) {
        if report.leaving {
            self.leaving = true;
        }
        if self.running.is_empty() && !report.step.is_zero() {
            self.pace.reported_step(report.step);
        }
        let own = self.foreign.peak.max(self.foreign.peak_before);
        self.foreign.count = (report.active + report.waiting).saturating_sub(own);
        self.foreign.peak_before = self.foreign.peak;
        self.foreign.peak = self.running.len() as u32;
    }

    /// The upstream works on this many requests at once from now on. What is running beyond that ends
    /// as it would.
    pub fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
    }

    /// Whether the upstream is to get new work. Running work is left to end.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Counts for dumps and metrics.
    pub fn load(&self) -> Load {
        let deferrable = |r: &&Running| r.job.urgency == Urgency::Deferrable;
        Load {
            urgent_waiting: self.urgent.len(),
            deferrable_waiting: self.deferrable.len(),
            running: self.running.len(),
            deferrable_running: self.running.values().filter(deferrable).count(),
            foreign: self.foreign.count,
            step: self.pace.step(),
            leaving: self.leaving,
        }
    }
}
