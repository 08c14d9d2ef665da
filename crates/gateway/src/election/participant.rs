//! Claims and renews the lease, and follows the log of it.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{Era, Millis};
use hgw_events::{Event, emit};
use rand::random;
use tokio::time::sleep;

use crate::backoff::wait_to_retry;
use crate::clock::boot_time;
use crate::engine_path;
use crate::eras;
use crate::follow::StoreLink;
use crate::leader;
use crate::protocol::{Cursor, DecodeError, LeaseLogUpdate, Record, StoreError};
use crate::quotas;
use crate::shared::Node;

use super::LeaderInfo;
use super::lease_record::{LeaseRecord, RecordKind, parse, serialize};

/// Renewals per lease: two may fail before it expires.
const RENEWALS_PER_LEASE: u32 = 3;

const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Interval at which a follower checks whether the leader still responds.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// After the log showed another leader, time in which this node expects updates from it instead of
/// reading on.
const LEADER_JUST_SEEN_MS: Millis = 300;

/// Wait before a claim for a node with a full processor, randomized so that nodes do not all claim
/// at once.
const CLAIM_DELAY: Duration = Duration::from_millis(60);

/// Maximum wait before a claim. Slower machines wait longer, because the leader does more work.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(700);

/// Additional wait for a node without a current engine list.
const UNREAD_LIST_DELAY: Duration = Duration::from_millis(300);

/// Additional wait, in lease durations, of a node that reaches no engine.
const CLAIM_DELAY_LEASES_WITHOUT_ENGINES: u32 = 2;

/// Position of a node in the lease log.
struct Participant {
    node: Node,
    log_end: Option<Cursor>,
    /// Time since which all reads succeeded without a new record.
    quiet_since: Option<Millis>,
    /// Wait before a claim, by the machine's processor.
    base_delay: Duration,
    /// Boot time before which the lease may belong to a leader whose record was lost.
    lease_free_from: Duration,
}

/// Claims, renews and follows the lease until the process ends.
pub(crate) async fn run(node: Node) {
    let cpu_share = node.settings.borrow().cpu_share.clamp(0.01, 1.0);
    let base_delay =
        CLAIM_DELAY.div_f64(cpu_share).min(MAX_CLAIM_DELAY).mul_f64(0.5 + random::<f64>() / 2.0);
    let lease_free_from = Duration::ZERO;
    let mut participant = Participant {
        node: Rc::clone(&node),
        log_end: None,
        quiet_since: None,
        base_delay,
        lease_free_from,
    };
    let mut link = StoreLink::new(&node, "claim");
    loop {
        let result = if node.leadership.borrow().is_leader() {
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
                if node.leadership.borrow().is_leader() {
                    sleep(RETRY_PAUSE).await;
                } else {
                    wait_to_retry(&node).await;
                }
            }
        }
    }
}

