//! Shares which engines are unreachable within a failure domain.
//!
//! The first node that cannot reach an engine reports it to its hub. The hub tells the other nodes
//! and probes the engine, so that they need not each time out on a lost engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::aggregation::Relation;
use hgw_direct::hubs::Parent;
use hgw_direct::in_flight::EngineKey;
use hgw_direct::unreachable::ReachabilityReport;
use hgw_direct::{EngineId, Millis, ServiceId, broadcasts_sends};
use hgw_events::{Event, emit};
use hgw_http1::Conn;
use tokio::time::sleep;

use crate::engine_path;
use crate::shared::Node;

use super::datagrams::Datagram;
use super::in_flight::{neighbors, relation};

/// Time for which a node believes a report, three times the interval at which the hub repeats it
/// while the engine stays unreachable, so reports end with the hub.
const REPORT_VALID_FOR: Duration = Duration::from_millis(1_500);

/// Interval at which the hub probes an unreachable engine, which gets requests again that much later.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// A node that received bytes from an engine within this time ignores such reports, because the
/// problem is on the reporter's side.
const RECENTLY_HEARD_MS: Millis = 400;

/// Reports to the hub that an engine refused a connection or stopped responding on all of them, unless
/// this node reaches no engine at all.
pub(crate) fn report_unreachable(node: &Node, key: EngineKey) {
    if broadcasts_sends(node.state.borrow().nodes) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let Some(engine) = engine_id(&node, key) else { return };
        if engine_path::confirm(&node, &engine).await {
            send_unreachable(&node, key);
        }
    });
}

fn send_unreachable(node: &Node, key: EngineKey) {
    match node.parent() {
        Some((Parent::Hub(hub), _)) => {
            node.peer_socket.send_to([&hub].into_iter(), &Datagram::Unreachable(key));
        }
        _ => start_probe(node, key),
    }
}

/// Handles a report from a node that polls this one; others are ignored.
pub(super) fn handle_unreachable(node: &Node, from: SocketAddr, key: EngineKey) {
    if relation(node, from) == Relation::Child {
        start_probe(node, key);
    }
}

/// Handles a hub's report that engines are unreachable or back. Reports from other domains count
/// only for engines in the reporting domain, because the link between the domains may be at fault.
pub(super) fn handle_hub_report(
    node: &Node,
    from: SocketAddr,
    mut report: ReachabilityReport,
    domain: &str,
) {
    if node.settings.borrow().domain != domain {
        report.engines.retain(|key| engine_domain(node, *key).is_some_and(|of| of == domain));
    }
    match relation(node, from) {
        // A node behind this hub hears engines that the hub believes unreachable.
        Relation::Child if !report.is_unreachable => {
            let mut probed = node.probed_engines.borrow_mut();
            report.engines.iter().for_each(|key| probed.record_heard_elsewhere(*key));
        }
        Relation::Child | Relation::Unrelated => {}
        relation => {
            let (accepted, contradicted) = apply_report(node, report);
            let children = neighbors(node).children;
            send_report(node, children.iter(), accepted);
            if relation == Relation::Hub {
                send_report(node, [&from].into_iter(), contradicted);
            }
        }
    }
}

/// Probes an engine until it is back.
fn start_probe(node: &Node, key: EngineKey) {
    if !node.probed_engines.borrow_mut().insert(key) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move { probe_until_back(&node, key).await });
}

async fn probe_until_back(node: &Node, key: EngineKey) {
    while node.probed_engines.borrow().contains(key) {
        let Some(addr) = engine_addr(node, key) else {
            node.probed_engines.borrow_mut().remove(key);
            return;
        };
        let connected = {
            let _permit = node.probe_permits.acquire().await;
            // A lost engine refuses the connection at once, or the attempt times out.
            Conn::connect(addr, node.conn_timeouts()).await
        };
        if connected.is_ok() {
            node.probed_engines.borrow_mut().record_reachable(key);
            return;
        }
        if let Some(engine) = engine_id(node, key) {
            engine_path::record_failure(node, &engine);
        }
        sleep(PROBE_INTERVAL).await;
    }
}

/// Updates this node, the nodes behind it and the other hubs.
pub(super) fn send_reachability_reports(node: &Node) {
    let failed = node.engine_path.failed_services();
    if !failed.is_empty() {
        // What this node does not reach says nothing about engines. Nodes that reach them report again.
        let is_reached = |key| engine_service(node, key).is_some_and(|s| !failed.contains(&s));
        node.probed_engines.borrow_mut().retain(is_reached);
    }
    let reports = node.probed_engines.borrow_mut().next_reports(node.now());
    if reports.is_empty() {
        return;
    }
    let neighbors = neighbors(node);
    for report in reports {
        // Engines that this node has just received bytes from are not unreachable.
        let (accepted, _) = apply_report(node, report);
        send_report(node, neighbors.children.iter().chain(&neighbors.hubs), accepted);
    }
}

fn engine_addr(node: &Node, key: EngineKey) -> Option<SocketAddr> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.addr)
}

fn engine_id(node: &Node, key: EngineKey) -> Option<EngineId> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.id.clone())
}

fn engine_service(node: &Node, key: EngineKey) -> Option<ServiceId> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.service.clone())
}

fn engine_domain(node: &Node, key: EngineKey) -> Option<String> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.domain.clone())
}

fn send_report<'a>(
    node: &Node,
    to: impl Iterator<Item = &'a SocketAddr>,
    report: ReachabilityReport,
) {
    if report.engines.is_empty() {
        return;
    }
    let domain = node.settings.borrow().domain.clone();
    let datagram = if report.is_unreachable {
        Datagram::UnreachableFrom(report.engines, domain)
    } else {
        Datagram::ReachableFrom(report.engines, domain)
    };
    node.peer_socket.send_to(to, &datagram);
}

/// Updates the states of engines. Returns the report of the engines that were updated, and the
/// opposite report of those from which this node has just received bytes.
fn apply_report(
    node: &Node,
    mut report: ReachabilityReport,
) -> (ReachabilityReport, ReachabilityReport) {
    report.engines.retain(|key| node.state.borrow().engines.contains_key(*key));
    let is_unreachable = report.is_unreachable;
    let apply = |key: &EngineKey| apply_state(node, *key, is_unreachable);
    let (accepted, contradicted) = report.engines.into_iter().partition(apply);
    node.reachability_changed.notify_waiters();
    let report = |engines, is_unreachable| ReachabilityReport { engines, is_unreachable };
    (report(accepted, is_unreachable), report(contradicted, !is_unreachable))
}

/// Updates the state of an engine. Returns false if the report contradicts what this node has just
/// received.
fn apply_state(node: &Node, key: EngineKey, is_unreachable: bool) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let Some(engine) = state.engines.by_key(key) else { return false };
    if is_unreachable && now.saturating_sub(engine.last_heard) < RECENTLY_HEARD_MS {
        return false;
    }
    let was_unreachable = engine.health.is_reported_unreachable(now);
    if is_unreachable {
        engine.health.report_unreachable(now + REPORT_VALID_FOR.as_millis() as Millis);
    } else {
        engine.health.report_reachable();
    }
    if was_unreachable != is_unreachable {
        let health = engine.health.health(now);
        let (name, engine) = (&node.settings.borrow().node, engine.info.id.clone());
        emit(
            Event::EngineJudged,
            &[("node", name), ("upstream", &engine), ("opinion", &health), ("told", &true)],
        );
    }
    true
}
