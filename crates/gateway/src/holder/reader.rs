//! Claiming, renewing and following the claim.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::{Era, Millis};
use hgw_events::{Event, emit};
use rand::random;
use tokio::time::sleep;

use crate::backoff::after_failure;
use crate::clock::boot_time;
use crate::dialect::{ClaimNews, Cursor, Malformed, Record, StoreError};
use crate::eras;
use crate::follow::Link;
use crate::keeper;
use crate::quotas;
use crate::shared::Node;

use super::Keeper;
use super::record::{Entry, EntryKind, entry, valid};

/// Renewals in a lease: two may fail before it runs out.
const RENEWALS: u32 = 3;

/// Pause after a call that failed.
const AFTER_FAILURE: Duration = Duration::from_millis(250);

/// Time between two looks whether the holder still answers.
const HOLDER_CHECK: Duration = Duration::from_millis(100);

/// Time after a record of another holder within which that is asked first.
const HEARD_NOW: Millis = 300;

/// Time that a node with a whole processor waits before it claims, so that they do not all try at once.
const SPREAD: Duration = Duration::from_millis(60);

/// Longest such time. A node with less of a processor waits longer: the holder does more than others.
const MOST_SPREAD: Duration = Duration::from_millis(700);

/// Time by which a node that did not read on when nobody read for all waits longer.
const NOT_READ: Duration = Duration::from_millis(300);

/// What a node has read of the log.
struct Reader {
    node: Node,
    end: Option<Cursor>,
    /// Since when every read has succeeded and brought nothing new.
    quiet_since: Option<Millis>,
    /// Its share of that wait by its processor.
    spread: Duration,
    /// Before this time, by the clock that counts suspended time, the claim is not free although nobody is known to hold it.
    free_from: Duration,
}

