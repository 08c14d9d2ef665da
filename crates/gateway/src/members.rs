//! The nodes that share budgets and connections: each makes itself known in the store, and the keeper counts them.

use std::time::Duration;

use hgw_direct::hubs::{Member, candidates};
use hgw_direct::{Millis, broadcasts_sends};
use tokio::time::sleep;

use crate::backoff::after_failure;
use crate::follow::until_told;
use crate::shared::Node;

/// Time between two counts.
const COUNT: Millis = 10_000;

/// The same for the first counts of a node that gives orders: all may have started at once, and some made themselves
/// known after it had counted.
const FIRST_COUNTS: Millis = 1_000;

/// How many those are.
const FIRST: u32 = 3;

/// Pause before a node makes itself known that could not.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(1_000);

/// Time between two looks whether it is time to count.
const LOOK: Duration = Duration::from_millis(250);

/// Makes this node known, and counts the others while nobody counts for it, until the process ends.
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
        // What was made known may be lost with what the store had before.
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
        // A keeper counts for all; while there is none, the last count stands.
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
            cpu_share: settings.processor,
        }
    };
    let entry = serde_json::to_vec(&me).expect("a member can be written as JSON");
    node.dialects.store.announce(&me.node, entry.into()).await.is_ok()
}

async fn read(node: &Node) -> bool {
    let Ok(nodes) = node.dialects.store.nodes().await else { return false };
    // An entry that cannot be read is of another version of the program, and counts.
    let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
    let members = nodes.iter().filter_map(|(_, entry)| serde_json::from_slice(entry).ok());
    let members: Vec<Member> = members.collect();
    node.state.borrow_mut().nodes = count.max(1);
    if broadcasts_sends(count) {
        node.sends.know(members.iter().map(|m| m.addr).collect());
    }
    let own = candidates(&members, &node.settings.borrow().domain);
    node.heads.borrow_mut().set_candidates(own);
    *node.members.borrow_mut() = members;
    true
}
