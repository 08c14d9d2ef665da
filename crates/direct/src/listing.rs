//! The list of engines, as one node that reads it from the store passes it on to the others.

use std::net::SocketAddr;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Cursor, Engine, EngineId, Engines, Held, Standing, Start};

/// How far a list of engines goes: a place in the store's log of it, and how much was found out there without reading on.
/// Whoever reads on goes beyond, however much another node had found out before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPlace(Cursor, u32);

impl ListPlace {
    /// The place of a list that was read so far.
    pub fn read(cursor: Cursor) -> ListPlace {
        ListPlace(cursor, 0)
    }

    /// How far the log was read.
    pub fn cursor(self) -> Cursor {
        self.0
    }

    /// The next place after something was found out without reading on.
    fn found(self) -> ListPlace {
        ListPlace(self.0, self.1.saturating_add(1))
    }
}

/// Engines that are gone and still told of: what lags behind more reads the whole list.
const MOST_GONE: usize = 1_000;

/// Engines up to which the whole list is passed on to a node that lags behind. Three thousand are a megabyte, which
/// one machine cannot send to hundreds of nodes at once: there each reads it from the store.
const MOST_WHOLE: usize = 400;

/// Whether a node reads the list when nobody reads it for all; `draw` parts the nodes, `crowd` is by how much many
/// nodes hold back.
///
/// Load: engines write their entries every second, and each reader reads them all. Three hundred nodes that read for
/// themselves what three thousand engines write take more than the store gives; then none of them is answered, nor
/// the one that reads for all, and so it stays. Where the list is long most of them leave the store to that one, and
/// some read on to take its place.
pub fn reads_on(engines: &Engines, crowd: u32, draw: u32) -> bool {
    !is_long(engines) || draw.is_multiple_of(crowd.max(1))
}

/// Whether the list is too long to be told whole to each node.
pub fn is_long(engines: &Engines) -> bool {
    engines.iter().count() > MOST_WHOLE
}

/// An engine of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Passed {
    /// Its identity.
    pub engine: EngineId,
    /// Where in the store's log its entry stands.
    pub at: Cursor,
    /// When it was started.
    pub start: Start,
    /// Its service.
    pub service: String,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether its newest entry cannot be read.
    pub unreadable: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// What it holds.
    pub held: Vec<Held>,
}

/// What changed in the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// How far it goes.
    pub place: ListPlace,
    /// Where the copy ends from which the store has come back, as far as the node that tells knows.
    pub copy_end: Cursor,
    /// What `engines` are.
    pub part: Part,
    /// Engines of that part.
    pub engines: Vec<Passed>,
    /// Engines that are gone, and where that stands.
    pub gone: Vec<(EngineId, Cursor)>,
}

/// What part of a list is told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// What has changed.
    #[default]
    Changes,
    /// All there are.
    Whole,
    /// Nothing: what has changed is not known any more, and the whole list is long.
    ReadAnew,
    /// Nothing: the node that was asked has no list itself yet.
    Unknown,
}

/// What has changed in the list, and at which point of the store's log. All nodes read the same log, so that one
/// which has read the list itself is told only what came after.
#[derive(Debug, Default)]
pub struct Listing {
    /// From where on changes are known.
    begun: Option<ListPlace>,
    /// How far the list goes.
    at: ListPlace,
    /// Where it changed last.
    changed_at: ListPlace,
    known: IndexMap<EngineId, (ListPlace, Signature)>,
    gone: Vec<(ListPlace, EngineId)>,
}

/// What makes an entry worth telling again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Signature {
    start: Start,
    leaves: bool,
    unreadable: bool,
    cold: bool,
    slots: u32,
    addr: SocketAddr,
    /// Whether its entry may be of the copy from which the store has come back.
    copied: bool,
}

impl Signature {
    fn stands_as(&self, other: &Signature) -> bool {
        (self.leaves, self.unreadable) == (other.leaves, other.unreadable)
    }
}

fn signature(engines: &Engines, engine: &Engine) -> Signature {
    let listed = &engine.listed;
    Signature {
        start: listed.start,
        leaves: matches!(listed.standing, Standing::Leaving { .. }),
        unreadable: listed.standing == Standing::Unreadable,
        cold: listed.cold_ms > 0,
        slots: listed.slots,
        addr: listed.addr,
        copied: engines.is_copied(listed.at),
    }
}

