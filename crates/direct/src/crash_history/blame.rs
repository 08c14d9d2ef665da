//! Which subjects explain the ends of engines.
//!
//! An engine's end takes along all that runs there, so sound subjects have ends as well, and one that
//! always comes with the culprit has as many. This chooses few subjects that explain all ends.

use indexmap::IndexSet;

use crate::CrashSubject;
use crate::in_flight::EngineKey;

use super::ENDS_TO_BLOCK;

/// A subject is chosen before a more particular one only if it explains more than this many times as
/// many ends: what a culprit shares with sound requests may have a few ends of other causes.
const MORE_GENERAL_NEEDS: (usize, usize) = (3, 2);

/// A subject with enough ends to be blamed.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) subject: CrashSubject,
    pub(super) depth: u16,
    pub(super) ends: IndexSet<EngineKey>,
}

/// Chooses the subjects to blame.
pub(super) fn choose_blamed(candidates: &[Candidate]) -> IndexSet<CrashSubject> {
    let mut chosen: Vec<&Candidate> = Vec::new();
    let mut explained: IndexSet<EngineKey> = IndexSet::new();
    while let Some(next) = next_blamed(candidates, &explained) {
        explained.extend(next.ends.iter().copied());
        chosen.push(next);
    }
    without_redundant(chosen).into_iter().map(|candidate| candidate.subject).collect()
}

/// The most particular of the subjects that explain most of what is not explained yet.
fn next_blamed<'a>(
    candidates: &'a [Candidate],
    explained: &IndexSet<EngineKey>,
) -> Option<&'a Candidate> {
    let unexplained = |candidate: &Candidate| candidate.ends.difference(explained).count();
    let counted = candidates.iter().map(|candidate| (unexplained(candidate), candidate));
    let counted: Vec<_> = counted.filter(|(count, _)| *count >= ENDS_TO_BLOCK).collect();
    let most = counted.iter().map(|(count, _)| *count).max()?;
    let (times, of) = MORE_GENERAL_NEEDS;
    let near = counted.into_iter().filter(|(count, _)| count * times >= most * of);
    let rank = |(count, c): &(usize, &Candidate)| (c.depth, *count, c.subject);
    near.max_by_key(rank).map(|(_, candidate)| candidate)
}

/// Drops subjects all of whose ends others explain, the most particular first.
fn without_redundant(mut chosen: Vec<&Candidate>) -> Vec<&Candidate> {
    chosen.sort_by_key(|candidate| std::cmp::Reverse((candidate.depth, candidate.subject)));
    let mut index = 0;
    while index < chosen.len() {
        let others = || chosen.iter().enumerate().filter(|(other, _)| *other != index);
        let is_explained = |end| others().any(|(_, other)| other.ends.contains(end));
        if chosen[index].ends.iter().all(is_explained) {
            chosen.remove(index);
        } else {
            index += 1;
        }
    }
    chosen
}
