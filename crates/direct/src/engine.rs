use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::flights::{EngineKey, Flight};
use crate::{Cursor, Judge, Millis, ReadingPace, ServiceId, Unread, Wanted};

/// Identity of one start of an engine.
#[derive(
    Debug, Clone, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(String, &str)]
pub struct EngineId(pub String);

/// When an engine was started, in Unix milliseconds, where it says so: it may start again under its identity, and
/// then holds and knows nothing.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Start(pub Option<u64>);

impl Start {
    /// Whether what is said of this start is older than what is known of another.
    pub fn is_before(self, known: Start) -> bool {
        matches!((self.0, known.0), (Some(this), Some(known)) if this < known)
    }
}

/// Whether an engine takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Standing {
    /// It does.
    #[display("ready")]
    Ready,
    /// It is leaving, at this time where that was told.
    #[display("leaving")]
    Leaving {
        /// When whatever still runs there is gone.
        gone_at: Option<Millis>,
    },
    /// Its newest entry cannot be read: another writer may have made it. It is not used until one can be.
    #[display("unreadable")]
    Unreadable,
}

/// A model that an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its name.
    pub model: String,
    /// Its adapters there.
    pub adapters: Vec<String>,
}

/// Weights that an engine keeps beside what it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AtHand {
    /// In its machine's memory.
    pub in_memory: Vec<String>,
    /// On its own disk.
    pub on_disk: Vec<String>,
}

/// An engine as the list of engines has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its identity.
    pub id: EngineId,
    /// Where in the store's log this stands.
    pub at: Cursor,
    /// When it was started.
    pub start: Start,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// What it holds.
    pub held: Vec<Held>,
    /// What it need not fetch to load.
    pub at_hand: AtHand,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// What an engine said of its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// An engine and what this node knows of it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// What the list says.
    pub listed: Listed,
    /// Whether this start of it has said that it leaves.
    leaves: bool,
    /// Names this start of it in few bytes.
    key: EngineKey,
    /// What its answers say.
    pub judge: Judge,
    /// Requests that this node has there.
    pub own: u32,
    /// What all other nodes have there, where they tell.
    pub elsewhere: Option<Flight>,
    /// The load that it told last, the time, and the requests that this node had there then.
    pub told: Option<(Load, Millis, u32)>,
    /// Prompts that it has not read yet.
    pub unread: Unread,
    /// How fast it reads them.
    pub reading: ReadingPace,
    /// Usual time between two events of a stream there, in milliseconds, once one has been seen whole.
    pub event_ms: f64,
    /// When the last byte came from it on any connection.
    pub heard: Millis,
    /// Orders that it is known to have accepted.
    pub orders: u64,
    /// Adapters that it was ordered to hold and is not known to hold yet: they take room.
    pub coming: Vec<Wanted>,
    /// When the one that gives orders told what it holds.
    pub told_at: Option<Millis>,
}

/// Weight of the newest stream in the usual time between events: some ten streams tell what runs beside them now.
const EVENTS_WEIGHT: f64 = 0.1;

/// Time for which a told load is believed.
const TOLD_FOR: Millis = 2_000;

/// Whether an entry says that its engine leaves.
pub(crate) fn is_leaving(listed: &Listed) -> bool {
    matches!(listed.standing, Standing::Leaving { .. })
}

impl Engine {
    /// A newly listed engine.
    pub fn new(listed: Listed) -> Engine {
        Engine {
            key: EngineKey::of(&listed.id, listed.start),
            leaves: is_leaving(&listed),
            listed,
            judge: Judge::default(),
            own: 0,
            elsewhere: None,
            told: None,
            unread: Unread::default(),
            reading: ReadingPace::default(),
            event_ms: 0.0,
            heard: 0,
            orders: 0,
            coming: Vec::new(),
            told_at: None,
        }
    }

    /// Takes its newest entry in.
    pub(crate) fn relist(&mut self, listed: Listed) {
        if listed.start != self.listed.start {
            self.key = EngineKey::of(&listed.id, listed.start);
        }
        let leaves = self.leaves || is_leaving(&listed);
        self.listed = listed;
        if leaves {
            self.leave();
        }
    }

    /// This start of it has said that it leaves. That is its last word: a heartbeat from before that is written late, or a
    /// copy of the store in which it had not said so yet, does not take it back.
    pub(crate) fn leave(&mut self) {
        self.leaves = true;
        if self.listed.standing == Standing::Ready {
            self.listed.standing = Standing::Leaving { gone_at: None };
        }
    }

    /// Whether this start of it has said that it leaves.
    pub(crate) fn leaves(&self) -> bool {
        self.leaves
    }

    /// What this node has there.
    pub fn own_flight(&self) -> Flight {
        let (prompts, tokens) = self.unread.own();
        Flight { requests: self.own, prompts, tokens }
    }

