//! Determines which records of a stream are valid; every reader computes the same result.

use hgw_types::{Offset, RecordId, Term};

use crate::Leader;
use crate::record::{Body, Record, Snapshot};

/// The leader and position after the records read so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fold {
    pub(crate) leader: Option<Leader>,
    /// The claim record of `leader`, if it was read.
    pub(crate) claim: Option<RecordId>,
    /// Offset of the latest valid claim, also after its release.
    pub(crate) term: Term,
    /// Sequence number of the last valid record of the term.
    pub(crate) seq: u64,
    /// The last record missed, if earlier claims may have been missed; then a term not seen before
    /// may be valid, and a claim by a node that had not read up to here may be void.
    missed: Option<Offset>,
}

/// Effect of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordEffect {
    Claimed,
    Entries,
    Snapshot,
    Released,
    Void,
}

impl Fold {
    /// The state at the offset covered by the snapshot.
    pub(crate) fn at_snapshot(snapshot: &Snapshot) -> Fold {
        Fold {
            leader: Some(Leader { node: snapshot.node.clone(), term: snapshot.term }),
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

    pub(crate) fn apply(&mut self, offset: Offset, record: &Record) -> RecordEffect {
        match &record.body {
            Body::Claim { node, read_to } => {
                // A delayed or duplicated claim must not replace a leader that its writer did not
                // know of. It is void, because its writer had not read the claim that it would
                // replace. Of two concurrent claims, the first one is valid.
                let known = self.missed.is_none_or(|missed| *read_to >= missed);
                if read_to.0 < self.term.0 || !known {
                    return RecordEffect::Void;
                }
                self.term = Term(offset.0);
                self.seq = 0;
                self.leader = Some(Leader { node: node.clone(), term: self.term });
                self.claim = Some(record.id);
                self.missed = None;
                RecordEffect::Claimed
            }
            Body::Entries { term, seq, .. } => {
                self.check_sequence(*term, *seq, RecordEffect::Entries)
            }
            Body::Snapshot(snapshot) => {
                self.check_sequence(snapshot.term, snapshot.seq, RecordEffect::Snapshot)
            }
            Body::Release { term, seq } => {
                let effect = self.check_sequence(*term, *seq, RecordEffect::Released);
                if effect == RecordEffect::Released {
                    self.leader = None;
                    self.claim = None;
                }
                effect
            }
        }
    }

    /// A record of an older term is void, because its writer was superseded. A duplicate is void,
    /// because its `seq` was already seen. There are no gaps, since the leader sends the next
    /// record only after reading this one back.
    fn check_sequence(&mut self, term: Term, seq: u64, effect: RecordEffect) -> RecordEffect {
        let next = self.leader.is_some() && term == self.term && seq == self.seq + 1;
        let possible = self.missed.is_some() && (term, seq) > (self.term, self.seq);
        if !next && !possible {
            return RecordEffect::Void;
        }
        self.term = term;
        self.seq = seq;
        effect
    }
}
