//! All known engines.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::engine::is_leaving;
use crate::in_flight::EngineKey;
use crate::{Cursor, Engine, EngineId, EngineInfo, EngineState, Era, ServiceId, StartTime};

/// Maximum number of removed engines that are remembered.
const MOST_GONE: usize = 1_000;

/// All known engines.
///
/// Each update carries its position in the store's log, whichever way it arrives, so that delayed
/// or repeated updates change nothing.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    by_id: IndexMap<EngineId, Engine>,
    by_key: IndexMap<EngineKey, EngineId>,
    /// Removed engines.
    gone: IndexMap<EngineId, Gone>,
    /// Position at which the backup ends that the store was restored from.
    backup_end: Cursor,
    /// Addresses of engines that have restarted.
    anew: Vec<SocketAddr>,
}

/// A removed engine.
#[derive(Debug, Clone, Copy, Default)]
struct Gone {
    /// Position of the removal, or of the snapshot that it was missing from.
    at: Cursor,
    start: StartTime,
    /// Whether that incarnation had said that it was leaving.
    left: bool,
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
    pub fn upsert(&mut self, mut listed: EngineInfo) {
        let Some(engine) = self.by_id.get_mut(&listed.id) else {
            self.list_unknown(listed);
            return;
        };
        let known = engine.info.started_at;
        if listed.started_at.is_before(known) {
            return;
        }
        if known.is_before(listed.started_at) {
            self.begin_anew(listed);
        } else if listed.position >= engine.info.position {
            // An entry without a start time is taken to be of the known incarnation.
            listed.started_at = listed.started_at.max(known);
            if listed.started_at != known {
                self.by_key.swap_remove(&engine.key());
                self.by_key.insert(EngineKey::of(&listed.id, listed.started_at), listed.id.clone());
            }
            engine.relist(listed);
        } else if is_leaving(&listed) {
            engine.leave();
        }
    }

    fn list_unknown(&mut self, listed: EngineInfo) {
        if self.is_gone(&listed) {
            if let Some(gone) = self.gone.get_mut(&listed.id) {
                gone.left |= is_leaving(&listed);
            }
            return;
        }
        let gone = self.gone.shift_remove(&listed.id);
        let mut engine = Engine::new(listed);
        if gone.is_some_and(|gone| gone.left && !gone.start.is_before(engine.info.started_at)) {
            engine.leave();
        }
        self.insert(engine);
    }

    /// Whether the entry belongs to a removed engine and is not newer than the removal. In a later
    /// era only entries written in that era are newer: the backup may contain engines that have
    /// left since.
    fn is_gone(&self, listed: &EngineInfo) -> bool {
        let Some(gone) = self.gone.get(&listed.id) else { return false };
        if gone.start.is_before(listed.started_at) {
            return false;
        }
        listed.position <= gone.at
            || (listed.position.era > gone.at.era && self.is_from_backup(listed.position))
    }

    /// Whether an entry at this position may come from the backup that the store was restored from.
    pub fn is_from_backup(&self, at: Cursor) -> bool {
        at.era > Era::FIRST && at.era == self.backup_end.era && at < self.backup_end
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

    /// Position at which a removed engine was removed.
    pub fn removed_at(&self, id: &EngineId) -> Option<Cursor> {
        self.gone.get(id).map(|gone| gone.at)
    }

    fn insert(&mut self, engine: Engine) {
        let id = engine.info.id.clone();
        self.by_key.insert(engine.key(), id.clone());
        self.by_id.insert(id, engine);
    }

    fn begin_anew(&mut self, listed: EngineInfo) {
        if let Some(before) = self.by_id.get(&listed.id) {
            self.anew.push(before.info.addr);
            self.by_key.swap_remove(&before.key());
        }
        self.insert(Engine::new(listed));
    }

    /// Returns the engine if a report about this start time applies to its current incarnation. A
    /// later start time discards everything known about the earlier incarnation.
    pub fn observe_start(&mut self, id: &EngineId, start: StartTime) -> Option<&mut Engine> {
        let engine = self.by_id.get(id)?;
        let known = engine.info.started_at;
        if start.is_before(known) {
            return None;
        }
        if known.is_before(start) {
            let listed =
                EngineInfo { started_at: start, loaded: Vec::new(), ..engine.info.clone() };
            self.begin_anew(listed);
        }
        self.by_id.get_mut(id)
    }

    /// Addresses of engines that have restarted since the last call.
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.anew)
    }

    /// Marks an engine whose entry cannot be parsed.
    pub fn mark_unreadable(&mut self, id: &EngineId, at: Cursor) {
        if let Some(engine) = self.by_id.get_mut(id).filter(|engine| at >= engine.info.position) {
            engine.info.state = EngineState::Unreadable;
            engine.info.position = at;
        }
    }

    /// Removes an engine whose entry was removed at this position.
    pub fn remove(&mut self, id: &EngineId, at: Cursor) {
        if self.by_id.get(id).is_some_and(|engine| engine.info.position > at) {
            return;
        }
        let known = self.gone.get(id).copied().unwrap_or_default();
        let mut gone = Gone { at: known.at.max(at), ..known };
        if let Some(engine) = self.by_id.shift_remove(id) {
            self.by_key.swap_remove(&engine.key());
            gone = Gone { start: engine.info.started_at, left: engine.leaves(), ..gone };
        }
        self.gone.insert(id.clone(), gone);
        if self.gone.len() > MOST_GONE {
            self.gone.drain(..MOST_GONE / 2);
        }
    }

    /// Applies a complete list that extends to `end`. Engines that it does not contain are removed,
    /// unless `keep` is set: entries that expired during a store outage return with the next
    /// heartbeat.
    pub fn apply_snapshot(&mut self, listed: Vec<EngineInfo>, end: Cursor, keep: bool) {
        if !keep {
            let named: IndexSet<&EngineId> = listed.iter().map(|l| &l.id).collect();
            let missing = self.by_id.keys().filter(|id| !named.contains(id));
            let missing: Vec<EngineId> = missing.cloned().collect();
            for id in missing {
                self.remove(&id, end);
            }
        }
        for listed in listed {
            self.upsert(listed);
        }
    }
}
