//! What a node tells those that ask it for what is new: the keeper all others, or a head the nodes of its domain.

use hgw_direct::broadcasts_sends;
use hgw_direct::hubs::{Member, candidates, digest};
use tokio::time::timeout;

use crate::eras;
use crate::keeper;
use crate::proof;
use crate::shared::Node;

use super::NEWS_WAIT;
use super::heard::heard_since;
use super::message::{News, Tell};

/// Addresses that are told: more are no heads, but nodes that have not found theirs yet.
const MOST_OTHERS: usize = 41;

/// What is new since a node asked last; waits a while for something.
pub(super) async fn news(node: &Node, tell: &Tell) -> News {
    let began = node.now();
    if has_nothing(node, tell) {
        // Without news the wait ends by itself.
        let _ = timeout(NEWS_WAIT, node.news.notified()).await;
    }
    let (heard, changed) = node.placements.borrow().since(tell.heard);
    let engines = changed.iter().filter_map(|id| keeper::told(node, id)).collect();
    let (list, catalog, nodes) = {
        let state = node.state.borrow();
        let list = state.listing.changes_since(&state.engines, Some(tell.list));
        (list, version(node), state.nodes)
    };
    News {
        keeper: node.holding.borrow().keeper.clone(),
        heard,
        engines,
        list,
        era: eras::told(node),
        catalog,
        age_ms: node.word_age(),
        held_ms: node.now().saturating_sub(began),
        nodes,
        others: others(node, tell),
        heads: heads(node, tell),
        children: node.children.count(),
        renewed: node.last_renewal(),
        begun: begun(node),
        loads: heard_since(node, 0, Some(&tell.asked)),
        proof: proof::told(node),
        catalog_at: node.catalog_at.get(),
    }
}

fn has_nothing(node: &Node, tell: &Tell) -> bool {
    let same_list = node.state.borrow().listing.is_up_to_date(Some(tell.list));
    let same_placements = node.placements.borrow().has_nothing_since(tell.heard);
    same_list && same_placements && version(node) <= tell.catalog
}

/// The configuration that this node has.
pub(super) fn version(node: &Node) -> u64 {
    node.state.borrow().catalog.as_ref().map_or(0, |c| c.version)
}

/// When loads from the weight store began, as the keeper told, or as this node gave them.
fn begun(node: &Node) -> Vec<u64> {
    if node.holding.borrow().is_mine() {
        return keeper::begun_ages(node);
    }
    let (now, state) = (node.now(), node.state.borrow());
    let begun = state.begun.iter().flat_map(|(_, begun)| begun);
    begun.map(|at| now.saturating_sub(*at)).collect()
}

/// The addresses of the nodes that tell each other, where one knows others: all, or the heads.
fn others(node: &Node, tell: &Tell) -> Option<Vec<std::net::SocketAddr>> {
    let tells = broadcasts_sends(node.state.borrow().nodes) || node.holding.borrow().is_mine();
    let wanted = tells && tell.others != node.sends.digest();
    wanted.then(|| node.sends.others()).filter(|others| others.len() <= MOST_OTHERS)
}

/// The heads of the domain of the node that asks, where it knows others.
fn heads(node: &Node, tell: &Tell) -> Option<Vec<Member>> {
    let members = node.members.borrow();
    let heads = if !members.is_empty() {
        candidates(&members, &tell.domain)
    } else if node.settings.borrow().domain == tell.domain {
        node.heads.borrow().candidates().to_vec()
    } else {
        return None;
    };
    (digest(&heads) != tell.heads).then_some(heads)
}
