//! Messages between nodes.

use std::net::SocketAddr;

use hgw_direct::engine_speed::SpeedRow;
use hgw_direct::hubs::Member;
use hgw_direct::in_flight::EngineKey;
use hgw_direct::overload::{AdmissionUpdate, ServiceReport};
use hgw_direct::{
    AdmittedVersions, ChangePosition, CrashReport, CrashState, Cursor, DemandSnapshot, EngineId,
    Era, LimitState, ListUpdate, ListVersion, LoadedModel, ModelRef, StartTime, VersionKey,
};
use serde::{Deserialize, Serialize};

use crate::election::LeaderInfo;

/// Models loaded on an engine, as the leader knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EnginePlacement {
    pub(crate) engine: EngineId,
    /// Start of the engine that the entry refers to.
    #[serde(rename = "start")]
    pub(crate) started_at: StartTime,
    /// Fencing token of the leader that surveyed the engine; none if none is known to have.
    #[serde(default, rename = "term", skip_serializing_if = "Option::is_none")]
    pub(crate) fence: Option<u64>,
    /// Number of orders that the engine has accepted.
    #[serde(rename = "orders")]
    pub(crate) accepted_orders: u64,
    #[serde(rename = "held")]
    pub(crate) loaded: Vec<LoadedModel>,
}

/// Requests for a model or an adapter since the last exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct DemandCount {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) count: f64,
}

/// A poll: reports to the leader or a hub and asks for updates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PollRequest {
    /// Peer address of the sender.
    pub(crate) from: SocketAddr,
    /// Failure domain of the sender.
    pub(crate) domain: String,
    /// Position in the receiver's changes of loaded models.
    #[serde(rename = "heard")]
    pub(crate) placements_seen: ChangePosition,
    /// Position of the sender's engine list; the default without a list.
    #[serde(rename = "list")]
    pub(crate) list_version: ListVersion,
    /// Position in the receiver's changes of the engine list.
    #[serde(default, rename = "list_heard")]
    pub(crate) list_seen: ChangePosition,
    /// Era of the store and its least age in milliseconds; none in the first era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<(Era, u64)>,
    /// What the sender and the nodes behind it have seen of requests under which engines ended.
    #[serde(default)]
    pub(crate) crash_reports: Vec<CrashReport>,
    /// The same of parts of prompts, which releases before do not know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) part_crash_reports: Vec<CrashReport>,
    /// Position in the receiver's changes of what is suspected to crash engines.
    #[serde(default)]
    pub(crate) crashes_seen: ChangePosition,
    /// Limits of engines that changed at the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) engine_limits: Vec<LimitState>,
    /// Position in the receiver's changes of the limits of engines.
    #[serde(default)]
    pub(crate) limits_seen: ChangePosition,
    /// Observations of the speed of engines since the last poll.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) speeds: Vec<SpeedRow>,
    /// Position in the receiver's published speeds.
    #[serde(default, skip_serializing_if = "ChangePosition::is_default")]
    pub(crate) speeds_seen: ChangePosition,
    /// Arrivals and completions of services that are nearly full.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) service_reports: Vec<ServiceReport>,
    /// Digest of what the sender knows of overloaded services; 0 if it knows none.
    #[serde(default, rename = "overload", skip_serializing_if = "is_zero")]
    pub(crate) overload_digest: u32,
    /// Engines that have lately told the sender that they leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) leaving_engines: Vec<EngineKey>,
    /// Whether the sender does not reach the engines that the leader gives orders to.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) cannot_lead: bool,
    /// Position of the record of software versions; none if the sender knows none.
    #[serde(default, rename = "versions", skip_serializing_if = "Option::is_none")]
    pub(crate) versions_position: Option<Cursor>,
    /// Digest of the nodes that the sender tells of streams.
    #[serde(default, rename = "stream_replicas")]
    pub(crate) stream_replicas_digest: u64,
    /// Version of the sender's configuration.
    #[serde(rename = "catalog")]
    pub(crate) catalog_version: u64,
    /// Loads received since the last exchange.
    pub(crate) loads: Vec<EngineLoad>,
    #[serde(rename = "asked")]
    pub(crate) demand: Vec<DemandCount>,
    /// Demand before the first exchange with this leader.
    #[serde(rename = "past")]
    pub(crate) earlier_demand: Option<EarlierDemand>,
    /// Digest of the peer addresses that the sender knows.
    #[serde(rename = "others")]
    pub(crate) peers_digest: u64,
    /// Digest of the hub candidates that the sender knows.
    #[serde(rename = "heads")]
    pub(crate) hubs_digest: u64,
}

/// Demand that a node saw before it knew the leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EarlierDemand {
    /// Milliseconds since the first request; none without one.
    #[serde(rename = "for_ms")]
    pub(crate) counted_for_ms: Option<u64>,
    pub(crate) models: Vec<DemandSnapshot>,
}

