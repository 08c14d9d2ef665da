//! What the engines of a service complete.

use std::time::Duration;

use super::rate::EventRate;
use super::report::CompletionCount;
use crate::Millis;

/// Responses of engines with unused slots, by weight, from which the time of a call is known.
const MIN_IDLE: f64 = 3.0;

/// Time for which the load must have been low, or high, to learn from responses: as long as reports
/// take, and as their rates remember.
const SETTLING_TIME: Millis = 1_500;

/// Time of reports after which their sum is that of all nodes: two intervals of reports.
const MIN_REPORTED_TIME: Millis = 1_000;

/// Weight of the latest measurement in what one slot completes.
const SLOT_RATE_WEIGHT: f64 = 0.2;

/// Part of the requests that may wait longer than their objective allows.
const LATE_SHARE: f64 = 0.05;

/// Bounds of the utilization that is aimed at.
const MIN_UTILIZATION: f64 = 0.5;
const MAX_UTILIZATION: f64 = 0.95;

/// Weight of the latest load in its mean, which is to outlast the fluctuations of a few calls.
const LOAD_WEIGHT: f64 = 0.3;

/// Requests at engines, as a part of their slots, above and below which the estimate is corrected.
/// Above the first, all slots are in use nearly all the time; below the second some are not, as nodes
/// do not spread calls evenly and their counts include calls on the way.
const HIGH_LOAD: f64 = 1.8;
const LOW_LOAD: f64 = 1.2;

/// Bounds and steps of the factor by which the estimate is corrected from the load of the engines.
/// Steps are small, as the load shows the effect of a step only after several decisions.
const MIN_CORRECTION: f64 = 0.85;
const MAX_CORRECTION: f64 = 1.3;
const CORRECTION_DOWN: f64 = 0.95;
const CORRECTION_UP: f64 = 1.04;

#[derive(Debug, Clone, Default)]
pub(super) struct Capacity {
    idle: EventRate,
    idle_ms: EventRate,
    busy: EventRate,
    slot_rate: Option<SlotRate>,
    /// Mean load, and since when it has been on the same side of [`HIGH_LOAD`].
    load: Option<(f64, Millis)>,
    /// Factor from the load.
    correction: Option<f64>,
}

/// Requests that one slot completes.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SlotRate {
    per_second: f64,
    /// Whether it may include the time that calls wait at engines.
    is_provisional: bool,
}

impl Capacity {
    pub(super) fn record(&mut self, count: &CompletionCount, now: Millis) {
        self.idle.record(now, f64::from(count.idle));
        self.idle_ms.record(now, count.idle_ms as f64);
        self.busy.record(now, f64::from(count.busy));
    }

    /// Records the number of requests at engines, as a part of their slots.
    pub(super) fn observe_load(&mut self, load: f64, now: Millis) {
        let (mean, since) = self.load.unwrap_or((load, now));
        let new_mean = mean + LOAD_WEIGHT * (load - mean);
        let is_same_side = (new_mean > HIGH_LOAD) == (mean > HIGH_LOAD);
        self.load = Some((new_mean, if is_same_side { since } else { now }));
    }

    /// Learns what one of `slots` slots completes, from reports since `since`.
    pub(super) fn learn(&mut self, slots: u32, since: Millis, now: Millis) {
        let Some((load, load_since)) = self.load else { return };
        let is_settled = now.saturating_sub(load_since) >= SETTLING_TIME;
        let (idle, saturated) = (self.idle_rate(now), self.saturated_rate(slots, since, now));
        let measured = match (load > HIGH_LOAD, is_settled) {
            (false, _) => idle,
            (true, true) => saturated,
            // Calls have waited, and not all of them have been reported: both are too low.
            (true, false) => idle.into_iter().chain(saturated).reduce(f64::max),
        };
        let Some(measured) = measured.filter(|rate| *rate > 0.0) else { return };
        let is_provisional = !is_settled;
        let per_second = match self.slot_rate {
            Some(known) if is_provisional && !known.is_provisional => return,
            Some(known) if is_provisional == known.is_provisional => {
                known.per_second + SLOT_RATE_WEIGHT * (measured - known.per_second)
            }
            _ => measured,
        };
        self.slot_rate = Some(SlotRate { per_second, is_provisional });
    }

    /// While all slots are in use, what is completed is all that can be.
    fn saturated_rate(&self, slots: u32, since: Millis, now: Millis) -> Option<f64> {
        let is_complete = now.saturating_sub(since) >= MIN_REPORTED_TIME && slots > 0;
        let per_second = self.busy.per_second(since, now) + self.idle.per_second(since, now);
        is_complete.then(|| per_second / f64::from(slots))
    }

    /// From the time of calls that left a slot unused, and so have hardly waited.
    fn idle_rate(&self, now: Millis) -> Option<f64> {
        let idle = self.idle.decayed(now);
        (idle >= MIN_IDLE).then(|| 1_000.0 * idle / self.idle_ms.decayed(now).max(idle))
    }

    /// Whether all engines together have had no unused slot for some time.
    pub(super) fn is_saturated(&self) -> bool {
        self.load.is_some_and(|(load, _)| load > HIGH_LOAD)
    }

    /// Corrects the estimate by the load, which admission has determined for some time.
    pub(super) fn correct(&mut self) {
        let correction = self.correction.unwrap_or(1.0);
        let factor = match self.load {
            Some((load, _)) if load > HIGH_LOAD => CORRECTION_DOWN,
            Some((load, _)) if load < LOW_LOAD => CORRECTION_UP,
            _ => 1.0,
        };
        self.correction = Some((correction * factor).clamp(MIN_CORRECTION, MAX_CORRECTION));
    }

    pub(super) fn reset_correction(&mut self) {
        self.correction = None;
    }

    /// Requests per second that `slots` slots of `engines` engines complete so that nearly all are
    /// served within `objective`; none if nothing is known.
    pub(super) fn per_second(&self, slots: u32, engines: u32, objective: Duration) -> Option<f64> {
        let slot_rate = self.slot_rate?.per_second;
        let utilization = max_utilization(slots, engines, slot_rate, objective);
        Some(f64::from(slots) * slot_rate * utilization * self.correction.unwrap_or(1.0))
    }
}

/// Utilization at which a request waits longer than its objective allows with a probability of
/// [`LATE_SHARE`]. The time that requests wait falls off exponentially, by the rate at which one engine
/// completes more than it gets: nodes do not know the loads well enough to use all engines as one.
fn max_utilization(slots: u32, engines: u32, slot_rate: f64, objective: Duration) -> f64 {
    let call_time = 1.0 / slot_rate.max(f64::MIN_POSITIVE);
    let slack = objective.as_secs_f64() - call_time;
    if slack <= 0.0 {
        return MIN_UTILIZATION;
    }
    let slots_per_engine = f64::from(slots.max(1)) / f64::from(engines.max(1));
    let unused = -LATE_SHARE.ln() * call_time / (slots_per_engine * slack);
    (1.0 - unused).clamp(MIN_UTILIZATION, MAX_UTILIZATION)
}
