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
    fn admit_urgent(&mut self, now: Time, job: Job) -> Result<()> {
        if self.urgent.len() >= self.settings.max_urgent {
            let retry_after = self.retry_after(job.attempt, self.backlog(now, job.urgency));
            return Err(Refusal::Full { retry_after });
        }
        let at = self.urgent.partition_point(|w| w.job.deadline <= job.deadline);
        let first = self.urgent_start(now, at) + self.pace.until_first(&job);
        let left = micros(job.deadline.since(now));
        if first > left {
            // Another replica may have room, and asking it costs a millisecond; but only once, or
            // under saturation each request would be offered everywhere.
            if job.may_bounce {
                return Err(Refusal::Bounced);
            }
            let retry_after = self.retry_after(job.attempt, first - left);
            return Err(Refusal::TooLate { retry_after });
        }
        self.urgent.insert(at, Waiting { job, since: now });
        Ok(())
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
