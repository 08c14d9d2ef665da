//! The keys used, as every reader of the shard's stream computes them.

use std::collections::VecDeque;

use bytes::Bytes;
use hgw_types::RecordId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Settings;
use crate::record::{Body, Key, Record};

/// A key used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Used {
    /// The record that began the call.
    pub(crate) begin: RecordId,
    pub(crate) fingerprint: u64,
    /// The answer, where it is known and kept.
    pub(crate) answer: Option<Bytes>,
    /// When it began, by the shard's time.
    since: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The shard's time in seconds.
    clock: u64,
    used: IndexMap<Key, Used>,
    /// Keys by the time they began, with the record that began them.
    order: VecDeque<(u64, Key, RecordId)>,
    /// Keys with an answer, oldest first.
    answers: VecDeque<(Key, RecordId)>,
    answers_bytes: usize,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    clock: u64,
    used: Vec<(Key, Used)>,
}

impl Table {
    pub(crate) fn get(&self, key: &Key) -> Option<&Used> {
        self.used.get(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    pub(crate) fn clock(&self) -> u64 {
        self.clock
    }

    pub(crate) fn apply(&mut self, cfg: &Settings, id: RecordId, record: Record) {
        self.clock = self.clock.max(record.clock);
        self.expire(cfg);
        let Record { key, body, .. } = record;
        match body {
            Body::Begin { fingerprint } => self.begin(key, id, fingerprint),
            Body::Done { begin, answer } => self.done(cfg, key, begin, answer),
            Body::NotRun { begin } => {
                if self.used.get(&key).is_some_and(|used| used.begin == begin) {
                    self.remove(&key);
                }
            }
        }
    }

    /// A key that is in use stays with the call that began first.
    fn begin(&mut self, key: Key, begin: RecordId, fingerprint: u64) {
        if self.used.contains_key(&key) {
            return;
        }
        self.order.push_back((self.clock, key.clone(), begin));
        self.used.insert(key, Used { begin, fingerprint, answer: None, since: self.clock });
    }

    fn done(&mut self, cfg: &Settings, key: Key, begin: RecordId, answer: Option<Bytes>) {
        let Some(used) = self.used.get_mut(&key).filter(|used| used.begin == begin) else { return };
        if used.answer.is_some() {
            return;
        }
        self.answers_bytes += answer.as_ref().map_or(0, Bytes::len);
        used.answer = answer;
        self.answers.push_back((key, begin));
        while self.answers_bytes > cfg.answers_bytes {
            let Some((key, begin)) = self.answers.pop_front() else { break };
            self.forget_answer(&key, begin);
        }
    }

    fn forget_answer(&mut self, key: &Key, begin: RecordId) {
        let Some(used) = self.used.get_mut(key).filter(|used| used.begin == begin) else { return };
        let size = used.answer.take().map_or(0, |answer| answer.len());
        self.answers_bytes -= size;
    }

    fn remove(&mut self, key: &Key) {
        if let Some(used) = self.used.swap_remove(key) {
            self.answers_bytes -= used.answer.map_or(0, |answer| answer.len());
        }
    }

    fn expire(&mut self, cfg: &Settings) {
        let limit = self.clock.saturating_sub(cfg.retention.as_secs());
        while self.order.front().is_some_and(|(since, ..)| *since < limit) {
            let Some((_, key, begin)) = self.order.pop_front() else { return };
            if self.used.get(&key).is_some_and(|used| used.begin == begin) {
                self.remove(&key);
            }
        }
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let used = self.used.iter().map(|(key, used)| (key.clone(), used.clone()));
        let mut used: Vec<_> = used.collect();
        used.sort_by_key(|(_, used)| (used.since, used.begin));
        Snapshot { clock: self.clock, used }
    }

    pub(crate) fn restore(snapshot: Snapshot) -> Table {
        let mut table = Table { clock: snapshot.clock, ..Table::default() };
        for (key, used) in snapshot.used {
            table.order.push_back((used.since, key.clone(), used.begin));
            if let Some(answer) = &used.answer {
                table.answers_bytes += answer.len();
                table.answers.push_back((key.clone(), used.begin));
            }
            table.used.insert(key, used);
        }
        table
    }
}
