//! Request rates that engines in need say they take from all nodes together.
//!
//! Responses of one engine overtake each other. One that names no limit ends a limit only if its
//! request was sent after the limit was heard, so that the engine must have answered it later.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::in_flight::EngineKey;
use crate::{ChangeLog, ChangePosition, Millis, RequestRate};

/// Part by which a rate must differ from the known one to count as another one. Engines name a
/// slightly different rate in each response.
const SAME_RATE_TOLERANCE: f64 = 0.1;

/// Maximum number of engines whose invalid limits are remembered.
const MAX_INVALID: usize = 1_000;

/// Maximum number of changes of one engine's limit that are logged in a minute.
const MAX_LOGGED_PER_MINUTE: u32 = 10;

const MINUTE: Millis = 60_000;

/// Maximum number of engines in one message, about 12 KB.
const MAX_PER_MESSAGE: usize = 256;

/// Time for which the limit of an engine that is not listed is remembered: its entry may arrive later
/// than the limit.
const UNLISTED_TTL: Millis = 30_000;

/// Time for which it is remembered that a limit has ended; longer than a response may be late.
const LIFTED_TTL: Millis = 60_000;

/// What a node tells others about the limit of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    pub engine: EngineKey,
    /// None if the limit has ended.
    pub limit: Option<RequestRate>,
    /// Time since the limit was heard, or since the request was sent whose response named none.
    pub age_ms: Millis,
}

/// A change of an engine's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub previous: Option<RequestRate>,
    /// The limit from now on; none if there is no limit any more.
    pub limit: Option<RequestRate>,
    /// Whether to log it; false if many changes of this engine have just been logged.
    pub is_logged: bool,
}

#[derive(Debug, Clone, Copy)]
enum Belief {
    Limited {
        rate: RequestRate,
        heard_at: Millis,
    },
    /// It had a limit, and has none since a request that was sent at this time.
    Lifted {
        sent_at: Millis,
    },
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    belief: Belief,
    /// Logged changes since `counted_since`.
    logged: u32,
    counted_since: Millis,
}

impl KnownLimit {
    /// Counts a change. Returns whether to log it.
    fn count_line(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.counted_since) >= MINUTE {
            (self.logged, self.counted_since) = (0, now);
        }
        self.logged += 1;
        self.logged <= MAX_LOGGED_PER_MINUTE
    }
}

/// The limits of engines, as far as this node knows.
#[derive(Debug, Default)]
pub struct EngineLimits {
    known: IndexMap<EngineKey, KnownLimit>,
    /// Engines that named a limit that cannot be parsed.
    invalid: IndexSet<EngineKey>,
    /// Engines whose limits other nodes are told.
    changed: ChangeLog<EngineKey>,
}

impl EngineLimits {
    /// The limits known to a process with this identifier, which is not 0.
    pub fn new(process_id: u64) -> EngineLimits {
        EngineLimits { changed: ChangeLog::new(process_id), ..EngineLimits::default() }
    }

    /// The limit of an engine, if it has one.
    pub fn limit(&self, engine: EngineKey) -> Option<RequestRate> {
        match self.known.get(&engine)?.belief {
            Belief::Limited { rate, .. } => Some(rate),
            Belief::Lifted { .. } => None,
        }
    }

