//! Limits how often a node retries calls to a store that does not respond.

use std::cell::Cell;
use std::time::Duration;

use hgw_direct::Millis;
use rand::random;
use tokio::time::sleep;

use crate::shared::Node;

/// Shortest pause after a failed call; the longest is twice that, so that nodes do not retry in
/// step. The store counts refused calls against its rate limit.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Nodes behind one hub that together retry as often as the hub itself.
const NODES_RETRYING_AS_ONE: u32 = 4;

/// Maximum factor by which nodes behind a hub stretch the pause.
const MAX_PAUSE_FACTOR: u32 = 12;

/// Interval at which a waiting node checks whether the store is back.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// Earliest time at which any task of this node retries.
    next_retry_at: Cell<Millis>,
    /// Nodes that poll the same hub as this one.
    siblings: Cell<u32>,
}

impl Backoff {
    /// Sets the number of nodes that poll the same hub.
    pub(crate) fn set_siblings(&self, count: u32) {
        self.siblings.set(count);
    }
}

/// Waits after a failed call to the store.
///
/// The pauses keep many nodes from overloading a store that is down. The leader and the hubs retry
/// at a constant rate. Nodes behind a hub get its updates and retry less often, in case the store
/// refuses only the hub. The tasks of a node take turns, because one response shows all of them
/// that the store is back.
pub(crate) async fn wait_to_retry(node: &Node) {
    let (failed_at, pause) = (node.now(), retry_pause(node));
    let is_leader = node.leadership.borrow().is_leader();
    let backoff = &node.backoff;
    let own_retry_at = failed_at + pause.as_millis() as Millis;
    backoff.next_retry_at.set(backoff.next_retry_at.get().max(own_retry_at));
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        if node.has_recent_leader_updates() || node.store_responded_at.get() > failed_at {
            return;
        }
        if now >= if is_leader { own_retry_at } else { backoff.next_retry_at.get() } {
            backoff.next_retry_at.set(now + pause.as_millis() as Millis);
            return;
        }
    }
}

/// Pause after a failed call, longer when many nodes poll the same hub.
pub(crate) fn retry_pause(node: &Node) -> Duration {
    let siblings = if node.has_hub() { node.backoff.siblings.get() } else { 0 };
    let factor = siblings.div_ceil(NODES_RETRYING_AS_ONE).clamp(1, MAX_PAUSE_FACTOR);
    (MIN_RETRY_PAUSE * factor).mul_f64(1.0 + random::<f64>())
}
