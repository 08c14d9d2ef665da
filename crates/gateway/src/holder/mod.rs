//! Which node gives orders: the one whose claim is the newest in the store's log.

mod reader;
mod record;

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::LeaderLiveness;
use serde::{Deserialize, Serialize};

use crate::clock::boot_time;
use crate::dialect::Cursor;
use crate::shared::Node;

use record::{EntryKind, entry, valid};

pub(crate) use reader::hold;

/// The node that gives orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Keeper {
    pub(crate) node: String,
    pub(crate) addr: SocketAddr,
    pub(crate) fence: u64,
}

/// What a node knows of the claim.
#[derive(Debug, Default)]
pub(crate) struct Holding {
    /// The newest claim that was not released.
    pub(crate) keeper: Option<Keeper>,
    /// The newest claim that this node has read of.
    newest: Option<u64>,
    /// Where this node's own claim stands, while it holds.
    mine: Option<Cursor>,
    /// When the last acknowledged renewal was sent, by the clock that counts suspended time.
    renewed: Duration,
    /// Where the log ended after it.
    renewed_at: Option<Cursor>,
    /// Whether the holder answers this node, and when it last renewed.
    pub(crate) silence: LeaderLiveness,
    /// When a renewal was last tried.
    tried: Duration,
}

impl Holding {
    /// The fencing number for an order now, where this node may give one.
    ///
    /// A node that stood still finds out here: until it has tried to renew its claim it believes nothing.
    /// Where engines refuse old numbers a holder that cannot reach the store goes on, for nobody can take
    /// over unseen; where they do not, it ends with its lease.
    pub(crate) fn fence(&self, lease: Duration, engines_fence: bool) -> Option<u64> {
        let now = boot_time();
        let renewed = now.saturating_sub(self.renewed) < lease;
        let awake = now.saturating_sub(self.tried) < lease / 2;
        self.mine.filter(|_| awake && (renewed || engines_fence)).and_then(Cursor::fencing_token)
    }

    /// The fencing number under which this node alone may do what no other may do at the same time, where it is sure of
    /// its claim: a successor waits its whole lease.
    pub(crate) fn sure(&self, lease: Duration) -> Option<u64> {
        let is_sure = boot_time().saturating_sub(self.renewed) < lease;
        self.mine.filter(|_| is_sure).and_then(Cursor::fencing_token)
    }

    /// The holder's last renewal, for the other nodes.
    pub(crate) fn last_renewal(&self) -> Option<(Cursor, u64)> {
        let age = boot_time().saturating_sub(self.renewed).as_millis() as u64;
        self.renewed_at.filter(|_| self.is_mine()).map(|end| (end, age))
    }

    /// Another node tells of a keeper.
    pub(crate) fn hear_of(&mut self, keeper: Keeper) {
        let newer = self.newest.is_none_or(|newest| newest < keeper.fence);
        if newer && !self.is_mine() {
            self.newest = Some(keeper.fence);
            self.keeper = Some(keeper);
        }
    }

    /// A renewal is tried. After a pause as long as a lease another may have taken over meanwhile: then the answer says
    /// whether orders may be given, and the try itself says nothing.
    fn tries(&mut self, began: Duration, lease: Duration) {
        if began.saturating_sub(self.tried) < lease {
            self.tried = began;
        }
    }

    fn was_renewed(&mut self, began: Duration, end: Cursor) {
        self.renewed_at = Some(end);
        self.renewed = began;
        self.tried = boot_time();
    }

    /// An engine has seen a higher fencing number.
    pub(crate) fn superseded(&mut self) {
        self.mine = None;
    }

    pub(crate) fn is_mine(&self) -> bool {
        self.mine.is_some()
    }
}

/// Gives the claim up, at the planned stop.
pub(crate) async fn release(node: Node) {
    if !node.holding.borrow().is_mine() {
        return;
    }
    let Ok(news) = node.dialects.store.claims(None, Duration::ZERO).await else { return };
    let last = news.records.iter().rev().find_map(valid);
    let me = node.settings.borrow().node.clone();
    node.holding.borrow_mut().superseded();
    if last.is_some_and(|entry| entry.node == me) {
        // Where this fails the next holder waits the lease out.
        let released = entry(&node, EntryKind::Release, news.end);
        let _ = node.dialects.store.claim(news.end, released).await;
    }
}
