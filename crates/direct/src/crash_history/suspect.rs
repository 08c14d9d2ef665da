//! The engines that have ended under one subject.

use indexmap::IndexMap;

use crate::in_flight::EngineKey;
use crate::{Engines, Millis};

use super::{JudgeParams, Origin};

/// Maximum number of ends that are remembered of one subject; more prove nothing further.
const MAX_ENDS: usize = 64;

/// Time for which an engine must be missing from the list: other nodes may know it first.
const MISSING_FOR: Millis = 500;

/// A moment by the clock of this process, in milliseconds. It may lie before the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment(i64);

impl Moment {
    /// The moment that was so long before `now`.
    pub(super) fn ago(now: Millis, age: Millis) -> Moment {
        Moment(now as i64 - age as i64)
    }

    pub(super) fn age(self, now: Millis) -> Millis {
        u64::try_from(now as i64 - self.0).unwrap_or(0)
    }

    /// The moment as a time of the process, the earliest for one before its start.
    pub(super) fn as_millis(self) -> Millis {
        u64::try_from(self.0).unwrap_or(0)
    }
}

/// What is known of a subject under which engines have ended.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    pub(super) origin: Origin,
    /// How particular the subject is.
    pub(super) depth: u16,
    /// Whether it is sent to no engine any more.
    pub(super) is_blocked: bool,
    /// Trials that have been given.
    pub(super) trials: usize,
    /// When an engine was last known to have outlived it, which refutes earlier ends.
    outlived_at: Option<Moment>,
    ends: IndexMap<EngineKey, End>,
}

/// An engine that seems to have ended.
#[derive(Debug, Clone, Copy)]
struct End {
    at: Moment,
    /// Whether the engine is gone from the list.
    is_confirmed: bool,
}

impl Suspect {
    /// Number of engines that have ended.
    pub(super) fn count(&self) -> usize {
        self.ends.len()
    }

    pub(super) fn engines(&self) -> impl Iterator<Item = EngineKey> {
        self.ends.keys().copied()
    }

    /// The engines that have ended, and how long ago.
    pub(super) fn ages(&self, now: Millis) -> Vec<(EngineKey, Millis)> {
        self.ends.iter().map(|(key, end)| (*key, end.at.age(now))).collect()
    }

    pub(super) fn confirmed(&self) -> impl Iterator<Item = EngineKey> {
        self.ends.iter().filter(|(_, end)| end.is_confirmed).map(|(key, _)| *key)
    }

    pub(super) fn outlived_at(&self) -> Option<Moment> {
        self.outlived_at
    }

    /// Whether an engine that ended at this moment is known not to have ended because of the subject.
    pub(super) fn is_refuted(&self, ended_at: Moment) -> bool {
        self.outlived_at.is_some_and(|outlived_at| ended_at <= outlived_at)
    }

    /// Whether nothing is known any more that counts.
    pub(super) fn is_empty(&self, now: Millis, forget_after: Millis) -> bool {
        let was_outlived = self.outlived_at.is_some_and(|at| at.age(now) < forget_after);
        self.ends.is_empty() && !self.is_blocked && !was_outlived
    }

    /// Time of the latest end.
    pub(super) fn latest(&self) -> Option<Millis> {
        self.ends.values().map(|end| end.at.as_millis()).max()
    }

    /// Time of the end with this number, from 1.
    pub(super) fn time_of_end(&self, number: usize) -> Option<Millis> {
        let mut times: Vec<Moment> = self.ends.values().map(|end| end.at).collect();
        times.sort_unstable();
        times.get(number.checked_sub(1)?).map(|at| at.as_millis())
    }

    /// Adds an end. Returns whether it is new and not refuted.
    pub(super) fn add(&mut self, engine: EngineKey, at: Moment) -> bool {
        let is_known = self.ends.contains_key(&engine);
        if is_known || self.is_refuted(at) || self.ends.len() >= MAX_ENDS {
            return false;
        }
        self.ends.insert(engine, End { at, is_confirmed: false });
        true
    }

    /// Records that an engine had outlived the subject at this moment. Returns whether that is news.
    pub(super) fn outlive(&mut self, at: Moment) -> bool {
        let is_news = !self.is_refuted(at);
        self.outlived_at = self.outlived_at.max(Some(at));
        let outlived_at = self.outlived_at;
        self.ends.retain(|_, end| Some(end.at) > outlived_at);
        is_news
    }

    /// Confirms ends by the list of engines, and drops those that the list refutes or that are old. Returns
    /// whether it has dropped any.
    pub(super) fn judge(&mut self, engines: &Engines, params: JudgeParams, now: Millis) -> bool {
        let (is_blocked, before) = (self.is_blocked, self.ends.len());
        self.ends.retain(|key, end| {
            let age = end.at.age(now);
            let is_listed = engines.contains_key(*key);
            end.is_confirmed |= !is_listed && params.list_is_fresh && age >= MISSING_FOR;
            if end.is_confirmed {
                return is_blocked || age < params.forget_after;
            }
            !params.list_is_fresh || age < params.listed_for
        });
        self.ends.len() != before
    }
}
