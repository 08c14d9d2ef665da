//! Counts demand by model, for the keeper.

use std::time::Duration;

use hgw_types::ModelId;
use hgw_wire::peer::{Demand, Submit, Work};
use indexmap::IndexMap;

use crate::entry::Unmet;
use crate::handover::millis;

/// Demand since it was last told.
#[derive(Debug, Default)]
pub(crate) struct DemandCount {
    models: IndexMap<ModelId, Demand>,
}

impl DemandCount {
    pub(crate) fn arrived(&mut self, submit: &Submit) {
        let Some(count) = self.of(submit) else { return };
        if submit.urgency.is_urgent() {
            count.urgent += 1;
        } else {
            count.deferrable += 1;
        }
    }

    /// Adds slot time. Work that may wait uses what urgent work leaves: counted as load it would make
    /// every engine look full, and no replica would seem to help.
    pub(crate) fn ran(&mut self, submit: &Submit, took: Duration) {
        if let Some(count) = self.of(submit).filter(|_| submit.urgency.is_urgent()) {
            count.busy_ms += millis(took);
        }
    }

    /// Adds what the entry role found no room for, and gives the whole for the keeper.
    pub(crate) fn take(&mut self, unmet: Unmet) -> Vec<Demand> {
        for (model, missing) in unmet {
            let count = self.model(&model);
            count.unmet += missing.requests;
            count.adapters = missing.adapters;
        }
        std::mem::take(&mut self.models).into_values().collect()
    }

    fn of(&mut self, submit: &Submit) -> Option<&mut Demand> {
        match &submit.work {
            Work::Model(work) => Some(self.model(&work.model)),
            Work::Plain(_) => None,
        }
    }

    fn model(&mut self, model: &ModelId) -> &mut Demand {
        self.models.entry(model.clone()).or_insert_with(|| Demand {
            model: model.clone(),
            urgent: 0,
            deferrable: 0,
            unmet: 0,
            busy_ms: 0,
            adapters: Vec::new(),
        })
    }
}
