//! Whether a second attempt helps after an engine's own failure.
//!
//! An engine that fails a request may be the cause, and then another one serves it; or the request is the cause, and
//! fails everywhere. A node learns which from how second attempts end, for each route, and from whether the
//! engine fails more often than the others of its service.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decay::decay;
use crate::{EngineId, Millis, ServiceId};

/// What a failure is put down to before a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// The engine fails more often than the others of its service.
    Engine,
    /// The engine fails as others do.
    Unknown,
}

/// What to do after an engine's own failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Make a second attempt, whose outcome is to be recorded with this.
    Retry(FailureCause),
    /// The request would fail again.
    Unlikely,
    /// The caller does not wait for as long as such requests take.
    TooLate,
}

/// An engine's own failure of a request that may be sent again.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    pub route: &'a str,
    pub service: &'a ServiceId,
    pub engine: &'a EngineId,
    pub time_left: Duration,
    /// In `0..1`, for exploration.
    pub random: f64,
}

/// Share of second attempts that must succeed for another one to be made. One that fails costs an engine and the budget as
/// much as a first attempt, and callers retry by themselves.
const MIN_SUCCESS_SHARE: f64 = 0.3;

/// Successes that are assumed in advance, so that a node which knows nothing makes second attempts. Four in a row
/// must fail before it ceases to.
const PRIOR_SUCCESSES: f64 = 1.5;

/// Share of the failures after which a second attempt is made although it is unlikely to succeed, to notice a change.
const EXPLORED_SHARE: f64 = 0.05;

/// Half-life of the outcomes of second attempts: a node of many has one failure of a route in a quarter of a minute, or fewer.
/// A change is noticed by exploration.
const OUTCOME_HALF_LIFE_MS: f64 = 600_000.0;

/// Most outcomes that count, so that one success of an exploring attempt changes the decision.
const MAX_OUTCOMES: f64 = 8.0;

/// Half-life of what is known of engines.
const ENGINE_HALF_LIFE_MS: f64 = 60_000.0;

/// Factor by which an engine must fail more often than the others of its service to be the suspected cause.
const WORSE_FACTOR: f64 = 2.0;

/// Failures of an engine below which it is not compared with others: one or two come by chance.
const MIN_FAILURES: f64 = 2.0;

/// Successes that are assumed of an engine, and of the others together, as small counts say little.
const ASSUMED_SUCCESSES: f64 = 2.0;

/// Weight below which what is known of an engine is forgotten.
const MIN_WEIGHT: f64 = 0.01;

/// Weight of a new duration in the mean.
const NEW_DURATION_WEIGHT: f64 = 0.1;

/// Exponentially decaying counts of successes and failures.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    successes: f64,
    failures: f64,
    updated_at: Millis,
}

impl Counts {
    fn at(self, now: Millis, half_life_ms: f64) -> Counts {
        self.scaled(decay(now.saturating_sub(self.updated_at), half_life_ms), now)
    }

    fn scaled(self, factor: f64, now: Millis) -> Counts {
        Counts {
            successes: self.successes * factor,
            failures: self.failures * factor,
            updated_at: now,
        }
    }

    fn total(self) -> f64 {
        self.successes + self.failures
    }

    fn record(&mut self, now: Millis, half_life_ms: f64, is_failure: bool) {
        *self = self.at(now, half_life_ms);
        let count = if is_failure { &mut self.failures } else { &mut self.successes };
        *count += 1.0;
    }
}

/// What is known of a route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteOutcomes {
    after_engine: Counts,
    after_unknown: Counts,
    /// Mean time of the attempts that succeeded.
    mean_duration: Option<Duration>,
}

impl RouteOutcomes {
    fn of_cause(&mut self, cause: FailureCause) -> &mut Counts {
        match cause {
            FailureCause::Engine => &mut self.after_engine,
            FailureCause::Unknown => &mut self.after_unknown,
        }
    }
}

