//! Nodes that poll this one for updates.

use std::cell::RefCell;
use std::net::SocketAddr;

use hgw_direct::Millis;
use indexmap::IndexMap;

/// Several times the duration of a poll.
const CHILD_TIMEOUT_MS: Millis = 2_500;

/// Nodes that poll this one, and the time of their last request.
#[derive(Debug, Default)]
pub(crate) struct Children(RefCell<IndexMap<SocketAddr, Millis>>);

impl Children {
    /// Records a request and forgets nodes that stopped polling.
    pub(crate) fn record_poll(&self, node: SocketAddr, now: Millis) {
        let mut last_polls = self.0.borrow_mut();
        last_polls.insert(node, now);
        last_polls.retain(|_, at| now.saturating_sub(*at) < CHILD_TIMEOUT_MS);
    }

    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.0.borrow().keys().copied().collect()
    }

    pub(crate) fn contains(&self, node: SocketAddr) -> bool {
        self.0.borrow().contains_key(&node)
    }

    /// Whether any node polls this one.
    pub(crate) fn is_polled(&self, now: Millis) -> bool {
        self.count_within(CHILD_TIMEOUT_MS, now) > 0
    }

    /// Number of nodes with a request within the last `age` milliseconds.
    pub(crate) fn count_within(&self, age: Millis, now: Millis) -> u32 {
        let last_polls = self.0.borrow();
        let recent = last_polls.values().filter(|at| now.saturating_sub(**at) < age);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.0.borrow().len()).unwrap_or(u32::MAX)
    }
}
