//! All known engines.

use std::net::SocketAddr;
use std::ops::Range;

use indexmap::{IndexMap, IndexSet};

use crate::engine::is_leaving;
use crate::in_flight::EngineKey;
use crate::{Cursor, Engine, EngineId, EngineInfo, EngineState, Era, Millis, ServiceId, StartTime};

/// Maximum number of removed engines that are remembered.
const MAX_REMOVED: usize = 1_000;

/// All known engines.
///
/// Each update carries its position in the store's log, whichever way it arrives, so that delayed
/// or repeated updates change nothing.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    by_id: IndexMap<EngineId, Engine>,
    by_key: IndexMap<EngineKey, EngineId>,
    /// Number of incarnations that were inserted.
    insertions: u64,
    /// Removed engines.
    removed: IndexMap<EngineId, Removed>,
    /// Number of removals.
    removals: u64,
    /// Position up to which the list is complete: an unknown engine with an earlier entry was
    /// removed.
    complete_to: Cursor,
    /// Whether removals were skipped since the last complete list.
    has_skipped_removals: bool,
    /// Range of the store's log that the latest complete list replaced unread.
    unread: Range<Cursor>,
    /// Position at which the backup ends that the store was restored from.
    backup_end: Cursor,
    /// Addresses of engines that have restarted.
    restarted: Vec<SocketAddr>,
    /// Until when incarnations want no request from this node, also while their entries are gone.
    rests: IndexMap<EngineKey, Millis>,
}

/// A removed engine.
#[derive(Debug, Clone, Copy, Default)]
struct Removed {
    /// Position of the removal, or of the snapshot that it was missing from.
    position: Cursor,
    started_at: StartTime,
    /// Whether that incarnation had said that it was leaving.
    was_leaving: bool,
}

