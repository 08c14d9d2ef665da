//! Registers this node in the store and counts the nodes that share budgets and connections.

use std::time::Duration;

use hgw_direct::hubs::{Member, NodeDirectory};
use hgw_direct::{Millis, broadcasts_sends};
use tokio::time::sleep;

use crate::backoff::wait_to_retry;
use crate::follow::wait_for_first_update;
use crate::shared::Node;

const COUNT_INTERVAL_MS: Millis = 10_000;

/// Interval of a new leader's first counts: nodes that started together may register just after a
/// count.
const FIRST_COUNT_INTERVAL_MS: Millis = 1_000;

/// Number of such counts.
const FAST_COUNTS: u32 = 3;

/// Pause before a failed registration is retried.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Registers this node, and counts the nodes if it is the leader or there is none, until the
/// process ends.
pub(crate) async fn register_and_count(node: Node) {
    let (mut registered, mut counts_done, mut counted_at) = (register(&node).await, 0, None);
    let mut era = node.era.get().era();
    let mut was_leader = false;
    wait_for_first_update(&node).await;
    loop {
        if !registered {
            sleep(REGISTER_RETRY_PAUSE).await;
            registered = register(&node).await;
        }
        // A store restored from a backup may have lost the registration.
        let current_era = node.era.get().era();
        if std::mem::replace(&mut era, current_era) != current_era {
            registered = register(&node).await;
            (counts_done, counted_at) = (0, None);
        }
        let is_leader = node.leadership.borrow().is_leader();
        if is_leader && !was_leader {
            (counts_done, counted_at) = (0, None);
        }
        was_leader = is_leader;
        let pause =
            if counts_done < FAST_COUNTS { FIRST_COUNT_INTERVAL_MS } else { COUNT_INTERVAL_MS };
        let is_due =
            counted_at.is_none_or(|counted_at| node.now().saturating_sub(counted_at) >= pause);
        // Only the leader counts. While there is no leader, the last count remains in use.
        let should_count =
            is_leader || node.directory.borrow().is_empty() && !node.has_leader_updates();
        if registered && is_due && should_count {
            counted_at = Some(node.now());
            match count_nodes(&node).await {
                true => counts_done += 1,
                false => wait_to_retry(&node).await,
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn register(node: &Node) -> bool {
    let member = {
        let settings = node.settings.borrow();
        Member {
            node: settings.node.clone(),
            addr: settings.peer_addr,
            domain: settings.domain.clone(),
            cpu_share: settings.cpu_share,
        }
    };
    let entry = serde_json::to_vec(&member).expect("a member is valid JSON");
    node.protocols.store.register_node(&member.node, entry.into()).await.is_ok()
}

async fn count_nodes(node: &Node) -> bool {
    let Ok(nodes) = node.protocols.store.registered_nodes().await else { return false };
    // An entry that cannot be parsed is from another version of the program and still counts.
    let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
    let members = nodes.iter().filter_map(|(_, entry)| serde_json::from_slice(entry).ok());
    let members: Vec<Member> = members.collect();
    node.state.borrow_mut().nodes = count.max(1);
    if broadcasts_sends(count) {
        node.peer_socket.set_peers(members.iter().map(|m| m.addr).collect());
    }
    let directory = NodeDirectory::new(&members);
    let hub_candidates = directory.candidates(&node.settings.borrow().domain).to_vec();
    node.hubs.borrow_mut().set_candidates(hub_candidates);
    *node.directory.borrow_mut() = directory;
    true
}
