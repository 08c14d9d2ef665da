use std::time::Duration;

use hgw_types::{MemSize, ModelId, UpstreamId};

/// What the keeper's ledger says of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its memory.
    pub memory: MemSize,
    /// Memory that is resident, loading, or promised to an order that may still take effect.
    pub reserved: MemSize,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it holds or loads.
    pub models: Vec<HeldView>,
}

/// A model at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldView {
    /// The model.
    pub model: ModelId,
    /// Memory that it takes there, its adapters included.
    pub size: MemSize,
    /// Whether the residency floor names it; such a copy is never evicted for demand.
    pub floor: bool,
    /// Whether it may be given work; false while it loads, or while it is to be evicted.
    pub ready: bool,
}

/// A model to load, after these evictions at the same engine have been confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub upstream: UpstreamId,
    /// The model to load.
    pub load: ModelId,
    /// Demand replicas to evict first; empty where there is room.
    pub evict: Vec<ModelId>,
}

/// Limits of the demand planner.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandSettings {
    /// Half-life of the demand estimate: long enough to see through a few seconds of noise, short
    /// enough to follow a burst of minutes.
    pub half_life: Duration,
    /// How long a replica is expected to go on earning what it earns now.
    pub horizon: Duration,
    /// Time after a load in which that replica is not evicted.
    ///
    /// Two models that are both short of room would otherwise evict each other in turn.
    pub cool_down: Duration,
    /// Time after a replica of a model got ready before the next one is loaded in the domain: the
    /// demand estimate must first have seen what it does.
    pub settle: Duration,
    /// Gain over cost that a move must reach; above 1, so that noise causes none.
    pub hysteresis: f64,
    /// Weight of demand for a model that no engine of the domain holds: another domain may have no
    /// room for it, or be cut off.
    pub absent_weight: f64,
    /// Share of an engine's slots that urgent work may be planned to fill. Above it, waits grow
    /// faster than what is served.
    pub fill: f64,
    /// Moves that one call of `plan` may give: the weight store serves a few loads at once.
    pub moves_at_once: usize,
}

impl Default for DemandSettings {
    fn default() -> Self {
        DemandSettings {
            half_life: Duration::from_secs(5),
            horizon: Duration::from_secs(30),
            cool_down: Duration::from_secs(30),
            settle: Duration::from_secs(5),
            hysteresis: 1.5,
            absent_weight: 3.0,
            fill: 0.9,
            moves_at_once: 2,
        }
    }
}
