//! What happens on a caller's connection, by which it is kept or closed.

use std::cell::Cell;
use std::time::Duration;

use derive_more::Display;
use hgw_direct::{ConnectionLimits, IdleConnection, Millis};

use crate::clock::boot_time;
use crate::shared::Node;

/// Idle time of a connection after which a stopping node closes it: the caller of a response that has just ended may be
/// sending its next request.
const STOP_IDLE_TIME: Millis = 300;

/// Limits while there is no configuration.
const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits { idle: 60_000, head: 10_000 };

/// Longest time between two checks, by which a limit that has become shorter, or a head that has begun, is noticed.
const MAX_CHECK_INTERVAL: Millis = 2_000;

/// Why a caller's connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CloseReason {
    /// The node closed it, as there was no request, or only a part of one, for longer than the configuration allows.
    #[display("idle")]
    Idle,
    /// The node closed it, as it stops.
    #[display("stopping")]
    Stopping,
    /// The node closed it unread, as it has as many connections as it may.
    #[display("too many")]
    TooMany,
    /// The node closed it unread, as it runs late and takes only a share of the new connections.
    #[display("late")]
    Late,
    /// It ended between two requests, or after a response that said so.
    #[display("ended")]
    Ended,
    /// It failed, or a response was given up.
    #[display("failed")]
    Failed,
}

/// Activity on one connection. Its times are those of the boot clock: after the machine was suspended, what callers have
/// sent is still on its way.
pub(crate) struct CallerActivity {
    node: Node,
    /// Requests whose response has not been passed on completely.
    open_requests: Cell<u32>,
    idle: Cell<IdleConnection>,
    /// When the next check is planned.
    planned: Cell<Millis>,
    /// Whether the next read asks the socket, whatever the runtime knows of it.
    reads_directly: Cell<bool>,
    closed_for: Cell<Option<CloseReason>>,
}

impl CallerActivity {
    pub(crate) fn begin(node: Node) -> CallerActivity {
        let idle = IdleConnection::new(now(), limits(&node));
        CallerActivity {
            node,
            open_requests: Cell::new(0),
            idle: Cell::new(idle),
            planned: Cell::new(0),
            reads_directly: Cell::new(false),
            closed_for: Cell::new(None),
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

    /// Whether a part of a head has been received.
    pub(crate) fn has_partial_head(&self) -> bool {
        self.idle.get().has_partial_head()
    }

    pub(crate) fn record_received(&self) {
        if self.open_requests.get() > 0 {
            self.update(|idle| idle.record_activity(now()));
        } else {
            self.update(|idle| idle.record_head_bytes(now()));
        }
    }

    pub(crate) fn record_sent(&self) {
        self.update(|idle| idle.record_activity(now()));
    }

    pub(crate) fn begin_request(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.update(IdleConnection::begin_request);
    }

    /// Records that a response has been passed on completely, or has been given up.
    pub(crate) fn end_request(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
        self.idle.set(IdleConnection::new(now(), limits(&self.node)));
    }

    fn update(&self, change: impl FnOnce(&mut IdleConnection)) {
        let mut idle = self.idle.get();
        change(&mut idle);
        self.idle.set(idle);
    }

    /// Plans the next check, and returns the time until then.
    pub(crate) fn plan_check(&self) -> Duration {
        let (now, idle) = (now(), self.idle.get());
        let close_at = if self.open_requests.get() > 0 {
            Millis::MAX
        } else if self.closes_soon() {
            idle.last_active() + STOP_IDLE_TIME
        } else {
            idle.close_at(limits(&self.node))
        };
        let planned = close_at.clamp(now, now + MAX_CHECK_INTERVAL);
        self.planned.set(planned);
        Duration::from_millis(planned - now)
    }

    /// Whether the node stops and no part of a request is there.
    fn closes_soon(&self) -> bool {
        self.node.shutdown.closing.get() && !self.has_partial_head()
    }

    /// Why the connection is to be closed unless something has arrived; none if it is kept.
    pub(crate) fn reason_to_close(&self) -> Option<CloseReason> {
        if self.open_requests.get() > 0 {
            return None;
        }
        if self.closes_soon() {
            return (self.idle_time() >= STOP_IDLE_TIME).then_some(CloseReason::Stopping);
        }
        let mut idle = self.idle.get();
        let closes = idle.close_or_extend(now(), self.planned.get(), limits(&self.node));
        self.idle.set(idle);
        closes.then_some(CloseReason::Idle)
    }

    /// Makes the next read ask the socket itself: after the process did not run for a while, the runtime may not know yet
    /// what has arrived.
    pub(crate) fn request_direct_read(&self) {
        self.reads_directly.set(true);
    }

    pub(crate) fn take_direct_read(&self) -> bool {
        self.reads_directly.take()
    }

    /// Records why the connection ends; the first reason counts.
    pub(crate) fn record_end(&self, reason: CloseReason) {
        self.closed_for.set(self.closed_for.get().or(Some(reason)));
    }

    pub(crate) fn closed_for(&self) -> Option<CloseReason> {
        self.closed_for.get()
    }
}

fn now() -> Millis {
    boot_time().as_millis() as Millis
}

fn limits(node: &Node) -> ConnectionLimits {
    let state = node.state.borrow();
    state.catalog.as_ref().map_or(DEFAULT_LIMITS, |catalog| ConnectionLimits {
        idle: catalog.limits.idle_timeout.as_millis() as Millis,
        head: catalog.limits.head_timeout.as_millis() as Millis,
    })
}
