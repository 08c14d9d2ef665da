//! How fast an engine is, from few or many observations.

use super::sums::{DecayingSums, SpeedSums};
use crate::Millis;

/// Weight of the mean of the service in an engine's estimate, in events: about five streams.
const PRIOR_EVENTS: f64 = 150.0;

/// The same in calls.
const PRIOR_CALLS: f64 = 5.0;

/// Events of a service from which its mean is known well enough to tell its engines apart: about ten streams.
const MIN_MEAN_EVENTS: f64 = 300.0;

/// The same in calls.
const MIN_MEAN_CALLS: f64 = 10.0;

/// Time for which the work time that an engine named holds. It changes many times a second.
const WORK_TIME_TTL: Millis = 100;

/// Bounds of the work time that is believed, as a factor of the usual time.
const WORK_TIME_BOUNDS: (f64, f64) = (0.25, 10.0);

/// Bounds of an engine's slowness, so that a few odd streams do not decide the placement of models.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 4.0);

/// What is known of one incarnation of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineSpeed {
    known: DecayingSums,
    /// The work time that it named last, as a factor of the usual time, and when.
    work_time: Option<(f64, Millis)>,
}

impl EngineSpeed {
    /// Adds observations of this or another node.
    pub fn add(&mut self, sums: SpeedSums, now: Millis) {
        self.known.add(sums, now);
    }

    /// Replaces what is known by what all nodes have observed.
    pub(super) fn replace(&mut self, known: DecayingSums) {
        self.known = known;
    }

    pub(super) fn known(&self) -> &DecayingSums {
        &self.known
    }

    /// Records the work time that the engine names, in percent of the usual time.
    pub fn record_work_time(&mut self, percent: u32, now: Millis) {
        let (min, max) = WORK_TIME_BOUNDS;
        self.work_time = Some(((f64::from(percent) / 100.0).clamp(min, max), now));
    }

    /// How long work takes there now, as a factor of the usual time; 1 if that is not known.
    pub fn work_time_factor(&self, now: Millis) -> f64 {
        let recent = self.work_time.filter(|(_, at)| now.saturating_sub(*at) < WORK_TIME_TTL);
        recent.map_or(1.0, |(factor, _)| factor)
    }

    /// Whether it counts by more than the mean of its service.
    pub fn is_known(&self, now: Millis) -> bool {
        let sums = self.known.at(now);
        sums.events >= PRIOR_EVENTS || sums.calls >= PRIOR_CALLS
    }

    /// Whether it counts by less than half as much as the mean of its service.
    pub(super) fn is_hardly_known(&self, now: Millis) -> bool {
        let sums = self.known.at(now);
        sums.events < 0.5 * PRIOR_EVENTS && sums.calls < 0.5 * PRIOR_CALLS
    }

    pub fn estimate(&self, mean: &MeanSpeed, now: Millis) -> SpeedEstimate {
        mean.estimate(self.known.at(now))
    }
}

/// How fast an engine is expected to be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Mean time from one event to the next, in milliseconds.
    pub ms_per_event: f64,
    /// Pauses above the route's target per event.
    pub pauses_per_event: f64,
    /// Mean time of a call at the engine's usual speed, in milliseconds.
    pub call_ms: f64,
}

/// Mean speed of the engines of a service, which stands for what is not known of one of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanSpeed {
    sums: SpeedSums,
}

impl MeanSpeed {
    pub fn of<'a>(speeds: impl Iterator<Item = &'a EngineSpeed>) -> MeanSpeed {
        // Each engine counts by its latest weight: the mean needs to be known only roughly.
        let sums =
            speeds.map(|speed| speed.known.latest()).fold(SpeedSums::default(), SpeedSums::plus);
        MeanSpeed { sums }
    }

    /// Whether the service streams events and enough of them were observed.
    pub fn knows_events(&self) -> bool {
        self.sums.events >= MIN_MEAN_EVENTS
    }

    /// How much longer events take at an engine than on average, as a factor; 1 while nothing is known of the service.
    pub fn slowness(&self, speed: &EngineSpeed, now: Millis) -> f64 {
        let mean = self.mean().ms_per_event;
        if !self.knows_events() || mean <= 0.0 {
            return 1.0;
        }
        let (min, max) = SLOWNESS_BOUNDS;
        (speed.estimate(self, now).ms_per_event / mean).clamp(min, max)
    }

    /// Whether enough calls were observed.
    pub fn knows_calls(&self) -> bool {
        self.sums.calls >= MIN_MEAN_CALLS
    }

    /// Speed of an engine of which nothing is known.
    pub fn mean(&self) -> SpeedEstimate {
        self.estimate(SpeedSums::default())
    }

    pub(super) fn estimate(&self, sums: SpeedSums) -> SpeedEstimate {
        let mean = &self.sums;
        SpeedEstimate {
            ms_per_event: shrunk(
                sums.event_ms,
                sums.events,
                mean.event_ms,
                mean.events,
                PRIOR_EVENTS,
            ),
            pauses_per_event: shrunk(
                sums.pauses,
                sums.events,
                mean.pauses,
                mean.events,
                PRIOR_EVENTS,
            ),
            call_ms: shrunk(sums.call_ms, sums.calls, mean.call_ms, mean.calls, PRIOR_CALLS),
        }
    }
}

/// Ratio of two sums, drawn towards that of the mean by `weight` observations.
fn shrunk(sum: f64, count: f64, mean_sum: f64, mean_count: f64, weight: f64) -> f64 {
    if mean_count <= 0.0 {
        return if count > 0.0 { sum / count } else { 0.0 };
    }
    (sum + weight * mean_sum / mean_count) / (count + weight)
}