/// Claims, renews and follows the claim until the process ends.
pub(crate) async fn hold(node: Node) {
    let processor = node.settings.borrow().processor.clamp(0.01, 1.0);
    let spread = SPREAD.div_f64(processor).min(MOST_SPREAD).mul_f64(0.5 + random::<f64>() / 2.0);
    let free_from = Duration::ZERO;
    let mut reader =
        Reader { node: Rc::clone(&node), end: None, quiet_since: None, spread, free_from };
    let mut link = Link::new(&node, "claim");
    loop {
        let step = if node.holding.borrow().is_mine() {
            reader.renew().await
        } else {
            reader.follow().await
        };
        match step {
            Ok(()) => {
                link.up();
            }
            Err(e) => {
                link.down(&e);
                if node.holding.borrow().is_mine() {
                    sleep(AFTER_FAILURE).await;
                } else {
                    after_failure(&node).await;
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
            // Another record stands there: another node's claim, or this node's own renewal whose
            // answer was lost. Or it is another log.
            Err(StoreError::Condition | StoreError::NewEra { .. }) => {
                self.read(Duration::ZERO).await
            }
            Err(e) => {
                // A connection that has ended says nothing of the store; a second call does.
                let lost = matches!(e, StoreError::Lost { .. });
                if lost && self.read(Duration::ZERO).await.is_ok() {
                    return Ok(());
                }
                node.holding.borrow_mut().tried = boot_time();
                Err(e)
            }
        }
    }

    async fn follow(&mut self) -> Result<(), StoreError> {
        let (lease, me) = {
            let settings = self.node.settings.borrow();
            (settings.lease, settings.node.clone())
        };
        if self.node.is_followed() {
            // The holder answers, and its word is as new as its last renewal.
            self.quiet_since = None;
            sleep(HOLDER_CHECK).await;
            return Ok(());
        }
        if self.has_just_heard(&me) {
            sleep(HOLDER_CHECK).await;
            return Ok(());
        }
        let spread = self.spread();
        let wait = if self.is_free(&me) { spread } else { self.until_out(lease) };
        if let Err(e) = self.read(wait).await {
            // While the store does not answer its holder cannot renew either.
            self.quiet_since = None;
            return Err(e);
        }
        if self.node.is_stopping() || self.node.holding.borrow().is_mine() {
            sleep(AFTER_FAILURE).await;
            return Ok(());
        }
        let now = self.node.now();
        let since = |end| self.node.holding.borrow().silence.unrenewed_since(end, now);
        let unrenewed_since = self.end.map_or(now, since);
        let quiet_since = self.quiet_since.unwrap_or(now).min(unrenewed_since);
        self.quiet_since = Some(quiet_since);
        let quiet = now - quiet_since;
        let free = self.is_free(&me) && quiet >= spread.as_millis() as Millis;
        let out = quiet >= (lease + spread).as_millis() as Millis;
        let listed = self.node.state.borrow().listed;
        if listed && (free || out) { self.claim().await } else { Ok(()) }
    }

    /// Whether it has just read of another holder, which will tell this node what it needs.
    fn has_just_heard(&self, me: &str) -> bool {
        let now = self.node.now();
        let lately = self.quiet_since.is_some_and(|since| now.saturating_sub(since) < HEARD_NOW);
        lately && !self.is_free(me)
    }

    /// How long this node leaves it to others to claim first. One that has not read on would have to read the whole
    /// list before it could tell the others what changed.
    fn spread(&self) -> Duration {
        if self.node.reads_on() { self.spread } else { self.spread + NOT_READ }
    }

    /// Time until the holder's lease and this node's own wait are over.
    fn until_out(&self, lease: Duration) -> Duration {
        let quiet = self.quiet_since.map_or(0, |since| self.node.now().saturating_sub(since));
        (lease + self.spread()).saturating_sub(Duration::from_millis(quiet)).min(lease / 2)
    }

    /// Whether nobody holds the claim, or this machine did before its process ended.
    fn is_free(&self, me: &str) -> bool {
        let holding = self.node.holding.borrow();
        let is_free = holding.keeper.as_ref().is_none_or(|keeper| keeper.node == me);
        is_free && boot_time() >= self.free_from
    }

    async fn claim(&mut self) -> Result<(), StoreError> {
        let Some(end) = self.end else { return Ok(()) };
        if let Some((fence, predecessor)) = self.claim_at(end).await? {
            keeper::begin(&self.node, fence, predecessor);
        }
        Ok(())
    }

    /// Claims anew in an era that began while this node held the claim.
    ///
    /// Its claim may be among what the store has lost, and does not count there in any case. Within its lease nobody else
    /// can have claimed: in the era before all waited for that to run out, and in this one they wait a whole lease from
    /// its beginning. Beyond its lease it is one of those who wait.
    async fn claim_again(&mut self, end: Cursor) -> Result<(), StoreError> {
        let node = Rc::clone(&self.node);
        let lease = node.settings.borrow().lease;
        let Some(before) = node.holding.borrow().sure(lease) else {
            let name = node.settings.borrow().node.clone();
            let lost = node.holding.borrow_mut().mine.take();
            if let Some(fence) = lost.and_then(Cursor::fencing_token) {
                emit(Event::KeeperLost, &[("node", &name), ("term", &fence)]);
            }
            return Ok(());
        };
        if let Some((fence, _)) = self.claim_at(end).await? {
            keeper::go_on(&node, fence);
            quotas::go_on(&node, before, fence);
        }
        Ok(())
    }

    /// Claims where the log ends; gives the fencing number where that succeeded, and the one of the claim before.
    async fn claim_at(&mut self, end: Cursor) -> Result<Option<(u64, Option<u64>)>, StoreError> {
        let Some(fence) = end.fencing_token() else {
            let why = format!("{end} is beyond all fencing numbers");
            return Err(StoreError::Malformed(Malformed { what: "place of a claim", why }));
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

    fn gain(&mut self, at: Cursor, fence: u64, began: Duration) -> Option<u64> {
        let node = &self.node;
        let (name, addr) = {
            let settings = node.settings.borrow();
            (settings.node.clone(), settings.peers)
        };
        emit(Event::KeeperGained, &[("node", &name), ("term", &fence)]);
        let mut holding = node.holding.borrow_mut();
        holding.keeper = Some(Keeper { node: name, addr, fence });
        holding.mine = Some(at);
        holding.was_renewed(began, at.plus(1));
        holding.newest.replace(fence)
    }

    async fn read(&mut self, wait: Duration) -> Result<(), StoreError> {
        let began = boot_time();
        let news = self.node.dialects.store.claims(self.end, wait).await?;
        let ClaimNews { end, records } = news;
        if self.end.is_some_and(|known| end < known) {
            // The log was rewound: what was read of it is void.
            self.end = None;
            return Ok(());
        }
        let known = self.end.map_or(Era::FIRST, |known| known.era);
        let entered = known < end.era;
        self.end = Some(end);
        if entered {
            eras::look(&self.node);
        }
        if !records.is_empty() || entered {
            self.quiet_since = Some(self.node.now());
        }
        if entered {
            self.enter();
        }
        for record in &records {
            self.apply(record, began);
        }
        Ok(())
    }

    /// The store is in a later era than this node has read of, and nothing in the log counts that was not written in it.
    /// A holder of the era before may act until its lease runs out, or go on by a claim in this one: whoever else claims
    /// waits so long, or until that is read.
    fn enter(&mut self) {
        let lease = self.node.settings.borrow().lease;
        self.free_from = self.node.era.get().since() + lease;
    }

    fn apply(&mut self, record: &Record, began: Duration) {
        let Some(entry) = valid(record) else { return };
        eras::hear(&self.node, entry.era);
        self.free_from = Duration::ZERO;
        let me = self.node.settings.borrow().node.clone();
        let mut holding = self.node.holding.borrow_mut();
        let lost = holding.mine.filter(|mine| {
            entry.node != me || (entry.kind == EntryKind::Claim && record.at != *mine)
        });
        if let Some(fence) = lost.and_then(Cursor::fencing_token) {
            emit(Event::KeeperLost, &[("node", &me), ("term", &fence)]);
            holding.mine = None;
        }
        if holding.mine.is_some() {
            holding.renewed = began;
        }
        let Entry { kind, node, addr, .. } = entry;
        let Some(fence) = record.at.fencing_token() else { return };
        let known = holding.keeper.as_ref().filter(|k| k.node == node).map(|k| k.fence);
        if kind == EntryKind::Claim {
            holding.newest = Some(fence);
        }
        holding.keeper = match kind {
            EntryKind::Claim => Some(Keeper { node, addr, fence }),
            EntryKind::Renewal => Some(Keeper { node, addr, fence: known.unwrap_or(fence) }),
            EntryKind::Release => None,
        };
    }
}