/// Whether an engine takes new work, as it has become known.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}", standing.map_or("gone".to_owned(), |standing| standing.to_string()))]
pub struct StandingChange {
    /// The engine.
    pub engine: EngineId,
    /// How it stands now; none where it is gone.
    pub standing: Option<Standing>,
}

impl Listing {
    /// Looks at the list, which goes as far as `cursor`. Tells what has become of engines since the last look; nothing at
    /// the first.
    pub fn look(&mut self, engines: &Engines, cursor: Cursor) -> Vec<StandingChange> {
        let is_first = self.begun.is_none();
        let mut changed = Vec::new();
        let mut changes = Vec::new();
        for engine in engines.iter() {
            let (id, now) = (&engine.listed.id, signature(engines, engine));
            let then = self.known.get(id).map(|(_, then)| *then);
            if then != Some(now) {
                changed.push((id.clone(), now));
            }
            if !is_first && then.is_none_or(|then| !then.stands_as(&now)) {
                let standing = Some(engine.listed.standing);
                changes.push(StandingChange { engine: id.clone(), standing });
            }
        }
        let lost: Vec<EngineId> =
            self.known.keys().filter(|id| engines.get(id).is_none()).cloned().collect();
        let news = !changed.is_empty() || !lost.is_empty();
        let read = ListPlace::read(cursor);
        if read > self.at || self.begun.is_none() {
            self.at = read;
        } else if news {
            // A change that was found without reading on, or behind it, is told as a later one.
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
            changes.push(StandingChange { engine: id.clone(), standing: None });
            self.known.shift_remove(&id);
            self.gone.push((self.at, id));
        }
        if self.gone.len() > MOST_GONE {
            let dropped = self.gone.drain(..MOST_GONE / 2).next_back();
            self.begun = dropped.map(|(at, _)| at).or(self.begun);
        }
        changes
    }

    /// Where the list changed last.
    pub fn changed_at(&self) -> ListPlace {
        self.changed_at
    }

    /// Whether there is nothing to tell a node whose list ends there.
    pub fn has_nothing_since(&self, since: Option<ListPlace>) -> bool {
        let is_known = |since| self.begun.is_some_and(|begun| since >= begun);
        self.begun.is_none()
            || since.is_none_or(|since| is_known(since) && self.changed_at <= since)
    }

    /// What changed since a node's list ended; a node without one is told nothing.
    pub fn since(&self, engines: &Engines, since: Option<ListPlace>) -> ListNews {
        if self.begun.is_none() {
            return ListNews { part: Part::Unknown, ..ListNews::default() };
        }
        let Some(since) = since else { return ListNews { place: self.at, ..ListNews::default() } };
        let is_known = self.begun.is_some_and(|begun| since >= begun);
        let part = match is_known {
            true => Part::Changes,
            false if self.known.len() <= MOST_WHOLE => Part::Whole,
            false => return ListNews { part: Part::ReadAnew, ..ListNews::default() },
        };
        let newer = self.known.iter().filter(|(_, (at, _))| part == Part::Whole || *at > since);
        let told = newer.filter_map(|(id, _)| engines.get(id).map(passed)).collect();
        let gone = self.gone.iter().filter(|(at, _)| *at > since);
        let gone = gone.map(|(at, id)| (id.clone(), engines.gone_at(id).unwrap_or(at.cursor())));
        let (gone, copy_end) = (gone.collect(), engines.copy_end());
        ListNews { place: self.at, copy_end, part, engines: told, gone }
    }
}

fn passed(engine: &Engine) -> Passed {
    let listed = &engine.listed;
    Passed {
        engine: listed.id.clone(),
        at: listed.at,
        start: listed.start,
        service: listed.service.0.clone(),
        addr: listed.addr,
        domain: listed.domain.clone(),
        slots: listed.slots,
        leaving: matches!(listed.standing, Standing::Leaving { .. }),
        unreadable: listed.standing == Standing::Unreadable,
        cold: listed.cold_ms > 0,
        held: listed.held.clone(),
    }
}