/// What a node has learned of second attempts. Routes and services are those of the configuration, which bounds
/// their number.
#[derive(Debug, Clone, Default)]
pub struct RetryOutcomes {
    routes: IndexMap<String, RouteOutcomes>,
    engines: IndexMap<ServiceId, IndexMap<EngineId, Counts>>,
}

impl RetryOutcomes {
    /// Records a complete response of an engine.
    pub fn record_response(
        &mut self,
        now: Millis,
        service: &ServiceId,
        engine: &EngineId,
        is_failure: bool,
    ) {
        let engines = self.engines.entry(service.clone()).or_default();
        let counts = engines.entry(engine.clone()).or_default();
        counts.record(now, ENGINE_HALF_LIFE_MS, is_failure);
        engines.retain(|_, counts| counts.at(now, ENGINE_HALF_LIFE_MS).total() >= MIN_WEIGHT);
    }

    /// Records how long an attempt took that succeeded.
    pub fn record_duration(&mut self, route: &str, took: Duration) {
        let mean = &mut self.route_mut(route).mean_duration;
        *mean = Some(mean.map_or(took, |mean| {
            mean.mul_f64(1.0 - NEW_DURATION_WEIGHT) + took.mul_f64(NEW_DURATION_WEIGHT)
        }));
    }

    /// Records how a second attempt ended.
    pub fn record_second_attempt(
        &mut self,
        now: Millis,
        route: &str,
        cause: FailureCause,
        is_failure: bool,
    ) {
        let counts = self.route_mut(route).of_cause(cause);
        counts.record(now, OUTCOME_HALF_LIFE_MS, is_failure);
        if counts.total() > MAX_OUTCOMES {
            *counts = counts.scaled(MAX_OUTCOMES / counts.total(), now);
        }
    }

    /// Whether a second attempt helps after this failure, which has been recorded.
    pub fn advise(&self, now: Millis, failed: &FailedAttempt<'_>) -> RetryAdvice {
        let mut route = self.routes.get(failed.route).copied().unwrap_or_default();
        if !self.has_time(failed.route, failed.time_left) {
            return RetryAdvice::TooLate;
        }
        let cause = self.cause(now, failed.service, failed.engine);
        let counts = route.of_cause(cause).at(now, OUTCOME_HALF_LIFE_MS);
        let success_share =
            (counts.successes + PRIOR_SUCCESSES) / (counts.total() + PRIOR_SUCCESSES);
        if success_share >= MIN_SUCCESS_SHARE || failed.random < EXPLORED_SHARE {
            RetryAdvice::Retry(cause)
        } else {
            RetryAdvice::Unlikely
        }
    }

    /// Whether an attempt of the route can end in this time; yes while nothing is known.
    pub fn has_time(&self, route: &str, time_left: Duration) -> bool {
        let mean = self.routes.get(route).and_then(|route| route.mean_duration);
        mean.is_none_or(|mean| mean <= time_left)
    }

    /// Whether an engine fails more often than the others of its service.
    fn cause(&self, now: Millis, service: &ServiceId, engine: &EngineId) -> FailureCause {
        let Some(engines) = self.engines.get(service) else { return FailureCause::Unknown };
        let (mut own, mut failures, mut total) = (Counts::default(), 0.0, 0.0);
        for (id, counts) in engines {
            let counts = counts.at(now, ENGINE_HALF_LIFE_MS);
            if id == engine {
                own = counts;
            } else {
                failures += counts.failures;
                total += counts.total();
            }
        }
        let own_share = own.failures / (own.total() + ASSUMED_SUCCESSES);
        let others_share = failures / (total + ASSUMED_SUCCESSES);
        let is_worse = own.failures >= MIN_FAILURES && own_share > WORSE_FACTOR * others_share;
        if is_worse { FailureCause::Engine } else { FailureCause::Unknown }
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteOutcomes {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteOutcomes::default());
        }
        &mut self.routes[route]
    }
}
