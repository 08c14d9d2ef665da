//! The function of the stream that every node computes alike.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hgw_types::{Offset, RecordId};
use indexmap::IndexMap;

use crate::record::{Record, Refresh};
use crate::{Change, Document, Fault, check, check_change};

/// Changes whose verdict is kept for operators that ask again.
const KEPT_OUTCOMES: usize = 256;

/// Records kept by a reader that cannot judge them yet.
const KEPT_RECORDS: usize = 64;

/// What a record means at its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change is in force from its offset on.
    Accepted,
    /// The change was based on another version than the one in force.
    Superseded {
        /// The version in force.
        current: Offset,
    },
    /// The change has these faults.
    Invalid {
        /// All that were found.
        faults: Vec<Fault>,
    },
    /// A second copy of a change, without effect.
    Duplicate,
    /// Not a record of ours, without effect.
    Unreadable,
    /// Says again what is in force.
    Refreshed,
    /// Records were missed, and nothing has told yet which version was in force.
    Undecided,
}

/// The configuration in force, and how far the stream was folded.
#[derive(Debug)]
pub struct Fold {
    /// The newest configuration known, by reading or from a peer. Never replaced by an older one.
    shown: Version,
    /// Exact state of the stream at `position`, where nothing was missed.
    folded: Option<Version>,
    /// The last record read.
    position: Offset,
    pending: Pending,
    outcomes: IndexMap<RecordId, (Offset, Verdict)>,
}

#[derive(Debug, Clone)]
struct Version {
    offset: Offset,
    document: Arc<Document>,
}

/// Records that cannot be judged yet; none is missing from `first` on.
#[derive(Debug)]
struct Pending {
    first: Offset,
    records: VecDeque<(Offset, Record)>,
}

impl Default for Fold {
    fn default() -> Self {
        let empty = Version { offset: Offset(0), document: Arc::default() };
        Fold {
            shown: empty.clone(),
            folded: Some(empty),
            position: Offset(0),
            pending: Pending { first: Offset(1), records: VecDeque::new() },
            outcomes: IndexMap::new(),
        }
    }
}

impl Fold {
    /// Starts before the first record of the stream, with an empty document of version 0.
    pub fn new() -> Fold {
        Fold::default()
    }

    /// The version in force here: the offset of its change, or 0.
    pub fn version(&self) -> Offset {
        self.shown.offset
    }

    /// The document in force here.
    pub fn document(&self) -> &Arc<Document> {
        &self.shown.document
    }

    /// Whether the stream was folded without a gap, so that changes can be judged.
    pub fn is_exact(&self) -> bool {
        self.folded.is_some()
    }

    /// The last record read.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Where a change stands and what became of it, where it was judged lately.
    pub fn outcome(&self, id: RecordId) -> Option<(Offset, &Verdict)> {
        self.outcomes.get(&id).map(|(offset, verdict)| (*offset, verdict))
    }

    /// Finds all faults of a change before it is published; the base is judged by the stream.
    pub fn check(&self, document: &Document) -> Result<(), Vec<Fault>> {
        check(document)?;
        check_change(&self.shown.document, document)
    }

    /// Takes the next record. A record read before is without effect.
    pub fn apply(&mut self, offset: Offset, data: &[u8]) -> Verdict {
        if offset <= self.position {
            return Verdict::Duplicate;
        }
        self.position = offset;
        let Some(record) = Record::decode(data) else { return Verdict::Unreadable };
        let verdict = match (&mut self.folded, record) {
            (Some(_), Record::Change(change)) => self.judge(offset, change),
            (Some(_), Record::Refresh(_)) => Verdict::Refreshed,
            (None, record) => self.postpone(offset, record),
        };
        self.show();
        verdict
    }

    /// The records before `first` are gone. Those not read yet were missed.
    pub fn trimmed(&mut self, first: Offset) {
        if first.0 <= self.position.0 + 1 {
            return;
        }
        self.position = Offset(first.0 - 1);
        self.folded = None;
        self.pending = Pending { first, records: VecDeque::new() };
        // What a peer told may be newer than all that was missed.
        if self.shown.offset >= self.position {
            self.resume(self.shown.clone(), self.shown.offset);
        }
    }

