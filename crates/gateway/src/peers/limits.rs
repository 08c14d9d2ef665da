//! Tells other nodes at once what engines say of themselves: few nodes all of them, many nodes over the hubs
//! of their domains.

use std::net::SocketAddr;

use hgw_direct::aggregation::Relation;
use hgw_direct::broadcasts_sends;

use crate::brittle;
use crate::engine_limits;
use crate::engine_notices;
use crate::shared::Node;

use super::datagrams::Datagram;
use super::in_flight::{neighbors, relation};

/// Sends what a response to this node has changed.
pub(crate) fn send_engine_news(node: &Node, news: &Datagram) {
    if broadcasts_sends(node.state.borrow().nodes) {
        node.peer_socket.broadcast(node, news);
        return;
    }
    let neighbors = neighbors(node);
    let to = neighbors.hub.iter().chain(&neighbors.hubs).chain(&neighbors.children);
    node.peer_socket.send_to(to, news);
}

/// Applies what another node sent, and passes a change on. A stranger could have an engine used by nobody,
/// so only nodes that this one exchanges datagrams with count.
pub(super) fn handle_engine_news(node: &Node, from: SocketAddr, news: &Datagram) {
    let is_direct = broadcasts_sends(node.state.borrow().nodes);
    let relation = relation(node, from);
    let is_trusted =
        if is_direct { node.peer_socket.contains(from) } else { relation != Relation::Unrelated };
    if !is_trusted || !apply(node, news) || is_direct {
        return;
    }
    let neighbors = neighbors(node);
    let children = neighbors.children.iter().filter(|child| **child != from);
    let hubs = neighbors.hubs.iter().filter(|_| relation == Relation::Child);
    node.peer_socket.send_to(children.chain(hubs), news);
}

/// Returns whether there is something to pass on.
fn apply(node: &Node, news: &Datagram) -> bool {
    match news {
        Datagram::EngineLimit(state) => engine_limits::apply_states(node, &[*state]),
        Datagram::EngineBrittle(state) => brittle::apply_state(node, state),
        Datagram::EngineRejected(engine) => brittle::record_rejection(node, *engine),
        Datagram::EngineLeaving(engine) => engine_notices::apply_leaving(node, &[*engine]),
        _ => false,
    }
}
