//! Costs of an engine's speed for one request.

use std::time::Duration;

use super::estimate::{EngineSpeed, MeanSpeed, SpeedEstimate};
use crate::{Millis, Prompt};

/// Cost of a stream or call that is late: less than half that of a failure, as a late response is worth a third to a
/// half of one in time.
const LATE_MS: f64 = 800.0;

/// Cost of a stream that the caller's deadline cuts off: it is lost, and has used the engine.
const CUT_OFF_MS: f64 = 1_500.0;

/// Part of the time left that a stream is expected to take, from which it may be cut off. Hints are right in the
/// median only, and engines slow down at times.
const SAFE_TIME_SHARE: f64 = 0.5;

/// Part of the slots in use from which an engine counts as crowded. The rest takes what other nodes send at the
/// same moment.
const CROWDED_SHARE: f64 = 0.75;

/// Cost of an engine whose slots are all in use. Two or three queued requests at an engine of twelve slots cost as
/// much, so that streams go to the next slower engine with room before they queue at a fast one.
const CROWDED_MS: f64 = 300.0;

/// Share of requests that try engines whose speed is hardly known, as those get nothing while a good engine has room.
const EXPLORING_SHARE: f64 = 0.05;

/// Part of the maximum output that a stream without a hint is expected to have.
const UNHINTED_SHARE: f64 = 0.5;

/// What a request needs of an engine's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedNeeds {
    /// Expected number of events; `None` for a call.
    pub events: Option<f64>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time in which a call should be answered.
    pub objective: Duration,
}

/// Expected number of events of the stream that responds to a prompt. An event counts as one token if nothing else
/// is known.
pub fn expected_events(prompt: &Prompt, tokens_per_event: Option<u32>) -> f64 {
    let max = f64::from(prompt.max_output_tokens);
    let hint = prompt.length_hint.map(f64::from);
    let tokens = match hint {
        Some(hint) if max > 0.0 => hint.min(max),
        Some(hint) => hint,
        None => UNHINTED_SHARE * max,
    };
    (tokens / f64::from(tokens_per_event.unwrap_or(1).max(1))).max(1.0)
}

/// Cost of the engine's speed for a request, in milliseconds. 0 for all engines while nothing is known of the
/// service. `fill` is the part of the engine's slots in use.
pub(crate) fn speed_cost_ms(
    speed: &EngineSpeed,
    mean: &MeanSpeed,
    needs: &SpeedNeeds,
    fill: f64,
    now: Millis,
) -> f64 {
    match needs.events {
        Some(events) if mean.knows_events() => {
            stream_cost_ms(&speed.estimate(mean, now), needs, events) + crowding_ms(fill)
        }
        None if mean.knows_calls() => {
            call_cost_ms(&speed.estimate(mean, now), needs, speed.work_time_factor(now))
        }
        _ => 0.0,
    }
}

/// Whether a request with this random number in `0..1` tries the engine regardless of its speed.
pub(crate) fn explores(speed: &EngineSpeed, random: f64, now: Millis) -> bool {
    random < EXPLORING_SHARE && speed.is_hardly_known(now)
}

fn stream_cost_ms(estimate: &SpeedEstimate, needs: &SpeedNeeds, events: f64) -> f64 {
    let late = 1.0 - (-estimate.pauses_per_event * events).exp();
    let time_left = (needs.time_left.as_secs_f64() * 1_000.0).max(1.0);
    let used = events * estimate.ms_per_event / time_left;
    let cut_off = ((used - SAFE_TIME_SHARE) / (1.0 - SAFE_TIME_SHARE)).clamp(0.0, 1.0);
    LATE_MS * late + CUT_OFF_MS * cut_off
}

/// Times of calls are taken to be distributed exponentially.
fn call_cost_ms(estimate: &SpeedEstimate, needs: &SpeedNeeds, work_time_factor: f64) -> f64 {
    let call_ms = (estimate.call_ms * work_time_factor).max(f64::EPSILON);
    let objective_ms = needs.objective.as_secs_f64() * 1_000.0;
    call_ms + LATE_MS * (-objective_ms / call_ms).exp()
}

/// Grows with the square of the slots in use beyond the crowded share, up to the last slot.
fn crowding_ms(fill: f64) -> f64 {
    let crowded = ((fill - CROWDED_SHARE) / (1.0 - CROWDED_SHARE)).clamp(0.0, 1.0);
    CROWDED_MS * crowded * crowded
}
