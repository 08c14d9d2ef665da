//! The planned stop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::Millis;
use hgw_events::{Event, emit};
use tokio::sync::Notify;
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

/// How far the planned stop has come.
#[derive(Debug, Default)]
pub(crate) struct Stopping {
    /// When it began.
    pub(crate) since: Cell<Option<Millis>>,
    /// Whether connections without a request are closed now.
    pub(crate) closing: Cell<bool>,
    /// Told when either changes.
    pub(crate) changed: Notify,
    /// Requests that are being served.
    pub(crate) active: Cell<u32>,
    /// Connections of callers.
    pub(crate) connections: Cell<usize>,
}

/// A request that is being served, until this is dropped.
pub(crate) struct Active(Node);

impl Active {
    pub(crate) fn begin(node: &Node) -> Active {
        node.stop.active.set(node.stop.active.get() + 1);
        Active(Rc::clone(node))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.stop.active.set(self.0.stop.active.get() - 1);
        if self.0.is_stopping() {
            self.0.stop.changed.notify_waiters();
        }
    }
}
