use std::net::SocketAddr;

use hgw_direct::heads::Member;
use hgw_direct::{Cursor, EngineId, Era, Held, ListNews, ListPlace, Past, Start, Wanted};
use serde::{Deserialize, Serialize};

use crate::holder::Keeper;

use super::placements::Heard;

/// Models loaded on an engine, as the leader knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Told {
    pub(crate) engine: EngineId,
    /// Start of the engine that the entry refers to.
    pub(crate) start: Start,
    /// Number of orders that the engine has accepted.
    pub(crate) orders: u64,
    pub(crate) held: Vec<Held>,
}

/// Requests for a model or an adapter since the last exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Asked {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) count: f64,
}

/// A poll: reports to the leader or a hub and asks for updates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tell {
    /// Peer address of the sender.
    pub(crate) from: SocketAddr,
    /// Failure domain of the sender.
    pub(crate) domain: String,
    /// Position in the receiver's changes of loaded models.
    pub(crate) heard: Heard,
    /// Position of the sender's engine list; the default without a list.
    pub(crate) list: ListPlace,
    /// Era of the store and its least age in milliseconds; none in the first era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<(Era, u64)>,
    /// Version of the sender's configuration.
    pub(crate) catalog: u64,
    /// Loads received since the last exchange.
    pub(crate) loads: Vec<HeardLoad>,
    pub(crate) asked: Vec<Asked>,
    /// Demand before the first exchange with this leader.
    pub(crate) past: Option<CountedBefore>,
    /// Digest of the peer addresses that the sender knows.
    pub(crate) others: u64,
    /// Digest of the hub candidates that the sender knows.
    pub(crate) heads: u64,
}

/// Demand that a node saw before it knew the leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CountedBefore {
    /// Milliseconds since the first request; none without one.
    pub(crate) for_ms: Option<u64>,
    pub(crate) models: Vec<Past>,
}

/// Response of the leader or a hub to a poll.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// Newest leader known to the responding node.
    pub(crate) keeper: Option<Keeper>,
    pub(crate) heard: Heard,
    pub(crate) engines: Vec<Told>,
    pub(crate) list: ListNews,
    /// Era of the store and its least age in milliseconds; none in the first era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<(Era, u64)>,
    /// Version of the responding node's configuration.
    pub(crate) catalog: u64,
    /// Age of the responding node's copy of the store data.
    pub(crate) age_ms: u64,
    /// Time that the poll waited for an update.
    pub(crate) held_ms: u64,
    /// Number of nodes that share budgets and connections.
    pub(crate) nodes: u32,
    /// Their peer addresses, if the poll's digest differs.
    pub(crate) others: Option<Vec<SocketAddr>>,
    /// Hub candidates of the sender's domain, if the poll's digest differs.
    pub(crate) heads: Option<Vec<Member>>,
    /// Number of nodes that poll the responding node.
    pub(crate) children: u32,
    /// End of the lease log after the leader's last renewal, and the renewal's age in milliseconds.
    pub(crate) renewed: Option<(Cursor, u64)>,
    /// Ages of the loads from the weight store, in milliseconds, for a successor's rate limit.
    pub(crate) begun: Vec<u64>,
    pub(crate) loads: Vec<HeardLoad>,
    /// Configuration version last known to be the newest, and the age of that proof in
    /// milliseconds.
    #[serde(default)]
    pub(crate) proof: Option<(u64, u64)>,
    /// Configuration version and the log position up to which there is no newer one.
    #[serde(default)]
    pub(crate) catalog_at: Option<(u64, Cursor)>,
}

/// Load of an engine: id, start, running requests, waiting requests, and age in milliseconds. A
/// tuple, to keep messages with many loads small.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeardLoad(
    pub(super) EngineId,
    pub(super) Start,
    pub(super) u32,
    pub(super) u32,
    pub(super) u64,
);

/// Asks the leader to place a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Want {
    pub(crate) fence: u64,
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) domain: String,
    /// Engine that was listed as having it loaded and responded that it does not.
    pub(crate) refuted: Option<EngineId>,
}

/// The leader's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wish {
    pub(crate) placement: Placement,
    pub(crate) engines: Vec<Told>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Placement {
    /// An engine has it loaded.
    Placed,
    /// It is being loaded, for about this many milliseconds.
    Coming(u64),
    /// The leader cannot tell, or there is none.
    Unknown,
}

impl Asked {
    pub(crate) fn parts(self) -> (Wanted, f64) {
        (Wanted { model: self.model, adapter: self.adapter }, self.count)
    }
}
