//! The engines that a node prefers, so that its connections to them are reused.
//!
//! Each node ranks all engines in an order of its own that stays the same while engines and nodes come and go: first
//! those of its failure domain, which are nearer. Of the engines that could serve a request it considers the first few of
//! that order and those that it has an idle connection to.

use std::fmt::Debug;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{CostWeights, Engine, EngineId, Millis};

/// Minimum number of sound engines in a subset. With three, a node too often finds all of them above the mean load.
const MIN_WIDTH: usize = 6;

/// Share of an engine's slots that one node's requests may use before the node's subset is wider. Few requests of one
/// node at each engine leave other nodes room to balance the load.
const OWN_SLOT_SHARE: f64 = 0.125;

/// Requests by which the idlest engine of the subset may exceed the mean load before the subset is widened.
const WIDEN_MARGIN_REQUESTS: f64 = 0.5;

/// Share of the connections that an engine accepts that may be idle. The rest is for requests in flight.
const IDLE_CONNS_SHARE: f64 = 0.5;

/// Failure rate from which an engine does not count as part of the subset's width.
const UNSOUND_FAILURE_RATE: f64 = 0.25;

/// Identifies a node in its order of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeSeed(u64);

impl NodeSeed {
    pub fn of(node: &str) -> NodeSeed {
        NodeSeed(xxh3_64(node.as_bytes()))
    }

    /// Place of an engine in this node's order, in `0..1`.
    pub fn rank(self, engine: &EngineId) -> f64 {
        xxh3_64_with_seed(engine.0.as_bytes(), self.0) as f64 / u64::MAX as f64
    }
}

/// Tells which engines this node holds an idle connection to.
pub trait IdleConnections: Debug {
    /// Whether the request could be sent to the engine without opening a connection.
    fn has_idle(&self, engine: &Engine) -> bool;
}

/// How many idle connections to an engine a node keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleShare {
    pub max_count: usize,
    /// Whether it keeps them for as long as the engine does.
    pub is_long: bool,
}

impl IdleShare {
    /// The share of a node in `max_conns`, the connections that an engine accepts from all nodes together. With more
    /// nodes than that, only those keep a connection for long that have the engine early in their order.
    pub fn of(node: NodeSeed, engine: &EngineId, max_conns: u32, nodes: u32) -> IdleShare {
        let share = f64::from(max_conns) * IDLE_CONNS_SHARE / f64::from(nodes.max(1));
        IdleShare { max_count: (share as usize).max(1), is_long: node.rank(engine) < share }
    }
}

/// What a node's subset of engines depends on.
#[derive(Debug, Clone, Copy)]
pub struct SubsetParams<'a> {
    pub node: NodeSeed,
    /// Failure domain of the node.
    pub domain: &'a str,
    pub idle: &'a dyn IdleConnections,
}

impl SubsetParams<'_> {
    /// Place of an engine in the node's order: in `0..1` if it is of the node's failure domain, else in `1..2`.
    fn rank(&self, engine: &Engine) -> f64 {
        let is_elsewhere = engine.info.domain != self.domain;
        f64::from(u8::from(is_elsewhere)) + self.node.rank(&engine.info.id)
    }
}

/// An engine that could serve a request.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    rank: f64,
    /// Requests per slot; none if unknown.
    load: Option<f64>,
    is_sound: bool,
    /// Whether one more request would delay the others there.
    is_busy: bool,
}

/// The part of a node's order of engines that a request considers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Subset<'a> {
    params: SubsetParams<'a>,
    /// Rank of the last engine in the subset.
    last_rank: f64,
    /// Mean load of the engines that could serve the request, in requests per slot.
    mean_load: f64,
    /// Rank of the engine that is preferred for the prompt's session.
    session_engine: Option<f64>,
}

