//! Polls the leader or a hub for updates, and reports demand and loads to it.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::hubs::{Parent, SkipReason, digest, poll_interval_factor};
use hgw_direct::placement::ReportedLoads;
use hgw_direct::{ChangePosition, CrashReport, LimitState, Millis, ModelRef};
use hgw_events::{Event, emit};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::clock::boot_time;
use crate::crashes;
use crate::engine_limits;
use crate::engine_path;
use crate::engine_speed;
use crate::eras;
use crate::freshness;
use crate::leader;
use crate::overload;
use crate::shared::{CatalogMention, Node};
use crate::versions;

use super::catalog_text::record_catalog_of;
use super::list::{apply_list_update, apply_placements};
use super::loads::{apply_loads, loads_since};
use super::message::{DemandCount, EarlierDemand, PollRequest, PollResponse};
use super::streams;
use super::{CallError, MAX_POLL_WAIT, NO_LEADER_PAUSE, RESPONSE_TIMEOUT, try_call};

/// Minimum pause between polls. Updates during a poll are returned at once.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(40);

/// Polls the leader or the hub of this node's domain until the process ends.
pub(crate) async fn poll(node: Node) {
    let mut poller = Poller::default();
    loop {
        if node.leadership.borrow().is_leader() {
            leader::add_demand(&node, &take_unreported_demand(&node));
            sleep(MAX_POLL_WAIT).await;
            continue;
        }
        let Some((parent, addr)) = node.parent() else {
            sleep(NO_LEADER_PAUSE).await;
            continue;
        };
        let pause = match poller.poll_once(&node, parent, addr).await {
            Some(Polled { has_more: true, .. }) => continue,
            Some(Polled { children, .. }) => {
                MIN_POLL_PAUSE * poll_interval_factor(children, node.state.borrow().nodes)
            }
            None => NO_LEADER_PAUSE,
        };
        sleep(pause).await;
    }
}

/// What a response tells about the next poll.
#[derive(Debug, Clone, Copy)]
struct Polled {
    /// Number of nodes that poll the same node.
    children: u32,
    /// Whether the rest of the engine list is to be fetched at once.
    has_more: bool,
}

/// State kept between polls.
#[derive(Debug, Default)]
struct Poller {
    /// Fencing token of the leader that has received this node's earlier demand.
    demand_reported_to: Option<u64>,
    placements_seen: ChangePosition,
    crashes_seen: ChangePosition,
    /// Node that has received the crash reports before this number, and the limits.
    reported_to: Option<(SocketAddr, u64)>,
    crashes_reported: u64,
    limits_seen: ChangePosition,
    speeds_seen: ChangePosition,
    /// Position in the own changes of the limits of engines that this node has received.
    limits_reported: ChangePosition,
    /// Time up to which loads were reported.
    loads_reported_at: Millis,
    links: IndexMap<SocketAddr, PeerLink>,
}

impl Poller {
    /// Polls once. Returns none if the node did not respond.
    async fn poll_once(&mut self, node: &Node, parent: Parent, addr: SocketAddr) -> Option<Polled> {
        let fence = node.leadership.borrow().leader.as_ref().map_or(0, |leader| leader.fence);
        let mut demand = take_unreported_demand(node);
        let reports_earlier_demand =
            parent == Parent::Leader && self.demand_reported_to != Some(fence);
        let earlier_demand = reports_earlier_demand.then(|| earlier_demand(node));
        if reports_earlier_demand {
            // The earlier demand includes these counts.
            demand.clear();
        }
        let (crash_reports, crashes_reported) = self.crash_reports(node, addr);
        let (limits_reported, engine_limits) = self.engine_limits(node, addr);
        let request = self.request(node, demand, earlier_demand, crash_reports, engine_limits);
        let (now, sent_at) = (node.now(), boot_time());
        self.loads_reported_at = now;
        let update: PollResponse =
            match try_call(node, addr, "/tell", &request, MAX_POLL_WAIT + RESPONSE_TIMEOUT).await {
                Ok(update) => update,
                Err(error) => {
                    self.record_timeout(node, parent, addr);
                    // A node that no longer leads refuses at once, so its successor need not wait
                    // until its updates are too old.
                    node.leader_refuses
                        .set(parent == Parent::Leader && error == CallError::Refused);
                    restore_unreported_demand(node, request.demand);
                    engine_speed::restore_report(node, &request.speeds);
                    return None;
                }
            };
        node.leader_refuses.set(false);
        self.links.entry(addr).or_default().record_response(node, addr);
        if reports_earlier_demand {
            self.demand_reported_to = Some(fence);
        }
        freshness::record_peer_report(node, sent_at, update.waited_ms, update.freshness);
        if update.catalog_position > node.catalog_position.get() {
            node.catalog_position.set(update.catalog_position);
        }
        self.placements_seen = update.placements_seen;
        let receiver = (addr, update.crashes_seen.process_id());
        if self.reported_to.replace(receiver) == Some(receiver) {
            self.crashes_reported = crashes_reported;
            self.limits_reported = limits_reported;
        } else {
            // Another process gets all reports with the next poll.
            self.crashes_reported = 0;
            self.limits_reported = ChangePosition::default();
        }
        self.crashes_seen = update.crashes_seen;
        self.limits_seen = update.limits_seen;
        if let Some((seen, _)) = &update.speeds {
            self.speeds_seen = *seen;
        }
        let polled = Polled { children: update.children, has_more: update.list_update.has_more };
        node.backoff.set_siblings(polled.children);
        if update.data_age_ms > max_data_age(node) {
            node.hubs.borrow_mut().skip(addr, SkipReason::Stale, node.now());
        }
        apply_update(node, now, addr, update);
        Some(polled)
    }

