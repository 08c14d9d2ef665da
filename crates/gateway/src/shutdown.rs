//! Planned shutdown.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::Millis;
use hgw_events::{Event, emit};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use crate::election;
use crate::shared::Node;

/// Time for which the load balancer may still send callers here: it checks once a second, removes a
/// node after two failures, and requests already sent have to arrive.
const BALANCER_DELAY: Duration = Duration::from_millis(3_300);

/// Time after which no request is sent to an engine for the first time, because it may not complete before the process
/// ends.
const SERVE_TIME: Duration = Duration::from_millis(2_700);

/// Whether requests that have not been sent are refused because the process is about to end.
pub(crate) fn refuses_requests(node: &Node) -> bool {
    let started_at = node.shutdown.started_at.get();
    started_at.is_some_and(|started_at| node.now() - started_at >= SERVE_TIME.as_millis() as u64)
}

/// Part of the grace period that is kept for closing; requests that still run then are ended.
const CLOSE_TIME: Duration = Duration::from_millis(400);

/// Part of it in which callers take the responses to these requests.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Shuts down as planned: fails the readiness check, serves the callers that still arrive, then
/// closes idle connections and returns with the last request.
pub(crate) async fn shut_down(node: &Node) {
    let name = node.settings.borrow().node.clone();
    let grace = node.settings.borrow().shutdown_grace;
    let started_at = Instant::now();
    let deadline = started_at + grace.saturating_sub(CLOSE_TIME);
    node.shutdown.started_at.set(Some(node.now()));
    node.shutdown.changed.notify_waiters();
    emit(Event::ProcessStopping, &[("node", &name)]);
    tokio::task::spawn_local(election::release(Node::clone(node)));
    tokio::task::spawn_local(end_sending(Node::clone(node)));
    sleep_until((started_at + BALANCER_DELAY).min(deadline)).await;
    node.shutdown.closing.set(true);
    node.shutdown.changed.notify_waiters();
    wait_until_idle(node, deadline).await;
    // Callers that have connected meanwhile are served, so that the end of the process resets nobody.
    node.shutdown.listening.set(Listening::Ending);
    node.shutdown.changed.notify_waiters();
    while Instant::now() < deadline && node.shutdown.listening.get() != Listening::Ended {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
    wait_until_idle(node, deadline).await;
    node.shutdown.ending.set(true);
    node.shutdown.changed.notify_waiters();
    wait_until_idle(node, deadline + LAST_RESPONSES_TIME).await;
}

/// Tells requests that wait to be sent once they no longer will be.
async fn end_sending(node: Node) {
    while !refuses_requests(&node) {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
    node.shutdown.changed.notify_waiters();
}

/// Interval between checks whether anything is still open.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until no request and no connection is open.
async fn wait_until_idle(node: &Node, deadline: Instant) {
    let is_idle =
        || node.shutdown.active_requests.get() == 0 && node.shutdown.connections.get() == 0;
    while Instant::now() < deadline && !is_idle() {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// Whether new connections of callers are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Listening {
    #[default]
    Accepting,
    /// Those that have been made already are taken.
    Ending,
    Ended,
}

/// Progress of the planned shutdown.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    pub(crate) started_at: Cell<Option<Millis>>,
    /// Whether idle connections are closed.
    pub(crate) closing: Cell<bool>,
    /// Whether requests that still run are ended.
    pub(crate) ending: Cell<bool>,
    listening: Cell<Listening>,
    /// Notified when one of the above changes, and when requests that have not been sent begin to be refused.
    pub(crate) changed: Notify,
    /// Requests being served.
    pub(crate) active_requests: Cell<u32>,
    /// Open connections of callers.
    pub(crate) connections: Cell<usize>,
}

impl Shutdown {
    /// Returns once new connections of callers are no longer to be accepted.
    pub(crate) async fn until_listening_ends(&self) {
        self.until(|| self.listening.get() != Listening::Accepting).await;
    }

    /// Returns once requests that still run are to be ended.
    pub(crate) async fn until_ending(&self) {
        self.until(|| self.ending.get()).await;
    }

    /// Returns once this holds, which is asked whenever the progress changes.
    pub(crate) async fn until(&self, holds: impl Fn() -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds() {
                return;
            }
            changed.await;
        }
    }

    /// Records that the listener for callers is closed and all connections that it had are taken.
    pub(crate) fn record_listening_ended(&self) {
        self.listening.set(Listening::Ended);
    }
}

/// Counts a request as active until dropped.
pub(crate) struct ActiveRequest(Node);

impl ActiveRequest {
    pub(crate) fn begin(node: &Node) -> ActiveRequest {
        node.shutdown.active_requests.set(node.shutdown.active_requests.get() + 1);
        ActiveRequest(Rc::clone(node))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.shutdown.active_requests.set(self.0.shutdown.active_requests.get() - 1);
        if self.0.is_stopping() {
            self.0.shutdown.changed.notify_waiters();
        }
    }
}
