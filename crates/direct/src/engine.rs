//! An engine and what this node knows about it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::engine_speed::EngineSpeed;
use crate::in_flight::{EngineKey, InFlightLoad};
use crate::{
    Brittleness, Cursor, HealthTracker, HeldTokens, Millis, ModelRef, PrefillBacklog, PrefillRate,
    RequestRate, ServiceId, SoftwareVersion, VersionKey,
};

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
pub struct StartTime(pub Option<u64>);

impl StartTime {
    /// Whether this start is known to be earlier than `known`.
    pub fn is_before(self, known: StartTime) -> bool {
        matches!((self.0, known.0), (Some(this), Some(known)) if this < known)
    }
}

/// Whether an engine accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EngineState {
    #[display("ready")]
    Ready,
    /// It is shutting down.
    #[display("leaving")]
    Leaving {
        /// When it terminates, if it has said so.
        terminates_at: Option<Millis>,
    },
    /// Its latest list entry cannot be parsed, so it is not used until one can.
    #[display("unreadable")]
    Unreadable,
}

/// A model that an engine has loaded.
#[derive(Debug, Display, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[display("{model}[{}]", adapters.join(","))]
pub struct LoadedModel {
    pub model: String,
    /// The model's adapters that are loaded with it.
    pub adapters: Vec<String>,
}

/// Weights that an engine can load without the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CachedWeights {
    /// Models in the memory of its VM.
    pub in_memory: Vec<String>,
    /// Models on its disk.
    pub on_disk: Vec<String>,
}

/// An engine's entry in the list of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineInfo {
    pub id: EngineId,
    /// Position of the entry in the store's log.
    pub position: Cursor,
    pub started_at: StartTime,
    pub service: ServiceId,
    /// `None` if its entry names none.
    pub software: Option<SoftwareVersion>,
    pub addr: SocketAddr,
    pub domain: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    pub state: EngineState,
    pub loaded: Vec<LoadedModel>,
    pub cached: CachedWeights,
    /// Remaining warm-up time after its start.
    pub warmup_ms_left: u64,
}

/// Load reported by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// How long work currently takes there, in percent of the usual time, if the engine says so.
    pub work_time_percent: Option<u32>,
}

impl Load {
    /// Requests that run or wait there.
    fn requests(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub info: EngineInfo,
    /// Whether this incarnation has said that it is leaving.
    is_leaving: bool,
    key: EngineKey,
    version_key: VersionKey,
    /// Whether this incarnation is known by other ways than its list entry, which names its software version.
    awaits_entry: bool,
    pub health: HealthTracker,
    /// Requests of this node in flight there.
    pub own_requests: u32,
    /// Requests of all other nodes in flight there, if they are reported.
    pub in_flight_elsewhere: Option<InFlightLoad>,
    /// The last reported load, when it was reported, and the value of `own_requests` at that time.
    pub reported_load: Option<(Load, Millis, u32)>,
    /// Prompts whose prefill is not complete.
    pub prefill_backlog: PrefillBacklog,
    pub prefill_rate: PrefillRate,
    /// Memory that requests hold there.
    pub held_tokens: HeldTokens,
    /// Average time between two events of a stream there; 0 until a stream has completed.
    pub event_interval_ms: f64,
    /// How fast it is.
    pub speed: EngineSpeed,
    /// Requests per second that it takes from all nodes together, if it named a limit.
    pub rate_limit: Option<RequestRate>,
    /// How much it may have to reject, if it is brittle.
    pub brittleness: Brittleness,
    /// Time until which no allowance for a request there is expected.
    pub at_limit_until: Millis,
    /// Time until which it wants no request from this node.
    rest_until: Millis,
    /// Times at which this node sent requests there, within [`RECENT_SENDS_TIME`].
    recent_sends: VecDeque<Millis>,
    /// When the last byte arrived from it on any connection.
    pub last_heard: Millis,
    /// Number of orders that it is known to have accepted.
    pub accepted_orders: u64,
    /// Fencing token of the leader whose survey and orders its loaded models are known from; 0 before any survey.
    pub surveyed_under: u64,
    /// Adapters that it was ordered to load and that are not known to be loaded; they occupy slots.
    pub loading_adapters: Vec<ModelRef>,
    /// When the leader last reported its loaded models.
    pub placement_reported_at: Option<Millis>,
}

/// Weight of the latest stream in the average time between events: some ten streams show what runs
/// beside them now.
const EVENT_INTERVAL_WEIGHT: f64 = 0.1;

/// Time after which a reported load is outdated.
const REPORT_TTL: Millis = 2_000;

/// Time for which an engine that was at its limit, or has rested, gets requests with precedence only. As long as an
/// allowance lasts at the least, so that others still get what is left.
const RESERVED_TIME: Millis = 150;

/// Time for which sends are remembered.
const RECENT_SENDS_TIME: Millis = 1_000;

pub(crate) fn is_leaving(info: &EngineInfo) -> bool {
    matches!(info.state, EngineState::Leaving { .. })
}

impl Engine {
    pub fn new(info: EngineInfo) -> Engine {
        Engine {
            key: EngineKey::of(&info.id, info.started_at),
            version_key: VersionKey::of(&info),
            awaits_entry: false,
            is_leaving: is_leaving(&info),
            info,
            health: HealthTracker::default(),
            own_requests: 0,
            in_flight_elsewhere: None,
            reported_load: None,
            prefill_backlog: PrefillBacklog::default(),
            prefill_rate: PrefillRate::default(),
            held_tokens: HeldTokens::default(),
            event_interval_ms: 0.0,
            speed: EngineSpeed::default(),
            rate_limit: None,
            brittleness: Brittleness::default(),
            at_limit_until: 0,
            rest_until: 0,
            recent_sends: VecDeque::new(),
            last_heard: 0,
            accepted_orders: 0,
            surveyed_under: 0,
            loading_adapters: Vec::new(),
            placement_reported_at: None,
        }
    }

