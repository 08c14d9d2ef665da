//! Registers this node in the store and counts the nodes that share budgets and connections.

use std::time::Duration;

use hgw_direct::heads::{Member, candidates};
use hgw_direct::{Millis, tells_sends};
use tokio::time::sleep;

use crate::backoff::after_failure;
use crate::follow::until_told;
use crate::shared::Node;

const COUNT: Millis = 10_000;

/// Interval of a new leader's first counts: nodes that started together may register just after a
/// count.
const FIRST_COUNTS: Millis = 1_000;

/// Number of such counts.
const FIRST: u32 = 3;

/// Pause before a failed registration is retried.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(1_000);

const LOOK: Duration = Duration::from_millis(250);

/// Registers this node, and counts the nodes if it is the leader or there is none, until the
/// process ends.
pub(crate) async fn count(node: Node) {
    let (mut announced, mut counts_done, mut counted_at) = (announce(&node).await, 0, None);
    let mut era = node.era.get().era();
    let mut was_leader = false;
    until_told(&node).await;
    loop {
        if !announced {
            sleep(ANNOUNCE_AGAIN).await;
            announced = announce(&node).await;
        }
        // A store restored from a backup may have lost the registration.
        let current_era = node.era.get().era();
        if std::mem::replace(&mut era, current_era) != current_era {
            announced = announce(&node).await;
            (counts_done, counted_at) = (0, None);
        }
        let is_leader = node.holding.borrow().is_mine();
        if is_leader && !was_leader {
            (counts_done, counted_at) = (0, None);
        }
        was_leader = is_leader;
        let pause = if counts_done < FIRST { FIRST_COUNTS } else { COUNT };
        let due =
            counted_at.is_none_or(|counted_at| node.now().saturating_sub(counted_at) >= pause);
        // Only the leader counts. While there is no leader, the last count remains in use.
        let should_count = is_leader || node.members.borrow().is_empty() && !node.was_followed();
        if announced && due && should_count {
            counted_at = Some(node.now());
            match read(&node).await {
                true => counts_done += 1,
                false => after_failure(&node).await,
            }
        }
        sleep(LOOK).await;
    }
}

async fn announce(node: &Node) -> bool {
    let member = {
        let settings = node.settings.borrow();
        Member {
            node: settings.node.clone(),
            addr: settings.peers,
            domain: settings.domain.clone(),
            processor: settings.processor,
        }
    };
    let entry = serde_json::to_vec(&member).expect("a member is valid JSON");
    node.dialects.store.announce(&member.node, entry.into()).await.is_ok()
}

async fn read(node: &Node) -> bool {
    let Ok(nodes) = node.dialects.store.nodes().await else { return false };
    // An entry that cannot be parsed is from another version of the program and still counts.
    let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
    let members = nodes.iter().filter_map(|(_, entry)| serde_json::from_slice(entry).ok());
    let members: Vec<Member> = members.collect();
    node.state.borrow_mut().nodes = count.max(1);
    if tells_sends(count) {
        node.sends.know(members.iter().map(|m| m.addr).collect());
    }
    let own = candidates(&members, &node.settings.borrow().domain);
    node.heads.borrow_mut().know(own);
    *node.members.borrow_mut() = members;
    true
}
