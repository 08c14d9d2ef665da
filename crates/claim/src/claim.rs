//! State machine of one node for the lease of a scope.

use std::time::Duration;

use bytes::Bytes;
use hgw_types::{NodeId, Offset, RecordId, Scope, Term, Time};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fold::RecordEffect;
use crate::outbox::{AppendStep, Outbox, Purpose, Waiting};
use crate::reader::{ReadOutcome, ReadRecord, Reader};
use crate::record::{Body, Entry, Record, Snapshot};
use crate::{Action, Event, Leader, Settings};

/// One node's state machine for the lease of a scope: reads the stream, claims the lease, and
/// appends records as leader.
#[derive(Debug)]
pub struct Claim {
    cfg: Settings,
    scope: Scope,
    node: NodeId,
    boot: u64,
    next_id: u64,
    rng: StdRng,
    reader: Reader,
    outbox: Outbox,
    leader_term: Option<Term>,
    candidacy: Option<Candidacy>,
    /// Whether the last read succeeded and reached the end of the stream.
    caught_up: bool,
    reported_no_snapshot: bool,
    snapshot: SnapshotClock,
    releasing: bool,
    release_due: bool,
}

/// Whether and when this node may claim the lease, according to the last membership report.
#[derive(Debug)]
struct Candidacy {
    preferred: bool,
    /// When this node may claim the lease, unless something changes.
    claim_at: Option<Time>,
}

#[derive(Debug, Default)]
struct SnapshotClock {
    entries: u64,
    next: Time,
    waiting: Option<(u64, Offset, Bytes)>,
}

impl Claim {
    /// Starts before the first record of the stream. `boot` is a random number of this process that
    /// makes its record ids unique.
    pub fn new(cfg: Settings, scope: Scope, node: NodeId, boot: u64) -> Claim {
        Claim {
            cfg,
            scope,
            node,
            boot,
            next_id: 1,
            rng: StdRng::seed_from_u64(boot),
            reader: Reader::new(),
            outbox: Outbox::default(),
            leader_term: None,
            candidacy: None,
            caught_up: false,
            reported_no_snapshot: false,
            snapshot: SnapshotClock::default(),
            releasing: false,
            release_due: false,
        }
    }

    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// The leader according to the records read so far.
    pub fn leader(&self) -> Option<&Leader> {
        self.reader.fold.leader.as_ref()
    }

