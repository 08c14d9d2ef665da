//! Tells whether a node's own path to the engines of a service has failed.
//!
//! One engine that cannot be reached says something about that engine. Many, with none reached in between,
//! say something about the node, unless they take connections and do not respond: all engines may be silent for a moment.
//! Only other nodes can tell that from a path that takes connections and carries nothing.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{EngineId, Millis};

/// Different engines that were not reached from which the path counts as failed; all of them if a service
/// has fewer. Half of the engines may be lost and the others draw no request for a while.
pub const MIN_FAILED_ENGINES: usize = 8;

/// Time for which a failure counts.
const EVIDENCE_TTL: Millis = 3_000;

/// Time for which an engine has to be reached before the path counts as restored. It doubles with each
/// failure soon after a restoration, so that a path that comes and goes does not take requests with it.
const MIN_HOLD: Millis = 300;
const MAX_HOLD: Millis = 4_800;

/// Time after a restoration within which the next failure counts as the same one.
const UNSTABLE_TIME: Millis = 10_000;

/// Time within which an engine must have been reached for the path to be known to work.
const PROOF_TTL: Millis = 300;

/// Time from the failure of the path on for which engines that take connections may all be silent together.
const MAX_COMMON_SILENCE: Millis = 3_000;

/// Longest time that it takes to miss an engine: connecting, and the response.
const MAX_MISS_TIME: Millis = 700;

/// Interval between two checks while the path has failed.
pub const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Change of the state of the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    Failed,
    Restored,
}

/// What a node knows of its path to the engines of a service, from responses on new connections. Open
/// connections say nothing: they may live on while no new one can be made.
#[derive(Debug, Default)]
pub struct EnginePath {
    /// Engines that were not reached since one last was.
    failed: IndexMap<EngineId, Miss>,
    last_reached_at: Option<Millis>,
    outage: Option<Outage>,
    restored_at: Option<Millis>,
    /// How long an engine had to be reached at the end of the last outage.
    last_hold: Millis,
}

/// An engine that was not reached.
#[derive(Debug)]
struct Miss {
    at: Millis,
    /// Whether it took a connection.
    is_connected: bool,
}

#[derive(Debug)]
struct Outage {
    /// Engines that were reached, and since when.
    reached: IndexMap<EngineId, Millis>,
    hold: Millis,
    since: Millis,
    /// Whether an engine has taken a connection.
    is_connected: bool,
    /// When another node was first known to have reached an engine meanwhile.
    reached_elsewhere_at: Option<Millis>,
    /// Whether engines have been silent towards this node after another one had reached one.
    is_lost: bool,
}

impl Outage {
    /// Whether it may be no more than a silence of all engines.
    fn may_be_silence(&self, now: Millis) -> bool {
        let is_short = now.saturating_sub(self.since) < MAX_COMMON_SILENCE;
        self.is_connected && !self.is_lost && is_short
    }
}

impl EnginePath {
    /// Whether this node reaches no engine of the service.
    pub fn has_failed(&self) -> bool {
        self.outage.is_some()
    }

    /// Whether this node has lost its path: none of the engines is reached, and they are not all silent for a moment.
    pub fn is_lost(&self, now: Millis) -> bool {
        self.outage.as_ref().is_some_and(|outage| !outage.may_be_silence(now))
    }

    /// Whether requests that go no other way may be sent to engines: the path works, or engines are probably all silent
    /// for a moment, or one has been reached again.
    pub fn may_carry(&self, now: Millis) -> bool {
        let Some(outage) = &self.outage else { return true };
        outage.may_be_silence(now) || !outage.reached.is_empty()
    }

    /// Whether an engine was reached so lately that a failure concerns the engine and not this node.
    pub fn is_proven(&self, now: Millis) -> bool {
        let is_recent = self.last_reached_at.is_some_and(|at| now.saturating_sub(at) < PROOF_TTL);
        is_recent && self.failed.len() < 2 && !self.has_failed()
    }

    /// Whether the engine is among those that were not reached lately.
    pub fn has_missed(&self, engine: &EngineId) -> bool {
        self.failed.contains_key(engine)
    }

    /// An engine that was reached during an outage, to be tried again.
    pub fn reached_in_outage(&self) -> Option<&EngineId> {
        self.outage.as_ref()?.reached.keys().next()
    }

    /// Different engines that were not reached since one last was.
    pub fn failed_engines(&self) -> usize {
        self.failed.len()
    }

    /// Records that the engine was not reached, out of `engines` that accept requests.
    pub fn record_failure(
        &mut self,
        engine: &EngineId,
        engines: usize,
        now: Millis,
    ) -> Option<PathChange> {
        self.record_miss(engine, Miss { at: now, is_connected: false }, engines)
    }

    /// Records that the engine took a connection and did not respond, out of `engines` that accept requests.
    pub fn record_silence(
        &mut self,
        engine: &EngineId,
        engines: usize,
        now: Millis,
    ) -> Option<PathChange> {
        self.record_miss(engine, Miss { at: now, is_connected: true }, engines)
    }

    fn record_miss(&mut self, engine: &EngineId, miss: Miss, engines: usize) -> Option<PathChange> {
        let now = miss.at;
        if let Some(outage) = &mut self.outage {
            outage.reached.swap_remove(engine);
            outage.is_connected |= miss.is_connected;
            // Earlier misses may have begun before engines went on.
            let is_missed_since = |at: Millis| now.saturating_sub(at) >= MAX_MISS_TIME;
            outage.is_lost |= outage.reached_elsewhere_at.is_some_and(is_missed_since);
            return None;
        }
        self.failed.retain(|_, earlier| now.saturating_sub(earlier.at) < EVIDENCE_TTL);
        self.failed.insert(engine.clone(), miss);
        if self.failed.len() < engines.clamp(1, MIN_FAILED_ENGINES) {
            return None;
        }
        let is_unstable = self.restored_at.is_some_and(|at| now.saturating_sub(at) < UNSTABLE_TIME);
        let hold = if is_unstable { (2 * self.last_hold).min(MAX_HOLD) } else { MIN_HOLD };
        self.outage = Some(Outage {
            reached: IndexMap::new(),
            hold,
            since: now,
            is_connected: self.failed.values().any(|miss| miss.is_connected),
            reached_elsewhere_at: None,
            is_lost: false,
        });
        Some(PathChange::Failed)
    }

    /// Records that another node has reached an engine of the service.
    pub fn record_reached_elsewhere(&mut self, now: Millis) {
        if let Some(outage) = &mut self.outage {
            outage.reached_elsewhere_at.get_or_insert(now);
        }
    }

    /// Records a response of the engine on a new connection.
    pub fn record_reached(&mut self, engine: &EngineId, now: Millis) -> Option<PathChange> {
        self.last_reached_at = Some(now);
        let Some(outage) = &mut self.outage else {
            self.failed.clear();
            return None;
        };
        if outage.may_be_silence(now) {
            self.end_outage();
            return Some(PathChange::Restored);
        }
        outage.reached.entry(engine.clone()).or_insert(now);
        let longest = outage.reached.values().map(|since| now.saturating_sub(*since)).max();
        if longest.is_none_or(|longest| longest < outage.hold) {
            return None;
        }
        self.last_hold = outage.hold;
        self.restored_at = Some(now);
        self.end_outage();
        Some(PathChange::Restored)
    }

    fn end_outage(&mut self) {
        self.outage = None;
        self.failed.clear();
    }
}