impl<'a> Subset<'a> {
    /// The subset of the engines that could serve a request. `is_busy` tells whether it would delay other requests
    /// there, `session_rank` which engine is preferred for its session, if it has one: that with the lowest.
    pub(crate) fn new<'e>(
        params: SubsetParams<'a>,
        engines: impl Iterator<Item = &'e Engine>,
        is_busy: impl Fn(&Engine) -> bool,
        session_rank: impl Fn(&Engine) -> Option<f64>,
        now: Millis,
    ) -> Subset<'a> {
        let (mut own, mut slots) = (0, 0.0);
        let mut lowest: Option<(f64, f64)> = None;
        let mut candidates: Vec<Candidate> = engines
            .map(|engine| {
                own += engine.own_requests;
                slots += f64::from(engine.info.slots);
                let rank = params.rank(engine);
                if let Some(session_rank) = session_rank(engine)
                    && lowest.is_none_or(|(lowest, _)| session_rank < lowest)
                {
                    lowest = Some((session_rank, rank));
                }
                candidate(engine, rank, is_busy(engine), now)
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.rank.total_cmp(&b.rank));
        let mean_slots = slots / candidates.len().max(1) as f64;
        let width = (f64::from(own) / (mean_slots * OWN_SLOT_SHARE).max(1.0)).ceil() as usize;
        let margin = WIDEN_MARGIN_REQUESTS / mean_slots.max(1.0);
        let mean_load = mean_load(&candidates);
        let last_rank = last_rank(&candidates, mean_load + margin, width.max(MIN_WIDTH));
        Subset { params, last_rank, mean_load, session_engine: lowest.map(|(_, rank)| rank) }
    }

    /// Whether the request considers the engine. One with an idle connection needs no new one, so it widens the choice
    /// at no cost.
    pub(crate) fn contains(&self, engine: &Engine) -> bool {
        let rank = self.params.rank(engine);
        rank <= self.last_rank
            || self.session_engine == Some(rank)
            || self.params.idle.has_idle(engine)
    }

    /// Cost of a new connection where one is needed, and of a load above the mean. Without the second, a node would
    /// stay with the engines that it is connected to until they are much fuller than others.
    pub(crate) fn cost(&self, engine: &Engine, estimate: f64, weights: &CostWeights) -> f64 {
        let has_idle = self.params.idle.has_idle(engine);
        let connection = if has_idle { 0.0 } else { weights.new_connection_ms };
        let load = estimate / f64::from(engine.info.slots.max(1));
        connection + weights.above_mean_ms * (load - self.mean_load).max(0.0)
    }
}

fn candidate(engine: &Engine, rank: f64, is_busy: bool, now: Millis) -> Candidate {
    let slots = f64::from(engine.info.slots.max(1));
    let is_sound = engine.health.failure_rate(now) < UNSOUND_FAILURE_RATE
        && !engine.health.is_unreachable(now)
        && engine.at_limit_for(false, now).is_none()
        && engine.rest_for(false, now).is_none();
    Candidate { rank, load: engine.known_load(now).map(|load| load / slots), is_sound, is_busy }
}

/// Mean load of the sound engines whose load is known.
fn mean_load(candidates: &[Candidate]) -> f64 {
    let loads = candidates.iter().filter(|c| c.is_sound).filter_map(|c| c.load);
    let (count, sum) = loads.fold((0_u32, 0.0), |(count, sum), load| (count + 1, sum + load));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

/// Rank of the last engine of the subset: after `width` sound engines, and once one of them is hardly more loaded than
/// the mean of all, so that a subset never makes a node overload engines while others have room.
fn last_rank(candidates: &[Candidate], max_load: f64, width: usize) -> f64 {
    let (mut sound, mut has_room) = (0, false);
    for candidate in candidates.iter().filter(|c| c.is_sound) {
        sound += 1;
        has_room |= !candidate.is_busy && candidate.load.is_none_or(|load| load <= max_load);
        if sound >= width && has_room {
            return candidate.rank;
        }
    }
    f64::INFINITY
}
