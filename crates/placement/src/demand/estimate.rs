//! Decaying estimate of recent demand.

use std::time::Duration;

use hgw_types::{ModelId, Time};
use hgw_wire::peer::Demand;
use indexmap::IndexMap;

/// Assumed service time of an urgent request before one is observed, in seconds.
const DEFAULT_SERVICE_SECS: f64 = 0.3;

/// Models whose decayed request count is at most this are removed.
const MIN_REQUESTS: f64 = 0.01;

/// Assumed period that the first report covers, in seconds; without it the first rates would be far
/// too high.
const FIRST_REPORT_SECS: f64 = 1.0;

/// Exponentially decaying sums of demand for one model.
#[derive(Debug, Default)]
struct Sums {
    urgent: f64,
    unmet: f64,
    busy: f64,
}

/// Estimate of recent demand in the domain.
#[derive(Debug)]
pub(super) struct DemandEstimate {
    half_life: f64,
    first_report: Option<Time>,
    decayed_at: Time,
    models: IndexMap<ModelId, Sums>,
}

impl DemandEstimate {
    pub(super) fn new(half_life: Duration) -> Self {
        DemandEstimate {
            half_life: half_life.as_secs_f64(),
            first_report: None,
            decayed_at: Time::ZERO,
            models: IndexMap::new(),
        }
    }

    pub(super) fn add(&mut self, now: Time, demand: &[Demand]) {
        self.decay(now);
        self.first_report.get_or_insert(now);
        for d in demand {
            let sums = self.models.entry(d.model.clone()).or_default();
            sums.urgent += f64::from(d.urgent);
            sums.unmet += f64::from(d.unmet);
            sums.busy += d.busy_ms as f64 / 1000.0;
        }
    }

    pub(super) fn decay(&mut self, now: Time) {
        let factor = 0.5_f64.powf(now.since(self.decayed_at).as_secs_f64() / self.half_life);
        self.decayed_at = now;
        for sums in self.models.values_mut() {
            sums.urgent *= factor;
            sums.unmet *= factor;
            sums.busy *= factor;
        }
        self.models.retain(|_, s| s.urgent + s.unmet > MIN_REQUESTS);
    }

    /// Urgent requests per second that found no capacity.
    pub(super) fn unmet(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |s| s.unmet) * self.sum_to_rate()
    }

    /// Models with unmet requests.
    pub(super) fn models_with_unmet_demand(&self) -> impl Iterator<Item = &ModelId> {
        self.models.iter().filter(|(_, s)| s.unmet > 0.0).map(|(model, _)| model)
    }

    /// Average number of slots used by urgent requests for the model.
    pub(super) fn busy_slots(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |s| s.busy) * self.sum_to_rate()
    }

    /// Service time of an urgent request, in seconds.
    pub(super) fn service_secs(&self, model: &ModelId) -> f64 {
        let observed = self.models.get(model).filter(|s| s.urgent >= 1.0 && s.busy > 0.0);
        observed.map_or(DEFAULT_SERVICE_SECS, |s| s.busy / s.urgent)
    }

    /// Reduces the unmet demand by `rate` requests per second that a planned replica will serve.
    pub(super) fn reduce_unmet(&mut self, model: &ModelId, rate: f64) {
        let per_second = self.sum_to_rate();
        if let Some(sums) = self.models.get_mut(model) {
            sums.unmet = (sums.unmet - rate / per_second).max(0.0);
        }
    }

    /// Factor that converts a decayed sum to a rate.
    ///
    /// Corrects for sums that cover less time than the decay window, as on a new leader. Without
    /// that, busy engines would look idle to it.
    fn sum_to_rate(&self) -> f64 {
        let observed_secs =
            self.first_report.map_or(0.0, |t| self.decayed_at.since(t).as_secs_f64())
                + FIRST_REPORT_SECS;
        let covered = 1.0 - 0.5_f64.powf(observed_secs / self.half_life);
        std::f64::consts::LN_2 / self.half_life / covered
    }
}
