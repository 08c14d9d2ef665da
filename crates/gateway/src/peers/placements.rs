//! What engines hold, as it changes: what a node tells those that ask it.

use hgw_direct::EngineId;
use indexmap::IndexMap;
use rand::random;
use serde::{Deserialize, Serialize};

/// Engines of which one answer tells what they hold: some sixty kilobytes.
const MOST_TOLD: usize = 256;

/// How far a node has heard of what engines hold, by the count of the node that told it. Each process counts for
/// itself, so that one that has started again is not taken for the one before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heard(u64, u64);

/// The engines of which it changed what they hold, in the order of the changes.
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
    /// What an engine holds has changed.
    pub(crate) fn changed(&mut self, engine: &EngineId) {
        self.version += 1;
        self.versions.insert(engine.clone(), self.version);
    }

    /// Engines that are gone are forgotten.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.versions.retain(|id, _| is_known(id));
    }

    /// Whether a node that has heard so much has heard all.
    pub(crate) fn has_nothing_since(&self, heard: Heard) -> bool {
        heard.0 == self.counter && heard.1 >= self.version || self.versions.is_empty()
    }

    /// The engines that changed since, with how far that goes. The rest comes with the next question.
    pub(crate) fn since(&self, heard: Heard) -> (Heard, Vec<EngineId>) {
        let since = if heard.0 == self.counter { heard.1 } else { 0 };
        let newer = self.versions.iter().filter(|(_, version)| **version > since);
        let mut newer: Vec<(u64, &EngineId)> = newer.map(|(id, version)| (*version, id)).collect();
        newer.sort_unstable_by_key(|(version, _)| *version);
        let version = newer.get(MOST_TOLD - 1).map_or(self.version, |(version, _)| *version);
        newer.truncate(MOST_TOLD);
        (Heard(self.counter, version), newer.into_iter().map(|(_, id)| id.clone()).collect())
    }
}
