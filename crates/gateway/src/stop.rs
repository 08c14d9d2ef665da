//! The planned stop.

use std::time::Duration;

use hgw_events::{Event, emit};
use tokio::time::{Instant, sleep, sleep_until};

use crate::holder;
use crate::shared::Node;

/// Time for which callers are still sent here: the balancer asks once a second and takes a node out after
/// two misses, and what it sent before has still to arrive.
const STILL_SENT: Duration = Duration::from_millis(3_300);

/// Time after which a request is sent to another node by refusing it: it could not be sure to end in time.
const SERVED_FOR: Duration = Duration::from_millis(2_700);

/// Whether a request that comes now is refused because this node is about to end.
pub(crate) fn takes_no_more(node: &Node) -> bool {
    let since = node.stop.since.get();
    since.is_some_and(|since| node.now() - since > SERVED_FOR.as_millis() as u64)
}

/// Part of the grace that is kept for ending: what has not ended by then is broken off.
const LAST: Duration = Duration::from_millis(400);

/// Stops as planned: no callers are asked for, those that come are served, kept connections are closed
/// once no more come, and the process ends with its last request.
pub(crate) async fn stop(node: &Node) {
    let name = node.settings.borrow().node.clone();
    let grace = node.settings.borrow().grace;
    let began = Instant::now();
    let until = began + grace.saturating_sub(LAST);
    node.stop.since.set(Some(node.now()));
    node.stop.changed.notify_waiters();
    emit(Event::ProcessStopping, &[("node", &name)]);
    tokio::task::spawn_local(holder::release(Node::clone(node)));
    sleep_until((began + STILL_SENT).min(until)).await;
    node.stop.closing.set(true);
    node.stop.changed.notify_waiters();
    while Instant::now() < until && (node.stop.active.get() > 0 || node.stop.connections.get() > 0)
    {
        sleep(Duration::from_millis(20)).await;
    }
}