    /// Reports for this node, and the number of the next report.
    fn crash_reports(&self, node: &Node, addr: SocketAddr) -> (Vec<CrashReport>, u64) {
        let has_received = self.reported_to.is_some_and(|(known, _)| known == addr);
        let from = if has_received { self.crashes_reported } else { 0 };
        node.crashes.borrow().reports_since(from, node.now())
    }

    /// Limits of engines for this node, and the position up to which it then knows them.
    fn engine_limits(&self, node: &Node, addr: SocketAddr) -> (ChangePosition, Vec<LimitState>) {
        let has_received = self.reported_to.is_some_and(|(known, _)| known == addr);
        let from = if has_received { self.limits_reported } else { ChangePosition::default() };
        node.engine_limits.borrow().states_since(from, node.now())
    }

    fn request(
        &self,
        node: &Node,
        demand: Vec<DemandCount>,
        earlier_demand: Option<EarlierDemand>,
        crash_reports: Vec<CrashReport>,
        engine_limits: Vec<LimitState>,
    ) -> PollRequest {
        let (catalog_version, list_version, list_seen) = {
            let state = node.state.borrow();
            let (list_version, list_seen) = state.list_position();
            // Version 0 requests the complete configuration.
            (state.catalog.as_ref().map_or(0, |c| c.version), list_version, list_seen)
        };
        let (part_crash_reports, crash_reports) =
            crash_reports.into_iter().partition(CrashReport::is_of_part);
        let settings = node.settings.borrow();
        PollRequest {
            from: settings.peer_addr,
            domain: settings.domain.clone(),
            placements_seen: self.placements_seen,
            list_version,
            list_seen,
            crash_reports,
            part_crash_reports,
            crashes_seen: self.crashes_seen,
            engine_limits,
            limits_seen: self.limits_seen,
            service_reports: overload::take_reports(node),
            overload_digest: overload::digest(node),
            era: eras::to_report(node),
            speeds: engine_speed::take_report(node),
            speeds_seen: self.speeds_seen,
            leaving_engines: node.recent_leaving.to_tell(node.now()),
            cannot_lead: engine_path::cannot_lead(node),
            versions_position: versions::position(node),
            stream_replicas_digest: streams::replicas_digest(node),
            catalog_version,
            loads: loads_since(node, self.loads_reported_at, None),
            demand,
            earlier_demand,
            peers_digest: node.peer_socket.digest(),
            hubs_digest: digest(node.hubs.borrow().candidates()),
        }
    }

    fn record_timeout(&mut self, node: &Node, parent: Parent, addr: SocketAddr) {
        self.links.entry(addr).or_default().record_timeout(node, addr);
        if parent == Parent::Leader {
            node.leadership.borrow_mut().leader_liveness.mark_unresponsive();
        }
        node.hubs.borrow_mut().skip(addr, SkipReason::Unresponsive, node.now());
    }
}

/// Age from which the response of another node counts as stale. It is short enough to poll two more
/// nodes before this one reads from the store.
fn max_data_age(node: &Node) -> Millis {
    node.settings.borrow().max_leader_update_age(false).as_millis() as Millis
}

