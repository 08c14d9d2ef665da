//! Distributes the list of engines from the node that reads it from the store to the others.

mod receiver;
mod update;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    ChangePosition, Cursor, Engine, EngineId, EngineState, Engines, StartTime, VersionKey,
};

pub use receiver::ListReceiver;
pub use update::{EngineRecord, ListUpdate, ListUpdateKind};

/// Version of a list of engines: the position in the store's log up to which it was read, and the
/// number of changes that were learned at that position without reading on.
///
/// A list that was read further is newer, whatever was learned at earlier positions. Each node counts
/// its own changes, so counts of different nodes are not compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListVersion(Cursor, u32);

impl ListVersion {
    /// The version of a list that was read up to here.
    pub fn at_position(cursor: Cursor) -> ListVersion {
        ListVersion(cursor, 0)
    }

    /// How far the log was read.
    pub fn position(self) -> Cursor {
        self.0
    }

    /// The next version, for a change that was learned without reading on.
    fn next(self) -> ListVersion {
        ListVersion(self.0, self.1.saturating_add(1))
    }
}

/// Maximum number of engines in one update, about 100 KB. The rest follows in the responses to the
/// next polls, so that a long list neither exceeds a message nor blocks the sender.
const MAX_ENTRIES: usize = 400;

/// Whether a node polls the store while there is no leader. `is_polled` tells whether other nodes
/// poll this one, `random` is a random number of the node, `interval_factor` the poll interval
/// factor.
///
/// Prevents many nodes from overloading the store with reads of a long list, which would also delay
/// the next leader. A node that others poll reads for all of them: without it each would read.
pub fn polls_store(engines: &Engines, is_polled: bool, interval_factor: u32, random: u32) -> bool {
    is_polled || !is_large_list(engines) || random.is_multiple_of(interval_factor.max(1))
}

/// Whether the list is too long for one update.
pub fn is_large_list(engines: &Engines) -> bool {
    engines.iter().count() > MAX_ENTRIES
}

/// History of changes to the list of engines.
///
/// Versions are positions in the store's log, so that a node can get changes from any other node
/// that has read further.
#[derive(Debug)]
pub struct ListChanges {
    process_id: u64,
    /// Maximum number of engines in one update.
    max_entries: usize,
    /// Number of changes of engines so far.
    changes: u64,
    /// Version from which on all changes are known.
    first_version: Option<ListVersion>,
    /// Range of the store's log whose changes are not known.
    unread: Range<Cursor>,
    /// Number of changes whose removed engines are no longer known.
    forgotten_changes: u64,
    /// Version of the list.
    version: ListVersion,
    /// Version of the latest change.
    changed_at: ListVersion,
    /// The latest change of each engine.
    entries: IndexMap<EngineId, (Change, Fingerprint)>,
    /// Removed engines, with the positions of their removals.
    removed: IndexMap<EngineId, (Change, Cursor)>,
    /// Engines by the numbers of their latest changes.
    by_number: BTreeMap<u64, EngineId>,
    /// Removals that have been recorded.
    removals: u64,
}

/// When an engine changed.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// Version of the list with the change.
    version: ListVersion,
    /// Number of this change, different for each change of an engine.
    number: u64,
}

/// The parts of an entry whose changes are distributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fingerprint {
    version: VersionKey,
    started_at: StartTime,
    is_leaving: bool,
    unreadable: bool,
    warming_up: bool,
    slots: u32,
    addr: SocketAddr,
    /// Whether the entry may come from a backup that the store was restored from.
    from_backup: bool,
}

impl Fingerprint {
    fn has_same_state(&self, other: &Fingerprint) -> bool {
        (self.is_leaving, self.unreadable) == (other.is_leaving, other.unreadable)
    }
}

fn fingerprint(engines: &Engines, engine: &Engine) -> Fingerprint {
    let info = &engine.info;
    Fingerprint {
        version: engine.version_key(),
        started_at: info.started_at,
        is_leaving: matches!(info.state, EngineState::Leaving { .. }),
        unreadable: info.state == EngineState::Unreadable,
        warming_up: info.warmup_ms_left > 0,
        slots: info.slots,
        addr: info.addr,
        from_backup: engines.is_from_backup(info.position),
    }
}

/// A change of an engine's state, for logs.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}", state.map_or("gone".to_owned(), |state| state.to_string()))]
pub struct EngineStateChange {
    pub engine: EngineId,
    /// `None` if the engine was removed.
    pub state: Option<EngineState>,
}

/// A change in an update.
#[derive(Debug, Clone, Copy)]
struct ChangeToSend<'a> {
    number: u64,
    id: &'a EngineId,
    /// Position of the removal; none if the engine is listed.
    removed_at: Option<Cursor>,
}

