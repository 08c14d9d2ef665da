//! A fake log with faults, and a reader for it.

#![allow(dead_code, reason = "each test uses a part")]

use bytes::Bytes;
use hgw_claim::{Action, AppendOutcome, Claim, Event, Settings};
use hgw_types::{NodeId, Offset, RecordId, Scope, Time};

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Stored,
    Refused,
    /// Stored, but the response is lost.
    AnswerLost,
    /// Neither stored nor acknowledged.
    RecordLost,
    /// Not acknowledged, and stored when [`Log::land`] is called.
    Late,
    Twice,
}

#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) records: Vec<Bytes>,
    /// Records up to this number were trimmed.
    pub(crate) trimmed: usize,
    pub(crate) late: Vec<Bytes>,
    pub(crate) appends: usize,
}

impl Log {
    pub(crate) fn append(&mut self, data: Bytes, fate: Fate) -> AppendOutcome {
        self.appends += 1;
        match fate {
            Fate::Stored => self.records.push(data),
            Fate::Refused => return AppendOutcome::NotStored,
            Fate::AnswerLost => {
                self.records.push(data);
                return AppendOutcome::Unknown;
            }
            Fate::RecordLost => return AppendOutcome::Unknown,
            Fate::Late => {
                self.late.push(data);
                return AppendOutcome::Unknown;
            }
            Fate::Twice => {
                self.records.push(data.clone());
                self.records.push(data);
            }
        }
        AppendOutcome::Stored(Offset(self.records.len() as u64))
    }

    /// Stores the late append with this index.
    pub(crate) fn land(&mut self, index: usize) {
        if !self.late.is_empty() {
            let data = self.late.remove(index % self.late.len());
            self.records.push(data);
        }
    }

    /// Trims all but the newest `keep` records.
    pub(crate) fn trim(&mut self, keep: usize) {
        self.trimmed = self.trimmed.max(self.records.len().saturating_sub(keep));
    }
}

/// A claim with its position in the log.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) claim: Claim,
    pub(crate) next: usize,
    pub(crate) node: NodeId,
}

impl Reader {
    pub(crate) fn new(cfg: Settings, name: &str, boot: u64) -> Reader {
        let node: NodeId = name.parse().unwrap();
        let scope: Scope = "keeper/d1".parse().unwrap();
        Reader { claim: Claim::new(cfg, scope, node.clone(), boot), next: 1, node }
    }

    pub(crate) fn read(&mut self, log: &Log, now: Time, max: usize, out: &mut Vec<Action>) {
        if self.next <= log.trimmed {
            self.next = log.trimmed + 1;
            let first = Offset(self.next as u64);
            self.claim.handle(now, Event::Trimmed { first }, out);
        }
        let last = log.records.len().min(self.next + max - 1);
        while self.next <= last {
            let offset = Offset(self.next as u64);
            let data = log.records[self.next - 1].clone();
            self.next += 1;
            self.claim.handle(now, Event::Read { offset, data }, out);
        }
        if self.next > log.records.len() {
            self.claim.handle(now, Event::CaughtUp, out);
        }
    }
}

pub(crate) fn id(boot: u64, seq: u64) -> RecordId {
    RecordId { boot, seq }
}
