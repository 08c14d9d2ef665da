use std::time::Duration;

use hgw_types::{ModelId, Time};
use hgw_wire::peer::Demand;
use indexmap::IndexMap;

/// Slot time of an urgent request until one was measured, in seconds.
const USUAL_SERVICE: f64 = 0.3;

/// Least sum of recent requests that a model is remembered for.
const FORGOTTEN: f64 = 0.01;

/// Least time that the first message covers, in seconds: too short makes engines look too busy.
const FIRST_MESSAGE: f64 = 1.0;

/// Demand for one model as sums that fade.
#[derive(Debug, Default)]
struct Sums {
    urgent: f64,
    unmet: f64,
    busy: f64,
}

/// Recent demand in the domain.
#[derive(Debug)]
pub(super) struct Seen {
    half_life: f64,
    began: Option<Time>,
    at: Time,
    models: IndexMap<ModelId, Sums>,
}

impl Seen {
    pub(super) fn new(half_life: Duration) -> Self {
        Seen {
            half_life: half_life.as_secs_f64(),
            began: None,
            at: Time::ZERO,
            models: IndexMap::new(),
        }
    }

    pub(super) fn add(&mut self, now: Time, demand: &[Demand]) {
        self.fade(now);
        self.began.get_or_insert(now);
        for d in demand {
            let sums = self.models.entry(d.model.clone()).or_default();
            sums.urgent += f64::from(d.urgent);
            sums.unmet += f64::from(d.unmet);
            sums.busy += d.busy_ms as f64 / 1000.0;
        }
    }

    pub(super) fn fade(&mut self, now: Time) {
        let factor = 0.5_f64.powf(now.since(self.at).as_secs_f64() / self.half_life);
        self.at = now;
        for sums in self.models.values_mut() {
            sums.urgent *= factor;
            sums.unmet *= factor;
            sums.busy *= factor;
        }
        self.models.retain(|_, s| s.urgent + s.unmet > FORGOTTEN);
    }

    /// Urgent requests a second that found no room.
    pub(super) fn unmet(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |s| s.unmet) * self.per_second()
    }

    /// Models of which some requests found no room.
    pub(super) fn short(&self) -> impl Iterator<Item = &ModelId> {
        self.models.iter().filter(|(_, s)| s.unmet > 0.0).map(|(model, _)| model)
    }

    /// Slots that urgent work for the model keeps busy on average.
    pub(super) fn load(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |s| s.busy) * self.per_second()
    }

    /// Slot time of one urgent request, in seconds.
    pub(super) fn service(&self, model: &ModelId) -> f64 {
        let measured = self.models.get(model).filter(|s| s.urgent >= 1.0 && s.busy > 0.0);
        measured.map_or(USUAL_SERVICE, |s| s.busy / s.urgent)
    }

    /// A replica that will serve this many of the unmet requests a second has been asked for.
    pub(super) fn answered(&mut self, model: &ModelId, rate: f64) {
        let per_second = self.per_second();
        if let Some(sums) = self.models.get_mut(model) {
            sums.unmet = (sums.unmet - rate / per_second).max(0.0);
        }
    }

    /// What turns a sum into a rate.
    ///
    /// A new keeper's sums cover less time than those of one that has watched for long; taken for
    /// the same they would make busy engines look idle, and the first thing it did would be moves.
    fn per_second(&self) -> f64 {
        let watched = self.began.map_or(0.0, |t| self.at.since(t).as_secs_f64()) + FIRST_MESSAGE;
        let covered = 1.0 - 0.5_f64.powf(watched / self.half_life);
        std::f64::consts::LN_2 / self.half_life / covered
    }
}
