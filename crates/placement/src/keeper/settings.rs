use std::time::Duration;

/// Time from proposing an order to its sending, at most; the same for every keeper.
///
/// A successor counts a predecessor's order on an engine that ignores fencing numbers until this
/// time and the engine's bound for late orders have passed since the successor read its own claim.
pub const SEND_WINDOW: Duration = Duration::from_secs(10);

/// What a keeper waits and bounds.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// Shortest time between two plans while events come.
    pub plan_busy: Duration,
    /// Time between two plans while only time passes.
    pub plan_idle: Duration,
    /// Time between reads of an engine on which something is under way.
    pub poll_busy: Duration,
    /// Time between reads of an engine on which nothing is.
    pub poll_idle: Duration,
    /// Time after which a read that was never answered is asked again.
    pub ask_timeout: Duration,
    /// Reads or orders in a row without an answer, after which an engine counts as lost.
    pub lost_after: u32,
    /// Time after a takeover at which a placement is published although some engine is not read.
    pub first_publish: Duration,
    /// Time from publishing a placement without an item to the read that must show it unused.
    pub settle: Duration,
    /// Time after which an item is evicted although it is still used.
    pub drain_limit: Duration,
    /// Loads and evictions at once on one engine.
    pub orders_per_engine: usize,
    /// Time before an order whose answer was lost, or that was refused, is sent again.
    pub retry: Duration,
    /// Time that an adapter is wanted for after it was last asked for in vain.
    pub adapter_want: Duration,
    /// Time that a model is wanted for after it was last asked for in vain, while cut off.
    pub missing_want: Duration,
    /// Time that a demand replica is wanted for before its move is given up.
    pub replica_want: Duration,
    /// Time after a takeover during which nothing unknown is evicted: the configuration of this node
    /// may be older than the predecessor's.
    pub unknown_wait: Duration,
    /// Time between two plans for demand replicas.
    pub demand_every: Duration,
    /// Time without room for a new version anywhere in the domain, after which a second copy of the
    /// old one is given up for it.
    pub swap_second: Duration,
    /// The same for a copy that may be the only one that can serve.
    pub swap_only: Duration,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        KeeperSettings {
            plan_busy: Duration::from_millis(20),
            plan_idle: Duration::from_millis(200),
            poll_busy: Duration::from_millis(500),
            poll_idle: Duration::from_secs(5),
            ask_timeout: Duration::from_secs(10),
            lost_after: 3,
            first_publish: Duration::from_secs(5),
            settle: Duration::from_secs(1),
            drain_limit: Duration::from_secs(120),
            orders_per_engine: 2,
            retry: Duration::from_secs(1),
            adapter_want: Duration::from_secs(30),
            missing_want: Duration::from_secs(15),
            replica_want: Duration::from_secs(60),
            unknown_wait: Duration::from_secs(10),
            demand_every: Duration::from_secs(1),
            swap_second: Duration::from_secs(15),
            swap_only: Duration::from_secs(60),
        }
    }
}

/// The wait of a successor for a bound that another node counts by its own clock, which may run
/// slower by up to one part in sixty-four.
fn on_any_clock(bound: Duration) -> Duration {
    bound.saturating_add(bound / 64)
}

/// How long a successor counts an order that it finds recorded, from its own read of its claim.
pub(super) fn successor_wait(late: Duration) -> Duration {
    on_any_clock(SEND_WINDOW.saturating_add(late))
}
