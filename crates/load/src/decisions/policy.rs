//! What is measured: the product's decisions, its variants and the baselines.

use hgw_dispatch::{ChooserSettings, QueueSettings};
use hgw_placement::DemandSettings;

/// Who chooses the upstream, and by what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// The product's chooser, before one queue an upstream.
    Chooser,
    /// A holder of the model at random.
    Random,
    /// The holder with the least load by its last report and what this entry node sent since.
    LeastLoad,
}

/// Where work waits, and in what order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queueing {
    /// The product's queue before each upstream.
    Queue,
    /// Inside the upstream, first in, first out.
    Fifo,
    /// Inside the upstream, urgent work first.
    UrgentFirst,
}

/// What decides on loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placing {
    /// The product's floor and demand planner.
    Demand,
    /// Load where a model finds no room, evict what was used least recently, but no last copy.
    Lru,
    /// The floor alone.
    Fixed,
}

/// A set of decisions to measure.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Whether the product is compared with it.
    pub baseline: bool,
    /// Who chooses the upstream.
    pub routing: Routing,
    /// Where work waits.
    pub queueing: Queueing,
    /// What decides on loads.
    pub placing: Placing,
    /// Refuse urgent work by this many in the queue, in place of its estimated end.
    pub urgent_limit: Option<usize>,
    /// Settings of the product's queue; slots are the upstream's.
    pub queue: QueueSettings,
    /// Settings of the product's chooser.
    pub chooser: ChooserSettings,
    /// Settings of the product's planner.
    pub demand: DemandSettings,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            name: "hibiscusgw",
            baseline: false,
            routing: Routing::Chooser,
            queueing: Queueing::Queue,
            placing: Placing::Demand,
            urgent_limit: None,
            queue: QueueSettings::default(),
            chooser: ChooserSettings::default(),
            demand: DemandSettings::default(),
        }
    }
}

/// The product first, then the baselines, then variants of the product.
pub fn all() -> Vec<Policy> {
    use std::time::Duration;
    let ours = Policy::default;
    let chooser = ChooserSettings::default;
    let direct = |name, routing, queueing, placing| Policy {
        name,
        baseline: true,
        routing,
        queueing,
        placing,
        ..ours()
    };
    vec![
        ours(),
        direct("random+fifo+lru", Routing::Random, Queueing::Fifo, Placing::Lru),
        direct("stale+fifo+lru", Routing::LeastLoad, Queueing::Fifo, Placing::Lru),
        direct("stale+urgent+lru", Routing::LeastLoad, Queueing::UrgentFirst, Placing::Lru),
        direct("stale+urgent+fixed", Routing::LeastLoad, Queueing::UrgentFirst, Placing::Fixed),
        Policy {
            baseline: false,
            ..direct("direct-dispatch", Routing::LeastLoad, Queueing::UrgentFirst, Placing::Demand)
        },
        Policy { name: "lru-placement", placing: Placing::Lru, ..ours() },
        Policy { name: "fixed-placement", placing: Placing::Fixed, ..ours() },
        Policy {
            name: "no-prefix-saving",
            chooser: ChooserSettings { block_saving: Duration::ZERO, ..chooser() },
            ..ours()
        },
        Policy {
            name: "delay-alone",
            chooser: ChooserSettings {
                block_saving: Duration::ZERO,
                adapter_saving: Duration::ZERO,
                ..chooser()
            },
            ..ours()
        },
        Policy { name: "limit-of-8", urgent_limit: Some(8), ..ours() },
        Policy { name: "limit-of-24", urgent_limit: Some(24), ..ours() },
        Policy {
            name: "no-length-weight",
            queue: QueueSettings { length_weight: 1.0, ..QueueSettings::default() },
            ..ours()
        },
        Policy {
            name: "no-patience",
            queue: QueueSettings { patience: Duration::ZERO, ..QueueSettings::default() },
            ..ours()
        },
        Policy {
            name: "horizon-of-120-s",
            demand: DemandSettings {
                horizon: Duration::from_secs(120),
                ..DemandSettings::default()
            },
            ..ours()
        },
        Policy {
            name: "no-cool-down",
            demand: DemandSettings { cool_down: Duration::ZERO, ..DemandSettings::default() },
            ..ours()
        },
    ]
}
