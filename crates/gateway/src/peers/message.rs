use std::net::SocketAddr;

use hgw_direct::hubs::Member;
use hgw_direct::{
    Cursor, DemandSnapshot, EngineId, Era, ListUpdate, ListVersion, LoadedModel, ModelRef,
    StartTime,
};
use serde::{Deserialize, Serialize};

use crate::holder::Keeper;

use super::placements::Heard;

/// What an engine holds, as the keeper knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Told {
    pub(crate) engine: EngineId,
    /// The start of it that this holds for.
    pub(crate) start: StartTime,
    /// Orders that it has accepted.
    pub(crate) orders: u64,
    pub(crate) held: Vec<LoadedModel>,
}

/// How often something was asked for since the last exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Asked {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) count: f64,
}

/// What a node tells the keeper.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tell {
    /// Where other nodes reach it.
    pub(crate) from: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: String,
    /// How far it has heard of what engines hold, by the node that it asks.
    pub(crate) heard: Heard,
    /// How far its list of engines goes; the first place where it has none.
    pub(crate) list: ListVersion,
    /// The era of the store that it knows, and for how long that has lasted, in milliseconds; nothing in the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<(Era, u64)>,
    /// The configuration that it has.
    pub(crate) catalog: u64,
    /// Loads that it heard of since the last exchange.
    pub(crate) loads: Vec<HeardLoad>,
    pub(crate) asked: Vec<Asked>,
    /// In the first exchange with a keeper: what the node has counted before.
    pub(crate) past: Option<CountedBefore>,
    /// Digest of the nodes' addresses that it knows.
    pub(crate) others: u64,
    /// Digest of the nodes that it knows to pass on to its domain.
    pub(crate) heads: u64,
}

/// What a node has been asked for before it knew the keeper.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CountedBefore {
    /// For how long it has counted, if there was anything.
    pub(crate) for_ms: Option<u64>,
    pub(crate) models: Vec<DemandSnapshot>,
}

/// What the keeper tells, or a node that passes it on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// The newest keeper that the node which answers knows of.
    pub(crate) keeper: Option<Keeper>,
    pub(crate) heard: Heard,
    pub(crate) engines: Vec<Told>,
    /// The list of engines.
    pub(crate) list: ListUpdate,
    /// The era of the store that it knows, and for how long that has lasted, in milliseconds; nothing in the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<(Era, u64)>,
    /// The newest configuration.
    pub(crate) catalog: u64,
    /// Age of what the node which answers has of the store.
    pub(crate) age_ms: u64,
    /// Time for which it held this answer back.
    pub(crate) held_ms: u64,
    /// Nodes that share budgets and connections.
    pub(crate) nodes: u32,
    /// Their addresses, where the node has others.
    pub(crate) others: Option<Vec<SocketAddr>>,
    /// The nodes that pass on to the domain of the one that asks, where it knows others.
    pub(crate) heads: Option<Vec<Member>>,
    /// How many nodes ask the one that answers.
    pub(crate) children: u32,
    /// Where the claim's log ended after the holder's last renewal, and how long ago that was sent.
    pub(crate) renewed: Option<(Cursor, u64)>,
    /// How long ago loads from the weight store began, by service, in milliseconds: a successor goes on from there.
    pub(crate) begun: Vec<u64>,
    /// Loads that any node heard of lately.
    pub(crate) loads: Vec<HeardLoad>,
    /// A version of the configuration that none followed, and how long ago the store was asked, in milliseconds.
    #[serde(default)]
    pub(crate) proof: Option<(u64, u64)>,
    /// A version, and how far in the store's log there is no newer one: a node that was told the text reads on from there.
    #[serde(default)]
    pub(crate) catalog_at: Option<(u64, Cursor)>,
}

/// The load of an engine, as somebody heard of it: its start, the requests that ran and waited there, and its age in
/// milliseconds. Written without names: there is one for each engine in each exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeardLoad(
    pub(super) EngineId,
    pub(super) StartTime,
    pub(super) u32,
    pub(super) u32,
    pub(super) u64,
);

/// Asks the keeper for a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Want {
    pub(crate) fence: u64,
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) domain: String,
    /// An engine that was said to hold it and answered that it does not.
    pub(crate) refuted: Option<EngineId>,
}

/// The keeper's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wish {
    pub(crate) placement: Placement,
    pub(crate) engines: Vec<Told>,
}

/// Whether something is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Placement {
    /// It is, now.
    Placed,
    /// It is on its way, for so many more milliseconds.
    Coming(u64),
    /// The keeper cannot tell, or there is none.
    Unknown,
}

impl Asked {
    pub(crate) fn parts(self) -> (ModelRef, f64) {
        (ModelRef { model: self.model, adapter: self.adapter }, self.count)
    }
}
