//! Appends of this node: one in flight at a time, the others queued.

use std::collections::VecDeque;

use bytes::Bytes;
use hgw_types::{RecordId, Time};

use crate::record::Entry;
use crate::{AppendOutcome, Settings};

/// A proposal that has not been sent yet.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) entry: Entry,
    pub(crate) since: Time,
}

/// The content of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    Claim,
    Entries(Vec<RecordId>),
    Snapshot,
    Release,
}

#[derive(Debug)]
pub(crate) struct AppendInFlight {
    pub(crate) id: RecordId,
    pub(crate) data: Bytes,
    pub(crate) purpose: Purpose,
    state: AppendState,
    /// A copy of it may have been stored.
    maybe_stored: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    Sent(Time),
    /// Stored, but not read back yet.
    Stored,
    /// Looked for by reading the stream; `reads` reads ended without finding it since `since`.
    LookUp {
        since: Time,
        reads: u32,
    },
}

/// Reads that must end without the record before it is sent again. The first read may have started
/// before the append timed out; the second did not.
const LOOK_UP_READS: u32 = 2;

/// Next step for the append in flight.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AppendStep {
    /// Nothing to do yet.
    Wait,
    /// It was not stored and will not be.
    Rejected(Purpose),
    /// Send the same bytes again under the same id.
    Resend(RecordId, Bytes),
}

#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) waiting: VecDeque<Waiting>,
    pub(crate) in_flight: Option<AppendInFlight>,
    pub(crate) last_sent: Option<Time>,
}

impl Outbox {
    pub(crate) fn send(&mut self, now: Time, id: RecordId, data: Bytes, purpose: Purpose) {
        self.last_sent = Some(now);
        self.in_flight = Some(AppendInFlight {
            id,
            data,
            purpose,
            state: AppendState::Sent(now),
            maybe_stored: false,
        });
    }

    /// Handles a record that was read. The append in flight is complete if it is this record and
    /// valid. A claim is complete in any case, because a claim that came too late stays void.
    pub(crate) fn read_back(&mut self, id: RecordId, valid: bool) {
        let done = |flight: &AppendInFlight| {
            flight.id == id && (valid || flight.purpose == Purpose::Claim)
        };
        if self.in_flight.as_ref().is_some_and(done) {
            self.in_flight = None;
        }
    }

    pub(crate) fn handle_outcome(
        &mut self,
        now: Time,
        id: RecordId,
        outcome: AppendOutcome,
    ) -> AppendStep {
        let Some(flight) = self.in_flight.as_mut().filter(|flight| flight.id == id) else {
            return AppendStep::Wait;
        };
        match outcome {
            AppendOutcome::Stored(_) => flight.state = AppendState::Stored,
            AppendOutcome::NotStored if !flight.maybe_stored => {
                let purpose = flight.purpose.clone();
                self.in_flight = None;
                return AppendStep::Rejected(purpose);
            }
            AppendOutcome::NotStored | AppendOutcome::Unknown => {
                flight.maybe_stored = true;
                flight.state = AppendState::LookUp { since: now, reads: 0 };
            }
        }
        AppendStep::Wait
    }

    /// Handles a read that returned all records that existed when it was made.
    pub(crate) fn read_ended(&mut self) {
        let Some(flight) = &mut self.in_flight else { return };
        if let AppendState::LookUp { reads, .. } = &mut flight.state {
            *reads += 1;
        }
    }

    /// Sends a record with an unknown outcome again if reading the stream did not find it.
    ///
    /// The first copy may still be stored later. That is harmless: both copies have the same term
    /// and `seq`, so every reader applies the first and ignores the other. A claim has no `seq`: it
    /// is abandoned, and a new one is written later.
    pub(crate) fn tick(&mut self, now: Time, cfg: &Settings) -> AppendStep {
        let Some(flight) = &mut self.in_flight else { return AppendStep::Wait };
        match flight.state {
            AppendState::Sent(at) if now.since(at) >= cfg.append_timeout => {
                flight.maybe_stored = true;
                flight.state = AppendState::LookUp { since: now, reads: 0 };
                AppendStep::Wait
            }
            AppendState::LookUp { since, reads }
                if reads >= LOOK_UP_READS && now.since(since) >= cfg.retry =>
            {
                if flight.purpose == Purpose::Claim {
                    self.in_flight = None;
                    return AppendStep::Wait;
                }
                flight.state = AppendState::Sent(now);
                let step = AppendStep::Resend(flight.id, flight.data.clone());
                self.last_sent = Some(now);
                step
            }
            _ => AppendStep::Wait,
        }
    }

    /// Removes the proposals that have waited too long; they were never sent.
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

    /// Takes the proposals for the next append.
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

    /// Clears the queue; returns the ids of unsent proposals and of those in flight.
    pub(crate) fn clear(&mut self) -> (Vec<RecordId>, Vec<RecordId>) {
        let waiting = self.waiting.drain(..).map(|waiting| waiting.entry.id).collect();
        let sent = match self.in_flight.take().map(|flight| flight.purpose) {
            Some(Purpose::Entries(ids)) => ids,
            _ => Vec::new(),
        };
        (waiting, sent)
    }
}
