use std::net::SocketAddr;
use std::time::Duration;

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
}
