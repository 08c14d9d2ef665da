//! An engine and what this node knows about it.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::flights::{EngineKey, Flight};
use crate::{Cursor, Judge, Millis, ReadingPace, ServiceId, Unread, Wanted};

/// Identity of an engine, which may restart under the same one.
#[derive(
    Debug, Clone, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(String, &str)]
pub struct EngineId(pub String);

/// Start time of an engine in Unix milliseconds, if known. It tells the incarnations of an engine
/// apart: one that has restarted has lost its models and its load.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Start(pub Option<u64>);

impl Start {
    /// Whether this start is known to be earlier than `known`.
    pub fn is_before(self, known: Start) -> bool {
        matches!((self.0, known.0), (Some(this), Some(known)) if this < known)
    }
}

/// Whether an engine accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Standing {
    #[display("ready")]
    Ready,
    /// It is shutting down.
    #[display("leaving")]
    Leaving {
        /// When it terminates, if it has said so.
        gone_at: Option<Millis>,
    },
    /// Its latest list entry cannot be parsed, so it is not used until one can.
    #[display("unreadable")]
    Unreadable,
}

/// A model that an engine has loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub model: String,
    /// The model's adapters that are loaded with it.
    pub adapters: Vec<String>,
}

/// Weights that an engine can load without the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AtHand {
    /// Models in the memory of its VM.
    pub in_memory: Vec<String>,
    /// Models on its disk.
    pub on_disk: Vec<String>,
}

/// An engine's entry in the list of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    pub id: EngineId,
    /// Position of the entry in the store's log.
    pub at: Cursor,
    pub start: Start,
    pub service: ServiceId,
    pub addr: SocketAddr,
    pub domain: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    pub standing: Standing,
    pub held: Vec<Held>,
    pub at_hand: AtHand,
    /// Remaining warm-up time after its start.
    pub cold_ms: u64,
}

/// Load reported by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub listed: Listed,
    /// Whether this incarnation has said that it is leaving.
    leaves: bool,
    key: EngineKey,
    pub judge: Judge,
    /// Requests of this node in flight there.
    pub own: u32,
    /// Requests of all other nodes in flight there, if they are reported.
    pub elsewhere: Option<Flight>,
    /// The last reported load, when it was reported, and the value of `own` at that time.
    pub told: Option<(Load, Millis, u32)>,
    /// Prompts whose prefill is not complete.
    pub unread: Unread,
    pub reading: ReadingPace,
    /// Average time between two events of a stream there; 0 until a stream has completed.
    pub event_ms: f64,
    /// When the last byte arrived from it on any connection.
    pub heard: Millis,
    /// Number of orders that it is known to have accepted.
    pub orders: u64,
    /// Adapters that it was ordered to load and that are not known to be loaded; they occupy slots.
    pub coming: Vec<Wanted>,
    /// When the leader last reported its loaded models.
    pub told_at: Option<Millis>,
}

/// Weight of the latest stream in the average time between events.
const EVENTS_WEIGHT: f64 = 0.1;

/// Time after which a reported load is outdated.
const TOLD_FOR: Millis = 2_000;

pub(crate) fn is_leaving(listed: &Listed) -> bool {
    matches!(listed.standing, Standing::Leaving { .. })
}

impl Engine {
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

    /// Replaces its list entry.
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

    /// Marks this incarnation as leaving. That is final: a heartbeat that is written late, or a
    /// store restored from a backup, does not undo it.
    pub(crate) fn leave(&mut self) {
        self.leaves = true;
        if self.listed.standing == Standing::Ready {
            self.listed.standing = Standing::Leaving { gone_at: None };
        }
    }

    pub(crate) fn leaves(&self) -> bool {
        self.leaves
    }

    pub fn own_flight(&self) -> Flight {
        let (prompts, tokens) = self.unread.own();
        Flight { requests: self.own, prompts, tokens }
    }

    /// Estimated number of requests there, if known: from the reports of all nodes, else from its
    /// own report.
    pub fn known_load(&self, now: Millis) -> Option<f64> {
        if let Some(elsewhere) = self.elsewhere {
            return Some(f64::from(elsewhere.requests) + f64::from(self.own));
        }
        self.told_load(now)
    }

    /// Its recently reported load, adjusted by the change in this node's own requests since.
    pub fn told_load(&self, now: Millis) -> Option<f64> {
        let (load, at, own) = self.told.filter(|(_, at, _)| now.saturating_sub(*at) < TOLD_FOR)?;
        debug_assert!(at <= now);
        let told = f64::from(load.running + load.waiting);
        Some((told + f64::from(self.own) - f64::from(own)).max(f64::from(self.own)))
    }

    /// Estimated number of requests there; this node's own if nothing else is known.
    pub fn estimate(&self, now: Millis) -> f64 {
        self.known_load(now).unwrap_or(f64::from(self.own))
    }

    /// Estimated time to complete all known prefill, in milliseconds.
    pub fn reading_ms(&self, now: Millis) -> f64 {
        self.reading.time(self.unread_tokens(now))
    }

    fn unread_tokens(&self, now: Millis) -> u32 {
        let elsewhere = self.elsewhere.map_or(0, |flight| flight.tokens);
        self.unread.tokens(now).saturating_add(elsewhere)
    }

    /// Longest expected pause of the streams that run there, in milliseconds, if it is sent a
    /// prompt of this many tokens now. 0 if no stream runs there, or if it has no other prefill, as
    /// waiting would not help then.
    pub fn longest_pause(&self, tokens: u32, now: Millis) -> f64 {
        let elsewhere = self.elsewhere.map_or(0, |flight| flight.prompts);
        let reads = self.unread.count(now) + elsewhere as usize;
        let unread = self.unread_tokens(now);
        if unread == 0 || self.estimate(now) <= reads as f64 {
            return 0.0;
        }
        self.reading.time(unread.saturating_add(tokens)) + self.event_ms
    }

    /// Records the mean time between the events of a complete stream.
    pub fn saw_events(&mut self, mean_ms: f64) {
        let before = if self.event_ms == 0.0 { mean_ms } else { self.event_ms };
        self.event_ms = before + EVENTS_WEIGHT * (mean_ms - before);
    }

    /// Records a load that another node received, unless a newer one is known.
    pub fn hear(&mut self, load: Load, at: Millis) {
        if self.told.is_none_or(|(_, known, _)| known < at) {
            self.told = Some((load, at, self.own));
        }
    }

    /// Whether it has loaded the model, and the adapter if one is given.
    pub fn holds(&self, wanted: &Wanted) -> bool {
        let held = self.listed.held.iter().find(|h| h.model == wanted.model);
        held.is_some_and(|h| match &wanted.adapter {
            Some(adapter) => h.adapters.contains(adapter),
            None => true,
        })
    }

    pub fn holds_model(&self, model: &str) -> bool {
        self.listed.held.iter().any(|h| h.model == model)
    }

    /// Removes a model or adapter that the engine reported as not loaded.
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

    /// Records that it was, or may have been, ordered to load an adapter.
    pub fn expect(&mut self, wanted: &Wanted) {
        if !self.coming.contains(wanted) {
            self.coming.push(wanted.clone());
        }
    }

    /// Adapter slots that are, or may be, in use.
    pub fn places_taken(&self) -> usize {
        let held: usize = self.listed.held.iter().map(|h| h.adapters.len()).sum();
        held + self.coming.iter().filter(|w| !self.holds(w)).count()
    }

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

    /// Hash that identifies this incarnation.
    pub fn key(&self) -> EngineKey {
        self.key
    }

    pub fn takes_work(&self) -> bool {
        self.listed.standing == Standing::Ready
    }
}
