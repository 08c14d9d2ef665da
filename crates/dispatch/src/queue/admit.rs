use hgw_config::Urgency;
use hgw_types::Time;

use super::estimate::micros;
use super::{Queue, Waiting};
use crate::{Job, Refusal};

type Result<T> = std::result::Result<T, Refusal>;

impl Queue {
    /// Takes work into the queue, or refuses it at once. Refused work has not run.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<()> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.knows(&job) {
            return Ok(());
        }
        match job.urgency {
            Urgency::Urgent => self.admit_urgent(now, job),
            Urgency::Deferrable => self.admit_deferrable(now, job),
        }
    }

    fn knows(&self, job: &Job) -> bool {
        let waits = |queue: &[Waiting]| queue.iter().any(|w| w.job.attempt == job.attempt);
        self.running.contains_key(&job.attempt) || waits(&self.urgent) || waits(&self.deferrable)
    }

    /// Load: more urgent work than the upstream can answer in time, as at month end.
    /// Harm: a queue in which all wait until all are late, and callers who learn it last.
    /// Limit: the estimated start against the deadline. It follows the work in hand and the
    /// upstream's pace, which a number of requests does not: ten long ones are no ten short ones.
    ///
    /// A request that takes more slot time than usual must find a shorter wait. Once some must be
    /// refused, one long request less lets several short ones in. Limit: `length_weight`, and of
    /// those refused for their length alone each one after `passed_over` is let in, so that long
    /// work is answered at a lower rate under lasting saturation, but is answered.
    fn admit_urgent(&mut self, now: Time, job: Job) -> Result<()> {
        if self.urgent.len() >= self.settings.max_urgent {
            let retry_after = self.retry_after(job.attempt, self.backlog(now, job.urgency));
            return Err(Refusal::Full { retry_after });
        }
        let at = self.urgent.partition_point(|w| w.job.deadline <= job.deadline);
        let wait = self.urgent_start(now, at);
        let first = wait + self.pace.until_first(&job);
        let left = micros(job.deadline.since(now));
        let too_long = first <= left && self.is_too_long(wait, first, left, &job);
        self.pace.asked(&job);
        if first > left || too_long {
            // Another replica may have room, and asking it costs a millisecond; but only once, or
            // under saturation each request would be offered everywhere.
            if job.may_bounce {
                return Err(Refusal::Bounced);
            }
            let retry_after = self.retry_after(job.attempt, first.saturating_sub(left));
            return Err(Refusal::TooLate { retry_after });
        }
        self.urgent.insert(at, Waiting { job, since: now });
        Ok(())
    }

    /// Whether the wait is too long for the slot time that the request takes.
    fn is_too_long(&mut self, wait: u64, first: u64, left: u64, job: &Job) -> bool {
        let weight = self.pace.length(job).clamp(1.0, self.settings.length_weight);
        let weighted = first + (wait as f64 * (weight - 1.0)) as u64;
        if weighted <= left {
            return false;
        }
        self.passed_over += 1;
        if self.passed_over <= self.settings.passed_over {
            return true;
        }
        self.passed_over = 0;
        false
    }

    /// Load: nightly batches, offered all at once.
    /// Harm: memory that grows with the backlog, and callers that wait for hours on a connection.
    /// Limit: a number, since such work waits for what urgent work leaves and an estimate of that
    /// would be a forecast of urgent demand. A deadline that has passed is refused like urgent work.
    fn admit_deferrable(&mut self, now: Time, job: Job) -> Result<()> {
        let full = self.deferrable.len() >= self.settings.max_deferrable;
        if full && job.may_bounce {
            return Err(Refusal::Bounced);
        }
        if full {
            let retry_after = self.retry_after(job.attempt, self.backlog(now, job.urgency));
            return Err(Refusal::Full { retry_after });
        }
        if self.latest_start(&job) < now {
            let retry_after = self.retry_after(job.attempt, self.backlog(now, job.urgency));
            return Err(Refusal::TooLate { retry_after });
        }
        let at = self.deferrable.partition_point(|w| w.job.deadline <= job.deadline);
        self.deferrable.insert(at, Waiting { job, since: now });
        Ok(())
    }
}
