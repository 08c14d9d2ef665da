//! Keeps what this node knows from the store up to date: the configuration and the engine list.

mod catalog;
mod engines;

use std::time::Duration;

use hgw_direct::Millis;
use hgw_events::{Event, emit};
use tokio::time::sleep;

use crate::election::LeaderInfo;
use crate::eras;
use crate::meter;
use crate::protocol::StoreError;
use crate::shared::Node;

pub(crate) use catalog::{TextSource, adopt, catalog};
pub(crate) use engines::engines;

/// Interval at which a starting node checks for updates from the leader.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a node checks whether the leader still sends updates.
const UPDATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum wait at the start for the leader's first update. A leader that has just started itself
/// responds to hundreds of nodes within a second.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum wait at the start for what another node may tell.
const MAX_WAIT_TO_BE_TOLD: Millis = 300;

/// Maximum wait at the start until it is known whether there is a leader, and while there is none.
const MAX_START_WAIT_WITHOUT_LEADER: Duration = Duration::from_millis(600);

/// Wait at the start for a node with a full processor while there is no leader.
const START_WAIT_WITHOUT_LEADER: Duration = Duration::from_millis(60);

/// Waits at the start for updates from the leader.
///
/// Without the wait, hundreds of nodes that start together would all read everything from the
/// store. Larger machines wait less, so one of them becomes the leader.
pub(crate) async fn wait_for_first_update(node: &Node) {
    let cpu_share = node.settings.borrow().cpu_share.clamp(0.01, 1.0);
    let max_wait_alone =
        START_WAIT_WITHOUT_LEADER.div_f64(cpu_share).min(MAX_START_WAIT_WITHOUT_LEADER).as_millis()
            as u64;
    loop {
        let now = node.now();
        let (has_other_leader, has_read_log) = {
            let leadership = node.leadership.borrow();
            let own_addr = node.settings.borrow().peer_addr;
            let is_other = |leader: &LeaderInfo| leader.addr != own_addr;
            let has_other_leader =
                !leadership.is_leader() && leadership.leader.as_ref().is_some_and(is_other);
            (has_other_leader, leadership.has_read_log)
        };
        let max_wait = match (has_other_leader, has_read_log) {
            (true, _) => MAX_START_WAIT.as_millis() as u64,
            (false, true) => max_wait_alone,
            (false, false) => MAX_START_WAIT_WITHOUT_LEADER.as_millis() as u64,
        };
        if node.has_recent_leader_updates() || now >= max_wait {
            return;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Waits a while at the start until another node has told this one what it needs, before it reads that from the
/// store.
pub(crate) async fn wait_to_be_told(node: &Node, is_known: impl Fn(&Node) -> bool) {
    let started = node.now();
    while !is_known(node)
        && node.has_recent_leader_updates()
        && node.now() - started < MAX_WAIT_TO_BE_TOLD
    {
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Tracks whether the store answers one kind of call and logs changes.
pub(crate) struct StoreLink {
    node: Node,
    what: &'static str,
    up: Option<bool>,
}

impl StoreLink {
    pub(crate) fn new(node: &Node, what: &'static str) -> StoreLink {
        StoreLink { node: Node::clone(node), what, up: None }
    }

    /// Records a response. Returns whether the previous call failed.
    pub(crate) fn record_success(&mut self) -> bool {
        meter::store_call(self.what, Ok(()));
        eras::check(&self.node);
        self.node.store_responded_at.set(self.node.now());
        let recovered = self.up == Some(false);
        if recovered {
            let name = self.node.settings.borrow().node.clone();
            emit(Event::LogUp, &[("node", &name), ("what", &self.what)]);
        }
        self.up = Some(true);
        recovered
    }

    pub(crate) fn is_down(&self) -> bool {
        self.up == Some(false)
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, why: &StoreError) {
        meter::store_call(self.what, Err(why));
        eras::check(&self.node);
        if self.up != Some(false) {
            let name = self.node.settings.borrow().node.clone();
            emit(Event::LogDown, &[("node", &name), ("what", &self.what), ("why", why)]);
        }
        self.up = Some(false);
    }
}
