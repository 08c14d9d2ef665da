//! Changes of the models loaded on engines, in order, for the nodes that poll this one.

use hgw_direct::{ChangePosition, EngineId};
use indexmap::IndexMap;
use rand::random;

/// Maximum number of engines in one response, about 60 KB.
const MAX_ENGINES_PER_RESPONSE: usize = 256;

/// Version of the last change of each engine.
#[derive(Debug)]
pub(crate) struct PlacementChanges {
    process_id: u64,
    version: u64,
    versions: IndexMap<EngineId, u64>,
}

impl Default for PlacementChanges {
    fn default() -> Self {
        PlacementChanges { process_id: random(), version: 0, versions: IndexMap::default() }
    }
}

impl PlacementChanges {
    pub(crate) fn record(&mut self, engine: &EngineId) {
        self.version += 1;
        self.versions.insert(engine.clone(), self.version);
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.versions.retain(|id, _| is_known(id));
    }

    /// Whether there is no change after `position`.
    pub(crate) fn is_up_to_date(&self, position: ChangePosition) -> bool {
        let seen = position.in_changes_of(self.process_id);
        seen.is_some_and(|seen| seen >= self.version) || self.versions.is_empty()
    }

    /// Engines that changed after `position`, the earliest first, and the new position. Later polls
    /// return what does not fit.
    pub(crate) fn changes_since(
        &self,
        position: ChangePosition,
    ) -> (ChangePosition, Vec<EngineId>) {
        let since = position.in_changes_of(self.process_id).unwrap_or(0);
        let changed = self.versions.iter().filter(|(_, version)| **version > since);
        let mut changed: Vec<(u64, &EngineId)> =
            changed.map(|(id, version)| (*version, id)).collect();
        changed.sort_unstable_by_key(|(version, _)| *version);
        let version =
            changed.get(MAX_ENGINES_PER_RESPONSE - 1).map_or(self.version, |(version, _)| *version);
        changed.truncate(MAX_ENGINES_PER_RESPONSE);
        (
            ChangePosition::new(self.process_id, version),
            changed.into_iter().map(|(_, id)| id.clone()).collect(),
        )
    }
}
