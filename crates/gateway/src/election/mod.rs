//! Leader election: the leader is the node with the newest claim in the store's lease log.

mod lease_record;
mod participant;

use std::net::SocketAddr;
use std::time::Duration;

use hgw_direct::LeaderLiveness;
use hgw_events::{Event, emit};
use serde::{Deserialize, Serialize};

use crate::clock::boot_time;
use crate::protocol::Cursor;
use crate::shared::Node;

use lease_record::{RecordKind, parse, serialize};

pub(crate) use participant::run;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderInfo {
    pub(crate) node: String,
    pub(crate) addr: SocketAddr,
    pub(crate) fence: u64,
}

/// A node's view of the lease and the leader.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// Author of the newest claim, unless it was released.
    pub(crate) leader: Option<LeaderInfo>,
    /// Whether this node has read the lease log, so that it knows whether there is a leader.
    pub(crate) has_read_log: bool,
    /// Fencing token of the newest claim that this node knows.
    newest_fence: Option<u64>,
    /// Position of this node's own claim while it is the leader.
    own_claim: Option<Cursor>,
    /// Boot time at which the last acknowledged renewal was sent.
    renewed_at: Duration,
    /// End of the log after that renewal.
    renewal_end: Option<Cursor>,
    /// Whether the leader responds to this node, and its last renewal.
    pub(crate) leader_liveness: LeaderLiveness,
    /// Boot time of the last attempt to renew.
    attempted_at: Duration,
    /// Boot time at which this node last released the lease.
    released_at: Option<Duration>,
}

impl Leadership {
    /// Fencing token for orders to engines, if this node may send any now.
    ///
    /// After a suspend the node must try to renew before it acts. Once its lease has expired, a
    /// leader that cannot reach the store goes on only if engines reject outdated tokens, because a
    /// successor's orders then stop it.
    pub(crate) fn fencing_token(&self, lease: Duration, engines_check_fence: bool) -> Option<u64> {
        let now = boot_time();
        let has_lease = now.saturating_sub(self.renewed_at) < lease;
        let attempted_lately = now.saturating_sub(self.attempted_at) < lease / 2;
        self.own_claim
            .filter(|_| attempted_lately && (has_lease || engines_check_fence))
            .and_then(Cursor::fencing_token)
    }

    /// Fencing token for actions that only one node may take at a time; none once the lease has
    /// expired. A successor waits for a full lease.
    pub(crate) fn exclusive_fencing_token(&self, lease: Duration) -> Option<u64> {
        let has_lease = boot_time().saturating_sub(self.renewed_at) < lease;
        self.own_claim.filter(|_| has_lease).and_then(Cursor::fencing_token)
    }

    /// End of the log after the last renewal, and the renewal's age in milliseconds.
    pub(crate) fn last_renewal(&self) -> Option<(Cursor, u64)> {
        let age = boot_time().saturating_sub(self.renewed_at).as_millis() as u64;
        self.renewal_end.filter(|_| self.is_leader()).map(|end| (end, age))
    }

    /// Fencing token of this node's own claim while it is the leader.
    pub(crate) fn own_fence(&self) -> Option<u64> {
        self.own_claim.and_then(Cursor::fencing_token)
    }

    /// Records a leader that another node reported, if its claim is newer than the known one. Returns whether it is.
    pub(crate) fn record_reported_leader(&mut self, leader: LeaderInfo) -> bool {
        let is_newer = self.newest_fence.is_none_or(|newest| newest < leader.fence);
        if !is_newer || self.is_leader() {
            return false;
        }
        self.newest_fence = Some(leader.fence);
        self.leader = Some(leader);
        true
    }

    /// Records an attempt to renew, unless the last one is at least a lease ago: another node may
    /// be the leader by now, so that this node may act only after a successful renewal.
    fn record_attempt(&mut self, sent_at: Duration, lease: Duration) {
        if sent_at.saturating_sub(self.attempted_at) < lease {
            self.attempted_at = sent_at;
        }
    }

    fn record_renewal(&mut self, sent_at: Duration, end: Cursor) {
        self.renewal_end = Some(end);
        self.renewed_at = sent_at;
        self.attempted_at = boot_time();
    }

    /// Ends this node's claim, if it has one, as another node leads or may lead by now.
    pub(crate) fn lose_claim(&mut self, own_name: &str) {
        if let Some(fence) = self.own_claim.take().and_then(Cursor::fencing_token) {
            emit(Event::KeeperLost, &[("node", &own_name), ("term", &fence)]);
        }
    }

    /// Steps down after an engine reported a higher fencing token.
    pub(crate) fn step_down(&mut self) {
        self.own_claim = None;
    }

    /// Whether this node has released the lease lately.
    pub(crate) fn has_released_lately(&self) -> bool {
        let elapsed = |at| boot_time().saturating_sub(at);
        self.released_at.is_some_and(|at| elapsed(at) < RELEASED_TIME)
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.own_claim.is_some()
    }
}

/// Time after a release within which this node sends other nodes to its successor.
const RELEASED_TIME: Duration = Duration::from_secs(3);

/// Releases the lease, so that another node claims it.
pub(crate) async fn release(node: Node) {
    if !node.leadership.borrow().is_leader() {
        return;
    }
    let Ok(log) = node.protocols.store.poll_lease_log(None, Duration::ZERO).await else { return };
    let last = log.records.iter().rev().find_map(parse);
    let own_name = node.settings.borrow().node.clone();
    node.leadership.borrow_mut().step_down();
    node.leadership.borrow_mut().released_at = Some(boot_time());
    if last.is_some_and(|entry| entry.node == own_name) {
        // If this fails, the successor waits until the lease expires.
        let released = serialize(&node, RecordKind::Release, log.end);
        let _ = node.protocols.store.append_lease_record(log.end, released).await;
    }
}