impl Default for ListChanges {
    fn default() -> Self {
        ListChanges {
            process_id: 0,
            max_entries: MAX_ENTRIES,
            changes: 0,
            first_version: None,
            unread: Range::default(),
            forgotten_changes: 0,
            version: ListVersion::default(),
            changed_at: ListVersion::default(),
            entries: IndexMap::new(),
            removed: IndexMap::new(),
            by_number: BTreeMap::new(),
            removals: 0,
        }
    }
}

impl ListChanges {
    /// The history of a process with this identifier, which is not 0.
    pub fn new(process_id: u64) -> ListChanges {
        ListChanges { process_id, ..ListChanges::default() }
    }

    /// Sends at most this many engines in one update.
    pub fn with_max_entries(self, max_entries: usize) -> ListChanges {
        ListChanges { max_entries, ..self }
    }

    /// Compares the list, read up to `cursor`, with the known one. Returns the changes of state;
    /// none for the first list.
    pub fn update(&mut self, engines: &Engines, cursor: Cursor) -> Vec<EngineStateChange> {
        let is_first = self.first_version.is_none();
        let mut changed = Vec::new();
        let mut changes = Vec::new();
        for engine in engines.iter() {
            let (id, current) = (&engine.info.id, fingerprint(engines, engine));
            let previous = self.entries.get(id).map(|(_, previous)| *previous);
            if previous != Some(current) {
                changed.push((id.clone(), current));
            }
            if !is_first && previous.is_none_or(|previous| !previous.has_same_state(&current)) {
                let state = Some(engine.info.state);
                changes.push(EngineStateChange { engine: id.clone(), state });
            }
        }
        let gone: Vec<EngineId> =
            self.entries.keys().filter(|id| engines.get(id).is_none()).cloned().collect();
        let removed = self.new_removals(engines);
        let has_changes = !changed.is_empty() || !gone.is_empty() || !removed.is_empty();
        let read_version = ListVersion::at_position(cursor);
        if read_version > self.version || self.first_version.is_none() {
            self.version = read_version;
        } else if has_changes {
            // A change that was learned without reading on gets a later version.
            self.version = self.version.next();
        }
        self.first_version.get_or_insert(self.version);
        if self.unread != *engines.unread() {
            // Only the latest such range is kept: nodes from before it get the full list.
            let known_from = ListVersion::at_position(self.unread.end);
            self.first_version = self.first_version.max(Some(known_from));
            self.unread = engines.unread().clone();
        }
        if has_changes {
            self.changed_at = self.version;
        }
        for (id, fingerprint) in changed {
            self.forget(&id);
            let change = self.next_change(&id);
            self.entries.insert(id, (change, fingerprint));
        }
        for id in gone {
            self.forget(&id);
            if engines.removed_at(&id).is_none() {
                // Its removal is forgotten already, so nodes that have it need the full list.
                self.changes += 1;
                self.forgotten_changes = self.changes;
                self.first_version = self.first_version.max(Some(self.version));
            }
            changes.push(EngineStateChange { engine: id, state: None });
        }
        for (id, position) in removed {
            self.forget(&id);
            let change = self.next_change(&id);
            self.removed.insert(id, (change, position));
        }
        self.drop_forgotten_removals(engines);
        changes
    }

    /// Forgets the previous change of an engine.
    fn forget(&mut self, id: &EngineId) {
        let previous = self.entries.swap_remove(id).map(|(change, _)| change);
        let removal = self.removed.swap_remove(id).map(|(change, _)| change);
        for change in previous.into_iter().chain(removal) {
            self.by_number.remove(&change.number);
        }
    }

    fn next_change(&mut self, id: &EngineId) -> Change {
        self.changes += 1;
        self.by_number.insert(self.changes, id.clone());
        Change { version: self.version, number: self.changes }
    }

    /// Removals that have not been recorded. An engine may have been listed and removed since the
    /// last update, and other nodes may have it.
    fn new_removals(&mut self, engines: &Engines) -> Vec<(EngineId, Cursor)> {
        if std::mem::replace(&mut self.removals, engines.removals()) == engines.removals() {
            return Vec::new();
        }
        let recorded = |id: &EngineId| self.removed.get(id).map(|(_, position)| *position);
        let new = engines.removed().filter(|(id, position)| recorded(id) != Some(*position));
        new.map(|(id, position)| (id.clone(), position)).collect()
    }

    /// Drops removals that the list has forgotten; nodes that do not know them get the full list.
    fn drop_forgotten_removals(&mut self, engines: &Engines) {
        let is_forgotten = |id: &EngineId| engines.removed_at(id).is_none();
        let forgotten = self.removed.iter().filter(|(id, _)| is_forgotten(id));
        let Some(last) = forgotten.map(|(_, (change, _))| *change).max_by_key(|c| c.number) else {
            return;
        };
        self.first_version = self.first_version.max(Some(last.version));
        self.forgotten_changes = self.forgotten_changes.max(last.number);
        let (removed, by_number) = (&mut self.removed, &mut self.by_number);
        removed.retain(|id, (change, _)| {
            let is_kept = !is_forgotten(id);
            if !is_kept {
                by_number.remove(&change.number);
            }
            is_kept
        });
    }

