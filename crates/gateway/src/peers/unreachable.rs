//! Shares which engines are unreachable within a failure domain.
//!
//! The first node that cannot reach an engine reports it to its hub. The hub tells the other nodes
//! and probes the engine, so that they need not each time out on a lost engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::aggregation::{Neighbors, Relation};
use hgw_direct::hubs::Parent;
use hgw_direct::in_flight::EngineKey;
use hgw_direct::{Millis, broadcasts_sends};
use hgw_events::{Event, emit};
use hgw_http1::Conn;
use tokio::time::sleep;

use crate::shared::Node;

use super::datagrams::Datagram;
use super::in_flight::{neighbors, relation};

/// Time for which a node believes a report. The hub repeats it while the engine stays unreachable,
/// so reports end with the hub.
const REPORT_VALID_FOR: Duration = Duration::from_millis(1_500);

/// Interval at which the hub probes an unreachable engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// A node that received bytes from an engine within this time ignores such reports, because the
/// problem is on the reporter's side.
const RECENTLY_HEARD_MS: Millis = 400;

/// Reports to the hub that an engine refused a connection or stopped responding on all of them.
pub(crate) fn report_unreachable(node: &Node, key: EngineKey) {
    if broadcasts_sends(node.state.borrow().nodes) {
        return;
    }
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

/// Handles a hub's report that an engine is unreachable or back. Reports from other domains count
/// only for engines in the reporting domain, because the link between the domains may be at fault.
pub(super) fn handle_hub_report(
    node: &Node,
    from: SocketAddr,
    key: EngineKey,
    domain: &str,
    is_unreachable: bool,
) {
    let is_own_domain = node.settings.borrow().domain == domain;
    if !is_own_domain
        && engine_domain(node, key).is_none_or(|engine_domain| engine_domain != domain)
    {
        return;
    }
    match relation(node, from) {
        // A node behind this hub hears an engine that the hub believes unreachable.
        Relation::Child if !is_unreachable => announce(node, key, false),
        Relation::Child | Relation::Unrelated => {}
        relation => {
            if apply_report(node, key, is_unreachable) {
                notify_children(node, &neighbors(node), key, is_unreachable);
            } else if relation == Relation::Hub {
                node.peer_socket.send_to([&from].into_iter(), &hub_report(node, key, false));
            }
        }
    }
}

/// Reports an engine unreachable and probes it until it is back.
fn start_probe(node: &Node, key: EngineKey) {
    if !node.probed_engines.borrow_mut().insert(key) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        probe_until_back(&node, key).await;
        node.probed_engines.borrow_mut().swap_remove(&key);
    });
}

async fn probe_until_back(node: &Node, key: EngineKey) {
    loop {
        let Some(addr) = engine_addr(node, key) else { return };
        announce(node, key, true);
        // A lost engine refuses the connection at once, or the attempt times out.
        if Conn::connect(addr, node.conn_timeouts()).await.is_ok() {
            announce(node, key, false);
            return;
        }
        sleep(PROBE_INTERVAL).await;
    }
}

fn engine_addr(node: &Node, key: EngineKey) -> Option<SocketAddr> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.addr)
}

/// Updates this node, the nodes behind it and the other hubs, unless this node has just
/// received bytes from the engine.
fn announce(node: &Node, key: EngineKey, is_unreachable: bool) {
    if !apply_report(node, key, is_unreachable) {
        return;
    }
    let neighbors = neighbors(node);
    notify_children(node, &neighbors, key, is_unreachable);
    node.peer_socket.send_to(neighbors.hubs.iter(), &hub_report(node, key, is_unreachable));
}

fn engine_domain(node: &Node, key: EngineKey) -> Option<String> {
    node.state.borrow_mut().engines.by_key(key).map(|engine| engine.info.domain.clone())
}

fn notify_children(node: &Node, neighbors: &Neighbors, key: EngineKey, is_unreachable: bool) {
    node.peer_socket.send_to(neighbors.children.iter(), &hub_report(node, key, is_unreachable));
}

fn hub_report(node: &Node, key: EngineKey, is_unreachable: bool) -> Datagram {
    let domain = node.settings.borrow().domain.clone();
    if is_unreachable {
        Datagram::UnreachableFrom(key, domain)
    } else {
        Datagram::ReachableFrom(key, domain)
    }
}

/// Updates the state of an engine. Returns false if the report contradicts what this node has just
/// received.
fn apply_report(node: &Node, key: EngineKey, is_unreachable: bool) -> bool {
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
    drop(state);
    node.reachability_changed.notify_waiters();
    true
}
