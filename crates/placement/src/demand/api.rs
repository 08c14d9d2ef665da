//! Inputs, outputs and settings of the demand planner.

use std::time::Duration;

use hgw_types::{MemSize, ModelId, UpstreamId};

/// The planner's view of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    pub upstream: UpstreamId,
    pub memory: MemSize,
    /// Memory that is in use, loading, or reserved for orders that may still take effect.
    pub reserved: MemSize,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Models that are loaded or loading.
    pub models: Vec<ReplicaView>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    pub model: ModelId,
    /// Memory of the model and its adapters on this engine.
    pub size: MemSize,
    /// Whether the residency floor requires this replica; such a replica is not evicted for demand.
    pub floor: bool,
    /// Whether the replica accepts requests; false while it is loading or draining.
    pub ready: bool,
}

/// A model to load once the models in `evict` have been evicted from the same engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoad {
    pub upstream: UpstreamId,
    pub model: ModelId,
    /// Demand replicas to evict first; empty if there is enough free memory.
    pub evict: Vec<ModelId>,
}

/// Limits of the demand planner.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandSettings {
    /// Half-life of the demand estimate: long enough to smooth noise of a few seconds, short enough
    /// to follow bursts of minutes.
    pub half_life: Duration,
    /// Period over which the gain of a replica is estimated.
    pub horizon: Duration,
    /// Time after a load during which the replica is not evicted. Prevents two models that lack
    /// capacity from evicting each other in turn.
    pub cool_down: Duration,
    /// Time after a load before another replica of the model is loaded in the domain, so that the
    /// demand estimate first reflects the new replica.
    pub load_interval: Duration,
    /// Minimum ratio of gain to cost of a load; above 1 so that noise causes no loads.
    pub hysteresis: f64,
    /// Weight of demand for a model with no replica in the domain: other domains may be full or
    /// unreachable.
    pub absent_weight: f64,
    /// Maximum fraction of an engine's slots planned for urgent requests; above it, queueing delay
    /// grows quickly.
    pub max_utilization: f64,
    /// Maximum number of loads per call of `plan`, since the weight store serves few loads at once.
    pub max_planned_loads: usize,
}

impl Default for DemandSettings {
    fn default() -> Self {
        DemandSettings {
            half_life: Duration::from_secs(5),
            horizon: Duration::from_secs(30),
            cool_down: Duration::from_secs(30),
            load_interval: Duration::from_secs(5),
            hysteresis: 1.5,
            absent_weight: 3.0,
            max_utilization: 0.9,
            max_planned_loads: 2,
        }
    }
}
