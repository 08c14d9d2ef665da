//! Changes of the models loaded on engines, in order, for the nodes that poll this one.

use hgw_direct::{ChangeLog, ChangePosition, EngineId};
use rand::random;

/// Maximum number of engines in one response, about 60 KB.
const MAX_ENGINES_PER_RESPONSE: usize = 256;

/// Engines whose loaded models changed.
#[derive(Debug)]
pub(crate) struct PlacementChanges(ChangeLog<EngineId>);

impl Default for PlacementChanges {
    fn default() -> Self {
        PlacementChanges(ChangeLog::new(random()))
    }
}

impl PlacementChanges {
    pub(crate) fn record(&mut self, engine: &EngineId) {
        self.0.record(engine);
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.0.retain(is_known);
    }

    /// Whether there is no change after `position`.
    pub(crate) fn is_up_to_date(&self, position: ChangePosition) -> bool {
        self.0.is_up_to_date(position)
    }

    /// Engines that changed after `position`, the earliest first, and the new position. Later polls
    /// return what does not fit.
    pub(crate) fn changes_since(
        &self,
        position: ChangePosition,
    ) -> (ChangePosition, Vec<EngineId>) {
        self.0.since(position, MAX_ENGINES_PER_RESPONSE)
    }
}
