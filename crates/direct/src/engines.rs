use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::engine::is_leaving;
use crate::flights::EngineKey;
use crate::{Cursor, Engine, EngineId, Era, Listed, ServiceId, Standing, Start};

/// Engines that are gone and still known to be: the oldest make way for new ones.
const MOST_GONE: usize = 1_000;

/// All engines that are known.
///
/// What is told of an engine stands at a place in the store's log, by whichever way it comes: an answer that was long on
/// its way, or the word of a node that lags behind, changes nothing of what is known from a later place.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    by_id: IndexMap<EngineId, Engine>,
    by_key: IndexMap<EngineKey, EngineId>,
    /// Engines that are gone.
    gone: IndexMap<EngineId, Gone>,
    /// Where the copy ends from which the store has come back.
    copy_end: Cursor,
    /// Addresses of engines that have started anew.
    anew: Vec<SocketAddr>,
}

/// An engine that is gone.
#[derive(Debug, Clone, Copy, Default)]
struct Gone {
    /// Where in the store's log that stands, or by where it was missing.
    at: Cursor,
    start: Start,
    /// Whether that start had said that it leaves.
    left: bool,
}

impl Engines {
    /// The engine with this identity.
    pub fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.by_id.get(id)
    }

    /// The engine with this identity.
    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.by_id.get_mut(id)
    }

    /// The engine of which one start has this name.
    pub fn by_key(&mut self, key: EngineKey) -> Option<&mut Engine> {
        let id = self.by_key.get(&key)?;
        self.by_id.get_mut(id).filter(|engine| engine.key() == key)
    }

    /// All engines.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.by_id.values_mut()
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.by_id.values()
    }

    /// All engines of a service.
    pub fn of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Engine> {
        self.by_id.values().filter(move |e| &e.listed.service == service)
    }

    /// Takes in an engine's entry. One of an earlier start than is known, or from an earlier place, changes nothing; one of
    /// a later start ends everything that was believed of the earlier.
    pub fn list(&mut self, mut listed: Listed) {
        let Some(engine) = self.by_id.get_mut(&listed.id) else {
            self.list_unknown(listed);
            return;
        };
        let known = engine.listed.start;
        if listed.start.is_before(known) {
            return;
        }
        if known.is_before(listed.start) {
            self.begin_anew(listed);
        } else if listed.at >= engine.listed.at {
            // One that says nothing of its start is taken for the start that is known.
            listed.start = listed.start.max(known);
            if listed.start != known {
                self.by_key.swap_remove(&engine.key());
                self.by_key.insert(EngineKey::of(&listed.id, listed.start), listed.id.clone());
            }
            engine.relist(listed);
        } else if is_leaving(&listed) {
            engine.leave();
        }
    }

    fn list_unknown(&mut self, listed: Listed) {
        if self.is_gone(&listed) {
            if let Some(gone) = self.gone.get_mut(&listed.id) {
                gone.left |= is_leaving(&listed);
            }
            return;
        }
        let gone = self.gone.shift_remove(&listed.id);
        let mut engine = Engine::new(listed);
        if gone.is_some_and(|gone| gone.left && !gone.start.is_before(engine.listed.start)) {
            engine.leave();
        }
        self.insert(engine);
    }

    /// Whether an entry is that of an engine which is known to be gone, and says nothing newer. Of a later era only what was
    /// written in it counts: the copy from which the store has come back still has engines that left since.
    fn is_gone(&self, listed: &Listed) -> bool {
        let Some(gone) = self.gone.get(&listed.id) else { return false };
        if gone.start.is_before(listed.start) {
            return false;
        }
        listed.at <= gone.at || (listed.at.era > gone.at.era && self.is_copied(listed.at))
    }

    /// Whether an entry at this place may be of the copy from which the store has come back, and not written since.
    pub fn is_copied(&self, at: Cursor) -> bool {
        at.era > Era::FIRST && at.era == self.copy_end.era && at < self.copy_end
    }

    /// Where the copy ends from which the store has come back, as far as is known.
    pub fn copy_end(&self) -> Cursor {
        self.copy_end
    }

    /// A log was found to go so far: what stands before may be of the copy. The earliest word of an era counts, as what comes
    /// after it was written in that era.
    pub fn copy_ends(&mut self, end: Cursor) {
        if end.era > self.copy_end.era {
            self.copy_end = end;
        } else if end.era == self.copy_end.era {
            self.copy_end = self.copy_end.min(end);
        }
    }

    /// Where an engine's end stands that is known to be gone.
    pub fn gone_at(&self, id: &EngineId) -> Option<Cursor> {
        self.gone.get(id).map(|gone| gone.at)
    }

    fn insert(&mut self, engine: Engine) {
        let id = engine.listed.id.clone();
        self.by_key.insert(engine.key(), id.clone());
        self.by_id.insert(id, engine);
    }

    /// An engine that is known has started anew.
    fn begin_anew(&mut self, listed: Listed) {
        if let Some(before) = self.by_id.get(&listed.id) {
            self.anew.push(before.listed.addr);
            self.by_key.swap_remove(&before.key());
        }
        self.insert(Engine::new(listed));
    }

    /// Somebody tells of a start of an engine: whether what they tell holds for the start that is known. A later
    /// start ends everything that was believed of the earlier; it holds nothing until it is said what.
    pub fn meet(&mut self, id: &EngineId, start: Start) -> Option<&mut Engine> {
        let engine = self.by_id.get(id)?;
        let known = engine.listed.start;
        if start.is_before(known) {
            return None;
        }
        if known.is_before(start) {
            let listed = Listed { start, held: Vec::new(), ..engine.listed.clone() };
            self.begin_anew(listed);
        }
        self.by_id.get_mut(id)
    }

    /// Addresses of engines that have started anew since this was last asked.
    pub fn take_anew(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.anew)
    }

    /// An engine's entry cannot be read.
    pub fn spoil(&mut self, id: &EngineId, at: Cursor) {
        if let Some(engine) = self.by_id.get_mut(id).filter(|engine| at >= engine.listed.at) {
            engine.listed.standing = Standing::Unreadable;
            engine.listed.at = at;
        }
    }

    /// An engine's entry is gone, as stands at this place.
    pub fn unlist(&mut self, id: &EngineId, at: Cursor) {
        if self.by_id.get(id).is_some_and(|engine| engine.listed.at > at) {
            return;
        }
        let known = self.gone.get(id).copied().unwrap_or_default();
        let mut gone = Gone { at: known.at.max(at), ..known };
        if let Some(engine) = self.by_id.shift_remove(id) {
            self.by_key.swap_remove(&engine.key());
            gone = Gone { start: engine.listed.start, left: engine.leaves(), ..gone };
        }
        self.gone.insert(id.clone(), gone);
        if self.gone.len() > MOST_GONE {
            self.gone.drain(..MOST_GONE / 2);
        }
    }

    /// Takes in a whole list that goes so far: engines that it does not name go. While `keep`, those are kept: their
    /// entries lapsed while the store was away and come back with their next heartbeat.
    pub fn replace(&mut self, listed: Vec<Listed>, end: Cursor, keep: bool) {
        if !keep {
            let named: IndexSet<&EngineId> = listed.iter().map(|l| &l.id).collect();
            let missing = self.by_id.keys().filter(|id| !named.contains(id));
            let missing: Vec<EngineId> = missing.cloned().collect();
            for id in missing {
                self.unlist(&id, end);
            }
        }
        for listed in listed {
            self.list(listed);
        }
    }
}
