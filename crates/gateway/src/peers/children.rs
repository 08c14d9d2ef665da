//! The nodes that ask this one for what is new.

use std::cell::RefCell;
use std::net::SocketAddr;

use hgw_direct::Millis;
use indexmap::IndexMap;

/// Time after its last question for which a node counts: several times as long as a question waits.
const COUNTS_FOR: Millis = 2_500;

/// Nodes that ask this one, and when they asked last.
#[derive(Debug, Default)]
pub(crate) struct Children(RefCell<IndexMap<SocketAddr, Millis>>);

impl Children {
    /// A node asks.
    pub(crate) fn asks(&self, node: SocketAddr, now: Millis) {
        let mut asked = self.0.borrow_mut();
        asked.insert(node, now);
        asked.retain(|_, at| now.saturating_sub(*at) < COUNTS_FOR);
    }

    /// Their addresses.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.0.borrow().keys().copied().collect()
    }

    /// Whether a node asks.
    pub(crate) fn has(&self, node: SocketAddr) -> bool {
        self.0.borrow().contains_key(&node)
    }

    /// How many have asked within so many milliseconds.
    pub(crate) fn heard_within(&self, age: Millis, now: Millis) -> u32 {
        let asked = self.0.borrow();
        let lately = asked.values().filter(|at| now.saturating_sub(**at) < age);
        u32::try_from(lately.count()).unwrap_or(u32::MAX)
    }

    /// How many ask.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.0.borrow().len()).unwrap_or(u32::MAX)
    }
}
