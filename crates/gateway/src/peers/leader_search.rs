//! Asks other nodes who leads, while this one learns it neither from the store nor from the node that it polls.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use hgw_direct::{Era, LeaderSearch, Millis};
use hgw_events::{Event, emit};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::election::LeaderInfo;
use crate::eras;
use crate::shared::{CatalogMention, Node};

use super::catalog_text::record_catalog_of;
use super::{call, sample};

/// Path at which a node is asked who leads.
pub(super) const LEADER_PATH: &str = "/leader";

/// Interval at which a node checks whether it has to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of the question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Nodes that are asked at a time: the store may turn some of them away too.
const ASKED_AT_A_TIME: usize = 2;

/// What a node knows that one without news lacks. The rest comes with the polls of the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaderResponse {
    leader: Option<LeaderInfo>,
    /// Era of the store and its least age in milliseconds; none in the first era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<(Era, u64)>,
    catalog_version: u64,
}

pub(super) fn leader_response(node: &Node) -> LeaderResponse {
    LeaderResponse {
        leader: node.leadership.borrow().leader.clone(),
        era: eras::to_report(node),
        catalog_version: node.catalog_version(),
    }
}

/// Asks who leads whenever this node has had no news for a lease, until the process ends.
pub(crate) async fn search_leader(node: Node) {
    let mut search = LeaderSearch::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        if search.is_due(node.now(), has_no_news(&node)) {
            let asked = sample(known_nodes(&node), ASKED_AT_A_TIME);
            join_all(asked.into_iter().map(|addr| ask(&node, addr))).await;
        }
    }
}

/// Whether another node may lead by now without this one knowing.
fn has_no_news(node: &Node) -> bool {
    let lease = node.settings.borrow().lease;
    let leadership = node.leadership.borrow();
    if leadership.is_leader() {
        leadership.exclusive_fencing_token(lease).is_none()
    } else {
        node.store_data_age() >= lease.as_millis() as Millis
    }
}

/// All nodes that this one knows but for itself and the one that it polls.
fn known_nodes(node: &Node) -> Vec<SocketAddr> {
    let own_addr = node.settings.borrow().peer_addr;
    let parent = node.parent().map(|(_, addr)| addr);
    let mut known: IndexSet<SocketAddr> = node.peer_socket.addrs().into_iter().collect();
    known.extend(node.children.able_to_lead());
    known.extend(node.hubs.borrow().candidates().iter().map(|candidate| candidate.addr));
    known.extend(node.directory.borrow().outside(&node.settings.borrow().domain));
    known.retain(|addr| *addr != own_addr && Some(*addr) != parent);
    known.into_iter().collect()
}

async fn ask(node: &Node, addr: SocketAddr) {
    let response = call::<_, LeaderResponse>(node, addr, LEADER_PATH, &(), QUESTION_TIMEOUT);
    let Some(response) = response.await else { return };
    eras::record_reported(node, response.era);
    if let Some(leader) = response.leader {
        record_leader(node, addr, leader);
    }
    record_catalog_of(node, addr, response.catalog_version, CatalogMention::LeaderResponse);
}

/// Takes in who leads. This node ceases to lead if another one has claimed the lease since.
fn record_leader(node: &Node, from: SocketAddr, leader: LeaderInfo) {
    let own_name = node.settings.borrow().node.clone();
    let (name, fence) = (leader.node.clone(), leader.fence);
    let mut leadership = node.leadership.borrow_mut();
    if leadership.own_fence().is_some_and(|own| own < fence) {
        leadership.lose_claim(&own_name);
    }
    if leadership.record_reported_leader(leader) {
        emit(
            Event::LeaderReported,
            &[("node", &own_name), ("peer", &from), ("leader", &name), ("term", &fence)],
        );
    }
}
