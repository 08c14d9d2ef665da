//! When subjects are weighed against each other, and what follows for them.

use std::cmp::Reverse;
use std::mem::{replace, take};

use crate::{CrashSubject, Millis};

use super::blame::{Candidate, choose_blamed};
use super::{CrashHistory, ENDS_TO_BLOCK};

/// Times as long for which a part that engines have outlived before is not weighed: a rack that ends has ended
/// under all common parts.
const DOUBT_OF_OUTLIVED: Millis = 3;

/// Maximum number of subjects that are weighed against each other.
const MAX_CANDIDATES: usize = 256;

impl CrashHistory {
    /// Releases blocked subjects all of whose ends others explain by now.
    pub(super) fn release_explained(&mut self) {
        for subject in take(&mut self.explained) {
            let Some(suspect) = self.suspects.get_mut(&subject) else { continue };
            if replace(&mut suspect.is_blocked, false) {
                self.record_change(subject);
            }
        }
    }

    pub(super) fn weigh_if_due(&mut self, now: Millis) {
        if self.weigh_at.is_some_and(|at| now >= at) {
            self.weigh(now);
        }
    }

    /// Finds the subjects to blame. A part is weighed only once all nodes can know what others have seen
    /// of it.
    fn weigh(&mut self, now: Millis) {
        self.weigh_at = None;
        let mut candidates = Vec::new();
        for (subject, suspect) in &self.suspects {
            let Some(third_at) = suspect.time_of_end(ENDS_TO_BLOCK) else { continue };
            let agreed_at = third_at + self.agreed_within(*subject);
            if now < agreed_at && !suspect.is_blocked {
                self.weigh_at = Some(self.weigh_at.map_or(agreed_at, |at| at.min(agreed_at)));
                continue;
            }
            let (subject, depth, ends) = (*subject, suspect.depth, suspect.engines().collect());
            candidates.push(Candidate { subject, depth, ends });
        }
        candidates.sort_by_key(|candidate| Reverse(candidate.ends.len()));
        candidates.truncate(MAX_CANDIDATES);
        self.blamed = choose_blamed(&candidates);
        let subjects = candidates.iter().map(|candidate| candidate.subject);
        self.explained = subjects.filter(|subject| !self.blamed.contains(subject)).collect();
    }

    /// Time in which nodes agree on a subject.
    fn agreed_within(&self, subject: CrashSubject) -> Millis {
        match subject {
            CrashSubject::Request(_) => 0,
            CrashSubject::Part(id) if self.outlived.contains(&id) => {
                self.agreed_within * DOUBT_OF_OUTLIVED
            }
            CrashSubject::Part(_) => self.agreed_within,
        }
    }
}
