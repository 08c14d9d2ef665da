//! Exchanges in-flight requests per engine as sums: nodes report theirs to the hub of their domain,
//! hubs exchange the sums of their domains, and send their nodes the totals.
//!
//! The reports are datagrams that nobody waits for. Without them a node uses the loads that engines
//! report in their responses.

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::aggregation::{Neighbors, Relation, ReportScope};
use hgw_direct::broadcasts_sends;
use hgw_direct::hubs::Parent;
use hgw_direct::in_flight::{EngineKey, InFlightLoad, InFlightUpdate};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::shared::Node;

use super::datagrams::Datagram;
use super::unreachable;

/// Interval between reports. A request is known to all nodes after three reports, a tenth of a second,
/// in which about one engine in nine gets a request.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which a node checks whether sums are needed. Few nodes broadcast each request
/// instead.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of hubs that exchange sums. It is exceeded while many nodes poll the leader
/// itself, as at the start.
const MAX_HUBS: usize = 40;

/// Nodes that this one exchanges sums with.
pub(super) fn neighbors(node: &Node) -> Neighbors {
    let (own_addr, topology) = (node.settings.borrow().peer_addr, Topology::of(node));
    let is = |relation| move |addr: &SocketAddr| topology.relation(node, *addr) == relation;
    let peers = node.peer_socket.addrs().into_iter().filter(|addr| *addr != own_addr);
    let hubs = peers.filter(is(Relation::OtherHub)).collect();
    let children = node.children.addrs().into_iter().filter(is(Relation::Child)).collect();
    Neighbors { hub: topology.hub, hubs, children }
}

/// What a node knows when it classifies other nodes.
#[derive(Debug, Clone, Copy)]
struct Topology {
    hub: Option<SocketAddr>,
    /// Whether this node exchanges sums with other hubs.
    exchanges_with_hubs: bool,
}

impl Topology {
    fn of(node: &Node) -> Topology {
        let hub = match node.parent() {
            Some((Parent::Hub(addr), _)) => Some(addr),
            _ => None,
        };
        let own_addr = node.settings.borrow().peer_addr;
        let exchanges_with_hubs =
            hub.is_none() && node.peer_socket.count_without(own_addr) <= MAX_HUBS;
        Topology { hub, exchanges_with_hubs }
    }

    fn relation(self, node: &Node, other: SocketAddr) -> Relation {
        if self.hub == Some(other) {
            Relation::Hub
        } else if self.exchanges_with_hubs && node.peer_socket.contains(other) {
            Relation::OtherHub
        } else if node.children.contains(other) {
            Relation::Child
        } else {
            Relation::Unrelated
        }
    }
}

pub(super) fn relation(node: &Node, other: SocketAddr) -> Relation {
    Topology::of(node).relation(node, other)
}

/// Sends in-flight sums to other nodes until the process ends.
pub(crate) async fn report_in_flight(node: Node) {
    loop {
        if broadcasts_sends(node.state.borrow().nodes) || node.state.borrow().nodes < 2 {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        sleep(REPORT_INTERVAL).await;
        send_reports(&node);
        unreachable::send_reachability_reports(&node);
    }
}

fn send_reports(node: &Node) {
    if node.leadership.borrow().is_leader() {
        publish_hubs(node);
    }
    let updates = node.aggregator.borrow_mut().next_updates(
        node.now(),
        own_in_flight(node),
        &neighbors(node),
    );
    for update in updates {
        node.peer_socket
            .send_to(update.to.iter(), &Datagram::InFlight(update.scope, update.update));
    }
    update_engines(node);
}

/// Publishes the nodes that poll the leader as the hubs. Nodes of its own domain may poll it until
/// they learn that their hub became the leader, so they are left out.
fn publish_hubs(node: &Node) {
    let mut hubs = node.children.addrs();
    hubs.retain(|addr| node.directory.borrow().may_be_hub(*addr));
    hubs.push(node.settings.borrow().peer_addr);
    hubs.sort_unstable();
    node.stream_replicas.borrow_mut().clone_from(&hubs);
    node.peer_socket.set_peers(hubs);
}

/// In-flight requests of this node.
fn own_in_flight(node: &Node) -> IndexMap<EngineKey, InFlightLoad> {
    let state = node.state.borrow();
    let in_use = state.engines.iter().filter(|e| e.own_requests > 0);
    in_use.map(|e| (e.key(), e.own_in_flight())).collect()
}

/// Takes in a report. Only nodes that poll this one, its own hub, and hubs that the leader
/// published are trusted.
pub(super) fn apply_report(
    node: &Node,
    from: SocketAddr,
    scope: ReportScope,
    update: &InFlightUpdate,
) {
    let mut aggregator = node.aggregator.borrow_mut();
    let engines = aggregator.apply(from, relation(node, from), scope, update, node.now());
    if !aggregator.is_fresh() {
        return;
    }
    let mut state = node.state.borrow_mut();
    for key in engines {
        if let Some(engine) = state.engines.by_key(key) {
            engine.in_flight_elsewhere = Some(aggregator.in_flight_elsewhere(key));
        }
    }
}

fn update_engines(node: &Node) {
    node.aggregator.borrow_mut().update_engines(&mut node.state.borrow_mut().engines);
    node.room_queue.notify_room();
}