impl Engines {
    pub fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.by_id.get_mut(id)
    }

    /// The engine whose current incarnation has this key.
    pub fn by_key(&mut self, key: EngineKey) -> Option<&mut Engine> {
        let id = self.by_key.get(&key)?;
        self.by_id.get_mut(id).filter(|engine| engine.key() == key)
    }

    /// Whether the current incarnation of an engine has this key.
    pub fn contains_key(&self, key: EngineKey) -> bool {
        self.by_key.contains_key(&key)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.by_id.values_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.by_id.values()
    }

    /// All engines of a service.
    pub fn of_service<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Engine> {
        self.by_id.values().filter(move |e| &e.info.service == service)
    }

    /// Applies an engine's list entry. An entry of an earlier incarnation or an earlier position is
    /// ignored; one of a later incarnation replaces everything known about the engine.
    pub fn upsert(&mut self, mut info: EngineInfo) {
        let Some(engine) = self.by_id.get_mut(&info.id) else {
            self.insert_unknown(info);
            return;
        };
        let known_start = engine.info.started_at;
        if info.started_at.is_before(known_start) {
            return;
        }
        if known_start.is_before(info.started_at) {
            self.replace_incarnation(info);
        } else if info.position >= engine.info.position {
            // An entry without a start time is taken to be of the known incarnation.
            info.started_at = info.started_at.max(known_start);
            if info.started_at != known_start {
                self.insertions += 1;
                self.by_key.swap_remove(&engine.key());
                self.by_key.insert(EngineKey::of(&info.id, info.started_at), info.id.clone());
            }
            engine.set_info(info);
        } else if is_leaving(&info) {
            engine.mark_leaving();
        }
    }

    fn insert_unknown(&mut self, info: EngineInfo) {
        if self.is_outdated(&info) {
            if let Some(removed) = self.removed.get_mut(&info.id) {
                removed.was_leaving |= is_leaving(&info);
            }
            return;
        }
        let removed = self.removed.shift_remove(&info.id);
        let mut engine = Engine::new(info);
        if removed.is_some_and(|removed| {
            removed.was_leaving && !removed.started_at.is_before(engine.info.started_at)
        }) {
            engine.mark_leaving();
        }
        self.insert(engine);
    }

    /// Whether the entry belongs to a removed engine and is not newer than the removal. In a later
    /// era only entries written in that era are newer: the backup may contain engines that have
    /// left since.
    fn is_outdated(&self, info: &EngineInfo) -> bool {
        if info.position < self.complete_to {
            return true;
        }
        let removed = self.removed.get(&info.id);
        let same_start = |removed: &&Removed| !removed.started_at.is_before(info.started_at);
        let Some(removed) = removed.filter(same_start) else { return false };
        info.position <= removed.position
            || (info.position.era > removed.position.era && self.is_from_backup(info.position))
    }

    /// Whether an entry at this position may come from the backup that the store was restored from.
    pub fn is_from_backup(&self, position: Cursor) -> bool {
        position.era > Era::FIRST
            && position.era == self.backup_end.era
            && position < self.backup_end
    }

    /// Position at which that backup ends, as far as known.
    pub fn backup_end(&self) -> Cursor {
        self.backup_end
    }

    /// Records that a log ended here after a restore. The earliest end counts, as later entries
    /// were written after the restore.
    pub fn set_backup_end(&mut self, end: Cursor) {
        if end.era > self.backup_end.era {
            self.backup_end = end;
        } else if end.era == self.backup_end.era {
            self.backup_end = self.backup_end.min(end);
        }
    }

    /// Removed engines that are remembered, and the positions of their removals.
    pub fn removed(&self) -> impl Iterator<Item = (&EngineId, Cursor)> {
        self.removed.iter().map(|(id, removed)| (id, removed.position))
    }

    /// Number of removals so far.
    pub fn removals(&self) -> u64 {
        self.removals
    }

    /// Position at which a removed engine was removed.
    pub fn removed_at(&self, id: &EngineId) -> Option<Cursor> {
        self.removed.get(id).map(|removed| removed.position)
    }

    /// Number of incarnations that were inserted so far.
    pub fn insertions(&self) -> u64 {
        self.insertions
    }

    fn insert(&mut self, mut engine: Engine) {
        self.insertions += 1;
        if let Some(until) = self.rests.get(&engine.key()) {
            engine.record_rest(*until);
        }
        let id = engine.info.id.clone();
        self.by_key.insert(engine.key(), id.clone());
        self.by_id.insert(id, engine);
    }

    fn replace_incarnation(&mut self, info: EngineInfo) {
        if let Some(previous) = self.by_id.get(&info.id) {
            self.restarted.push(previous.info.addr);
            self.by_key.swap_remove(&previous.key());
        }
        self.insert(Engine::new(info));
    }

    /// Returns the engine if a report about this start time applies to its current incarnation. A
    /// later start time discards everything known about the earlier incarnation.
    pub fn observe_start(&mut self, id: &EngineId, start: StartTime) -> Option<&mut Engine> {
        let engine = self.by_id.get(id)?;
        let known_start = engine.info.started_at;
        if start.is_before(known_start) {
            return None;
        }
        if known_start.is_before(start) {
            let info = EngineInfo {
                started_at: start,
                loaded: Vec::new(),
                software: None,
                ..engine.info.clone()
            };
            self.replace_incarnation(info);
            self.by_id.get_mut(id)?.await_entry();
        }
        self.by_id.get_mut(id)
    }

    /// Addresses of engines that have restarted since the last call.
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.restarted)
    }

    /// Records that an incarnation has said that it leaves, whatever its entry says. Returns whether that is news of an
    /// engine that is listed.
    pub fn record_leaving(&mut self, key: EngineKey) -> bool {
        if let Some(engine) = self.by_key(key) {
            let is_news = !engine.is_leaving();
            engine.mark_leaving();
            return is_news;
        }
        let has_key = |(id, removed): &(&EngineId, &mut Removed)| {
            EngineKey::of(id, removed.started_at) == key
        };
        if let Some((_, removed)) = self.removed.iter_mut().find(has_key) {
            removed.was_leaving = true;
        }
        false
    }

    /// Records until when an incarnation wants no request from this node. Returns whether that is later than known.
    pub fn record_rest(&mut self, key: EngineKey, until: Millis, now: Millis) -> bool {
        self.rests.retain(|_, until| *until > now);
        let known = self.rests.get(&key).copied().unwrap_or(0);
        if until <= known || until <= now {
            return false;
        }
        self.rests.insert(key, until);
        if let Some(engine) = self.by_key(key) {
            engine.record_rest(until);
        }
        true
    }

    /// Marks an engine whose entry cannot be parsed.
    pub fn mark_unreadable(&mut self, id: &EngineId, position: Cursor) {
        if let Some(engine) =
            self.by_id.get_mut(id).filter(|engine| position >= engine.info.position)
        {
            engine.info.state = EngineState::Unreadable;
            engine.info.position = position;
        }
    }

    /// Removes an engine whose entry was removed at this position.
    pub fn remove(&mut self, id: &EngineId, position: Cursor) {
        if self.by_id.get(id).is_some_and(|engine| engine.info.position > position) {
            return;
        }
        let previous = self.removed.get(id).copied().unwrap_or_default();
        let mut removed = Removed { position: previous.position.max(position), ..previous };
        if let Some(engine) = self.by_id.shift_remove(id) {
            self.by_key.swap_remove(&engine.key());
            removed = Removed {
                started_at: engine.info.started_at,
                was_leaving: engine.is_leaving(),
                ..removed
            };
        }
        self.removed.insert(id.clone(), removed);
        self.removals += 1;
        if self.removed.len() > MAX_REMOVED {
            self.removed.drain(..MAX_REMOVED / 2);
        }
    }

    /// Skips a removal: right after an outage of the store it may only mean that heartbeats were
    /// lost. A later complete list tells.
    pub fn skip_removal(&mut self) {
        self.has_skipped_removals = true;
    }

    /// Whether engines may be listed that have been removed.
    pub fn has_skipped_removals(&self) -> bool {
        self.has_skipped_removals
    }

    /// Applies a complete list that extends to `end`. Engines that it does not contain are removed,
    /// unless `keep_missing` is set: entries that expired during a store outage return with the next
    /// heartbeat.
    pub fn apply_snapshot(&mut self, infos: Vec<EngineInfo>, end: Cursor, keep_missing: bool) {
        self.has_skipped_removals = keep_missing;
        if !keep_missing {
            let listed_ids: IndexSet<&EngineId> = infos.iter().map(|info| &info.id).collect();
            let missing = self.by_id.keys().filter(|id| !listed_ids.contains(id));
            let missing: Vec<EngineId> = missing.cloned().collect();
            for id in missing {
                self.remove(&id, end);
            }
        }
        let complete_to = self.complete_to.max(end);
        if end > self.complete_to {
            self.unread = self.complete_to..end;
        }
        if end == complete_to {
            // Nothing that is known is newer than this list.
            self.complete_to = Cursor::default();
        }
        for info in infos {
            self.upsert(info);
        }
        self.complete_to = complete_to;
    }

    /// Range of the store's log that was not read because a complete list replaced it. Engines that
    /// were listed and removed in it are not known.
    pub fn unread(&self) -> &Range<Cursor> {
        &self.unread
    }

    /// Records that all entries up to this position have been applied.
    pub fn record_complete(&mut self, position: Cursor) {
        self.complete_to = self.complete_to.max(position);
    }
}
