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
    let (mut announced, mut counted, mut at) = (announce(&node).await, 0, None);
    let mut era = node.era.get().era();
    let mut kept = false;
    until_told(&node).await;
    loop {
        if !announced {
            sleep(ANNOUNCE_AGAIN).await;
            announced = announce(&node).await;
        }
        // A store restored from a backup may have lost the registration.
        let now_in = node.era.get().era();
        if std::mem::replace(&mut era, now_in) != now_in {
            announced = announce(&node).await;
            (counted, at) = (0, None);
        }
        let keeps = node.holding.borrow().is_mine();
        if keeps && !kept {
            (counted, at) = (0, None);
        }
        kept = keeps;
        let pause = if counted < FIRST { FIRST_COUNTS } else { COUNT };
        let due = at.is_none_or(|at| node.now().saturating_sub(at) >= pause);
        // Only the leader counts. While there is no leader, the last count remains in use.
        let counts = keeps || node.members.borrow().is_empty() && !node.was_followed();
        if announced && due && counts {
            at = Some(node.now());
            match read(&node).await {
                true => counted += 1,
                false => after_failure(&node).await,
            }
        }
        sleep(LOOK).await;
    }
}

async fn announce(node: &Node) -> bool {
    let me = {
        let settings = node.settings.borrow();
        Member {
            node: settings.node.clone(),
            addr: settings.peers,
            domain: settings.domain.clone(),
            processor: settings.processor,
        }
    };
    let entry = serde_json::to_vec(&me).expect("a member is valid JSON");
    node.dialects.store.announce(&me.node, entry.into()).await.is_ok()
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
