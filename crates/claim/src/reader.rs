//! Reading a stream, also one whose start is gone.

use std::collections::VecDeque;

use hgw_types::Offset;

use crate::fold::{Fold, Verdict};
use crate::record::{Body, Record, Snapshot};

/// A record with its meaning.
#[derive(Debug, Clone)]
pub(crate) struct Judged {
    pub(crate) offset: Offset,
    pub(crate) record: Record,
    pub(crate) verdict: Verdict,
}

/// What came of a record.
#[derive(Debug)]
pub(crate) enum Read {
    /// It was judged.
    Judged(Box<Judged>),
    /// Nothing yet: the state before it is not known.
    Waiting,
    /// It is a snapshot that makes the state known; these records come after what it covers.
    Restored(Box<Snapshot>, Vec<Judged>),
}

#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) fold: Fold,
    /// The last record read, or the last one before the oldest kept.
    pub(crate) position: Offset,
    /// Set while records were missed and no snapshot has made up for them.
    search: Option<Search>,
}

/// Records read while the state is not known.
#[derive(Debug)]
struct Search {
    /// Records from here on are in `records`.
    first: Offset,
    records: VecDeque<(Offset, Record)>,
    /// The state before `first` is taken to be empty until a snapshot says otherwise.
    assumed_empty: bool,
}

impl Reader {
    pub(crate) fn new() -> Reader {
        Reader { fold: Fold::default(), position: Offset(0), search: None }
    }

    /// Whether all valid records, or a snapshot of them, have been read, or the user has said that
    /// the rest does not matter.
    pub(crate) fn is_usable(&self) -> bool {
        self.search.as_ref().is_none_or(|search| search.assumed_empty)
    }

    /// Says whether records were missed.
    pub(crate) fn trimmed(&mut self, first: Offset) -> bool {
        if first.0 <= self.position.0 + 1 {
            return false;
        }
        self.position = Offset(first.0 - 1);
        self.fold = Fold::default();
        self.search = Some(Search::new(first));
        true
    }

    /// Takes the state before the oldest record kept to be empty.
    ///
    /// Entries whose term is not known are applied as well, though some may be void or second copies:
    /// for what is kept here (calls begun, orders that may take effect) one too many is safe, one
    /// missing is not.
    pub(crate) fn begin_empty(&mut self) -> Vec<Judged> {
        let Some(search) = &mut self.search else { return Vec::new() };
        search.assumed_empty = true;
        self.fold = Fold::unknown(Offset(search.first.0 - 1));
        replay(&mut self.fold, search.records.iter())
    }

    pub(crate) fn read(&mut self, offset: Offset, record: Record, limit: usize) -> Read {
        self.position = offset;
        let Some(search) = &mut self.search else {
            let verdict = self.fold.apply(offset, &record);
            return Read::Judged(Box::new(Judged { offset, record, verdict }));
        };
        search.records.push_back((offset, record.clone()));
        if let Some((snapshot, fold, judged)) = search.restore() {
            self.fold = fold;
            self.search = None;
            return Read::Restored(Box::new(snapshot), judged);
        }
        search.shrink(limit);
        if !search.assumed_empty {
            return Read::Waiting;
        }
        let verdict = self.fold.apply(offset, &record);
        if !self.fold.is_unknown() {
            self.search = None;
        }
        Read::Judged(Box::new(Judged { offset, record, verdict }))
    }
}

impl Search {
    fn new(first: Offset) -> Search {
        Search { first, records: VecDeque::new(), assumed_empty: false }
    }

    /// Takes the record read last as a snapshot, where it is one that can be trusted.
    ///
    /// Its writer held the scope when it had read up to `covers`. If nothing after `covers` was
    /// missed, a newer claim that makes it void is among the records here. A snapshot that covers
    /// less may come from a superseded holder, and would bring back a state that is no longer true.
    fn restore(&self) -> Option<(Snapshot, Fold, Vec<Judged>)> {
        let (_, record) = self.records.back()?;
        let Body::Snapshot(snapshot) = &record.body else { return None };
        if snapshot.covers.0 + 1 < self.first.0 {
            return None;
        }
        let mut fold = Fold::at_snapshot(snapshot);
        let after = self.records.iter().filter(|(offset, _)| *offset > snapshot.covers);
        let judged = replay(&mut fold, after);
        let valid = judged.last().is_some_and(|last| last.verdict == Verdict::Snapshot);
        valid.then(|| (snapshot.clone(), fold, judged))
    }

    /// Forgets the oldest records, as if the log had trimmed them.
    fn shrink(&mut self, limit: usize) {
        while self.records.len() > limit {
            if let Some((offset, _)) = self.records.pop_front() {
                self.first = Offset(offset.0 + 1);
            }
        }
    }
}

fn replay<'a>(fold: &mut Fold, records: impl Iterator<Item = &'a (Offset, Record)>) -> Vec<Judged> {
    let judge = |(offset, record): &(Offset, Record)| {
        let verdict = fold.apply(*offset, record);
        Judged { offset: *offset, record: record.clone(), verdict }
    };
    records.map(judge).collect()
}
