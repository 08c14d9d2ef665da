use std::time::Duration;

use hgw_config::Urgency;
use hgw_types::Time;

use super::estimate::micros;
use super::{Queue, Running, Waiting};
use crate::{Decision, Job, Refusal};

impl Queue {
    /// Appends what is to be done now.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Decision>) {
        if self.leaving {
            self.send_away(out);
        }
        self.give_up_urgent(now, out);
        self.give_up_deferrable(now, out);
        self.abandon(now, out);
        self.start(now, out);
        self.preempt(now, out);
        self.polled = now;
        self.foreign.peak = self.foreign.peak.max(self.running.len() as u32);
    }

    /// When to call [`Queue::poll`] again if nothing happens before.
    pub fn next_wake(&self) -> Option<Time> {
        let urgent = self.urgent.iter().map(|w| self.latest_start(&w.job));
        let deferrable = self.deferrable.iter().map(|w| self.expiry(w));
        let running = self.running.values().filter(|r| self.may_abandon(r));
        let abandon = running.map(|r| r.job.deadline);
        // Work that is late leaves at a poll. Where a slower pace has made it late since the last
        // one, the next poll is due at once.
        let late = urgent.chain(deferrable).chain(abandon).map(|t| t.max(self.polled) + TICK);
        // What may go first but finds no slot waits for an end, not for time.
        let patience = self.urgent.first().map(|w| {
            let half = self.latest_start(&w.job).since(self.polled) / 2;
            self.polled + half.min(self.settings.patience).max(LOOK_AGAIN)
        });
        let aged = self.deferrable.iter().map(|w| self.aged_at(w));
        let blocked = aged.chain(patience).filter(|t| *t > self.polled);
        late.chain(blocked).min()
    }

    /// Work that waits for an upstream that leaves has not run: another one can take it.
    fn send_away(&mut self, out: &mut Vec<Decision>) {
        let waiting = self.urgent.drain(..).chain(self.deferrable.drain(..));
        out.extend(waiting.map(|w| Decision::GiveUp(w.job.attempt, Refusal::Leaving)));
    }

    /// Load: a backlog that moves slower than was estimated, such as before an engine that slows.
    /// Harm: slots spent on answers that are late already, while others wait and become late too.
    /// Limit: the latest start that can keep the deadline; the caller is told at once.
    fn give_up_urgent(&mut self, now: Time, out: &mut Vec<Decision>) {
        if !self.urgent.iter().any(|w| self.latest_start(&w.job) < now) {
            return;
        }
        let backlog = self.backlog(now, Urgency::Urgent);
        let waiting = std::mem::take(&mut self.urgent).into_iter();
        let (late, kept): (Vec<_>, _) = waiting.partition(|w| self.latest_start(&w.job) < now);
        self.urgent = kept;
        out.extend(late.into_iter().map(|w| self.give_up(now, w, backlog)));
    }

    /// Load: more nightly work than fits between the urgent requests.
    /// Harm: callers that hold a connection on work which will not be done.
    /// Limit: the deadline, and an age that a caller can be expected to wait.
    fn give_up_deferrable(&mut self, now: Time, out: &mut Vec<Decision>) {
        if !self.deferrable.iter().any(|w| self.expiry(w) < now) {
            return;
        }
        let backlog = self.backlog(now, Urgency::Deferrable);
        let waiting = std::mem::take(&mut self.deferrable).into_iter();
        let (old, kept): (Vec<_>, _) = waiting.partition(|w| self.expiry(w) < now);
        self.deferrable = kept;
        out.extend(old.into_iter().map(|w| self.give_up(now, w, backlog)));
    }

    fn give_up(&self, now: Time, w: Waiting, backlog: u64) -> Decision {
        let retry_after = self.retry_after(w.job.attempt, backlog);
        let expired = w.job.deadline <= now || w.job.urgency == Urgency::Deferrable;
        let refusal = if expired {
            Refusal::Expired { retry_after }
        } else {
            Refusal::TooLate { retry_after }
        };
        Decision::GiveUp(w.job.attempt, refusal)
    }

    fn expiry(&self, w: &Waiting) -> Time {
        self.latest_start(&w.job).min(w.since + self.settings.max_age)
    }

    /// Load: an engine that slows down or hangs under work that it has begun.
    /// Harm: a batch full of answers that nobody counts, and new work that waits behind them.
    /// Limit: the deadline, where it was missed; begun text that came in time goes on to its end.
    fn abandon(&mut self, now: Time, out: &mut Vec<Decision>) {
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, r)| self.may_abandon(r) && r.job.deadline < now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            self.running[&attempt].ending = true;
            out.push(Decision::Abandon(attempt));
        }
    }

    /// A plain call that was cut off may have run, and its late answer is worth more than none.
    fn may_abandon(&self, r: &Running) -> bool {
        let missed = r.job.urgency == Urgency::Deferrable || r.tokens == 0;
        !self.settings.plain && !r.ending && missed
    }

    /// Urgent work first, by deadline; deferrable work only where urgent work leaves slots.
    fn start(&mut self, now: Time, out: &mut Vec<Decision>) {
        let mut free = self.usable_slots().saturating_sub(self.running.len() as u32);
        if free > 0 && self.aged(now) {
            self.start_deferrable(now, true, out);
            free -= 1;
        }
        while free > 0 && !self.urgent.is_empty() {
            let w = self.urgent.remove(0);
            self.run(now, w.job, false, out);
            free -= 1;
        }
        while free > self.settings.reserve && !self.deferrable.is_empty() {
            self.start_deferrable(now, false, out);
            free -= 1;
        }
    }

    fn start_deferrable(&mut self, now: Time, protected: bool, out: &mut Vec<Decision>) {
        self.deferrable_served = now;
        let w = self.deferrable.remove(0);
        self.run(now, w.job, protected, out);
    }

    /// Whether deferrable work has waited so long, with none served, that one goes first.
    fn aged(&self, now: Time) -> bool {
        self.deferrable.iter().any(|w| self.aged_at(w) <= now)
    }

    fn aged_at(&self, w: &Waiting) -> Time {
        w.since.max(self.deferrable_served) + self.settings.ageing
    }

    fn run(&mut self, now: Time, job: Job, protected: bool, out: &mut Vec<Decision>) {
        let attempt = job.attempt;
        let r = Running { job, started: now, tokens: 0, told: now, ending: false, protected };
        self.running.insert(attempt, r);
        out.push(Decision::Start(attempt));
    }

    /// Load: urgent work that arrives while long deferrable answers fill the batch.
    /// Harm: urgent answers late behind work that may wait; or, done too eagerly, prompts computed
    /// again and again for deferrable work.
    /// Limit: one for each urgent request that no slot will take within `patience`, or within half
    /// of what the most pressing one has left.
    fn preempt(&mut self, now: Time, out: &mut Vec<Decision>) {
        if self.settings.plain {
            return;
        }
        let Some(first) = self.urgent.first() else { return };
        let left = self.latest_start(&first.job).since(now);
        let soon = micros(self.settings.patience.min(left / 2));
        let frees = |r: &&Running| r.ending || self.until_end(now, r) <= soon;
        let freed = self.running.values().filter(frees).count();
        for _ in freed..self.urgent.len() {
            let Some(attempt) = self.victim(now) else { return };
            self.running[&attempt].ending = true;
            out.push(Decision::Preempt(attempt));
        }
    }

    /// The work that would hold its slot longest.
    fn victim(&self, now: Time) -> Option<hgw_types::AttemptId> {
        let candidates = self.running.iter().filter(|(_, r)| !r.ending && self.may_preempt(r));
        candidates.max_by_key(|(_, r)| self.until_end(now, r)).map(|(attempt, _)| *attempt)
    }
}

/// Least time between two looks at work that waits for a slot: without it, the half of what is
/// left, and then the half of that, would be waited for in ever shorter steps.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// The least time after a limit at which it has passed.
const TICK: Duration = Duration::from_micros(1);
