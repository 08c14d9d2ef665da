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
    ]
}
