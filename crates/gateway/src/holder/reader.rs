//! Claims and renews the lease, and follows the log of it.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{Era, Millis};
use hgw_events::{Event, emit};
use rand::random;
use tokio::time::sleep;

use crate::backoff::wait_to_retry;
use crate::clock::boot_time;
use crate::dialect::{ClaimNews, Cursor, Malformed, Record, StoreError};
use crate::eras;
use crate::follow::StoreLink;
use crate::keeper;
use crate::quotas;
use crate::shared::Node;

use super::Keeper;
use super::record::{Entry, EntryKind, entry, valid};

/// Renewals per lease: two may fail before it expires.
const RENEWALS: u32 = 3;

const AFTER_FAILURE: Duration = Duration::from_millis(250);

/// Interval at which a follower checks whether the leader still responds.
const HOLDER_CHECK: Duration = Duration::from_millis(100);

/// After the log showed another leader, time in which this node expects updates from it instead of
/// reading on.
const HEARD_NOW: Millis = 300;

/// Wait before a claim for a node with a full processor, randomized so that nodes do not all claim at
/// once.
const SPREAD: Duration = Duration::from_millis(60);

/// Maximum wait before a claim. Slower machines wait longer, because the leader does more work.
const MOST_SPREAD: Duration = Duration::from_millis(700);

/// Additional wait for a node without a current engine list.
const NOT_READ: Duration = Duration::from_millis(300);

/// Position of a node in the lease log.
struct Reader {
    node: Node,
    end: Option<Cursor>,
    /// Time since which all reads succeeded without a new record.
    quiet_since: Option<Millis>,
    /// Wait before a claim, by the machine's processor.
    spread: Duration,
    /// Boot time before which the lease may belong to a leader whose record was lost.
    free_from: Duration,
}

/// Claims, renews and follows the lease until the process ends.
pub(crate) async fn hold(node: Node) {
    let processor = node.settings.borrow().processor.clamp(0.01, 1.0);
    let spread = SPREAD.div_f64(processor).min(MOST_SPREAD).mul_f64(0.5 + random::<f64>() / 2.0);
    let free_from = Duration::ZERO;
    let mut participant =
        Reader { node: Rc::clone(&node), end: None, quiet_since: None, spread, free_from };
    let mut link = StoreLink::new(&node, "claim");
    loop {
        let result = if node.holding.borrow().is_mine() {
            participant.renew().await
        } else {
            participant.follow().await
        };
        match result {
            Ok(()) => {
                link.record_success();
            }
            Err(e) => {
                link.record_failure(&e);
                if node.holding.borrow().is_mine() {
                    sleep(AFTER_FAILURE).await;
                } else {
                    wait_to_retry(&node).await;
                }
            }
        }
    }
}

impl Reader {
    async fn renew(&mut self) -> Result<(), StoreError> {
        let node = Rc::clone(&self.node);
        let lease = node.settings.borrow().lease;
        let Some(end) = self.end else { return self.read(Duration::ZERO).await };
        if node.holding.borrow().mine.is_some_and(|mine| mine.era < end.era) {
            return self.claim_again(end).await;
        }
        let began = boot_time();
        node.holding.borrow_mut().tries(began, lease);
        let renewal = entry(&node, EntryKind::Renewal, end);
        match node.dialects.store.claim(end, renewal).await {
            Ok(()) => {
                self.end = Some(end.plus(1));
                node.holding.borrow_mut().was_renewed(began, end.plus(1));
                sleep(lease / RENEWALS).await;
                Ok(())
            }
            // The record there is another node's claim, this node's own renewal whose response was
            // lost, or belongs to a log of another era.
            Err(StoreError::Condition | StoreError::NewEra { .. }) => {
                self.read(Duration::ZERO).await
            }
            Err(e) => {
                // A closed connection does not show that the store is down, so a read checks it.
                let no_response = matches!(e, StoreError::Lost { .. });
                if no_response && self.read(Duration::ZERO).await.is_ok() {
                    return Ok(());
                }
                node.holding.borrow_mut().tried = boot_time();
                Err(e)
            }
        }
    }

