use std::time::Duration;

use hgw_types::{DomainId, NodeId};

/// What a node is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This node's id, unique among running nodes.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// `IP:PORT` of its listener for peers, as peers reach it.
    pub addr: String,
    /// Random number of this start of the process; ids that the node makes carry it.
    pub boot: u64,
    /// Number of shards that idempotency keys are divided into; the same on all nodes.
    pub key_shards: u32,
    /// How often heartbeats are considered.
    pub members_period: Duration,
    /// How often it is considered who should hold what.
    pub review_period: Duration,
    /// How often an upstream is asked for its load report.
    pub load_period: Duration,
    /// How often demand is told to the keeper.
    pub demand_period: Duration,
    /// How often the platform is asked for its list of VMs.
    pub vms_period: Duration,
    /// Longest time without progress before a connection to an upstream is doubted.
    pub upstream_silence: Duration,
    /// Longest wait for the answer to an order.
    pub order_timeout: Duration,
    /// Longest time that a stream which has begun waits for an engine to go on with.
    pub resume_wait: Duration,
    /// Longest wait for a published change to be read back before its outcome is called unknown.
    pub apply_wait: Duration,
    /// How long the records of claims may be left unread by the log's retention.
    pub log_retention: Duration,
}

impl Settings {
    /// Usual settings for a node; `boot` must be drawn anew at each start.
    pub fn new(node: NodeId, domain: DomainId, addr: String, boot: u64) -> Self {
        Settings {
            node,
            domain,
            addr,
            boot,
            key_shards: 8,
            members_period: Duration::from_millis(100),
            review_period: Duration::from_millis(200),
            load_period: Duration::from_millis(500),
            demand_period: Duration::from_secs(2),
            vms_period: Duration::from_secs(1),
            upstream_silence: Duration::from_secs(2),
            order_timeout: Duration::from_secs(20),
            resume_wait: Duration::from_secs(15),
            apply_wait: Duration::from_secs(5),
            log_retention: Duration::from_secs(3600),
        }
    }
}
