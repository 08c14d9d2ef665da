//! Answers polls: the leader those of all hubs, and a hub those of the nodes in its domain.

use hgw_direct::hubs::{CandidateSource, LongListDistribution, Member, digest};
use hgw_direct::placement::ReportedLoads;
use hgw_direct::{ListUpdate, broadcasts_sends};
use tokio::time::timeout;

use crate::catalog_reads;
use crate::engine_speed;
use crate::eras;
use crate::freshness;
use crate::leader;
use crate::overload;
use crate::shared::Node;
use crate::versions;

use super::MAX_POLL_WAIT;
use super::loads::loads_since;
use super::message::{PollRequest, PollResponse};
use super::streams;

/// Maximum number of addresses that are sent. A longer list includes nodes that do not know their
/// hub yet.
const MAX_PEER_ADDRS: usize = 41;

/// Returns what changed since the sender's last poll, and waits for a change if there is none.
pub(super) async fn poll_response(node: &Node, request: &PollRequest) -> PollResponse {
    let started_at = node.now();
    if is_up_to_date(node, request) {
        // After the timeout the response is sent without a change.
        let _ = timeout(MAX_POLL_WAIT, node.update_available.notified()).await;
    }
    let (placements_seen, changed) =
        node.placement_changes.borrow().changes_since(request.placements_seen);
    let placements = changed.iter().filter_map(|id| leader::placement_of(node, id)).collect();
    let hub_candidates = hub_candidates(node, request);
    let list_update = list_update(node, request, hub_candidates.as_deref());
    let (crashes_seen, crash_states) =
        node.crashes.borrow().states_since(request.crashes_seen, node.now());
    let (limits_seen, engine_limits) =
        node.engine_limits.borrow().states_since(request.limits_seen, node.now());
    let sends_all_states = node.crashes.borrow().is_up_to_date(crashes_seen);
    let (part_crash_states, crash_states) =
        crash_states.into_iter().partition(|state| state.subject.is_part());
    let (now, loads) = (node.now(), known_loads(node));
    let leader_fence = node.leadership.borrow().leader.as_ref().map(|leader| leader.fence);
    PollResponse {
        crash_states,
        part_crash_states,
        crashes_seen,
        engine_limits,
        limits_seen,
        speeds: engine_speed::published_since(node, request.speeds_seen),
        overload: overload::update_for(node, request.overload_digest),
        knows_blocked_requests: node.knows_blocked_requests.get() && sends_all_states,
        leader: node.leadership.borrow().leader.clone(),
        placements_seen,
        placements,
        list_update,
        era: eras::to_report(node),
        catalog_version: node.catalog_version(),
        data_age_ms: node.store_data_age(),
        waited_ms: node.now().saturating_sub(started_at),
        nodes: node.state.borrow().nodes,
        peer_addrs: peer_addrs(node, request),
        hub_candidates,
        children: node.children.count(),
        last_renewal: node.last_renewal(),
        load_ages_ms: loads.started().iter().map(|at| now.saturating_sub(*at)).collect(),
        loads_fence: Some(loads.fence()).filter(|fence| leader_fence != Some(*fence)),
        loads: loads_since(node, 0, Some(&request.demand)),
        admitted_versions: versions::newer_than(node, request.versions_position),
        stream_replicas: streams::replicas_to_share(node, request.stream_replicas_digest),
        freshness: freshness::to_share(node),
        catalog_overdue_ms: Some(catalog_reads::overdue(node)).filter(|overdue| *overdue > 0),
        catalog_position: node.catalog_position.get(),
    }
}

/// Changes of the engine list since the sender's last poll. `hub_candidates` are those that it
/// learns from this response.
fn list_update(
    node: &Node,
    request: &PollRequest,
    hub_candidates: Option<&[Member]>,
) -> ListUpdate {
    let (version, seen) = (Some(request.list_version), request.list_seen);
    let state = node.state.borrow();
    if node.leadership.borrow().is_leader() && state.list_changes.is_long_update(version, seen) {
        let distribution = LongListDistribution {
            leader: node.settings.borrow().peer_addr,
            knows_hubs: !node.directory.borrow().is_empty(),
            children: node.children.count(),
        };
        if !distribution.sends_to(request.from, hub_candidates) {
            return ListUpdate::unknown();
        }
    }
    state.list_changes.changes_since(&state.engines, version, seen)
}

fn is_up_to_date(node: &Node, request: &PollRequest) -> bool {
    let list_is_current = {
        let list_changes = &node.state.borrow().list_changes;
        list_changes.is_up_to_date(Some(request.list_version), request.list_seen)
    };
    let placements_are_current =
        node.placement_changes.borrow().is_up_to_date(request.placements_seen);
    let crashes_are_current = node.crashes.borrow().is_up_to_date(request.crashes_seen);
    let limits_are_current = node.engine_limits.borrow().is_up_to_date(request.limits_seen);
    list_is_current
        && placements_are_current
        && crashes_are_current
        && limits_are_current
        && node.catalog_version() <= request.catalog_version
}

/// Loads from the weight store that were started here, or that the leader reported; of no leader if none has.
fn known_loads(node: &Node) -> ReportedLoads {
    if node.leadership.borrow().is_leader() {
        return leader::started_loads(node);
    }
    node.state.borrow().leader_loads.clone().unwrap_or_default()
}

/// Addresses of the peers that exchange datagrams, if the sender knows others.
fn peer_addrs(node: &Node, request: &PollRequest) -> Option<Vec<std::net::SocketAddr>> {
    let exchanges =
        broadcasts_sends(node.state.borrow().nodes) || node.leadership.borrow().is_leader();
    let should_send = exchanges && request.peers_digest != node.peer_socket.digest();
    should_send
        .then(|| node.peer_socket.addrs())
        .filter(|peer_addrs| peer_addrs.len() <= MAX_PEER_ADDRS)
}

/// Hub candidates of the sender's domain, if the sender knows others.
fn hub_candidates(node: &Node, request: &PollRequest) -> Option<Vec<Member>> {
    let (directory, hubs) = (node.directory.borrow(), node.hubs.borrow());
    let source = CandidateSource {
        is_leader: node.leadership.borrow().is_leader(),
        domain: &node.settings.borrow().domain,
        directory: &directory,
        hubs: &hubs,
    };
    let hub_candidates = source.candidates(&request.domain)?;
    (digest(hub_candidates) != request.hubs_digest).then(|| hub_candidates.to_vec())
}