    /// Takes a configuration from a peer, unless it is older than the one in force here. Says whether
    /// it is in force now.
    pub fn adopt(&mut self, version: Offset, document: Document) -> bool {
        if version <= self.shown.offset {
            return false;
        }
        let known = Version { offset: version, document: Arc::new(document) };
        if self.folded.is_none() {
            self.resume(known.clone(), version);
        }
        if version > self.shown.offset {
            self.shown = known;
        }
        true
    }

    /// Takes the state before the oldest record kept to be empty: for when neither the stream nor any
    /// peer knows a configuration, since none was running when the last one expired.
    pub fn begin_empty(&mut self) {
        if self.folded.is_none() {
            let empty = Version { offset: Offset(0), document: Arc::default() };
            let covers = Offset(self.pending.first.0 - 1);
            self.resume(empty, covers);
        }
    }

    /// The record that says again what is in force; none while that is not known for sure.
    pub fn refresh(&self) -> Option<Bytes> {
        let folded = self.folded.as_ref().filter(|folded| folded.offset > Offset(0))?;
        let refresh = Refresh {
            version: folded.offset,
            covers: self.position,
            document: Document::clone(&folded.document),
        };
        Some(Record::Refresh(refresh).encode())
    }

    /// Accepts a change based on the version in force. Two operators who race name the same base: the
    /// first record wins everywhere, and the other one is superseded everywhere. A second copy of an
    /// accepted change names a base that is no longer in force.
    fn judge(&mut self, offset: Offset, change: Change) -> Verdict {
        let Some(folded) = &mut self.folded else { return Verdict::Undecided };
        let verdict = if change.base != folded.offset {
            Verdict::Superseded { current: folded.offset }
        } else {
            let checked = check(&change.document);
            match checked.and_then(|()| check_change(&folded.document, &change.document)) {
                Ok(()) => {
                    let document = Arc::new(change.document);
                    *folded = Version { offset, document };
                    Verdict::Accepted
                }
                Err(faults) => Verdict::Invalid { faults },
            }
        };
        // What was judged before is only for the operators: a reader that started later lacks it and
        // must come to the same document.
        if verdict != Verdict::Accepted && self.outcomes.contains_key(&change.id) {
            return Verdict::Duplicate;
        }
        self.outcomes.insert(change.id, (offset, verdict.clone()));
        if self.outcomes.len() > KEPT_OUTCOMES {
            self.outcomes.shift_remove_index(0);
        }
        verdict
    }

    /// Keeps a record until it can be judged. A refresh makes the state known where its writer had
    /// read all that this reader missed.
    fn postpone(&mut self, offset: Offset, record: Record) -> Verdict {
        if let Record::Refresh(refresh) = &record {
            let document = Arc::new(refresh.document.clone());
            let known = Version { offset: refresh.version, document };
            if self.resume(known, refresh.covers) {
                return Verdict::Refreshed;
            }
        }
        self.pending.push(offset, record);
        Verdict::Undecided
    }

    /// Folds on from a state that was exact at `covers`, where no record after it was missed.
    ///
    /// A change read after a gap may name a base that was superseded inside the gap. Accepting it
    /// would put a configuration in force here that all others have rejected.
    fn resume(&mut self, known: Version, covers: Offset) -> bool {
        if covers.0 + 1 < self.pending.first.0 {
            return false;
        }
        self.folded = Some(known);
        self.position = self.position.max(covers);
        for (offset, record) in std::mem::take(&mut self.pending.records) {
            if let Record::Change(change) = record
                && offset > covers
            {
                self.judge(offset, change);
            }
        }
        self.show();
        true
    }

    fn show(&mut self) {
        if let Some(folded) = &self.folded
            && folded.offset > self.shown.offset
        {
            self.shown = folded.clone();
        }
    }
}

impl Pending {
    fn push(&mut self, offset: Offset, record: Record) {
        self.records.push_back((offset, record));
        while self.records.len() > KEPT_RECORDS {
            if let Some((oldest, _)) = self.records.pop_front() {
                self.first = Offset(oldest.0 + 1);
            }
        }
    }
}