    async fn follow(&mut self) -> Result<(), StoreError> {
        let (lease, own_name) = {
            let settings = self.node.settings.borrow();
            (settings.lease, settings.node.clone())
        };
        if self.node.has_recent_leader_updates() {
            // The leader responds and reports its renewals itself.
            self.quiet_since = None;
            sleep(HOLDER_CHECK).await;
            return Ok(());
        }
        if self.has_just_heard(&own_name) {
            sleep(HOLDER_CHECK).await;
            return Ok(());
        }
        let spread = self.spread();
        let wait = if self.is_free(&own_name) { spread } else { self.until_out(lease) };
        if let Err(e) = self.read(wait).await {
            // The leader cannot renew either while the store is down.
            self.quiet_since = None;
            return Err(e);
        }
        if self.node.is_stopping() || self.node.holding.borrow().is_mine() {
            sleep(AFTER_FAILURE).await;
            return Ok(());
        }
        let now = self.node.now();
        let since = |end| self.node.holding.borrow().silence.since(end, now);
        let unrenewed_since = self.end.map_or(now, since);
        let quiet_since = self.quiet_since.unwrap_or(now).min(unrenewed_since);
        self.quiet_since = Some(quiet_since);
        let quiet_ms = now - quiet_since;
        let is_free = self.is_free(&own_name) && quiet_ms >= spread.as_millis() as Millis;
        let expired = quiet_ms >= (lease + spread).as_millis() as Millis;
        let has_list = self.node.state.borrow().listed;
        if has_list && (is_free || expired) { self.claim().await } else { Ok(()) }
    }

    /// Whether the log has just shown another leader, which will send this node its updates.
    fn has_just_heard(&self, own_name: &str) -> bool {
        let now = self.node.now();
        let is_recent = self.quiet_since.is_some_and(|since| now.saturating_sub(since) < HEARD_NOW);
        is_recent && !self.is_free(own_name)
    }

    /// Wait before a claim. A node that stopped reading the engine list waits longer, because it
    /// would have to read the complete list before it could lead.
    fn spread(&self) -> Duration {
        if self.node.polls_store() { self.spread } else { self.spread + NOT_READ }
    }

    /// Time until the leader's lease and this node's own wait are over.
    fn until_out(&self, lease: Duration) -> Duration {
        let quiet_ms = self.quiet_since.map_or(0, |since| self.node.now().saturating_sub(since));
        (lease + self.spread()).saturating_sub(Duration::from_millis(quiet_ms)).min(lease / 2)
    }

    /// Whether nobody has the lease, or an earlier process of this node does.
    fn is_free(&self, own_name: &str) -> bool {
        let leadership = self.node.holding.borrow();
        let is_free = leadership.keeper.as_ref().is_none_or(|leader| leader.node == own_name);
        is_free && boot_time() >= self.free_from
    }

    async fn claim(&mut self) -> Result<(), StoreError> {
        let Some(end) = self.end else { return Ok(()) };
        if let Some((fence, predecessor)) = self.claim_at(end).await? {
            keeper::begin(&self.node, fence, predecessor);
        }
        Ok(())
    }

    /// Claims the lease again in an era that began while this node was the leader.
    ///
    /// The restore may have lost its claim, and claims of an earlier era do not count anyway. Until
    /// its lease expires no other node can have claimed: each waits for a full lease, counted from
    /// the start of the new era. Afterwards this node steps down and waits like the others.
    async fn claim_again(&mut self, end: Cursor) -> Result<(), StoreError> {
        let node = Rc::clone(&self.node);
        let lease = node.settings.borrow().lease;
        let Some(old_fence) = node.holding.borrow().sure(lease) else {
            let name = node.settings.borrow().node.clone();
            let lost_claim = node.holding.borrow_mut().mine.take();
            if let Some(fence) = lost_claim.and_then(Cursor::fence) {
                emit(Event::KeeperLost, &[("node", &name), ("term", &fence)]);
            }
            return Ok(());
        };
        if let Some((fence, _)) = self.claim_at(end).await? {
            keeper::go_on(&node, fence);
            quotas::go_on(&node, old_fence, fence);
        }
        Ok(())
    }