    /// Requests that are probably there now, where that is known: what all nodes have sent there, or those that it told
    /// of, with the change in this node's own.
    pub fn known_load(&self, now: Millis) -> Option<f64> {
        if let Some(elsewhere) = self.elsewhere {
            return Some(f64::from(elsewhere.requests) + f64::from(self.own));
        }
        self.told_load(now)
    }

    /// The load that it told of late itself, with the change in this node's own requests since.
    pub fn told_load(&self, now: Millis) -> Option<f64> {
        let (load, at, own) = self.told.filter(|(_, at, _)| now.saturating_sub(*at) < TOLD_FOR)?;
        debug_assert!(at <= now);
        let told = f64::from(load.running + load.waiting);
        Some((told + f64::from(self.own) - f64::from(own)).max(f64::from(self.own)))
    }

    /// Requests that are probably there now: this node's own where it told nothing of late.
    pub fn estimate(&self, now: Millis) -> f64 {
        self.known_load(now).unwrap_or(f64::from(self.own))
    }

    /// Milliseconds until it has read all prompts that are known to be there.
    pub fn reading_ms(&self, now: Millis) -> f64 {
        self.reading.time(self.unread_tokens(now))
    }

    fn unread_tokens(&self, now: Millis) -> u32 {
        let elsewhere = self.elsewhere.map_or(0, |flight| flight.tokens);
        self.unread.tokens(now).saturating_add(elsewhere)
    }

    /// The longest pause of the streams that run there, in milliseconds, if it is sent a prompt of so many tokens now;
    /// none where no stream runs, or where it has nothing else to read, as waiting would change nothing.
    pub fn longest_pause(&self, tokens: u32, now: Millis) -> f64 {
        let elsewhere = self.elsewhere.map_or(0, |flight| flight.prompts);
        let reads = self.unread.count(now) + elsewhere as usize;
        let unread = self.unread_tokens(now);
        if unread == 0 || self.estimate(now) <= reads as f64 {
            return 0.0;
        }
        self.reading.time(unread.saturating_add(tokens)) + self.event_ms
    }

    /// A stream was whole, with this mean time between its events.
    pub fn saw_events(&mut self, mean_ms: f64) {
        let before = if self.event_ms == 0.0 { mean_ms } else { self.event_ms };
        self.event_ms = before + EVENTS_WEIGHT * (mean_ms - before);
    }

    /// Another node heard of its load some time ago: taken in where this node has heard nothing since.
    pub fn hear(&mut self, load: Load, at: Millis) {
        if self.told.is_none_or(|(_, known, _)| known < at) {
            self.told = Some((load, at, self.own));
        }
    }

    /// Whether it holds the model, and the adapter where one is wanted.
    pub fn holds(&self, wanted: &Wanted) -> bool {
        let held = self.listed.held.iter().find(|h| h.model == wanted.model);
        held.is_some_and(|h| match &wanted.adapter {
            Some(adapter) => h.adapters.contains(adapter),
            None => true,
        })
    }

    /// Whether it holds the model.
    pub fn holds_model(&self, model: &str) -> bool {
        self.listed.held.iter().any(|h| h.model == model)
    }

    /// Forgets that it holds something: it said itself that it does not.
    pub fn drop_held(&mut self, wanted: &Wanted) {
        match &wanted.adapter {
            None => self.listed.held.retain(|h| h.model != wanted.model),
            Some(adapter) => {
                for held in self.listed.held.iter_mut().filter(|h| h.model == wanted.model) {
                    held.adapters.retain(|a| a != adapter);
                }
            }
        }
    }

    /// Notes that it was ordered to hold an adapter, or may have been.
    pub fn expect(&mut self, wanted: &Wanted) {
        if !self.coming.contains(wanted) {
            self.coming.push(wanted.clone());
        }
    }

    /// Places for adapters that are taken, or may be.
    pub fn places_taken(&self) -> usize {
        let held: usize = self.listed.held.iter().map(|h| h.adapters.len()).sum();
        held + self.coming.iter().filter(|w| !self.holds(w)).count()
    }

    /// Notes that it holds something.
    pub fn add_held(&mut self, wanted: &Wanted) {
        self.coming.retain(|w| w != wanted);
        let at = self.listed.held.iter().position(|h| h.model == wanted.model);
        let at = at.unwrap_or_else(|| {
            self.listed.held.push(Held { model: wanted.model.clone(), adapters: Vec::new() });
            self.listed.held.len() - 1
        });
        if let Some(adapter) = &wanted.adapter {
            let adapters = &mut self.listed.held[at].adapters;
            if !adapters.contains(adapter) {
                adapters.push(adapter.clone());
            }
        }
    }

    /// Names this start of it in few bytes.
    pub fn key(&self) -> EngineKey {
        self.key
    }

    /// Whether new work may be sent there.
    pub fn takes_work(&self) -> bool {
        self.listed.standing == Standing::Ready
    }
}
