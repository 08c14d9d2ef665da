//! Distributes the list of engines from the node that reads it from the store to the others.

use std::net::SocketAddr;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Cursor, Engine, EngineId, EngineState, Engines, LoadedModel, StartTime};

/// Version of a list of engines: the position in the store's log up to which it was read, and the
/// number of changes that were learned at that position without reading on.
///
/// A list that was read further is newer, whatever was learned at earlier positions.
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
    fn found(self) -> ListVersion {
        ListVersion(self.0, self.1.saturating_add(1))
    }
}

/// Maximum number of removed engines that are remembered; a node that is further behind gets the
/// complete list.
const MOST_GONE: usize = 1_000;

/// Maximum length of a list that is sent in full to a node that is behind. Longer lists take too
/// much bandwidth, so that node reads it from the store.
const MOST_WHOLE: usize = 400;

/// Whether a node polls the store while there is no leader. `draw` is a random number of the node,
/// `crowd` the poll interval factor.
///
/// Prevents many nodes from overloading the store with reads of a long list, which would also delay
/// the next leader.
pub fn polls_store(engines: &Engines, crowd: u32, draw: u32) -> bool {
    !is_large_list(engines) || draw.is_multiple_of(crowd.max(1))
}

/// Whether the list is too long to be sent to each node in full.
pub fn is_large_list(engines: &Engines) -> bool {
    engines.iter().count() > MOST_WHOLE
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

/// History of changes to the list of engines.
///
/// Versions are positions in the store's log, so that a node can get changes from any other node
/// that has read further.
#[derive(Debug, Default)]
pub struct ListChanges {
    /// Version from which on all changes are known.
    begun: Option<ListVersion>,
    /// Version of the list.
    at: ListVersion,
    /// Version of the latest change.
    changed_at: ListVersion,
    /// Version of the latest change by engine.
    known: IndexMap<EngineId, (ListVersion, Signature)>,
    gone: Vec<(ListVersion, EngineId)>,
}

/// The parts of an entry whose changes are distributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Signature {
    start: StartTime,
    leaves: bool,
    unreadable: bool,
    cold: bool,
    slots: u32,
    addr: SocketAddr,
    /// Whether the entry may come from a backup that the store was restored from.
    copied: bool,
}

impl Signature {
    fn stands_as(&self, other: &Signature) -> bool {
        (self.leaves, self.unreadable) == (other.leaves, other.unreadable)
    }
}

fn signature(engines: &Engines, engine: &Engine) -> Signature {
    let listed = &engine.info;
    Signature {
        start: listed.started_at,
        leaves: matches!(listed.state, EngineState::Leaving { .. }),
        unreadable: listed.state == EngineState::Unreadable,
        cold: listed.warmup_ms_left > 0,
        slots: listed.slots,
        addr: listed.addr,
        copied: engines.is_from_backup(listed.position),
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
    /// Compares the list, read up to `cursor`, with the known one. Returns the changes of state;
    /// none for the first list.
    pub fn update(&mut self, engines: &Engines, cursor: Cursor) -> Vec<EngineStateChange> {
        let is_first = self.begun.is_none();
        let mut changed = Vec::new();
        let mut changes = Vec::new();
        for engine in engines.iter() {
            let (id, now) = (&engine.info.id, signature(engines, engine));
            let then = self.known.get(id).map(|(_, then)| *then);
            if then != Some(now) {
                changed.push((id.clone(), now));
            }
            if !is_first && then.is_none_or(|then| !then.stands_as(&now)) {
                let standing = Some(engine.info.state);
                changes.push(EngineStateChange { engine: id.clone(), state: standing });
            }
        }
        let lost: Vec<EngineId> =
            self.known.keys().filter(|id| engines.get(id).is_none()).cloned().collect();
        let news = !changed.is_empty() || !lost.is_empty();
        let read = ListVersion::at_position(cursor);
        if read > self.at || self.begun.is_none() {
            self.at = read;
        } else if news {
            // A change that was learned without reading on gets a later version.
            self.at = self.at.found();
        }
        self.begun.get_or_insert(self.at);
        if news {
            self.changed_at = self.at;
        }
        for (id, signature) in changed {
            self.gone.retain(|(_, gone)| *gone != id);
            self.known.insert(id, (self.at, signature));
        }
        for id in lost {
            changes.push(EngineStateChange { engine: id.clone(), state: None });
            self.known.shift_remove(&id);
            self.gone.push((self.at, id));
        }
        if self.gone.len() > MOST_GONE {
            let dropped = self.gone.drain(..MOST_GONE / 2).next_back();
            self.begun = dropped.map(|(at, _)| at).or(self.begun);
        }
        changes
    }

    pub fn changed_at(&self) -> ListVersion {
        self.changed_at
    }

    /// Whether a node with this version needs no update.
    pub fn is_up_to_date(&self, since: Option<ListVersion>) -> bool {
        let is_known = |since| self.begun.is_some_and(|begun| since >= begun);
        self.begun.is_none()
            || since.is_none_or(|since| is_known(since) && self.changed_at <= since)
    }

    /// The update for a node with this version; empty for a node without a list.
    pub fn changes_since(&self, engines: &Engines, since: Option<ListVersion>) -> ListUpdate {
        if self.begun.is_none() {
            return ListUpdate { kind: ListUpdateKind::Unknown, ..ListUpdate::default() };
        }
        let Some(since) = since else {
            return ListUpdate { version: self.at, ..ListUpdate::default() };
        };
        let is_known = self.begun.is_some_and(|begun| since >= begun);
        let part = match is_known {
            true => ListUpdateKind::Changes,
            false if self.known.len() <= MOST_WHOLE => ListUpdateKind::Full,
            false => {
                return ListUpdate { kind: ListUpdateKind::RereadStore, ..ListUpdate::default() };
            }
        };
        let newer =
            self.known.iter().filter(|(_, (at, _))| part == ListUpdateKind::Full || *at > since);
        let told = newer.filter_map(|(id, _)| engines.get(id).map(passed)).collect();
        let gone = self.gone.iter().filter(|(at, _)| *at > since);
        let gone =
            gone.map(|(at, id)| (id.clone(), engines.removed_at(id).unwrap_or(at.position())));
        let (gone, copy_end) = (gone.collect(), engines.backup_end());
        ListUpdate {
            version: self.at,
            backup_end: copy_end,
            kind: part,
            engines: told,
            removed: gone,
        }
    }
}

fn passed(engine: &Engine) -> EngineRecord {
    let listed = &engine.info;
    EngineRecord {
        engine: listed.id.clone(),
        position: listed.position,
        started_at: listed.started_at,
        service: listed.service.0.clone(),
        addr: listed.addr,
        domain: listed.domain.clone(),
        slots: listed.slots,
        leaving: matches!(listed.state, EngineState::Leaving { .. }),
        unreadable: listed.state == EngineState::Unreadable,
        warming_up: listed.warmup_ms_left > 0,
        loaded: listed.loaded.clone(),
    }
}
