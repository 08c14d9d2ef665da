use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::flights::EngineKey;
use crate::{Engine, EngineId, Listed, ServiceId, Standing, Start};

/// All engines that are known.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    by_id: IndexMap<EngineId, Engine>,
    by_key: IndexMap<EngineKey, EngineId>,
    /// Addresses of engines that have started anew.
    anew: Vec<SocketAddr>,
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

    /// Takes in an engine's newest entry. One of an earlier start than is known changes nothing; one of a later
    /// start ends everything that was believed of the earlier.
    pub fn list(&mut self, mut listed: Listed) {
        let Some(engine) = self.by_id.get_mut(&listed.id) else {
            self.insert(Engine::new(listed));
            return;
        };
        let known = engine.listed.start;
        if listed.start.is_before(known) {
            return;
        }
        if known.is_before(listed.start) {
            self.begin_anew(listed);
        } else {
            // One that says nothing of its start is taken for the start that is known.
            listed.start = listed.start.max(known);
            if listed.start != known {
                self.by_key.swap_remove(&engine.key());
                self.by_key.insert(EngineKey::of(&listed.id, listed.start), listed.id.clone());
            }
            engine.relist(listed);
        }
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

    /// An engine's newest entry cannot be read.
    pub fn spoil(&mut self, id: &EngineId) {
        if let Some(engine) = self.by_id.get_mut(id) {
            engine.listed.standing = Standing::Unreadable;
        }
    }

    /// An engine's entry is gone.
    pub fn unlist(&mut self, id: &EngineId) {
        if let Some(engine) = self.by_id.shift_remove(id) {
            self.by_key.swap_remove(&engine.key());
        }
    }

    /// Takes in a whole list: engines that it does not name go. While `keep`, those are kept: their
    /// entries lapsed while the store was away and come back with their next heartbeat.
    pub fn replace(&mut self, listed: Vec<Listed>, keep: bool) {
        if !keep {
            let named: Vec<EngineId> = listed.iter().map(|l| l.id.clone()).collect();
            self.by_id.retain(|id, _| named.contains(id));
            self.by_key.retain(|_, id| self.by_id.contains_key(id));
        }
        for listed in listed {
            self.list(listed);
        }
    }
}