/// Takes in the response of a node to a poll that was sent at `polled_at`.
fn apply_update(node: &Node, polled_at: Millis, from: SocketAddr, update: PollResponse) {
    let received_at = node.now();
    eras::record_reported(node, update.era);
    let loads_fence = update.loads_fence.or(update.leader.as_ref().map(|leader| leader.fence));
    if let Some(leader) = update.leader {
        node.leadership.borrow_mut().record_reported_leader(leader);
    }
    let last_renewal = update.last_renewal.map(|(end, age)| (end, received_at.saturating_sub(age)));
    node.leadership.borrow_mut().leader_liveness.record_response(last_renewal);
    if let Some(hub_candidates) = update.hub_candidates {
        node.hubs.borrow_mut().set_candidates(hub_candidates);
    }
    engine_limits::apply_states(node, &update.engine_limits);
    if let Some(update) = update.overload {
        overload::apply_update(node, update);
    }
    let crash_states = update.crash_states.iter().chain(&update.part_crash_states);
    crashes::apply_states(node, crash_states);
    if update.knows_blocked_requests {
        node.knows_blocked_requests.set(true);
    }
    // Before the list, whose new engines may be of a version that is not admitted any more.
    if let Some(admitted) = update.admitted_versions {
        versions::apply(node, admitted);
    }
    if let Some(replicas) = update.stream_replicas {
        *node.stream_replicas.borrow_mut() = replicas;
    }
    apply_list_update(node, update.list_update);
    // Counted from the request, because the response may have been delayed on its way.
    node.record_leader_update((polled_at + update.waited_ms).saturating_sub(update.data_age_ms));
    apply_placements(node, update.placements);
    // After the list, which may contain new engines.
    engine_speed::apply_published(node, update.speeds.as_ref().map_or(&[], |(_, rows)| rows));
    apply_loads(node, &update.loads);
    if let Some(fence) = loads_fence {
        let started = update.load_ages_ms.iter().map(|age| received_at.saturating_sub(*age));
        let loads = ReportedLoads::new(fence, started.collect());
        loads.replace(&mut node.state.borrow_mut().leader_loads);
    }
    node.catalog_reads.record_report(received_at, update.catalog_overdue_ms);
    record_catalog_of(node, from, update.catalog_version, CatalogMention::PollResponse);
    node.state.borrow_mut().nodes = update.nodes.max(1);
    if let Some(peer_addrs) = update.peer_addrs {
        node.peer_socket.set_peers(peer_addrs);
    }
}

/// Tracks whether a node responds and logs changes.
#[derive(Debug, Default)]
struct PeerLink {
    is_unresponsive: bool,
}

impl PeerLink {
    fn record_response(&mut self, node: &Node, addr: SocketAddr) {
        if std::mem::take(&mut self.is_unresponsive) {
            let name = &node.settings.borrow().node;
            emit(Event::PeerAnswers, &[("node", name), ("peer", &peer_name(node, addr))]);
        }
    }

    fn record_timeout(&mut self, node: &Node, addr: SocketAddr) {
        if !std::mem::replace(&mut self.is_unresponsive, true) {
            let name = &node.settings.borrow().node;
            let reason = "no answer in time";
            let peer = peer_name(node, addr);
            let fields: &[(&str, &dyn std::fmt::Display)] =
                &[("node", name), ("peer", &peer), ("addr", &addr), ("reason", &reason)];
            emit(Event::PeerUnreachable, fields);
        }
    }
}

/// Name of the node at `addr`, or the address if the name is unknown.
fn peer_name(node: &Node, addr: SocketAddr) -> String {
    let leadership = node.leadership.borrow();
    let leader = leadership
        .leader
        .as_ref()
        .filter(|leader| leader.addr == addr)
        .map(|leader| leader.node.clone());
    let hubs = node.hubs.borrow();
    let hub = hubs.candidates().iter().find(|c| c.addr == addr).map(|c| c.node.clone());
    leader.or(hub).unwrap_or_else(|| addr.to_string())
}

fn take_unreported_demand(node: &Node) -> Vec<DemandCount> {
    let demand = std::mem::take(&mut node.state.borrow_mut().unreported_demand);
    let into_entry =
        |(w, count): (ModelRef, f64)| DemandCount { model: w.model, adapter: w.adapter, count };
    demand.into_iter().map(into_entry).collect()
}

fn earlier_demand(node: &Node) -> EarlierDemand {
    let now = node.now();
    let demand = &node.state.borrow().demand;
    let counted_for_ms = demand.since().map(|since| now.saturating_sub(since));
    EarlierDemand { counted_for_ms, models: demand.snapshot(now) }
}

fn restore_unreported_demand(node: &Node, demand: Vec<DemandCount>) {
    let mut state = node.state.borrow_mut();
    for entry in demand {
        let (wanted, count) = entry.into_parts();
        *state.unreported_demand.entry(wanted).or_default() += count;
    }
}
