//! Changes of the models loaded on engines, in order, for the nodes that poll this one.

use hgw_direct::EngineId;
use indexmap::IndexMap;
use rand::random;
use serde::{Deserialize, Serialize};

/// Maximum number of engines in one response, about 60 KB.
const MOST_TOLD: usize = 256;

/// Position in a node's changes: an identifier of the process, so that a restarted node is not
/// confused with its predecessor, and a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heard(u64, u64);

/// Version of the last change of each engine.
#[derive(Debug)]
pub(crate) struct Placements {
    counter: u64,
    version: u64,
    versions: IndexMap<EngineId, u64>,
}

impl Default for Placements {
    fn default() -> Self {
        Placements { counter: random(), version: 0, versions: IndexMap::default() }
    }
}

impl Placements {
    pub(crate) fn changed(&mut self, engine: &EngineId) {
        self.version += 1;
        self.versions.insert(engine.clone(), self.version);
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.versions.retain(|id, _| is_known(id));
    }

    /// Whether there is no change after `heard`.
    pub(crate) fn has_nothing_since(&self, position: Heard) -> bool {
        position.0 == self.counter && position.1 >= self.version || self.versions.is_empty()
    }

    /// Engines that changed after `heard`, the earliest first, and the new position. Later polls
    /// return what does not fit.
    pub(crate) fn since(&self, position: Heard) -> (Heard, Vec<EngineId>) {
        let since = if position.0 == self.counter { position.1 } else { 0 };
        let newer = self.versions.iter().filter(|(_, version)| **version > since);
        let mut newer: Vec<(u64, &EngineId)> = newer.map(|(id, version)| (*version, id)).collect();
        newer.sort_unstable_by_key(|(version, _)| *version);
        let version = newer.get(MOST_TOLD - 1).map_or(self.version, |(version, _)| *version);
        newer.truncate(MOST_TOLD);
        (Heard(self.counter, version), newer.into_iter().map(|(_, id)| id.clone()).collect())
    }
}