impl Participant {
    async fn renew(&mut self) -> Result<(), StoreError> {
        let node = Rc::clone(&self.node);
        let lease = node.settings.borrow().lease;
        let Some(end) = self.log_end else { return self.read_log(Duration::ZERO).await };
        if node.leadership.borrow().own_claim.is_some_and(|mine| mine.era < end.era) {
            return self.reclaim(end).await;
        }
        let sent_at = boot_time();
        node.leadership.borrow_mut().record_attempt(sent_at, lease);
        let renewal = serialize(&node, RecordKind::Renewal, end);
        match node.protocols.store.append_lease_record(end, renewal).await {
            Ok(()) => {
                self.log_end = Some(end.plus(1));
                node.leadership.borrow_mut().record_renewal(sent_at, end.plus(1));
                sleep(lease / RENEWALS_PER_LEASE).await;
                Ok(())
            }
            // The record there is another node's claim, this node's own renewal whose response was
            // lost, or belongs to a log of another era.
            Err(StoreError::PreconditionFailed | StoreError::NewEra { .. }) => {
                self.read_log(Duration::ZERO).await
            }
            Err(e) => {
                // A closed connection does not show that the store is down, so a read checks it.
                let no_response = matches!(e, StoreError::NoResponse { .. });
                if no_response && self.read_log(Duration::ZERO).await.is_ok() {
                    return Ok(());
                }
                node.leadership.borrow_mut().attempted_at = boot_time();
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
            sleep(LEADER_CHECK_INTERVAL).await;
            return Ok(());
        }
        if self.has_just_seen_leader(&own_name) {
            sleep(LEADER_CHECK_INTERVAL).await;
            return Ok(());
        }
        let delay = self.claim_delay();
        let wait = if self.is_lease_free(&own_name) { delay } else { self.time_to_expiry(lease) };
        if let Err(e) = self.read_log(wait).await {
            // The leader cannot renew either while the store is down.
            self.quiet_since = None;
            return Err(e);
        }
        if self.node.is_stopping() || self.node.leadership.borrow().is_leader() {
            sleep(RETRY_PAUSE).await;
            return Ok(());
        }
        let now = self.node.now();
        let since = |end| self.node.leadership.borrow().leader_liveness.unrenewed_since(end, now);
        let unrenewed_since = self.log_end.map_or(now, since);
        let quiet_since = self.quiet_since.unwrap_or(now).min(unrenewed_since);
        self.quiet_since = Some(quiet_since);
        let quiet_ms = now - quiet_since;
        let is_free = self.is_lease_free(&own_name) && quiet_ms >= delay.as_millis() as Millis;
        let expired = quiet_ms >= (lease + delay).as_millis() as Millis;
        let has_list = self.node.state.borrow().has_engine_list;
        if has_list && (is_free || expired) { self.claim().await } else { Ok(()) }
    }

    /// Whether the log has just shown another leader, which will send this node its updates.
    fn has_just_seen_leader(&self, own_name: &str) -> bool {
        let now = self.node.now();
        let is_recent =
            self.quiet_since.is_some_and(|since| now.saturating_sub(since) < LEADER_JUST_SEEN_MS);
        is_recent && !self.is_lease_free(own_name)
    }

    /// Wait before a claim. A node that stopped reading the engine list waits longer, because it
    /// would have to read the complete list before it could lead; one that reaches no engine lets all
    /// others go first.
    fn claim_delay(&self) -> Duration {
        let path_delay = if engine_path::cannot_lead(&self.node) {
            self.node.settings.borrow().lease * CLAIM_DELAY_LEASES_WITHOUT_ENGINES
        } else {
            Duration::ZERO
        };
        let list_delay = if self.node.polls_store() { Duration::ZERO } else { UNREAD_LIST_DELAY };
        self.base_delay + list_delay + path_delay
    }

    /// Time until the leader's lease and this node's own wait are over.
    fn time_to_expiry(&self, lease: Duration) -> Duration {
        let quiet_ms = self.quiet_since.map_or(0, |since| self.node.now().saturating_sub(since));
        (lease + self.claim_delay()).saturating_sub(Duration::from_millis(quiet_ms)).min(lease / 2)
    }

    /// Whether nobody has the lease, or an earlier process of this node does.
    fn is_lease_free(&self, own_name: &str) -> bool {
        let leadership = self.node.leadership.borrow();
        let is_free = leadership.leader.as_ref().is_none_or(|leader| leader.node == own_name);
        is_free && boot_time() >= self.lease_free_from
    }

    async fn claim(&mut self) -> Result<(), StoreError> {
        let Some(end) = self.log_end else { return Ok(()) };
        if let Some((fence, predecessor)) = self.append_claim(end).await? {
            leader::start(&self.node, fence, predecessor);
        }
        Ok(())
    }

    /// Claims the lease again in an era that sent_at while this node was the leader.
    ///
    /// The restore may have lost its claim, and claims of an earlier era do not count anyway. Until
    /// its lease expires no other node can have claimed: each waits for a full lease, counted from
    /// the start of the new era. Afterwards this node steps down and waits like the others.
    async fn reclaim(&mut self, end: Cursor) -> Result<(), StoreError> {
        let node = Rc::clone(&self.node);
        let lease = node.settings.borrow().lease;
        let Some(old_fence) = node.leadership.borrow().exclusive_fencing_token(lease) else {
            let name = node.settings.borrow().node.clone();
            node.leadership.borrow_mut().lose_claim(&name);
            return Ok(());
        };
        if let Some((fence, _)) = self.append_claim(end).await? {
            leader::continue_under(&node, fence);
            quotas::update_issuer_fence(&node, old_fence, fence);
        }
        Ok(())
    }

    /// Appends a claim at the end of the log. Returns its fencing token and that of the previous
    /// claim, or none if another record was first.
    async fn append_claim(
        &mut self,
        end: Cursor,
    ) -> Result<Option<(u64, Option<u64>)>, StoreError> {
        let Some(fence) = end.fencing_token() else {
            let why = format!("{end} is out of range for a fencing token");
            return Err(StoreError::Malformed(DecodeError {
                what: "position of a lease claim",
                why,
            }));
        };
        let node = Rc::clone(&self.node);
        let sent_at = boot_time();
        match node
            .protocols
            .store
            .append_lease_record(end, serialize(&node, RecordKind::Claim, end))
            .await
        {
            Ok(()) => {
                self.log_end = Some(end.plus(1));
                Ok(Some((fence, self.become_leader(end, fence, sent_at))))
            }
            Err(StoreError::PreconditionFailed | StoreError::NewEra { .. }) => {
                self.read_log(Duration::ZERO).await.map(|()| None)
            }
            Err(e) => Err(e),
        }
    }

    fn become_leader(
        &mut self,
        claim_position: Cursor,
        fence: u64,
        sent_at: Duration,
    ) -> Option<u64> {
        let node = &self.node;
        let (name, addr) = {
            let settings = node.settings.borrow();
            (settings.node.clone(), settings.peer_addr)
        };
        emit(Event::KeeperGained, &[("node", &name), ("term", &fence)]);
        let mut leadership = node.leadership.borrow_mut();
        leadership.leader = Some(LeaderInfo { node: name, addr, fence });
        leadership.own_claim = Some(claim_position);
        leadership.record_renewal(sent_at, claim_position.plus(1));
        leadership.newest_fence.replace(fence)
    }

    async fn read_log(&mut self, wait: Duration) -> Result<(), StoreError> {
        let sent_at = boot_time();
        let update = self.node.protocols.store.poll_lease_log(self.log_end, wait).await?;
        let LeaseLogUpdate { end, records } = update;
        self.node.leadership.borrow_mut().has_read_log = true;
        if self.log_end.is_some_and(|known| end < known) {
            // The log was rewound, so what was read before is void.
            self.log_end = None;
            return Ok(());
        }
        let known = self.log_end.map_or(Era::FIRST, |known| known.era);
        let is_new_era = known < end.era;
        self.log_end = Some(end);
        if is_new_era {
            eras::check(&self.node);
        }
        if !records.is_empty() || is_new_era {
            self.quiet_since = Some(self.node.now());
        }
        if is_new_era {
            self.enter_era();
        }
        for record in &records {
            self.apply_record(record, sent_at);
        }
        Ok(())
    }

    /// Starts over in a later era, whose log counts only records written in it. A leader of the
    /// previous era may act until its lease expires, so other nodes wait for a full lease or for a
    /// record.
    fn enter_era(&mut self) {
        let lease = self.node.settings.borrow().lease;
        self.lease_free_from = self.node.era.get().since() + lease;
    }

    fn apply_record(&mut self, record: &Record, sent_at: Duration) {
        let Some(lease_record) = parse(record) else { return };
        eras::record_reported(&self.node, lease_record.era);
        self.lease_free_from = Duration::ZERO;
        let own_name = self.node.settings.borrow().node.clone();
        let mut leadership = self.node.leadership.borrow_mut();
        let is_lost = leadership.own_claim.is_some_and(|mine| {
            lease_record.node != own_name
                || (lease_record.kind == RecordKind::Claim && record.position != mine)
        });
        if is_lost {
            leadership.lose_claim(&own_name);
        }
        if leadership.own_claim.is_some() {
            leadership.renewed_at = sent_at;
        }
        let LeaseRecord { kind, node, addr, .. } = lease_record;
        let Some(fence) = record.position.fencing_token() else { return };
        let known_fence = leadership
            .leader
            .as_ref()
            .filter(|leader| leader.node == node)
            .map(|leader| leader.fence);
        if kind == RecordKind::Claim {
            leadership.newest_fence = Some(fence);
        }
        leadership.leader = match kind {
            RecordKind::Claim => Some(LeaderInfo { node, addr, fence }),
            RecordKind::Renewal => {
                Some(LeaderInfo { node, addr, fence: known_fence.unwrap_or(fence) })
            }
            RecordKind::Release => None,
        };
    }
}
