//! Distributes the list of engines from the node that reads it from the store to the others.

use std::net::SocketAddr;
use std::ops::Range;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    CachedWeights, ChangePosition, Cursor, Engine, EngineId, EngineInfo, EngineState, Engines,
    LoadedModel, StartTime,
};

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

/// Maximum length of a list that is sent in full to a node that is behind. Longer lists take too
/// much bandwidth, so that node reads it from the store.
const MAX_FULL_LIST: usize = 400;

/// Whether a node polls the store while there is no leader. `random` is a random number of the
/// node, `interval_factor` the poll interval factor.
///
/// Prevents many nodes from overloading the store with reads of a long list, which would also delay
/// the next leader.
pub fn polls_store(engines: &Engines, interval_factor: u32, random: u32) -> bool {
    !is_large_list(engines) || random.is_multiple_of(interval_factor.max(1))
}

/// Whether the list is too long to be sent to each node in full.
pub fn is_large_list(engines: &Engines) -> bool {
    engines.iter().count() > MAX_FULL_LIST
}

/// Wire form of an engine's list entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    pub engine: EngineId,
    /// Position of the entry in the store's log.
    #[serde(rename = "at")]
    pub position: Cursor,
    #[serde(rename = "start")]
    pub started_at: StartTime,
    pub service: String,
    pub addr: SocketAddr,
    pub domain: String,
    pub slots: u32,
    pub leaving: bool,
    pub unreadable: bool,
    /// Whether it is still warming up after its start.
    #[serde(rename = "cold")]
    pub warming_up: bool,
    #[serde(rename = "held")]
    pub loaded: Vec<LoadedModel>,
}

/// An update of the list of engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Version of the list with this update.
    #[serde(rename = "place")]
    pub version: ListVersion,
    /// Position in the sender's changes with this update.
    #[serde(default, rename = "heard")]
    pub seen: ChangePosition,
    /// Position at which the backup ends that the store was restored from, as far as the sender
    /// knows.
    #[serde(rename = "copy_end")]
    pub backup_end: Cursor,
    #[serde(rename = "part")]
    pub kind: ListUpdateKind,
    pub engines: Vec<EngineRecord>,
    /// Removed engines, with the position of the removal.
    #[serde(rename = "gone")]
    pub removed: Vec<(EngineId, Cursor)>,
}

/// What an update contains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdateKind {
    #[default]
    Changes,
    #[serde(rename = "Whole")]
    Full,
    /// Nothing: the receiver is too far behind and has to read the list from the store.
    #[serde(rename = "ReadAnew")]
    RereadStore,
    /// Nothing: the sender has no list yet.
    Unknown,
}

impl ListUpdate {
    /// Applies the update to the receiver's list.
    pub fn apply(self, engines: &mut Engines) {
        engines.set_backup_end(self.backup_end);
        let entries = self.engines.into_iter().map(|record| to_engine_info(engines, record));
        let entries: Vec<EngineInfo> = entries.collect();
        if self.kind == ListUpdateKind::Full {
            engines.apply_snapshot(entries, self.version.position(), false);
            return;
        }
        for entry in entries {
            engines.upsert(entry);
        }
        for (removed_id, at) in &self.removed {
            engines.remove(removed_id, *at);
        }
        engines.record_complete(self.version.position());
    }
}

/// History of changes to the list of engines.
///
/// Versions are positions in the store's log, so that a node can get changes from any other node
/// that has read further.
#[derive(Debug, Default)]
pub struct ListChanges {
    process_id: u64,
    /// Number of times that the list has changed.
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
    /// Removals that have been recorded.
    removals: u64,
}

/// When an engine changed.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// Version of the list with the change.
    version: ListVersion,
    /// Number of changes up to this one.
    number: u64,
}

/// The parts of an entry whose changes are distributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fingerprint {
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

