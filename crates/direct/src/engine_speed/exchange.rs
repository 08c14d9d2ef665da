//! What nodes tell each other of the speed of engines.
//!
//! Observations go up to the leader, which adds them up; what all nodes have observed comes down.

use indexmap::IndexMap;

use super::estimate::{MeanSpeed, SpeedEstimate};
use super::sums::{DecayingSums, SpeedRow, SpeedSums};
use crate::in_flight::EngineKey;
use crate::{ChangeLog, ChangePosition, Engine, Engines, Millis, ServiceId};

/// Maximum number of engines in one report, about 4 KB. The rest follows with the next one.
const MAX_ROWS_PER_REPORT: usize = 128;

/// Maximum number of engines whose observations wait to be reported.
const MAX_UNREPORTED: usize = 4_096;

/// Interval at which the leader publishes.
const PUBLISH_INTERVAL: Millis = 1_000;

/// Maximum number of engines that the leader publishes at a time: about 250 bytes/s to each node.
const MAX_PUBLISHED: usize = 8;

/// Part by which an estimate must differ from what nodes know to be published.
const MIN_CHANGE: f64 = 0.1;

/// Error at least of an engine that was never published, which nodes without other knowledge need for the mean of the
/// service.
const UNPUBLISHED_ERROR: f64 = 1.0;

/// Part of the mean below which differences in pauses do not matter: both engines are good.
const NEGLIGIBLE_PAUSES: f64 = 0.2;

/// Observations that are on their way between nodes, and what the leader has published.
#[derive(Debug, Default)]
pub struct SpeedExchange {
    /// Observations of this node and those behind it that the node that it polls does not have yet.
    unreported: IndexMap<EngineKey, DecayingSums>,
    /// What the leader published last.
    published: IndexMap<EngineKey, DecayingSums>,
    changed: ChangeLog<EngineKey>,
    published_at: Millis,
}

/// Time for which the speed of an engine that is not listed is kept: a new node gets the list in parts, and may learn of
/// the speed first.
const UNLISTED_TTL: Millis = 10_000;

impl SpeedExchange {
    /// The exchange of a process with this identifier, which is not 0.
    pub fn new(process_id: u64) -> SpeedExchange {
        SpeedExchange { changed: ChangeLog::new(process_id), ..SpeedExchange::default() }
    }

    /// Records observations that have not been reported.
    pub fn record(&mut self, key: EngineKey, sums: SpeedSums, now: Millis) {
        if self.unreported.len() < MAX_UNREPORTED || self.unreported.contains_key(&key) {
            self.unreported.entry(key).or_default().add(sums, now);
        }
    }

    /// Takes observations for the node that this one polls.
    pub fn take_report(&mut self, now: Millis) -> Vec<SpeedRow> {
        let count = self.unreported.len().min(MAX_ROWS_PER_REPORT);
        let taken = self.unreported.drain(..count);
        taken.map(|(key, sums)| SpeedRow::of(key, sums.at(now))).collect()
    }

    /// Keeps a report that did not arrive for the next poll.
    pub fn restore_report(&mut self, report: &[SpeedRow], now: Millis) {
        for row in report {
            self.record(row.0, row.sums(), now);
        }
    }

    /// Forgets observations that nobody needs: those of the leader.
    pub fn discard_unreported(&mut self) {
        self.unreported.clear();
    }

    /// Publishes, as the leader, the engines about which nodes err most.
    pub fn publish(&mut self, engines: &mut Engines, now: Millis) {
        if now.saturating_sub(self.published_at) < PUBLISH_INTERVAL {
            return;
        }
        self.published_at = now;
        self.maintain(engines, now);
        let mut means: IndexMap<&ServiceId, MeanSpeed> = IndexMap::new();
        let mut errors: Vec<(f64, &Engine)> = Vec::new();
        for engine in engines.iter().filter(|e| !e.speed.known().latest().is_empty()) {
            let service = &engine.info.service;
            let mean = means.entry(service).or_insert_with(|| mean_speed(engines, service));
            let known = mean.estimate(engine.speed.known().at(now));
            let published = self.published.get(&engine.key()).map(|sums| sums.at(now));
            let is_unpublished = published.is_none() && engine.speed.is_known(now);
            let published = mean.estimate(published.unwrap_or_default());
            let error = difference(&known, &published, mean);
            let error = if is_unpublished { error.max(UNPUBLISHED_ERROR) } else { error };
            if error > MIN_CHANGE {
                errors.push((error, engine));
            }
        }
        errors.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (_, engine) in errors.into_iter().take(MAX_PUBLISHED) {
            self.published.insert(engine.key(), *engine.speed.known());
            self.changed.record(&engine.key());
        }
    }

    /// Applies what the node that this one polls knows of all nodes' observations.
    pub fn apply(&mut self, rows: &[SpeedRow], engines: &mut Engines, now: Millis) {
        for row in rows {
            let sums = DecayingSums::new(row.sums(), now);
            self.published.insert(row.0, sums);
            self.changed.record(&row.0);
            if let Some(engine) = engines.by_key(row.0) {
                engine.speed.replace(sums);
            }
        }
    }

    /// What was published after `position`, the earliest first, and the new position.
    pub fn rows_since(
        &self,
        position: ChangePosition,
        now: Millis,
    ) -> (ChangePosition, Vec<SpeedRow>) {
        let (position, keys) = self.changed.since(position, MAX_ROWS_PER_REPORT);
        let row = |key: EngineKey| Some(SpeedRow::of(key, self.published.get(&key)?.at(now)));
        (position, keys.into_iter().filter_map(row).collect())
    }

    /// Forgets engines that have ended, and completes engines that were listed after they were published.
    pub fn maintain(&mut self, engines: &mut Engines, now: Millis) {
        let changed = &mut self.changed;
        self.published.retain(|key, sums| {
            let is_kept =
                engines.contains_key(*key) || now.saturating_sub(sums.updated_at()) < UNLISTED_TTL;
            if !is_kept {
                changed.forget(key);
            }
            is_kept
        });
        for (key, sums) in &self.published {
            let engine = engines.by_key(*key);
            if let Some(engine) = engine.filter(|e| e.speed.known().latest().is_empty()) {
                engine.speed.replace(*sums);
            }
        }
    }
}

/// Mean speed of the engines of a service.
pub fn mean_speed(engines: &Engines, service: &ServiceId) -> MeanSpeed {
    MeanSpeed::of(engines.of_service(service).map(|engine| &engine.speed))
}

/// The largest relative difference of two estimates.
fn difference(known: &SpeedEstimate, published: &SpeedEstimate, mean: &MeanSpeed) -> f64 {
    let floor = NEGLIGIBLE_PAUSES * mean.mean().pauses_per_event;
    let relative = |known: f64, published: f64, floor: f64| {
        (known - published).abs() / published.max(floor).max(f64::EPSILON)
    };
    let event = relative(known.ms_per_event, published.ms_per_event, 0.0);
    let pauses = relative(known.pauses_per_event, published.pauses_per_event, floor);
    let call = relative(known.call_ms, published.call_ms, 0.0);
    event.max(pauses).max(call)
}
