//! The latest change of each key, for other nodes that have seen earlier ones.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::ChangePosition;

/// The latest change of each key in one process.
#[derive(Debug)]
pub struct ChangeLog<K> {
    process_id: u64,
    /// Number of changes so far.
    changes: u64,
    /// Number of the latest change of each key.
    latest: IndexMap<K, u64>,
}

impl<K> Default for ChangeLog<K> {
    fn default() -> Self {
        ChangeLog { process_id: 0, changes: 0, latest: IndexMap::new() }
    }
}

impl<K: Clone + Eq + Hash> ChangeLog<K> {
    /// The log of a process with this identifier, which is not 0.
    pub fn new(process_id: u64) -> ChangeLog<K> {
        ChangeLog { process_id, ..ChangeLog::default() }
    }

    /// Number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn record(&mut self, key: &K) {
        self.changes += 1;
        self.latest.insert(key.clone(), self.changes);
    }

    /// Forgets the earliest changes beyond `max_keys` keys.
    pub fn truncate(&mut self, max_keys: usize) {
        if self.latest.len() > max_keys {
            self.latest.sort_unstable_by_key(|_, change| *change);
            self.latest.drain(..self.latest.len() - max_keys);
        }
    }

    pub fn forget(&mut self, key: &K) {
        self.latest.shift_remove(key);
    }

    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.latest.retain(|key, _| is_known(key));
    }

    /// Whether there is no change after `position`.
    pub fn is_up_to_date(&self, position: ChangePosition) -> bool {
        let seen = position.in_changes_of(self.process_id);
        self.latest.is_empty() || seen.is_some_and(|seen| seen >= self.changes)
    }

    /// Up to `max` keys that changed after `position`, the earliest first, and the new position.
    /// Later calls return what does not fit.
    pub fn since(&self, position: ChangePosition, max: usize) -> (ChangePosition, Vec<K>) {
        let seen = position.in_changes_of(self.process_id).unwrap_or(0);
        let changed = self.latest.iter().filter(|(_, change)| **change > seen);
        let mut changed: Vec<(&K, u64)> = changed.map(|(key, change)| (key, *change)).collect();
        changed.sort_unstable_by_key(|(_, change)| *change);
        let last = changed.get(max - 1).map_or(self.changes, |(_, change)| *change);
        let keys = changed.into_iter().take(max).map(|(key, _)| key.clone()).collect();
        (ChangePosition::new(self.process_id, last), keys)
    }
}