/// Response of the leader or a hub to a poll.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PollResponse {
    /// Newest leader known to the responding node.
    #[serde(rename = "keeper")]
    pub(crate) leader: Option<LeaderInfo>,
    #[serde(rename = "heard")]
    pub(crate) placements_seen: ChangePosition,
    #[serde(rename = "engines")]
    pub(crate) placements: Vec<EnginePlacement>,
    #[serde(rename = "list")]
    pub(crate) list_update: ListUpdate,
    /// Era of the store and its least age in milliseconds; none in the first era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<(Era, u64)>,
    /// Version of the responding node's configuration.
    #[serde(rename = "catalog")]
    pub(crate) catalog_version: u64,
    /// Age of the responding node's copy of the store data.
    #[serde(rename = "age_ms")]
    pub(crate) data_age_ms: u64,
    /// Time that the poll waited for an update.
    #[serde(rename = "held_ms")]
    pub(crate) waited_ms: u64,
    /// Number of nodes that share budgets and connections.
    pub(crate) nodes: u32,
    /// Their peer addresses, if the poll's digest differs.
    #[serde(rename = "others")]
    pub(crate) peer_addrs: Option<Vec<SocketAddr>>,
    /// Hub candidates of the sender's domain, if the poll's digest differs.
    #[serde(rename = "heads")]
    pub(crate) hub_candidates: Option<Vec<Member>>,
    /// Number of nodes that poll the responding node.
    pub(crate) children: u32,
    /// End of the lease log after the leader's last renewal, and the renewal's age in milliseconds.
    #[serde(rename = "renewed")]
    pub(crate) last_renewal: Option<(Cursor, u64)>,
    /// Ages of the loads from the weight store, in milliseconds, for a successor's rate limit.
    #[serde(rename = "begun")]
    pub(crate) load_ages_ms: Vec<u64>,
    /// Fencing token of the leader that started them; none if it is `leader`.
    #[serde(default, rename = "begun_under", skip_serializing_if = "Option::is_none")]
    pub(crate) loads_fence: Option<u64>,
    pub(crate) loads: Vec<EngineLoad>,
    #[serde(default)]
    pub(crate) crash_states: Vec<CrashState>,
    /// The same of parts of prompts, which releases before do not know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) part_crash_states: Vec<CrashState>,
    #[serde(default)]
    pub(crate) crashes_seen: ChangePosition,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) engine_limits: Vec<LimitState>,
    #[serde(default)]
    pub(crate) limits_seen: ChangePosition,
    /// Published speeds of engines after the position that the poller has seen, and the new position.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) speeds: Option<(ChangePosition, Vec<SpeedRow>)>,
    /// What is admitted to overloaded services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) overload: Option<AdmissionUpdate>,
    /// Whether the poller now knows all requests that are blocked in the store.
    #[serde(default)]
    pub(crate) knows_blocked_requests: bool,
    /// Software versions at which streams may begin, if the sender does not know them.
    #[serde(default, rename = "versions", skip_serializing_if = "Option::is_none")]
    pub(crate) admitted_versions: Option<AdmittedVersions>,
    /// Nodes to tell of streams, if the sender knows others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) stream_replicas: Option<Vec<SocketAddr>>,
    /// Configuration version last known to be the newest, and the age of that proof in
    /// milliseconds.
    #[serde(default)]
    #[serde(rename = "proof")]
    pub(crate) freshness: Option<(u64, u64)>,
    /// By how many milliseconds the reads of the configuration are overdue on which the responding node depends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) catalog_overdue_ms: Option<u64>,
    /// Configuration version and the log position up to which there is no newer one.
    #[serde(default)]
    #[serde(rename = "catalog_at")]
    pub(crate) catalog_position: Option<(u64, Cursor)>,
}

/// Load of an engine: id, start, running requests, waiting requests, and age in milliseconds. A
/// tuple, to keep messages with many loads small.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EngineLoad(
    pub(super) EngineId,
    pub(super) StartTime,
    pub(super) u32,
    pub(super) u32,
    pub(super) u64,
);

/// Asks the leader to place a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PlacementRequest {
    pub(crate) fence: u64,
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
    pub(crate) domain: String,
    /// Engine that was listed as having it loaded and responded that it does not.
    #[serde(rename = "refuted")]
    pub(crate) stale_engine: Option<EngineId>,
    /// Software version at which it is needed; any if none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<VersionKey>,
}

/// The leader's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementResponse {
    pub(crate) placement: Placement,
    #[serde(rename = "engines")]
    pub(crate) placements: Vec<EnginePlacement>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Placement {
    /// An engine has it loaded.
    Placed,
    /// It is being loaded, for about this many milliseconds.
    #[serde(rename = "Coming")]
    Loading(u64),
    /// The leader cannot tell, or there is none.
    Unknown,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl DemandCount {
    pub(crate) fn into_parts(self) -> (ModelRef, f64) {
        (ModelRef { model: self.model, adapter: self.adapter }, self.count)
    }
}

#[cfg(test)]
mod tests {
    use serde_json::{Value, from_value, json, to_value};

    use super::{PollRequest, PollResponse};

    /// Guards against a poll of the previous release, which knows nothing of speeds, being refused, and against
    /// fields for it that it does not need.
    #[test]
    fn speeds_are_optional_in_messages() {
        let request: PollRequest = from_value(json!({
            "from": "10.0.0.1:80", "domain": "a", "heard": [0, 0],
            "list": to_value(hgw_direct::ListVersion::default()).unwrap(), "catalog": 1, "loads": [],
            "asked": [], "past": null, "others": 0, "heads": 0,
        }))
        .unwrap();
        assert!(request.speeds.is_empty());
        let sent = to_value(&request).unwrap();
        assert_eq!((sent.get("speeds"), sent.get("speeds_seen")), (None, None));
        let Value::Object(sent) = to_value(PollResponse::default()).unwrap() else {
            panic!("a response is no map");
        };
        assert!(!sent.contains_key("speeds"));
        let response: PollResponse = from_value(Value::Object(sent)).unwrap();
        assert_eq!(response.speeds, None);
    }
}
