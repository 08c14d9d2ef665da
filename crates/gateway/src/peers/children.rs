//! Nodes that poll this one for updates.

use std::cell::RefCell;
use std::net::SocketAddr;

use hgw_direct::Millis;
use indexmap::IndexMap;

/// Several times the duration of a poll.
const CHILD_TIMEOUT_MS: Millis = 2_500;

/// Nodes that poll this one.
#[derive(Debug, Default)]
pub(crate) struct Children(RefCell<IndexMap<SocketAddr, Child>>);

#[derive(Debug, Clone, Copy)]
struct Child {
    /// Time of its last request.
    polled_at: Millis,
    /// Whether it does not reach the engines that the leader gives orders to.
    cannot_lead: bool,
}

impl Children {
    /// Records a request and forgets nodes that stopped polling.
    pub(crate) fn record_poll(&self, node: SocketAddr, cannot_lead: bool, now: Millis) {
        let mut children = self.0.borrow_mut();
        children.insert(node, Child { polled_at: now, cannot_lead });
        children.retain(|_, child| now.saturating_sub(child.polled_at) < CHILD_TIMEOUT_MS);
    }

    /// Whether one of them can lead, as far as known.
    pub(crate) fn can_lead(&self, now: Millis) -> bool {
        self.0.borrow().values().any(|child| {
            !child.cannot_lead && now.saturating_sub(child.polled_at) < CHILD_TIMEOUT_MS
        })
    }

    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.0.borrow().keys().copied().collect()
    }

    /// Nodes that can lead, as far as known.
    pub(crate) fn able_to_lead(&self) -> Vec<SocketAddr> {
        let children = self.0.borrow();
        children.iter().filter(|(_, child)| !child.cannot_lead).map(|(addr, _)| *addr).collect()
    }

    pub(crate) fn contains(&self, node: SocketAddr) -> bool {
        self.0.borrow().contains_key(&node)
    }

    /// Whether any node polls this one.
    pub(crate) fn is_polled(&self, now: Millis) -> bool {
        self.recent_count(now) > 0
    }

    /// Number of nodes that poll this one.
    pub(crate) fn recent_count(&self, now: Millis) -> u32 {
        self.count_within(CHILD_TIMEOUT_MS, now)
    }

    /// Number of nodes with a request within the last `age` milliseconds.
    pub(crate) fn count_within(&self, age: Millis, now: Millis) -> u32 {
        let children = self.0.borrow();
        let recent = children.values().filter(|c| now.saturating_sub(c.polled_at) < age);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.0.borrow().len()).unwrap_or(u32::MAX)
    }
}
