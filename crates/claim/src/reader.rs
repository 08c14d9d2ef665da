//! Reads a stream, including one whose start was trimmed.

use std::collections::VecDeque;

use hgw_types::Offset;

use crate::fold::{Fold, RecordEffect};
use crate::record::{Body, Record, Snapshot};

/// A record with its effect.
#[derive(Debug, Clone)]
pub(crate) struct ReadRecord {
    pub(crate) offset: Offset,
    pub(crate) record: Record,
    pub(crate) effect: RecordEffect,
}

/// Result of reading a record.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// A record whose effect is known.
    Known(Box<ReadRecord>),
    /// The effect is not known yet, since the state before it is unknown.
    Buffered,
    /// A snapshot that establishes the state, with the records after the offset that it covers.
    Restored(Box<Snapshot>, Vec<ReadRecord>),
}

#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) fold: Fold,
    /// Offset of the last record read, or of the last one trimmed.
    pub(crate) position: Offset,
    /// Set while records are missing that no snapshot has replaced.
    search: Option<Search>,
}

/// Records read while the state is unknown.
#[derive(Debug)]
struct Search {
    /// Offset of the first record in `records`.
    first: Offset,
    records: VecDeque<(Offset, Record)>,
    /// Whether the state before `first` is assumed to be empty until a snapshot is read.
    assumed_empty: bool,
}

impl Reader {
    pub(crate) fn new() -> Reader {
        Reader { fold: Fold::default(), position: Offset(0), search: None }
    }

    /// Whether all valid records, or a snapshot of them, have been read, or the state before them
    /// is assumed to be empty.
    pub(crate) fn is_usable(&self) -> bool {
        self.search.as_ref().is_none_or(|search| search.assumed_empty)
    }

    /// Returns whether records were missed.
    pub(crate) fn trimmed(&mut self, first: Offset) -> bool {
        if first.0 <= self.position.0 + 1 {
            return false;
        }
        self.position = Offset(first.0 - 1);
        self.fold = Fold::default();
        self.search = Some(Search::new(first));
        true
    }

    /// Assumes that the state before the oldest record is empty.
    ///
    /// Entries of unknown terms are applied too, although some may be void or duplicates. For the
    /// users of this crate an extra entry is safe, but a missing one is not.
    pub(crate) fn begin_empty(&mut self) -> Vec<ReadRecord> {
        let Some(search) = &mut self.search else { return Vec::new() };
        search.assumed_empty = true;
        self.fold = Fold::unknown(Offset(search.first.0 - 1));
        replay(&mut self.fold, search.records.iter())
    }

    pub(crate) fn read(&mut self, offset: Offset, record: Record, limit: usize) -> ReadOutcome {
        self.position = offset;
        let Some(search) = &mut self.search else {
            let effect = self.fold.apply(offset, &record);
            return ReadOutcome::Known(Box::new(ReadRecord { offset, record, effect }));
        };
        search.records.push_back((offset, record.clone()));
        if let Some((snapshot, fold, records)) = search.restore() {
            self.fold = fold;
            self.search = None;
            return ReadOutcome::Restored(Box::new(snapshot), records);
        }
        search.shrink(limit);
        if !search.assumed_empty {
            return ReadOutcome::Buffered;
        }
        let effect = self.fold.apply(offset, &record);
        if !self.fold.is_unknown() {
            self.search = None;
        }
        ReadOutcome::Known(Box::new(ReadRecord { offset, record, effect }))
    }
}

impl Search {
    fn new(first: Offset) -> Search {
        Search { first, records: VecDeque::new(), assumed_empty: false }
    }

    /// Restores the state from the last record, if it is a trustworthy snapshot.
    ///
    /// The writer was leader when it had read up to `covers`. If nothing after `covers` was missed,
    /// a newer claim that makes the snapshot void is among `records`. A snapshot that covers less
    /// may come from a superseded leader and restore an outdated state.
    fn restore(&self) -> Option<(Snapshot, Fold, Vec<ReadRecord>)> {
        let (_, record) = self.records.back()?;
        let Body::Snapshot(snapshot) = &record.body else { return None };
        if snapshot.covers.0 + 1 < self.first.0 {
            return None;
        }
        let mut fold = Fold::at_snapshot(snapshot);
        let after = self.records.iter().filter(|(offset, _)| *offset > snapshot.covers);
        let records = replay(&mut fold, after);
        let valid = records.last().is_some_and(|last| last.effect == RecordEffect::Snapshot);
        valid.then(|| (snapshot.clone(), fold, records))
    }

    /// Drops the oldest records, as if the log had trimmed them.
    fn shrink(&mut self, limit: usize) {
        while self.records.len() > limit {
            if let Some((offset, _)) = self.records.pop_front() {
                self.first = Offset(offset.0 + 1);
            }
        }
    }
}

fn replay<'a>(
    fold: &mut Fold,
    records: impl Iterator<Item = &'a (Offset, Record)>,
) -> Vec<ReadRecord> {
    let classify = |(offset, record): &(Offset, Record)| {
        let effect = fold.apply(*offset, record);
        ReadRecord { offset: *offset, record: record.clone(), effect }
    };
    records.map(classify).collect()
}