impl ListChanges {
    /// The history of a process with this identifier, which is not 0.
    pub fn new(process_id: u64) -> ListChanges {
        ListChanges { process_id, ..ListChanges::default() }
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
            self.changes += 1;
        }
        let change = Change { version: self.version, number: self.changes };
        for (id, fingerprint) in changed {
            self.removed.shift_remove(&id);
            self.entries.insert(id, (change, fingerprint));
        }
        for id in gone {
            self.entries.shift_remove(&id);
            changes.push(EngineStateChange { engine: id, state: None });
        }
        for (id, position) in removed {
            self.removed.shift_remove(&id);
            self.removed.insert(id, (change, position));
        }
        self.drop_forgotten_removals(engines);
        changes
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
        self.forgotten_changes = last.number;
        self.removed.retain(|id, _| !is_forgotten(id));
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
            return ListUpdate { kind: ListUpdateKind::Unknown, ..ListUpdate::default() };
        }
        let Some(version) = version else {
            return ListUpdate { version: self.version, ..ListUpdate::default() };
        };
        let seen = self.seen_changes(seen);
        let first = self.first_version.map(ListVersion::position);
        let is_known = !self.is_unread(version)
            && (seen.is_some() || first.is_some_and(|first| version.position() >= first));
        let kind = match is_known {
            true => ListUpdateKind::Changes,
            false if self.entries.len() <= MAX_FULL_LIST => ListUpdateKind::Full,
            false => {
                return ListUpdate { kind: ListUpdateKind::RereadStore, ..ListUpdate::default() };
            }
        };
        // The store's newest entries may not show that an engine has left, so a node that has read
        // further need not know it.
        let is_new = |change: &Change, has_left: bool| match seen {
            Some(seen) => change.number > seen,
            None => has_left || change.version > ListVersion::at_position(version.position()),
        };
        let is_full = kind == ListUpdateKind::Full;
        let changed = self
            .entries
            .iter()
            .filter(|(_, (change, last))| is_full || is_new(change, last.is_leaving));
        let records = changed.filter_map(|(id, _)| engines.get(id).map(engine_record)).collect();
        let removed = self.removed.iter().filter(|(_, (change, _))| is_new(change, true));
        let removed = removed.map(|(id, (_, position))| (id.clone(), *position));
        ListUpdate {
            version: self.version,
            seen: ChangePosition::new(self.process_id, self.changes),
            backup_end: engines.backup_end(),
            kind,
            engines: records,
            removed: removed.collect(),
        }
    }
}

fn engine_record(engine: &Engine) -> EngineRecord {
    let info = &engine.info;
    EngineRecord {
        engine: info.id.clone(),
        position: info.position,
        started_at: info.started_at,
        service: info.service.0.clone(),
        addr: info.addr,
        domain: info.domain.clone(),
        slots: info.slots,
        leaving: matches!(info.state, EngineState::Leaving { .. }),
        unreadable: info.state == EngineState::Unreadable,
        warming_up: info.warmup_ms_left > 0,
        loaded: info.loaded.clone(),
    }
}

fn to_engine_info(engines: &Engines, record: EngineRecord) -> EngineInfo {
    let known =
        engines.get(&record.engine).filter(|e| !e.info.started_at.is_before(record.started_at));
    let engine_state = match (record.leaving, record.unreadable) {
        (_, true) => EngineState::Unreadable,
        (true, false) => EngineState::Leaving { terminates_at: None },
        (false, false) => EngineState::Ready,
    };
    EngineInfo {
        id: record.engine,
        position: record.position,
        started_at: record.started_at,
        service: record.service.into(),
        addr: record.addr,
        domain: record.domain,
        slots: record.slots,
        state: engine_state,
        loaded: known
            .filter(|e| e.placement_reported_at.is_some())
            .map_or(record.loaded, |e| e.info.loaded.clone()),
        cached: CachedWeights::default(),
        warmup_ms_left: u64::from(record.warming_up),
    }
}