    /// This node's term, while it has the lease and has read its claim back.
    pub fn leader_term(&self) -> Option<Term> {
        self.leader_term
    }

    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Read { offset, data } => self.read(now, offset, &data, out),
            Event::Trimmed { first } => self.trimmed(first, out),
            Event::CaughtUp => self.caught_up(out),
            Event::ReadFailed => self.caught_up = false,
            Event::Appended { id, outcome } => {
                let step = self.outbox.handle_outcome(now, id, outcome);
                self.handle_append_step(now, step, out);
            }
            Event::Membership { preferred, leader_alive } => {
                self.update_candidacy(now, preferred, leader_alive);
            }
            Event::Tick => {
                let step = self.outbox.tick(now, &self.cfg);
                self.handle_append_step(now, step, out);
                let expired = self.outbox.expired(now, &self.cfg);
                out.extend(expired.into_iter().map(|id| Action::Dropped { id }));
            }
        }
        self.advance(now, out);
    }

    /// Proposes an entry, which takes effect once it is returned as [`Action::Apply`].
    pub fn propose(&mut self, now: Time, id: RecordId, data: Bytes, out: &mut Vec<Action>) {
        let full = self.outbox.waiting.len() >= self.cfg.queue_entries;
        if self.leader_term.is_none() || self.releasing || full {
            out.push(Action::Dropped { id });
            return;
        }
        self.outbox.waiting.push_back(Waiting { entry: Entry { id, data }, since: now });
        self.advance(now, out);
    }

    /// Writes a snapshot of the state after all entries applied so far.
    pub fn snapshot(&mut self, now: Time, data: Bytes, out: &mut Vec<Action>) {
        if self.leader_term.is_none() || self.releasing {
            return;
        }
        self.snapshot.waiting = Some((self.reader.fold.seq, self.reader.position, data));
        self.advance(now, out);
    }

    /// Releases the lease after pending appends and never claims it again.
    pub fn release(&mut self, now: Time, out: &mut Vec<Action>) {
        self.releasing = true;
        self.release_due = self.leader_term.is_some();
        let unsent = self.outbox.waiting.drain(..);
        out.extend(unsent.map(|waiting| Action::Dropped { id: waiting.entry.id }));
        self.advance(now, out);
    }

    /// After [`Action::NoSnapshot`]: assumes that the state before the oldest record was empty,
    /// because its entries have expired for their users too.
    pub fn begin_empty(&mut self, now: Time, out: &mut Vec<Action>) {
        for record in self.reader.begin_empty() {
            self.apply_record(now, record, out);
        }
        self.advance(now, out);
    }

    fn read(&mut self, now: Time, offset: Offset, data: &[u8], out: &mut Vec<Action>) {
        if offset <= self.reader.position {
            return;
        }
        let Some(record) = Record::decode(data) else {
            self.reader.position = offset;
            return;
        };
        match self.reader.read(offset, record, self.cfg.buffered_records) {
            ReadOutcome::Known(record) => self.apply_record(now, *record, out),
            ReadOutcome::Buffered => {}
            ReadOutcome::Restored(snapshot, records) => {
                self.reported_no_snapshot = false;
                self.candidacy = None;
                out.push(Action::Restore { offset, data: snapshot.data });
                out.push(Action::LeaderChanged(self.leader().cloned()));
                for record in records {
                    self.apply_record(now, record, out);
                }
            }
        }
    }

    fn apply_record(&mut self, now: Time, read: ReadRecord, out: &mut Vec<Action>) {
        let ReadRecord { offset, record, effect } = read;
        self.outbox.read_back(record.id, effect != RecordEffect::Void);
        match (effect, record.body) {
            (RecordEffect::Claimed, _) => self.claimed(now, record.id, out),
            (RecordEffect::Released, _) => self.released(now, out),
            (RecordEffect::Entries, Body::Entries { term, entries, .. }) => {
                self.snapshot.entries += entries.len() as u64;
                let apply = |Entry { id, data }| Action::Apply { offset, term, id, data };
                out.extend(entries.into_iter().map(apply));
            }
            (RecordEffect::Snapshot, _) => {
                self.snapshot.entries = 0;
                self.snapshot.next = now + self.cfg.snapshot_age;
            }
            _ => {}
        }
    }

    fn claimed(&mut self, now: Time, id: RecordId, out: &mut Vec<Action>) {
        self.end_term(true, out);
        out.push(Action::LeaderChanged(self.leader().cloned()));
        // Membership's last report was about the previous leader.
        self.candidacy = None;
        if id.boot != self.boot {
            return;
        }
        let term = self.reader.fold.term;
        self.leader_term = Some(term);
        self.release_due = self.releasing;
        // The last snapshot may be old, as its age is counted by the previous leader.
        self.snapshot.next = now + self.cfg.first_snapshot;
        out.push(Action::LeaseAcquired(term));
    }

    fn released(&mut self, now: Time, out: &mut Vec<Action>) {
        self.end_term(true, out);
        out.push(Action::LeaderChanged(None));
        let preferred = self.candidacy.as_ref().is_some_and(|candidacy| candidacy.preferred);
        self.update_candidacy(now, preferred, false);
    }

    /// Ends this node's term. `void` means that records sent but not read back can no longer take
    /// effect, since a newer claim or the release was read first.
    fn end_term(&mut self, void: bool, out: &mut Vec<Action>) {
        let Some(term) = self.leader_term.take() else { return };
        self.snapshot.waiting = None;
        self.release_due = false;
        let (waiting, sent) = self.outbox.clear();
        out.push(Action::LeaseLost(term));
        out.extend(waiting.into_iter().map(|id| Action::Dropped { id }));
        if void {
            out.extend(sent.into_iter().map(|id| Action::Dropped { id }));
        }
    }

    fn trimmed(&mut self, first: Offset, out: &mut Vec<Action>) {
        let had_leader = self.leader().is_some();
        if !self.reader.trimmed(first) {
            return;
        }
        self.caught_up = false;
        self.reported_no_snapshot = false;
        self.end_term(false, out);
        self.outbox.clear();
        if had_leader {
            out.push(Action::LeaderChanged(None));
        }
    }

    fn caught_up(&mut self, out: &mut Vec<Action>) {
        self.caught_up = true;
        self.outbox.read_ended();
        if !self.reader.is_usable() && !self.reported_no_snapshot {
            self.reported_no_snapshot = true;
            out.push(Action::NoSnapshot);
        }
    }

    fn handle_append_step(&mut self, now: Time, step: AppendStep, out: &mut Vec<Action>) {
        match step {
            AppendStep::Wait => {}
            AppendStep::Resend(id, data) => out.push(Action::Append { id, data }),
            AppendStep::Rejected(Purpose::Entries(ids)) => {
                out.extend(ids.into_iter().map(|id| Action::Dropped { id }));
            }
            AppendStep::Rejected(Purpose::Claim) => {
                let claim_at = now + self.cfg.retry + self.jitter(self.cfg.jitter);
                if let Some(candidacy) = &mut self.candidacy {
                    candidacy.claim_at = Some(claim_at);
                }
            }
            AppendStep::Rejected(Purpose::Snapshot) => self.snapshot.next = now + self.cfg.retry,
            AppendStep::Rejected(Purpose::Release) => self.release_due = true,
        }
    }

    /// Schedules or cancels a claim.
    ///
    /// Two nodes may briefly both be preferred, each in its own view. Each waits until that has
    /// lasted for a while plus random jitter, and does not claim if it reads the other's claim
    /// meanwhile.
    fn update_candidacy(&mut self, now: Time, preferred: bool, leader_alive: bool) {
        let vacant = self.leader().is_none_or(|leader| leader.node == self.node);
        let may_claim = vacant || !leader_alive;
        let last = self.candidacy.as_ref().filter(|candidacy| candidacy.preferred == preferred);
        let last = last.and_then(|candidacy| candidacy.claim_at);
        let claim_at = may_claim.then(|| last.unwrap_or_else(|| now + self.claim_delay(preferred)));
        self.candidacy = Some(Candidacy { preferred, claim_at });
    }

    /// Returns the delay before a claim.
    ///
    /// A released lease can be claimed at once, but a leader reported dead may be unreachable only
    /// briefly. The preferred node may be unable to claim without the log or a snapshot, so after a
    /// longer time any other node does.
    fn claim_delay(&mut self, preferred: bool) -> Duration {
        let released = self.leader().is_none() && self.reader.fold.term != Term(0);
        match (preferred, released) {
            (true, true) => self.jitter(self.cfg.jitter),
            (true, false) => self.cfg.preferred_delay + self.jitter(self.cfg.jitter),
            (false, _) => self.cfg.backup_delay + self.jitter(self.cfg.backup_delay),
        }
    }

    fn jitter(&mut self, max: Duration) -> Duration {
        let max_us = u64::try_from(max.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(0..=max_us))
    }

    /// Sends the next append, if one is due and none is in flight.
    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.outbox.in_flight.is_some() {
            return;
        }
        let gap = self.outbox.last_sent.is_some_and(|at| now.since(at) < self.cfg.batch_gap);
        if gap {
            return;
        }
        match self.leader_term {
            Some(term) => self.append_next(now, term, out),
            None => self.claim_if_due(now, out),
        }
    }

    fn append_next(&mut self, now: Time, term: Term, out: &mut Vec<Action>) {
        self.request_snapshot_if_due(now, out);
        let seq = self.reader.fold.seq + 1;
        if let Some((covers_seq, covers, data)) = self.snapshot.waiting.take() {
            let node = self.node.clone();
            let snapshot = Snapshot { term, seq, node, covers, covers_seq, data };
            self.append(now, Body::Snapshot(snapshot), Purpose::Snapshot, out);
        } else if !self.outbox.waiting.is_empty() {
            let entries = self.outbox.batch(&self.cfg);
            let ids = entries.iter().map(|entry| entry.id).collect();
            let body = Body::Entries { term, seq, entries };
            self.append(now, body, Purpose::Entries(ids), out);
        } else if self.release_due {
            self.release_due = false;
            self.append(now, Body::Release { term, seq }, Purpose::Release, out);
        }
    }

    fn request_snapshot_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let due = now >= self.snapshot.next || self.snapshot.entries >= self.cfg.snapshot_entries;
        if due && !self.releasing {
            self.snapshot.entries = 0;
            self.snapshot.next = now + self.cfg.snapshot_age;
            out.push(Action::SnapshotDue);
        }
    }

    fn claim_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let ready = self.caught_up && self.reader.is_usable() && !self.releasing;
        let claim_at = self.candidacy.as_ref().and_then(|candidacy| candidacy.claim_at);
        if !ready || claim_at.is_none_or(|at| now < at) {
            return;
        }
        let body = Body::Claim { node: self.node.clone(), read_to: self.reader.position };
        self.append(now, body, Purpose::Claim, out);
    }

    fn append(&mut self, now: Time, body: Body, purpose: Purpose, out: &mut Vec<Action>) {
        let id = RecordId { boot: self.boot, seq: self.next_id };
        self.next_id += 1;
        let data = Record { id, body }.encode();
        self.outbox.send(now, id, data.clone(), purpose);
        out.push(Action::Append { id, data });
    }
}