    /// Engines that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = (EngineKey, RequestRate)> {
        self.known.iter().filter_map(|(key, known)| match known.belief {
            Belief::Limited { rate, .. } => Some((*key, rate)),
            Belief::Lifted { .. } => None,
        })
    }

    /// Records what the head of a response says whose request was sent at `sent_at`. Returns the
    /// change, if there is one.
    pub fn observe(
        &mut self,
        engine: EngineKey,
        named: Option<RequestRate>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let belief = self.known.get(&engine).map(|known| known.belief);
        let new_belief = match (belief, named) {
            (None, None) => return None,
            (None, Some(rate)) => Belief::Limited { rate, heard_at: now },
            (Some(Belief::Lifted { sent_at: lifted_by }), Some(rate)) => {
                if sent_at < lifted_by {
                    return None;
                }
                Belief::Limited { rate, heard_at: now }
            }
            (Some(Belief::Lifted { sent_at: lifted_by }), None) => {
                Belief::Lifted { sent_at: lifted_by.max(sent_at) }
            }
            (Some(Belief::Limited { rate, heard_at }), Some(named)) => {
                // Of two rates whose order is unknown the lower one counts.
                let newest = if sent_at > heard_at || named < rate { named } else { rate };
                let rate = if is_same_rate(rate, newest) { rate } else { newest };
                Belief::Limited { rate, heard_at: now }
            }
            (Some(Belief::Limited { heard_at, .. }), None) => {
                if sent_at <= heard_at {
                    return None;
                }
                Belief::Lifted { sent_at }
            }
        };
        self.set(engine, new_belief, now)
    }

    fn set(&mut self, engine: EngineKey, belief: Belief, now: Millis) -> Option<LimitChange> {
        let previous = self.limit(engine);
        let known = self.known.entry(engine).or_insert(KnownLimit {
            belief,
            logged: 0,
            counted_since: now,
        });
        known.belief = belief;
        let limit = self.limit(engine);
        if limit == previous {
            return None;
        }
        self.changed.record(&engine);
        let is_logged = self.known.get_mut(&engine).is_some_and(|known| known.count_line(now));
        Some(LimitChange { previous, limit, is_logged })
    }

    /// Applies what another node tells. Returns the change, if there is one.
    pub fn apply(&mut self, state: &LimitState, now: Millis) -> Option<LimitChange> {
        let at = now.saturating_sub(state.age_ms);
        let belief = self.known.get(&state.engine).map(|known| known.belief);
        let new_belief = match (belief, state.limit) {
            (None, Some(rate)) => Belief::Limited { rate, heard_at: at },
            (None, None) => Belief::Lifted { sent_at: at },
            (Some(Belief::Lifted { sent_at }), Some(rate)) => {
                if at < sent_at {
                    return None;
                }
                Belief::Limited { rate, heard_at: at }
            }
            (Some(Belief::Lifted { sent_at }), None) => Belief::Lifted { sent_at: sent_at.max(at) },
            (Some(Belief::Limited { rate, heard_at }), Some(told)) => {
                let is_other = at > heard_at && !is_same_rate(rate, told);
                let rate = if is_other { told } else { rate };
                Belief::Limited { rate, heard_at: heard_at.max(at) }
            }
            (Some(Belief::Limited { heard_at, .. }), None) => {
                if at <= heard_at {
                    return None;
                }
                Belief::Lifted { sent_at: at }
            }
        };
        self.set(state.engine, new_belief, now)
    }

    /// Ends a limit because the issuer, which was asked at `asked_at`, says that there is none, unless
    /// the limit was heard since.
    pub fn lift(
        &mut self,
        engine: EngineKey,
        asked_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        match self.known.get(&engine)?.belief {
            Belief::Limited { heard_at, .. } if heard_at <= asked_at => {
                self.set(engine, Belief::Lifted { sent_at: heard_at }, now)
            }
            _ => None,
        }
    }

    /// What this node tells others about an engine; none if it never had a limit.
    pub fn state(&self, engine: EngineKey, now: Millis) -> Option<LimitState> {
        let (limit, at) = match self.known.get(&engine)?.belief {
            Belief::Limited { rate, heard_at } => (Some(rate), heard_at),
            Belief::Lifted { sent_at } => (None, sent_at),
        };
        Some(LimitState { engine, limit, age_ms: now.saturating_sub(at) })
    }

    /// Whether there is nothing to tell a node that has seen the changes up to `position`.
    pub fn is_up_to_date(&self, position: ChangePosition) -> bool {
        self.changed.is_up_to_date(position)
    }

    /// States that changed after `position`, the earliest first, and the new position. Later calls
    /// return what does not fit.
    pub fn states_since(
        &self,
        position: ChangePosition,
        now: Millis,
    ) -> (ChangePosition, Vec<LimitState>) {
        let (position, changed) = self.changed.since(position, MAX_PER_MESSAGE);
        (position, changed.into_iter().filter_map(|engine| self.state(engine, now)).collect())
    }

    /// Forgets engines that have ended, and limits that ended long ago.
    pub fn forget_ended(&mut self, is_listed: impl Fn(EngineKey) -> bool, now: Millis) {
        let changed = &mut self.changed;
        self.known.retain(|key, known| {
            let is_kept = match known.belief {
                Belief::Limited { heard_at, .. } => {
                    is_listed(*key) || now.saturating_sub(heard_at) < UNLISTED_TTL
                }
                Belief::Lifted { sent_at } => now.saturating_sub(sent_at) < LIFTED_TTL,
            };
            if !is_kept {
                changed.forget(key);
            }
            is_kept
        });
        self.invalid.retain(|key| is_listed(*key));
    }

    /// Records that an engine named a limit that cannot be parsed, which changes nothing. Returns
    /// whether it is the first of this engine.
    pub fn record_invalid(&mut self, engine: EngineKey) -> bool {
        self.invalid.len() < MAX_INVALID && self.invalid.insert(engine)
    }
}

fn is_same_rate(known: RequestRate, named: RequestRate) -> bool {
    let (known, named) = (known.per_second(), named.per_second());
    (known - named).abs() <= SAME_RATE_TOLERANCE * known
}
