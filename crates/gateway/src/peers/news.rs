//! Answers polls: the leader those of all hubs, and a hub those of the nodes in its domain.

use hgw_direct::heads::{Member, candidates, digest};
use hgw_direct::tells_sends;
use tokio::time::timeout;

use crate::eras;
use crate::keeper;
use crate::proof;
use crate::shared::Node;

use super::NEWS_WAIT;
use super::heard::heard_since;
use super::message::{News, Tell};

/// Longest address list that is sent. A longer one includes nodes that do not know their hub yet.
const MOST_OTHERS: usize = 41;

/// Returns what changed since the sender's last poll, and waits for a change if there is none.
pub(super) async fn news(node: &Node, request: &Tell) -> News {
    let began = node.now();
    if has_nothing(node, request) {
        // After the timeout the response is sent without a change.
        let _ = timeout(NEWS_WAIT, node.update_available.notified()).await;
    }
    let (heard, changed) = node.placement_changes.borrow().since(request.heard);
    let engines = changed.iter().filter_map(|id| keeper::placement_of(node, id)).collect();
    let (list, catalog, nodes) = {
        let state = node.state.borrow();
        let list = state.list_changes.since(&state.engines, Some(request.list));
        (list, version(node), state.nodes)
    };
    News {
        keeper: node.holding.borrow().leader.clone(),
        heard,
        engines,
        list,
        era: eras::to_report(node),
        catalog,
        age_ms: node.word_age(),
        held_ms: node.now().saturating_sub(began),
        nodes,
        others: others(node, request),
        heads: heads(node, request),
        children: node.children.count(),
        renewed: node.last_renewal(),
        begun: begun(node),
        loads: heard_since(node, 0, Some(&request.asked)),
        proof: proof::told(node),
        catalog_at: node.catalog_position.get(),
    }
}

fn has_nothing(node: &Node, request: &Tell) -> bool {
    let list_is_current = node.state.borrow().list_changes.has_nothing_since(Some(request.list));
    let placements_are_current = node.placement_changes.borrow().has_nothing_since(request.heard);
    list_is_current && placements_are_current && version(node) <= request.catalog
}

pub(super) fn version(node: &Node) -> u64 {
    node.state.borrow().catalog.as_ref().map_or(0, |c| c.version)
}

/// Ages of the loads from the weight store, as started here or reported by the leader.
fn begun(node: &Node) -> Vec<u64> {
    if node.holding.borrow().is_mine() {
        return keeper::load_ages(node);
    }
    let (now, state) = (node.now(), node.state.borrow());
    let begun = state.leader_loads.iter().flat_map(|(_, begun)| begun);
    begun.map(|at| now.saturating_sub(*at)).collect()
}

/// Addresses of the peers that exchange datagrams, if the sender knows others.
fn others(node: &Node, request: &Tell) -> Option<Vec<std::net::SocketAddr>> {
    let exchanges = tells_sends(node.state.borrow().nodes) || node.holding.borrow().is_mine();
    let should_send = exchanges && request.others != node.sends.digest();
    should_send.then(|| node.sends.others()).filter(|others| others.len() <= MOST_OTHERS)
}

/// Hub candidates of the sender's domain, if the sender knows others.
fn heads(node: &Node, request: &Tell) -> Option<Vec<Member>> {
    let members = node.members.borrow();
    let heads = if !members.is_empty() {
        candidates(&members, &request.domain)
    } else if node.settings.borrow().domain == request.domain {
        node.heads.borrow().candidates().to_vec()
    } else {
        return None;
    };
    (digest(&heads) != request.heads).then_some(heads)
}
