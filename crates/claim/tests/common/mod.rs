//! A fake log with faults, and a node that reads it.

#![allow(dead_code, reason = "each test uses a part")]

use bytes::Bytes;
use hgw_claim::{Action, AppendOutcome, Claim, Event, Settings};
use hgw_types::{NodeId, Offset, RecordId, Scope, Time};

/// What happens to an append and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    Stored,
    Rejected,
    /// Stored, but the response is lost.
    ResponseLost,
    /// Neither stored nor acknowledged.
    RecordLost,
    /// Not acknowledged, and stored when [`Log::deliver_delayed`] is called.
    Delayed,
    /// Stored twice.
    Duplicated,
}

#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) records: Vec<Bytes>,
    /// Records up to this number were trimmed.
    pub(crate) trimmed: usize,
    pub(crate) delayed: Vec<Bytes>,
    pub(crate) appends: usize,
}

impl Log {
    pub(crate) fn append(&mut self, data: Bytes, delivery: Delivery) -> AppendOutcome {
        self.appends += 1;
        match delivery {
            Delivery::Stored => self.records.push(data),
            Delivery::Rejected => return AppendOutcome::NotStored,
            Delivery::ResponseLost => {
                self.records.push(data);
                return AppendOutcome::Unknown;
            }
            Delivery::RecordLost => return AppendOutcome::Unknown,
            Delivery::Delayed => {
                self.delayed.push(data);
                return AppendOutcome::Unknown;
            }
            Delivery::Duplicated => {
                self.records.push(data.clone());
                self.records.push(data);
            }
        }
        AppendOutcome::Stored(Offset(self.records.len() as u64))
    }

    /// Stores the delayed append with this index.
    pub(crate) fn deliver_delayed(&mut self, index: usize) {
        if !self.delayed.is_empty() {
            let data = self.delayed.remove(index % self.delayed.len());
            self.records.push(data);
        }
    }

    /// Trims all but the newest `keep` records.
    pub(crate) fn trim(&mut self, keep: usize) {
        self.trimmed = self.trimmed.max(self.records.len().saturating_sub(keep));
    }
}

/// A node with its position in the log.
#[derive(Debug)]
pub(crate) struct TestNode {
    pub(crate) claim: Claim,
    pub(crate) next: usize,
    pub(crate) node: NodeId,
}

impl TestNode {
    pub(crate) fn new(cfg: Settings, name: &str, boot: u64) -> TestNode {
        let node: NodeId = name.parse().unwrap();
        let scope: Scope = "keeper/d1".parse().unwrap();
        TestNode { claim: Claim::new(cfg, scope, node.clone(), boot), next: 1, node }
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
