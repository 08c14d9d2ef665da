//! Delays and limits of the leader.

use std::time::Duration;

/// Maximum time between proposing an order and sending it; must be the same for every leader.
///
/// For an engine that ignores fencing tokens, a new leader counts a previous leader's order until
/// this time and the engine's bound for late orders have passed since it read its own claim.
pub const SEND_WINDOW: Duration = Duration::from_secs(10);

/// Delays and limits of the leader.
#[derive(Debug, Clone)]
pub struct LeaderSettings {
    /// Minimum time between plans while events arrive.
    pub plan_busy: Duration,
    /// Time between plans without events.
    pub plan_idle: Duration,
    /// Poll interval of an engine with an operation in progress.
    pub poll_busy: Duration,
    /// Poll interval of an idle engine.
    pub poll_idle: Duration,
    /// Time after which a read without a response is repeated.
    pub read_timeout: Duration,
    /// Consecutive reads or orders without a response after which an engine counts as unreachable.
    pub unreachable_after: u32,
    /// Time after a leader change at which a placement is published although some engines have not
    /// been read.
    pub first_publish_timeout: Duration,
    /// Time between withdrawing an item and the read that must show it unused.
    pub drain_delay: Duration,
    /// Time after which an item is evicted although it is in use.
    pub drain_limit: Duration,
    /// Maximum number of orders in flight per engine.
    pub orders_per_engine: usize,
    /// Delay before an order that was rejected or got no response is sent again.
    pub retry: Duration,
    /// Time after the last unmet request during which an adapter is loaded on demand.
    pub adapter_demand_window: Duration,
    /// Time after the last unmet request during which a model is loaded while the domain cannot
    /// reach the log.
    pub unmet_demand_window: Duration,
    /// Time after which a planned load of a demand replica is given up.
    pub replica_load_timeout: Duration,
    /// Time after a leader change during which items missing from the configuration are not
    /// evicted: this node's configuration may be older than the previous leader's.
    pub removal_delay: Duration,
    /// Time between plans for demand replicas.
    pub demand_interval: Duration,
    /// Time that a new version waits for memory in the domain before a second replica of the old
    /// one is evicted for it.
    pub evict_redundant_after: Duration,
    /// As `evict_redundant_after`, for a replica that may be the only one serving.
    pub evict_only_replica_after: Duration,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        LeaderSettings {
            plan_busy: Duration::from_millis(20),
            plan_idle: Duration::from_millis(200),
            poll_busy: Duration::from_millis(500),
            poll_idle: Duration::from_secs(5),
            read_timeout: Duration::from_secs(10),
            unreachable_after: 3,
            first_publish_timeout: Duration::from_secs(5),
            drain_delay: Duration::from_secs(1),
            drain_limit: Duration::from_secs(120),
            orders_per_engine: 2,
            retry: Duration::from_secs(1),
            adapter_demand_window: Duration::from_secs(30),
            unmet_demand_window: Duration::from_secs(15),
            replica_load_timeout: Duration::from_secs(60),
            removal_delay: Duration::from_secs(10),
            demand_interval: Duration::from_secs(1),
            evict_redundant_after: Duration::from_secs(15),
            evict_only_replica_after: Duration::from_secs(60),
        }
    }
}

/// Extends a bound that another node measures, whose clock may run slower by up to 1/64.
fn with_clock_drift(bound: Duration) -> Duration {
    bound.saturating_add(bound / 64)
}

/// How long a new leader counts a recorded order, from its read of its own claim.
pub(super) fn successor_wait(late_order_bound: Duration) -> Duration {
    with_clock_drift(SEND_WINDOW.saturating_add(late_order_bound))
}
