//! Which records count: the function of the stream that every reader computes alike.

use hgw_types::{Offset, RecordId, Term};

use crate::Holder;
use crate::record::{Body, Record, Snapshot};

/// Who holds the scope after the records read so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fold {
    pub(crate) holder: Option<Holder>,
    /// The record that made `holder` the holder, where it was read.
    pub(crate) claim: Option<RecordId>,
    /// The latest valid claim, also after its release.
    pub(crate) term: Term,
    /// The last valid record of the term.
    pub(crate) seq: u64,
    /// Set where earlier claims may have been missed, so that a term not seen before may be valid;
    /// the last record missed. A claim by a node that had not read so far may be void.
    missed: Option<Offset>,
}

/// What a record means at its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    Claimed,
    Entries,
    Snapshot,
    Released,
    Void,
}

impl Fold {
    /// The state at the offset that the snapshot covers.
    pub(crate) fn at_snapshot(snapshot: &Snapshot) -> Fold {
        Fold {
            holder: Some(Holder { node: snapshot.node.clone(), term: snapshot.term }),
            claim: None,
            term: snapshot.term,
            seq: snapshot.covers_seq,
            missed: None,
        }
    }

    /// The state of a reader that missed records, until it reads a claim.
    pub(crate) fn unknown(missed: Offset) -> Fold {
        Fold { missed: Some(missed), ..Fold::default() }
    }

    pub(crate) fn is_unknown(&self) -> bool {
        self.missed.is_some()
    }

    pub(crate) fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        match &record.body {
            Body::Claim { node, read_to } => {
                // A claim that was held up on its way, or written twice, would take the scope from
                // a holder that its writer never knew, long after the writer lost interest. It is
                // void, as its writer had not read the claim that it would replace. Of two that
                // race, the first one holds.
                let known = self.missed.is_none_or(|missed| *read_to >= missed);
                if read_to.0 < self.term.0 || !known {
                    return Verdict::Void;
                }
                self.term = Term(offset.0);
                self.seq = 0;
                self.holder = Some(Holder { node: node.clone(), term: self.term });
                self.claim = Some(record.id);
                self.missed = None;
                Verdict::Claimed
            }
            Body::Entries { term, seq, .. } => self.written(*term, *seq, Verdict::Entries),
            Body::Snapshot(snapshot) => {
                self.written(snapshot.term, snapshot.seq, Verdict::Snapshot)
            }
            Body::Release { term, seq } => {
                let verdict = self.written(*term, *seq, Verdict::Released);
                if verdict == Verdict::Released {
                    self.holder = None;
                    self.claim = None;
                }
                verdict
            }
        }
    }

    /// A record of an older term is void: its writer was superseded, perhaps while it was paused.
    /// A second copy of a record has a `seq` that was seen, so it is void too; the holder sends the
    /// next record only when this one has been read back, so there are no gaps.
    fn written(&mut self, term: Term, seq: u64, verdict: Verdict) -> Verdict {
        let next = self.holder.is_some() && term == self.term && seq == self.seq + 1;
        let possible = self.missed.is_some() && (term, seq) > (self.term, self.seq);
        if !next && !possible {
            return Verdict::Void;
        }
        self.term = term;
        self.seq = seq;
        verdict
    }
}
