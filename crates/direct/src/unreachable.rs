//! Collects what a hub reports to other nodes about engines that it cannot reach.
//!
//! When a failure domain is lost, hundreds of engines are unreachable for hundreds of nodes. The hub
//! reports many engines in one datagram, so that their number is that of the nodes and not its product
//! with that of the engines.

use indexmap::IndexSet;

use crate::Millis;
use crate::in_flight::EngineKey;

/// Maximum number of engines in one datagram; keeps it below the usual MTU.
const MAX_KEYS_PER_REPORT: usize = 200;

/// Interval at which all unreachable engines are reported again: nodes believe a report for three times
/// as long.
const REPEAT_INTERVAL: Millis = 500;

/// Engines in one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachabilityReport {
    pub engines: Vec<EngineKey>,
    pub is_unreachable: bool,
}

/// Engines that a hub probes until they are back.
#[derive(Debug, Default)]
pub struct ProbedEngines {
    engines: IndexSet<EngineKey>,
    /// Those that have not been reported yet.
    new: IndexSet<EngineKey>,
    /// Engines that are reachable again and have not been reported yet.
    back: IndexSet<EngineKey>,
    repeated_at: Millis,
}

impl ProbedEngines {
    /// Adds an engine. Returns false if it is probed already.
    pub fn insert(&mut self, engine: EngineKey) -> bool {
        let is_new = self.engines.insert(engine);
        if is_new {
            self.new.insert(engine);
            self.back.swap_remove(&engine);
        }
        is_new
    }

    pub fn contains(&self, engine: EngineKey) -> bool {
        self.engines.contains(&engine)
    }

    /// Keeps these engines only.
    pub fn retain(&mut self, mut is_kept: impl FnMut(EngineKey) -> bool) {
        self.engines.retain(|engine| is_kept(*engine));
        self.new.retain(|engine| is_kept(*engine));
    }

    /// Removes an engine that no longer exists.
    pub fn remove(&mut self, engine: EngineKey) {
        self.engines.swap_remove(&engine);
        self.new.swap_remove(&engine);
    }

    /// Records that an engine is reachable.
    pub fn record_reachable(&mut self, engine: EngineKey) {
        self.remove(engine);
        self.back.insert(engine);
    }

    /// Records that another node hears from an engine, which is probed on.
    pub fn record_heard_elsewhere(&mut self, engine: EngineKey) {
        self.back.insert(engine);
    }

    /// The reports to send now; empty if there is nothing new and no report is to be repeated.
    pub fn next_reports(&mut self, now: Millis) -> Vec<ReachabilityReport> {
        let is_due = now.saturating_sub(self.repeated_at) >= REPEAT_INTERVAL;
        let new = std::mem::take(&mut self.new);
        let lost: Vec<EngineKey> = if is_due {
            self.repeated_at = now;
            self.engines.iter().copied().collect()
        } else {
            new.into_iter().collect()
        };
        let back: Vec<EngineKey> = std::mem::take(&mut self.back).into_iter().collect();
        let reports = |engines: Vec<EngineKey>, is_unreachable| {
            let chunks = engines.chunks(MAX_KEYS_PER_REPORT).map(<[EngineKey]>::to_vec);
            let reports = chunks.map(|engines| ReachabilityReport { engines, is_unreachable });
            reports.collect::<Vec<_>>()
        };
        [reports(lost, true), reports(back, false)].concat()
    }
}