    /// Appends a claim at the end of the log. Returns its fencing token and that of the previous
    /// claim, or none if another record was first.
    async fn claim_at(&mut self, end: Cursor) -> Result<Option<(u64, Option<u64>)>, StoreError> {
        let Some(fence) = end.fence() else {
            let why = format!("{end} is out of range for a fencing token");
            return Err(StoreError::Malformed(Malformed {
                what: "position of a lease claim",
                why,
            }));
        };
        let node = Rc::clone(&self.node);
        let began = boot_time();
        match node.dialects.store.claim(end, entry(&node, EntryKind::Claim, end)).await {
            Ok(()) => {
                self.end = Some(end.plus(1));
                Ok(Some((fence, self.gain(end, fence, began))))
            }
            Err(StoreError::Condition | StoreError::NewEra { .. }) => {
                self.read(Duration::ZERO).await.map(|()| None)
            }
            Err(e) => Err(e),
        }
    }

    fn gain(&mut self, claim_position: Cursor, fence: u64, began: Duration) -> Option<u64> {
        let node = &self.node;
        let (name, addr) = {
            let settings = node.settings.borrow();
            (settings.node.clone(), settings.peers)
        };
        emit(Event::KeeperGained, &[("node", &name), ("term", &fence)]);
        let mut leadership = node.holding.borrow_mut();
        leadership.keeper = Some(Keeper { node: name, addr, fence });
        leadership.mine = Some(claim_position);
        leadership.was_renewed(began, claim_position.plus(1));
        leadership.newest.replace(fence)
    }

    async fn read(&mut self, wait: Duration) -> Result<(), StoreError> {
        let began = boot_time();
        let news = self.node.dialects.store.claims(self.end, wait).await?;
        let ClaimNews { end, records } = news;
        if self.end.is_some_and(|known| end < known) {
            // The log was rewound, so what was read before is void.
            self.end = None;
            return Ok(());
        }
        let known = self.end.map_or(Era::FIRST, |known| known.era);
        let is_new_era = known < end.era;
        self.end = Some(end);
        if is_new_era {
            eras::check(&self.node);
        }
        if !records.is_empty() || is_new_era {
            self.quiet_since = Some(self.node.now());
        }
        if is_new_era {
            self.enter();
        }
        for record in &records {
            self.apply(record, began);
        }
        Ok(())
    }

    /// Starts over in a later era, whose log counts only records written in it. A leader of the
    /// previous era may act until its lease expires, so other nodes wait for a full lease or for a
    /// record.
    fn enter(&mut self) {
        let lease = self.node.settings.borrow().lease;
        self.free_from = self.node.era.get().since() + lease;
    }

    fn apply(&mut self, record: &Record, began: Duration) {
        let Some(lease_record) = valid(record) else { return };
        eras::record_reported(&self.node, lease_record.era);
        self.free_from = Duration::ZERO;
        let own_name = self.node.settings.borrow().node.clone();
        let mut leadership = self.node.holding.borrow_mut();
        let lost_claim = leadership.mine.filter(|mine| {
            lease_record.node != own_name
                || (lease_record.kind == EntryKind::Claim && record.at != *mine)
        });
        if let Some(fence) = lost_claim.and_then(Cursor::fence) {
            emit(Event::KeeperLost, &[("node", &own_name), ("term", &fence)]);
            leadership.mine = None;
        }
        if leadership.mine.is_some() {
            leadership.renewed = began;
        }
        let Entry { kind, node, addr, .. } = lease_record;
        let Some(fence) = record.at.fence() else { return };
        let known_fence = leadership
            .keeper
            .as_ref()
            .filter(|leader| leader.node == node)
            .map(|leader| leader.fence);
        if kind == EntryKind::Claim {
            leadership.newest = Some(fence);
        }
        leadership.keeper = match kind {
            EntryKind::Claim => Some(Keeper { node, addr, fence }),
            EntryKind::Renewal => Some(Keeper { node, addr, fence: known_fence.unwrap_or(fence) }),
            EntryKind::Release => None,
        };
    }
}