    /// Replaces its list entry.
    pub(crate) fn set_info(&mut self, info: EngineInfo) {
        if info.started_at != self.info.started_at {
            self.key = EngineKey::of(&info.id, info.started_at);
        }
        self.version_key = VersionKey::of(&info);
        self.awaits_entry = false;
        let is_leaving = self.is_leaving || is_leaving(&info);
        self.info = info;
        if is_leaving {
            self.mark_leaving();
        }
    }

    /// Marks this incarnation as leaving. That is final: a heartbeat that is written late, or a
    /// store restored from a backup, does not undo it.
    pub(crate) fn mark_leaving(&mut self) {
        self.is_leaving = true;
        if self.info.state == EngineState::Ready {
            self.info.state = EngineState::Leaving { terminates_at: None };
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    pub fn own_in_flight(&self) -> InFlightLoad {
        let (prompts, tokens) = self.prefill_backlog.own_totals();
        InFlightLoad { requests: self.own_requests, prompts, tokens, held: self.held_tokens.own }
    }

    /// Estimated number of requests there, if known: from the reports of all nodes, else from its
    /// own report.
    pub fn known_load(&self, now: Millis) -> Option<f64> {
        if let Some(others) = self.in_flight_elsewhere {
            return Some(f64::from(others.requests) + f64::from(self.own_requests));
        }
        self.recent_reported_load(now)
    }

    /// Its recently reported load, adjusted by the change in this node's own requests since.
    pub fn recent_reported_load(&self, now: Millis) -> Option<f64> {
        let (load, reported_at, own_then) = self
            .reported_load
            .filter(|(_, reported_at, _)| now.saturating_sub(*reported_at) < REPORT_TTL)?;
        debug_assert!(reported_at <= now);
        let reported = load.requests();
        Some(
            (reported + f64::from(self.own_requests) - f64::from(own_then))
                .max(f64::from(self.own_requests)),
        )
    }

    /// Requests that this node may have there, of the connections that the engine takes from all nodes: an
    /// equal share, and half of what nobody uses, as most callers may come to one node. Over any number
    /// of nodes that know each other's requests, this adds up to `max_conns` at most.
    pub fn request_share(&self, max_conns: u32, nodes: u32, now: Millis) -> u32 {
        let equal = (max_conns / nodes.max(1)).max(1);
        let unused = self.known_load(now).map_or(0, |load| max_conns.saturating_sub(load as u32));
        equal.saturating_add(unused / 2)
    }

    /// Estimated number of requests there; this node's own if nothing else is known.
    pub fn estimate(&self, now: Millis) -> f64 {
        self.known_load(now).unwrap_or(f64::from(self.own_requests))
    }

    /// Estimated time to complete all known prefill, in milliseconds.
    pub fn prefill_ms(&self, now: Millis) -> f64 {
        self.prefill_rate.estimate_ms(self.prefill_tokens(now))
    }

    fn prefill_tokens(&self, now: Millis) -> u32 {
        let others = self.in_flight_elsewhere.map_or(0, |load| load.tokens);
        self.prefill_backlog.tokens(now).saturating_add(others)
    }

    /// Longest expected pause of the streams that run there, in milliseconds, if it is sent a
    /// prompt of this many tokens now. 0 if no stream runs there, or if it has no other prefill, as
    /// waiting would not help then.
    pub fn expected_pause_ms(&self, tokens: u32, now: Millis) -> f64 {
        let others = self.in_flight_elsewhere.map_or(0, |load| load.prompts);
        let prompts = self.prefill_backlog.count(now) + others as usize;
        let pending_tokens = self.prefill_tokens(now);
        if pending_tokens == 0 || self.estimate(now) <= prompts as f64 {
            return 0.0;
        }
        self.prefill_rate.estimate_ms(pending_tokens.saturating_add(tokens))
            + self.event_interval_ms
    }

    /// Records the mean time between the events of a complete stream.
    pub fn record_event_interval(&mut self, mean_ms: f64) {
        let previous = if self.event_interval_ms == 0.0 { mean_ms } else { self.event_interval_ms };
        self.event_interval_ms = previous + EVENT_INTERVAL_WEIGHT * (mean_ms - previous);
    }

    /// Records a load that another node received, unless a newer one is known.
    pub fn record_peer_load(&mut self, load: Load, reported_at: Millis) {
        if self.reported_load.is_none_or(|(_, known_at, _)| known_at < reported_at) {
            self.reported_load = Some((load, reported_at, self.own_requests));
        }
    }

    /// Time until a request may be sent there, if it has reached its limit. The first allowances after
    /// that are for requests with precedence.
    pub(crate) fn at_limit_for(&self, has_precedence: bool, now: Millis) -> Option<Millis> {
        self.rate_limit?;
        let reserved = if has_precedence { 0 } else { RESERVED_TIME };
        let wait = (self.at_limit_until + reserved).saturating_sub(now);
        (self.at_limit_until > 0 && wait > 0).then_some(wait)
    }

    /// Records until when it wants no request from this node. An earlier time does not end a later one.
    pub(crate) fn record_rest(&mut self, until: Millis) {
        self.rest_until = self.rest_until.max(until);
    }

    /// Time until a request may be sent there, if it has asked this node for rest. The first ones after that are those
    /// with precedence.
    pub fn rest_for(&self, has_precedence: bool, now: Millis) -> Option<Millis> {
        let reserved = if has_precedence || self.rest_until == 0 { 0 } else { RESERVED_TIME };
        Some((self.rest_until + reserved).saturating_sub(now)).filter(|wait| *wait > 0)
    }

    /// Whether it may have to reject a request, of which a brittle engine bears few. `extra_share` of its
    /// slots is for requests with precedence.
    pub(crate) fn is_full_if_brittle(&self, estimate: f64, extra_share: f64, now: Millis) -> bool {
        let share = self.brittleness.share(now) + extra_share;
        let capacity = (f64::from(self.info.slots) * share).floor().max(1.0);
        let unreported = self.prefill_backlog.count_from_peers(now) as f64;
        let reported_room_at = self
            .reported_load
            .and_then(|(load, reported_at, _)| (load.requests() < capacity).then_some(reported_at));
        estimate + unreported >= capacity || self.brittleness.is_closed(reported_room_at, now)
    }

    /// Records that a request is sent there.
    pub fn record_send(&mut self, now: Millis) {
        self.forget_sends(now);
        self.recent_sends.push_back(now);
    }

    /// Requests that this node sent there in the last second.
    pub fn recent_sends(&mut self, now: Millis) -> usize {
        self.forget_sends(now);
        self.recent_sends.len()
    }

    fn forget_sends(&mut self, now: Millis) {
        while self
            .recent_sends
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= RECENT_SENDS_TIME)
        {
            self.recent_sends.pop_front();
        }
    }

    /// Takes in the loaded models that another node reports, unless newer ones are known: a leader surveys an engine after
    /// the last order of all earlier leaders. `fence` is that of the leader that surveyed it; none from a release that does
    /// not report it. Returns whether they were taken in.
    pub fn apply_reported_models(
        &mut self,
        fence: Option<u64>,
        accepted_orders: u64,
        loaded: Vec<LoadedModel>,
        now: Millis,
    ) -> bool {
        let fence = fence.unwrap_or(self.surveyed_under);
        if (fence, accepted_orders) < (self.surveyed_under, self.accepted_orders) {
            return false;
        }
        (self.surveyed_under, self.accepted_orders) = (fence, accepted_orders);
        self.info.loaded = loaded;
        self.placement_reported_at = Some(now);
        true
    }

    /// Whether it has loaded the model, and the adapter if one is given.
    pub fn has_loaded(&self, model_ref: &ModelRef) -> bool {
        let loaded = self.info.loaded.iter().find(|l| l.model == model_ref.model);
        loaded.is_some_and(|l| match &model_ref.adapter {
            Some(adapter) => l.adapters.contains(adapter),
            None => true,
        })
    }

    pub fn has_model(&self, model: &str) -> bool {
        self.info.loaded.iter().any(|l| l.model == model)
    }

    /// Removes a model or adapter that the engine reported as not loaded.
    pub fn remove_loaded(&mut self, model_ref: &ModelRef) {
        match &model_ref.adapter {
            None => self.info.loaded.retain(|l| l.model != model_ref.model),
            Some(adapter) => {
                for loaded in self.info.loaded.iter_mut().filter(|l| l.model == model_ref.model) {
                    loaded.adapters.retain(|a| a != adapter);
                }
            }
        }
    }

    /// Records that it was, or may have been, ordered to load an adapter.
    pub fn expect_adapter(&mut self, model_ref: &ModelRef) {
        if !self.loading_adapters.contains(model_ref) {
            self.loading_adapters.push(model_ref.clone());
        }
    }

    /// Models and names of the adapters that are, or may be, loaded.
    pub fn adapters(&self) -> impl Iterator<Item = (&str, &str)> {
        let loaded =
            self.info.loaded.iter().flat_map(|l| {
                l.adapters.iter().map(|adapter| (l.model.as_str(), adapter.as_str()))
            });
        let loading = self.loading_adapters.iter().filter(|m| !self.has_loaded(m));
        loaded.chain(loading.filter_map(|m| Some((m.model.as_str(), m.adapter.as_deref()?))))
    }

    /// Adapter slots that are, or may be, in use.
    pub fn adapter_slots_used(&self) -> usize {
        self.adapters().count()
    }

    pub fn add_loaded(&mut self, model_ref: &ModelRef) {
        self.loading_adapters.retain(|m| m != model_ref);
        let index = self.info.loaded.iter().position(|l| l.model == model_ref.model);
        let index = index.unwrap_or_else(|| {
            self.info
                .loaded
                .push(LoadedModel { model: model_ref.model.clone(), adapters: Vec::new() });
            self.info.loaded.len() - 1
        });
        if let Some(adapter) = &model_ref.adapter {
            let adapters = &mut self.info.loaded[index].adapters;
            if !adapters.contains(adapter) {
                adapters.push(adapter.clone());
            }
        }
    }

    /// Hash that identifies this incarnation.
    pub fn key(&self) -> EngineKey {
        self.key
    }

    /// Identifies the engines at which streams that it began may go on.
    pub fn version_key(&self) -> VersionKey {
        self.version_key
    }

    /// Whether its software version is not known yet.
    pub(crate) fn awaits_entry(&self) -> bool {
        self.awaits_entry
    }

    /// Records that this incarnation has not been listed yet.
    pub(crate) fn await_entry(&mut self) {
        self.awaits_entry = true;
    }

    pub fn accepts_requests(&self) -> bool {
        self.info.state == EngineState::Ready
    }
}
