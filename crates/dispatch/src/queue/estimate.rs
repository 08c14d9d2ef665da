use std::time::Duration;

use hgw_config::Urgency;
use hgw_types::{AttemptId, Time};

use super::slots::Slots;
use super::{Queue, Running};
use crate::Job;

/// Steps that a cancellation takes until the slot is free.
const STEPS_TO_PREEMPT: u32 = 2;

pub(super) fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

impl Queue {
    /// Estimated time from submission to first token of a new usual request (of a plain service: to
    /// its answer). Replies carry it, so that entry nodes learn load from the work itself.
    pub fn delay(&self, now: Time, urgency: Urgency) -> Duration {
        let mut slots = self.slots_for(now, urgency);
        for w in &self.urgent {
            slots.take(self.pace.until_end(&w.job));
        }
        if !urgency.is_urgent() {
            for w in &self.deferrable {
                slots.take(self.pace.until_end(&w.job));
            }
        }
        Duration::from_micros(slots.next() + self.pace.usual_first(self.settings.plain))
    }

    /// Slots that this queue may fill: those of the upstream less what others use, but one.
    pub(super) fn usable_slots(&self) -> u32 {
        self.settings.slots.saturating_sub(self.foreign.count).max(1)
    }

    /// When the slots come free for work of this urgency: urgent work may preempt.
    pub(super) fn slots_for(&self, now: Time, urgency: Urgency) -> Slots {
        let preempt = micros(self.pace.step()) * u64::from(STEPS_TO_PREEMPT);
        let patience = micros(self.settings.patience);
        let ends = self.running.values().map(|r| {
            let natural = self.until_end(now, r);
            let yields = r.ending || (urgency.is_urgent() && self.may_preempt(r));
            if yields && (r.ending || natural > patience) { preempt } else { natural }
        });
        Slots::new(self.usable_slots(), ends)
    }

    /// Whether running work can make room for urgent work.
    ///
    /// A plain call may have had its effect and cannot be resumed; aged work has waited enough.
    pub(super) fn may_preempt(&self, r: &Running) -> bool {
        !self.settings.plain && r.job.urgency == Urgency::Deferrable && !r.protected
    }

    /// Time until running work ends.
    pub(super) fn until_end(&self, now: Time, r: &Running) -> u64 {
        let silent = now.since(r.told);
        let usual = if r.job.model.is_none() || r.tokens == 0 {
            self.pace.until_end(&r.job).saturating_sub(micros(now.since(r.started)))
        } else {
            self.pace.rest(&r.job, r.tokens + self.pace.tokens_in(silent))
        };
        // Work that has stood still for some time is expected to do so for as long again: an
        // upstream that hangs then looks slow and gets no more work, with no guess at its cause.
        let stuck = if silent > self.settings.stall { micros(silent) } else { 0 };
        usual.max(stuck)
    }

    /// Estimated start, from now, of urgent work put at place `at` of the queue.
    pub(super) fn urgent_start(&self, now: Time, at: usize) -> u64 {
        let mut slots = self.slots_for(now, Urgency::Urgent);
        for w in &self.urgent[..at] {
            slots.take(self.pace.until_end(&w.job));
        }
        slots.next()
    }

    /// Time to come back, `after` at the least.
    ///
    /// Spread by up to a quarter with the attempt's number: callers that are refused together must
    /// not come back together.
    pub(super) fn retry_after(&self, attempt: AttemptId, after: u64) -> Duration {
        let after = Duration::from_micros(after).max(self.settings.min_retry);
        let spread = 1.0 + (attempt.seq % 32) as f64 / 128.0;
        after.mul_f64(spread).min(self.settings.max_retry)
    }

    /// Time until the waiting work of this urgency, and what goes before it, has started.
    pub(super) fn backlog(&self, now: Time, urgency: Urgency) -> u64 {
        let delay = micros(self.delay(now, urgency));
        delay.saturating_sub(self.pace.usual_first(self.settings.plain))
    }

    /// Latest start of a job that is to keep its deadline.
    pub(super) fn latest_start(&self, job: &Job) -> Time {
        job.deadline - Duration::from_micros(self.pace.until_due(job))
    }
}
