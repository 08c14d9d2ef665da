//! What happens on a caller's connection, by which it is kept or closed.

use std::cell::Cell;
use std::time::Duration;

use derive_more::Display;
use hgw_direct::{IdleConnection, Millis};
use tokio::sync::Notify;

use crate::clock::boot_time;
use crate::shared::Node;

/// Idle time of a connection after which a stopping node closes it: the caller of a response that has just ended may be
/// sending its next request.
const STOP_IDLE_TIME: Millis = 300;

/// Idle limit while there is no configuration.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Interval between checks of a connection with open requests.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why this node closes a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CloseReason {
    #[display("idle")]
    Idle,
    #[display("stopping")]
    Stopping,
    /// The node has as many connections as it may.
    #[display("too many")]
    TooMany,
    /// The node runs late and takes only a share of the new connections.
    #[display("late")]
    Late,
}

/// Activity on one connection. Its times are those of the boot clock: after the machine was suspended, what callers have
/// sent is still on its way.
pub(crate) struct CallerActivity {
    node: Node,
    /// Requests whose response has not been sent completely.
    open_requests: Cell<u32>,
    idle: Cell<IdleConnection>,
    /// Whether the next read looks at the socket whatever the runtime knows of it.
    must_look: Cell<bool>,
    closed_for: Cell<Option<CloseReason>>,
    /// Notified when the limit of the connection has become shorter.
    pub(crate) limit_fell: Notify,
}

impl CallerActivity {
    pub(crate) fn begin(node: Node) -> CallerActivity {
        let idle = IdleConnection::new(now(), idle_limit(&node));
        CallerActivity {
            node,
            open_requests: Cell::new(0),
            idle: Cell::new(idle),
            must_look: Cell::new(false),
            closed_for: Cell::new(None),
            limit_fell: Notify::new(),
        }
    }

    pub(crate) fn node(&self) -> &Node {
        &self.node
    }

    pub(crate) fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    pub(crate) fn last_active(&self) -> Millis {
        self.idle.get().last_active()
    }

    pub(crate) fn idle_time(&self) -> Millis {
        now().saturating_sub(self.last_active())
    }

    pub(crate) fn record_bytes(&self) {
        let mut idle = self.idle.get();
        idle.record_bytes(now());
        self.idle.set(idle);
    }

    pub(crate) fn begin_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Records that a response is complete or has been given up.
    pub(crate) fn end_request(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
        let (now, limit) = (now(), idle_limit(&self.node));
        let mut idle = self.idle.get();
        let planned = idle.close_at(limit);
        idle.record_use(now, limit);
        self.idle.set(idle);
        if idle.close_at(limit) < planned {
            self.limit_fell.notify_one();
        }
    }

    /// Time until the connection is to be checked.
    pub(crate) fn next_check(&self) -> Duration {
        if self.open_requests.get() > 0 {
            return BUSY_CHECK_INTERVAL;
        }
        let check_at = if self.node.shutdown.closing.get() {
            self.last_active() + STOP_IDLE_TIME
        } else {
            self.idle.get().close_at(idle_limit(&self.node))
        };
        Duration::from_millis(check_at.saturating_sub(now()))
    }

    /// Why the connection is to be closed unless something has arrived; none if it is kept.
    pub(crate) fn reason_to_close(&self) -> Option<CloseReason> {
        if self.open_requests.get() > 0 {
            return None;
        }
        if self.node.shutdown.closing.get() {
            return (self.idle_time() >= STOP_IDLE_TIME).then_some(CloseReason::Stopping);
        }
        let mut idle = self.idle.get();
        let may_close = idle.may_close(now(), idle_limit(&self.node));
        self.idle.set(idle);
        may_close.then_some(CloseReason::Idle)
    }

    /// Has the next read look at the socket itself: after the process did not run for a while, the runtime may not know yet
    /// what has arrived.
    pub(crate) fn request_look(&self) {
        self.must_look.set(true);
    }

    pub(crate) fn take_look_request(&self) -> bool {
        self.must_look.take()
    }

    /// Records that this node closes the connection.
    pub(crate) fn record_close(&self, reason: CloseReason) {
        self.closed_for.set(Some(reason));
    }

    pub(crate) fn closed_for(&self) -> Option<CloseReason> {
        self.closed_for.get()
    }
}

fn now() -> Millis {
    boot_time().as_millis() as Millis
}

fn idle_limit(node: &Node) -> Millis {
    let limit = node.state.borrow().catalog.as_ref().map(|catalog| catalog.limits.idle_timeout);
    limit.unwrap_or(DEFAULT_IDLE_LIMIT).as_millis() as Millis
}
