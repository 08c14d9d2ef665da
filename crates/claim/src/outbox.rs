//! What this node wants to append: one append at a time, the rest waits.

use std::collections::VecDeque;

use bytes::Bytes;
use hgw_types::{RecordId, Time};

use crate::record::Entry;
use crate::{AppendOutcome, Settings};

/// A proposal that was not sent yet.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) entry: Entry,
    pub(crate) since: Time,
}

/// What an append was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    Claim,
    Entries(Vec<RecordId>),
    Snapshot,
    Release,
}

#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) id: RecordId,
    pub(crate) data: Bytes,
    pub(crate) purpose: Purpose,
    state: State,
    /// Some copy of it may stand.
    doubt: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Sent(Time),
    /// It stands and will be read.
    Stored,
    /// Looked up by reading on; `reads` ended without it since `since`.
    LookUp {
        since: Time,
        reads: u32,
    },
}

/// Reads that must end without the record before it is sent again. The first one may have been made
/// before the append was given up on; the second one was not.
const LOOK_UPS: u32 = 2;

/// What is to be done about the append in flight.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Nothing,
    /// It does not stand and never will.
    Refused(Purpose),
    /// Send the same bytes under the same id again.
    Again(RecordId, Bytes),
}

#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) waiting: VecDeque<Waiting>,
    pub(crate) flight: Option<Flight>,
    pub(crate) last_sent: Option<Time>,
}

impl Outbox {
    pub(crate) fn send(&mut self, now: Time, id: RecordId, data: Bytes, purpose: Purpose) {
        self.last_sent = Some(now);
        self.flight = Some(Flight { id, data, purpose, state: State::Sent(now), doubt: false });
    }

    /// A record was read; the one in flight is done when it was that one and is valid. A claim is
    /// done in any case: one that came too late stays void.
    pub(crate) fn read_back(&mut self, id: RecordId, valid: bool) {
        let done = |flight: &Flight| flight.id == id && (valid || flight.purpose == Purpose::Claim);
        if self.flight.as_ref().is_some_and(done) {
            self.flight = None;
        }
    }

    pub(crate) fn answered(&mut self, now: Time, id: RecordId, outcome: AppendOutcome) -> Verdict {
        let Some(flight) = self.flight.as_mut().filter(|flight| flight.id == id) else {
            return Verdict::Nothing;
        };
        match outcome {
            AppendOutcome::Stored(_) => flight.state = State::Stored,
            AppendOutcome::NotStored if !flight.doubt => {
                let purpose = flight.purpose.clone();
                self.flight = None;
                return Verdict::Refused(purpose);
            }
            AppendOutcome::NotStored | AppendOutcome::Unknown => {
                flight.doubt = true;
                flight.state = State::LookUp { since: now, reads: 0 };
            }
        }
        Verdict::Nothing
    }

    /// A read gave all that stood when it was made.
    pub(crate) fn read_ended(&mut self) {
        let Some(flight) = &mut self.flight else { return };
        if let State::LookUp { reads, .. } = &mut flight.state {
            *reads += 1;
        }
    }

    /// Sends a record in doubt again, once it was looked up in vain.
    ///
    /// The first copy may still arrive. That is harmless: both copies carry the same term and `seq`,
    /// so every reader takes the first one to arrive and ignores the other. A claim has no `seq`: it
    /// is given up instead, and the next one is written anew.
    pub(crate) fn tick(&mut self, now: Time, cfg: &Settings) -> Verdict {
        let Some(flight) = &mut self.flight else { return Verdict::Nothing };
        match flight.state {
            State::Sent(at) if now.since(at) >= cfg.append_timeout => {
                flight.doubt = true;
                flight.state = State::LookUp { since: now, reads: 0 };
                Verdict::Nothing
            }
            State::LookUp { since, reads }
                if reads >= LOOK_UPS && now.since(since) >= cfg.retry =>
            {
                if flight.purpose == Purpose::Claim {
                    self.flight = None;
                    return Verdict::Nothing;
                }
                flight.state = State::Sent(now);
                let again = Verdict::Again(flight.id, flight.data.clone());
                self.last_sent = Some(now);
                again
            }
            _ => Verdict::Nothing,
        }
    }

    /// Proposals that have waited too long; they were never sent.
    pub(crate) fn expired(&mut self, now: Time, cfg: &Settings) -> Vec<RecordId> {
        let mut ids = Vec::new();
        while let Some(first) = self.waiting.front() {
            if now.since(first.since) < cfg.queue_age {
                break;
            }
            ids.extend(self.waiting.pop_front().map(|waiting| waiting.entry.id));
        }
        ids
    }

    /// The proposals that the next append carries.
    pub(crate) fn batch(&mut self, cfg: &Settings) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        while let Some(next) = self.waiting.front() {
            bytes += next.entry.data.len();
            let full = entries.len() >= cfg.batch_entries || bytes > cfg.batch_bytes;
            if full && !entries.is_empty() {
                break;
            }
            entries.extend(self.waiting.pop_front().map(|waiting| waiting.entry));
        }
        entries
    }

    /// Forgets everything; gives the ids of the proposals not sent and of those in flight.
    pub(crate) fn clear(&mut self) -> (Vec<RecordId>, Vec<RecordId>) {
        let waiting = self.waiting.drain(..).map(|waiting| waiting.entry.id).collect();
        let sent = match self.flight.take().map(|flight| flight.purpose) {
            Some(Purpose::Entries(ids)) => ids,
            _ => Vec::new(),
        };
        (waiting, sent)
    }
}
