//! When a node calls the store again that did not answer.

use std::cell::Cell;
use std::time::Duration;

use hgw_direct::Millis;
use rand::random;
use tokio::time::sleep;

use crate::shared::Node;

/// Pause after a call that failed, and up to twice as long, so that nodes that were refused together do not
/// come back together. The store counts refused calls too.
const AFTER_FAILURE: Duration = Duration::from_millis(300);

/// Nodes behind one head that together call as often as the head itself.
const AS_OFTEN_AS_ONE: u32 = 4;

/// Longest that a node behind a head holds back, as a multiple of that pause.
const MOST_CROWD: u32 = 12;

/// Time between two looks whether there is a reason to wait no longer.
const LOOK: Duration = Duration::from_millis(50);

/// When the store is called again.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// Before this time no duty of this node calls.
    next: Cell<Millis>,
    /// Nodes that ask the same head, where this one asks a head.
    siblings: Cell<u32>,
}

impl Backoff {
    /// So many nodes ask the node that this one asks.
    pub(crate) fn siblings(&self, count: u32) {
        self.siblings.set(count);
    }
}

/// Waits after a call to the store that failed.
///
/// Load: the store is away for eight seconds, and 195 nodes called three times each in every half second. The holder and
/// the heads go on calling as often; who is behind a head is told as soon as that was answered, and calls seldom, in
/// case that the store turns the head away. The duties of a node take turns, as one answer tells all of them.
pub(crate) async fn after_failure(node: &Node) {
    let (failed_at, pause) = (node.now(), pause_after_failure(node));
    let keeps = node.holding.borrow().is_mine();
    let backoff = &node.backoff;
    let first = failed_at + pause.as_millis() as Millis;
    backoff.next.set(backoff.next.get().max(first));
    loop {
        sleep(LOOK).await;
        let now = node.now();
        if node.is_followed() || node.store_heard.get() > failed_at {
            return;
        }
        if now >= if keeps { first } else { backoff.next.get() } {
            backoff.next.set(now + pause.as_millis() as Millis);
            return;
        }
    }
}

/// The pause after a call that failed, longer where many nodes ask the same head.
pub(crate) fn pause_after_failure(node: &Node) -> Duration {
    let siblings = if node.has_head() { node.backoff.siblings.get() } else { 0 };
    let crowd = siblings.div_ceil(AS_OFTEN_AS_ONE).clamp(1, MOST_CROWD);
    (AFTER_FAILURE * crowd).mul_f64(1.0 + random::<f64>())
}