    pub fn changed_at(&self) -> ListVersion {
        self.changed_at
    }

    /// Number of changes that the receiver of the update at this position has, unless it was another
    /// process that sent it.
    fn seen_changes(&self, seen: ChangePosition) -> Option<u64> {
        seen.in_changes_of(self.process_id).filter(|seen| *seen >= self.forgotten_changes)
    }

    /// Whether a list of this version may contain engines of which nothing is known.
    fn is_unread(&self, version: ListVersion) -> bool {
        let Range { start, end } = &self.unread;
        *start < version.position() && version.position() < *end
    }

    /// Whether a node with this version, which has last applied the update at `seen`, needs no
    /// update.
    pub fn is_up_to_date(&self, version: Option<ListVersion>, seen: ChangePosition) -> bool {
        if version.is_some_and(|version| self.is_unread(version)) {
            return false;
        }
        if let Some(seen) = self.seen_changes(seen) {
            return seen >= self.changes;
        }
        if self.first_version.is_some() && seen != ChangePosition::default() {
            // It has followed another node, which may not have known all that this one knows.
            return false;
        }
        let is_known = |version| self.first_version.is_some_and(|first| version >= first);
        self.first_version.is_none()
            || version.is_none_or(|version| is_known(version) && self.changed_at <= version)
    }

    /// The update for a node with this version, which has last applied the update at `seen`; empty
    /// for a node without a list.
    pub fn changes_since(
        &self,
        engines: &Engines,
        version: Option<ListVersion>,
        seen: ChangePosition,
    ) -> ListUpdate {
        if self.first_version.is_none() {
            return ListUpdate::unknown();
        }
        let Some(version) = version else {
            return ListUpdate { version: self.version, ..ListUpdate::default() };
        };
        let kind = self.kind_for(version, seen);
        let mut changes: Vec<ChangeToSend<'_>> =
            self.changes_to_send(kind, version, seen).take(self.max_entries + 1).collect();
        let has_more = changes.len() > self.max_entries;
        changes.truncate(self.max_entries);
        let last = changes.last().filter(|_| has_more).map(|change| change.number);
        let mut update = ListUpdate {
            // A version that the receiver has not reached yet would make it take the list for
            // complete.
            version: if has_more { ListVersion::default() } else { self.version },
            seen: ChangePosition::new(self.process_id, last.unwrap_or(self.changes)),
            backup_end: engines.backup_end(),
            kind,
            has_more,
            engines: Vec::new(),
            removed: Vec::new(),
        };
        for ChangeToSend { id, removed_at, .. } in changes {
            match removed_at {
                Some(position) => update.removed.push((id.clone(), position)),
                None => update.engines.extend(engines.get(id).map(EngineRecord::of)),
            }
        }
        update
    }

    /// Whether the update of [`ListChanges::changes_since`] has to be sent in several parts.
    pub fn is_long_update(&self, version: Option<ListVersion>, seen: ChangePosition) -> bool {
        let Some(version) = version.filter(|_| self.first_version.is_some()) else { return false };
        let changes = self.changes_to_send(self.kind_for(version, seen), version, seen);
        changes.take(self.max_entries + 1).count() > self.max_entries
    }

    /// A node that does not know all earlier changes needs the full list.
    fn kind_for(&self, version: ListVersion, seen: ChangePosition) -> ListUpdateKind {
        let first = self.first_version.map(ListVersion::position);
        let is_known = self.seen_changes(seen).is_some()
            || first.is_some_and(|first| version.position() >= first);
        match self.is_unread(version) || !is_known {
            true => ListUpdateKind::Full,
            false => ListUpdateKind::Changes,
        }
    }

    /// The changes that an update of this kind contains, the earliest first.
    fn changes_to_send(
        &self,
        kind: ListUpdateKind,
        version: ListVersion,
        seen: ChangePosition,
    ) -> impl Iterator<Item = ChangeToSend<'_>> {
        let is_full = kind == ListUpdateKind::Full;
        let seen = self.seen_changes(seen).filter(|_| !is_full);
        // The store's newest entries may not show that an engine has left, so a node that has read
        // further need not know it.
        let is_new = move |change: &Change, has_left: bool| {
            seen.is_some()
                || has_left
                || change.version > ListVersion::at_position(version.position())
        };
        let first = seen.map_or(0, |seen| seen.saturating_add(1));
        self.by_number.range(first..).filter_map(move |(number, id)| {
            if let Some((change, last)) = self.entries.get(id) {
                let is_sent = is_full || is_new(change, last.is_leaving);
                return is_sent.then_some(ChangeToSend { number: *number, id, removed_at: None });
            }
            let (change, position) = self.removed.get(id)?;
            // Also with a full list: an engine may be removed without a removal in the store, and who
            // gets this list has to tell others that have the engine.
            let is_sent = is_full || is_new(change, true);
            is_sent.then_some(ChangeToSend { number: *number, id, removed_at: Some(*position) })
        })
    }
}
