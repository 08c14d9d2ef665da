//! Settings of a node.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::QuotaBounds;

use crate::Features;

#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub node: String,
    /// Failure domain of this node.
    pub domain: String,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Address at which other nodes reach this one.
    pub peer_addr: SocketAddr,
    /// Listen address for other nodes, if it is another one.
    pub peer_listener: Option<SocketAddr>,
    /// Listen address for metrics.
    pub metrics_addr: SocketAddr,
    /// Maximum time from the stop signal to the end of the process.
    pub shutdown_grace: Duration,
    /// Time within which a changed configuration must be in force.
    pub apply_within: Duration,
    /// Time within which a leaving engine must get no more requests.
    pub drain_within: Duration,
    /// Retries as a share of the requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond that share, over all nodes.
    pub retry_slack: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Whether engines reject orders with an outdated fencing token.
    pub engines_check_fence: bool,
    /// Time for which the leader may act after its last renewal.
    pub lease: Duration,
    /// Time window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Interval between two heartbeats of an engine.
    pub heartbeat: Duration,
    /// Whether the system starts for the first time.
    pub is_first_start: bool,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Time within which a revoked key must stop working on every node, if that is required even of
    /// isolated nodes.
    pub revoke_within: Option<Duration>,
    /// How far customers may exceed their quotas.
    pub quotas: QuotaBounds,
    /// How far the requests that an engine gets may exceed the rate that it takes.
    pub engine_limits: QuotaBounds,
    /// Share of a processor that this machine has; 1.0 is a full processor.
    pub cpu_share: f64,
    /// Memory of this machine.
    pub memory_bytes: u64,
    /// Optional parts that are in use.
    pub features: Features,
}

/// Upper bound of the reaction time, so that deployments which allow more do not read the store
/// less often.
const MAX_FOLLOW_TIME: Duration = Duration::from_millis(3_000);

/// Nodes behind a hub wait longer for updates by this factor, because the hub reads the store first
/// and forwards what it read.
const HUB_WAIT_FACTOR: f64 = 1.4;

impl Settings {
    /// Time within which changes must be noticed.
    fn follow_time(&self) -> Duration {
        self.apply_within.min(self.drain_within).min(MAX_FOLLOW_TIME)
    }

    /// Maximum wait of a call for a new configuration. A dead connection is detected shortly after
    /// it.
    pub(crate) fn max_catalog_wait(&self) -> Duration {
        self.follow_time().mul_f64(0.5)
    }

    /// Interval between two reads of the engine list.
    pub(crate) fn list_read_interval(&self) -> Duration {
        self.follow_time().mul_f64(0.375)
    }

    /// Age of the leader's updates after which a node reads the store itself: longer than the
    /// leader's read interval, and short enough to catch up in time.
    pub(crate) fn max_leader_update_age(&self, has_hub: bool) -> Duration {
        let factor = if has_hub { HUB_WAIT_FACTOR } else { 1.0 };
        self.follow_time().mul_f64(0.625 * factor)
    }
}
