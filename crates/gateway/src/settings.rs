use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::QuotaBounds;

/// What a node needs to know of its surroundings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this node.
    pub node: String,
    /// Its failure domain.
    pub domain: String,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for questions whether this node takes callers.
    pub ready: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for those who read the metrics.
    pub metrics: SocketAddr,
    /// Longest time from the signal to stop until the process must be gone.
    pub grace: Duration,
    /// Time within which a change of the configuration must be in force.
    pub apply_within: Duration,
    /// Time within which an engine that leaves must get no more work.
    pub drain_within: Duration,
    /// Second tries, as a share of the requests.
    pub retry_ratio: f64,
    /// Second tries beyond that share, over all nodes.
    pub retry_slack: f64,
    /// The time over which second tries are counted.
    pub retry_window: Duration,
    /// Whether engines refuse orders with an old fencing number.
    pub engines_fence: bool,
    /// Time for which a holder of the orders acts after its last renewal.
    pub lease: Duration,
    /// The time over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Time between two heartbeats of an engine.
    pub heartbeat: Duration,
    /// Connections that callers may have open.
    pub connections: usize,
    /// Time after which a key that was taken away must be of no use, where that binds each node whatever it can reach.
    pub revoke_within: Option<Duration>,
    /// Bounds of what customers use.
    pub quotas: QuotaBounds,
    /// Share of a processor that this machine has.
    pub processor: f64,
}

/// Longest time within which a change should be followed: the store is called as often in deployments that
/// allow more.
const FOLLOW_MOST: Duration = Duration::from_millis(3_000);

/// By how much longer a node whose domain has a head waits for news before it reads for itself: what the head reads then
/// is there within a tenth of a second.
const BEHIND_A_HEAD: f64 = 1.4;

impl Settings {
    /// Time within which changes must be followed.
    fn follow_within(&self) -> Duration {
        self.apply_within.min(self.drain_within).min(FOLLOW_MOST)
    }

    /// How long a call for a new configuration waits at the store. A connection that goes silent is found
    /// out a moment after it.
    pub(crate) fn catalog_wait(&self) -> Duration {
        self.follow_within().mul_f64(0.5)
    }

    /// Time between two reads of the list of engines.
    pub(crate) fn list_pause(&self) -> Duration {
        self.follow_within().mul_f64(0.375)
    }

    /// Age of the keeper's word from which a node reads the store itself: longer than the keeper's own reads
    /// take turns, and short enough to read what was missed in time.
    pub(crate) fn followed_for(&self, has_head: bool) -> Duration {
        let longest = if has_head { BEHIND_A_HEAD } else { 1.0 };
        self.follow_within().mul_f64(0.625 * longest)
    }
}
