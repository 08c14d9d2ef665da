//! Requests, and parts of prompts, under which engines have ended, so that those which crash engines
//! are sent to no more.
//!
//! An engine's end takes along all requests that run there, so one end proves nothing. Each node
//! reports the ends that it sees to the node that it polls, up to the leader, and is told of subjects
//! under which several engines have ended. Reports and states are merged, so that their order and
//! repetitions do not matter. A request is acquitted for good by a complete response; a part only of
//! the ends until then, as a part may begin to crash engines.

mod blame;
mod exchange;
mod generations;
mod report;
mod suspect;
mod weighing;

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::in_flight::EngineKey;
use crate::{ChangeLog, CrashSubject, Engines, Millis, RankedSubject, RequestDigest};

use generations::Generations;
use suspect::{Moment, Suspect};

pub use report::{BlockedSubject, CrashReport, CrashState, Origin, Verdict};

/// Engines that have ended under a subject before it is sent to no more.
pub const ENDS_TO_BLOCK: usize = 3;

/// Engines that have ended under a subject before a node makes no further attempt by itself: each
/// attempt may end one more engine, with all that runs there.
pub const ENDS_TO_STOP_RETRIES: usize = 2;

/// Maximum number of subjects with fewer ends that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of blocked subjects that are remembered.
const MAX_BLOCKED: usize = 1_000;

/// Time from the last end under a blamed part until one request with it may be sent to an engine, to find
/// out whether it is the culprit, for each such trial. A culprit ends that engine.
const TRIAL_AFTER: [Millis; 3] = [1_000, 5_000, 60_000];

/// Whether a subject may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendPermission {
    Allowed,
    /// Three engines seem to have ended under it. That is certain, or refuted, in this time.
    Suspended(Millis),
    /// Three engines have ended under it.
    Blocked,
}

/// When reports of ended engines are confirmed or refuted.
#[derive(Debug, Clone, Copy)]
pub struct JudgeParams {
    /// Time after which an engine that is still listed has not ended.
    pub listed_for: Millis,
    /// Whether the list of engines is up to date.
    pub list_is_fresh: bool,
    /// Time in which the nodes learn what others have seen of a part that is new to them. One that engines
    /// have outlived before is given three times as long to prove itself again.
    pub agreed_within: Millis,
    /// Time after which an end counts no more, unless its subject is blocked.
    pub forget_after: Millis,
}

/// Subjects under which engines have ended, as far as this node knows.
#[derive(Debug, Default)]
pub struct CrashHistory {
    suspects: IndexMap<CrashSubject, Suspect>,
    /// Subjects that explain the ends of engines.
    blamed: IndexSet<CrashSubject>,
    /// Subjects with as many ends, all of which the blamed ones explain.
    explained: IndexSet<CrashSubject>,
    /// When the blame has to be weighed anew; none while nothing changes.
    weigh_at: Option<Millis>,
    /// Requests that an engine has answered, in two generations.
    completed: Generations<RequestDigest>,
    /// Parts that an engine has outlived.
    outlived: Generations<u64>,
    /// Subjects that other nodes are told of.
    changed: ChangeLog<CrashSubject>,
    /// Reports, and when they were made.
    reports: VecDeque<(Millis, CrashReport)>,
    /// Number of reports before the first of `reports`.
    dropped_reports: u64,
    /// Time at which a suspended subject is judged at the latest.
    listed_for: Millis,
    /// See [`JudgeParams`].
    agreed_within: Millis,
}

impl CrashHistory {
    /// The history of a process with this identifier, which is not 0.
    pub fn new(process_id: u64) -> CrashHistory {
        CrashHistory { changed: ChangeLog::new(process_id), ..CrashHistory::default() }
    }

    /// Whether a subject may be sent to an engine.
    pub fn permission(&mut self, subject: CrashSubject, now: Millis) -> SendPermission {
        self.weigh_if_due(now);
        let Some(suspect) = self.suspects.get(&subject) else { return SendPermission::Allowed };
        if suspect.is_blocked {
            return SendPermission::Blocked;
        }
        if !self.blamed.contains(&subject) {
            return SendPermission::Allowed;
        }
        let reported_at = suspect.latest().unwrap_or(now);
        SendPermission::Suspended((reported_at + self.listed_for).saturating_sub(now))
    }

    /// Whether a request with a withheld part may be sent as a trial, unless another is.
    pub fn is_trial_due(&self, subject: CrashSubject, now: Millis) -> bool {
        let Some(suspect) = self.suspects.get(&subject).filter(|_| subject.is_part()) else {
            return false;
        };
        let withheld = suspect.is_blocked || self.blamed.contains(&subject);
        let wait = TRIAL_AFTER.get(suspect.trials).zip(suspect.latest());
        withheld && wait.is_some_and(|(wait, latest)| now >= latest + wait)
    }

    /// Gives a trial, at the leader. Returns whether the request may be sent.
    pub fn grant_trial(&mut self, subject: CrashSubject, now: Millis) -> bool {
        if !self.is_trial_due(subject, now) {
            return false;
        }
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.trials += 1;
        }
        self.record_change(subject);
        true
    }

    /// Number of engines that seem to have ended under a subject.
    pub fn ends(&self, subject: CrashSubject) -> usize {
        let Some(suspect) = self.suspects.get(&subject) else { return 0 };
        let least = if suspect.is_blocked { ENDS_TO_BLOCK } else { 0 };
        suspect.count().max(least)
    }

    /// Number of subjects under which so many engines have ended that nodes do not retry them.
    pub fn suspects(&self) -> usize {
        let has_ends = |suspect: &&Suspect| suspect.count() >= ENDS_TO_STOP_RETRIES;
        self.suspects.values().filter(has_ends).count()
    }

    /// The blocked subjects.
    pub fn blocked(&self) -> impl Iterator<Item = (CrashSubject, BlockedSubject)> {
        let blocked = self.suspects.iter().filter(|(_, suspect)| suspect.is_blocked);
        blocked.map(|(subject, suspect)| {
            let Suspect { origin, depth, trials, .. } = *suspect;
            let engines = suspect.engines().collect();
            (*subject, BlockedSubject { origin, depth, engines, trials })
        })
    }

    pub fn is_blocked(&self, subject: CrashSubject) -> bool {
        self.suspects.get(&subject).is_some_and(|suspect| suspect.is_blocked)
    }

    /// Records that an engine ended under a subject. Returns whether that is new.
    pub fn record_end(
        &mut self,
        RankedSubject { subject, depth }: RankedSubject,
        origin: Origin,
        engine: EngineKey,
        now: Millis,
    ) -> bool {
        let ranked = RankedSubject { subject, depth };
        let is_new = self.add_end(ranked, origin, engine, Moment::ago(now, 0), now);
        if is_new {
            let report = CrashReport::Ended { subject, origin, engine, depth, age: 0 };
            self.add_report(report, now);
        }
        is_new
    }

    /// Records that an engine has outlived a subject: it has sent a complete response, or, for a part, has
    /// been writing one for a while. Returns the number of ends that this refutes.
    pub fn record_completion(&mut self, subject: CrashSubject, now: Millis) -> usize {
        let suspect = self.suspects.get(&subject);
        let (ends, is_blocked) = suspect.map_or((0, false), |s| (s.count(), s.is_blocked));
        match subject {
            CrashSubject::Request(digest) => self.completed.insert(digest),
            CrashSubject::Part(id) => self.outlived.insert(id),
        }
        if ends > 0 || is_blocked {
            match subject {
                CrashSubject::Request(_) => self.acquit(subject),
                CrashSubject::Part(_) => drop(self.outlive(subject, Moment::ago(now, 0), now)),
            }
            self.add_report(CrashReport::Completed { subject, age: 0 }, now);
        }
        ends
    }

    /// Blocks a subject, unless an engine has outlived it.
    pub fn block(&mut self, subject: CrashSubject, blocked: BlockedSubject, now: Millis) {
        if matches!(subject, CrashSubject::Request(digest) if self.completed.contains(&digest)) {
            return;
        }
        let BlockedSubject { origin, depth, engines, trials } = blocked;
        for engine in engines {
            let ranked = RankedSubject { subject, depth };
            self.add_end(ranked, origin, engine, Moment::ago(now, 0), now);
        }
        if self.is_blocked(subject) {
            return;
        }
        self.make_room_for_blocked();
        let suspect = self.suspects.entry(subject).or_default();
        (suspect.origin, suspect.depth, suspect.is_blocked) = (origin, depth, true);
        suspect.trials = suspect.trials.max(trials);
        self.record_change(subject);
        self.weigh_at = Some(now);
    }

    fn make_room_for_blocked(&mut self) {
        let is_blocked = |suspect: &Suspect| suspect.is_blocked;
        if self.suspects.values().filter(|suspect| is_blocked(suspect)).count() >= MAX_BLOCKED {
            self.drop_of_largest_origin(is_blocked, |_| 0);
        }
    }

    /// Confirms or refutes that engines have ended, by the list of engines. Returns the subjects that
    /// are blocked from now on, with the engines that ended.
    pub fn judge(
        &mut self,
        engines: &Engines,
        params: JudgeParams,
        now: Millis,
    ) -> Vec<(CrashSubject, Vec<EngineKey>)> {
        (self.listed_for, self.agreed_within) = (params.listed_for, params.agreed_within);
        for suspect in self.suspects.values_mut() {
            if suspect.judge(engines, params, now) {
                self.weigh_at = Some(now);
            }
        }
        let changed = &mut self.changed;
        self.suspects.retain(|subject, suspect| {
            let is_empty = suspect.is_empty(now, params.forget_after);
            if is_empty {
                changed.forget(subject);
            }
            !is_empty
        });
        self.weigh_if_due(now);
        self.release_explained();
        let to_block = self.blamed.iter().filter_map(|subject| {
            let suspect = self.suspects.get(subject).filter(|suspect| !suspect.is_blocked)?;
            let confirmed: Vec<EngineKey> = suspect.confirmed().collect();
            (confirmed.len() >= ENDS_TO_BLOCK).then_some((*subject, confirmed))
        });
        let to_block: Vec<_> = to_block.collect();
        for (subject, confirmed) in &to_block {
            let Suspect { origin, depth, trials, .. } = self.suspects[subject];
            let blocked = BlockedSubject { origin, depth, engines: confirmed.clone(), trials };
            self.block(*subject, blocked, now);
        }
        to_block
    }

    /// Whether an engine that ended then is known not to have ended because of a subject.
    fn is_refuted(&self, subject: CrashSubject, ended_at: Moment) -> bool {
        match subject {
            CrashSubject::Request(digest) => self.completed.contains(&digest),
            CrashSubject::Part(_) => {
                self.suspects.get(&subject).is_some_and(|suspect| suspect.is_refuted(ended_at))
            }
        }
    }

    fn add_end(
        &mut self,
        RankedSubject { subject, depth }: RankedSubject,
        origin: Origin,
        engine: EngineKey,
        ended_at: Moment,
        now: Millis,
    ) -> bool {
        if self.is_refuted(subject, ended_at) {
            return false;
        }
        let suspect = self.suspect(subject);
        if !suspect.is_blocked {
            suspect.origin = origin;
        }
        suspect.depth = suspect.depth.max(depth);
        if !suspect.add(engine, ended_at) {
            return false;
        }
        let ends = suspect.count();
        if ends >= ENDS_TO_STOP_RETRIES {
            self.record_change(subject);
        }
        if ends >= ENDS_TO_BLOCK {
            self.weigh_at = Some(now);
        }
        true
    }

    /// What is known of a subject, from now on if nothing was.
    fn suspect(&mut self, subject: CrashSubject) -> &mut Suspect {
        if !self.suspects.contains_key(&subject) && self.suspects.len() >= MAX_SUSPECTS {
            self.make_room_for_suspect();
        }
        self.suspects.entry(subject).or_default()
    }

    fn make_room_for_suspect(&mut self) {
        let is_blocked = |suspect: &Suspect| suspect.is_blocked;
        let suspects = self.suspects.values().filter(|suspect| !is_blocked(suspect)).count();
        if suspects >= MAX_SUSPECTS {
            self.drop_of_largest_origin(|s| !is_blocked(s), Suspect::count);
        }
    }

    /// Drops the entry with the lowest rank of the origin that has the most, among those that `may_go`.
    fn drop_of_largest_origin(
        &mut self,
        may_go: impl Fn(&Suspect) -> bool,
        rank: impl Fn(&Suspect) -> usize,
    ) {
        let mut counts: IndexMap<Origin, usize> = IndexMap::new();
        for suspect in self.suspects.values().filter(|suspect| may_go(suspect)) {
            *counts.entry(suspect.origin).or_default() += 1;
        }
        let largest = counts.into_iter().max_by_key(|(_, count)| *count).map(|(origin, _)| origin);
        let of_largest =
            self.suspects.iter().filter(|(_, s)| may_go(s) && Some(s.origin) == largest);
        let dropped = of_largest.min_by_key(|(_, s)| rank(s)).map(|(subject, _)| *subject);
        if let Some(subject) = dropped {
            self.suspects.shift_remove(&subject);
            self.blamed.shift_remove(&subject);
            self.changed.forget(&subject);
        }
    }

    /// Refutes the ends of a part until then. Returns whether that is news.
    fn outlive(&mut self, subject: CrashSubject, at: Moment, now: Millis) -> bool {
        let suspect = self.suspect(subject);
        let before = suspect.count();
        let is_news = suspect.outlive(at);
        let ends = suspect.count();
        suspect.is_blocked &= ends >= ENDS_TO_BLOCK;
        if before >= ENDS_TO_STOP_RETRIES && ends != before {
            self.record_change(subject);
        }
        if before >= ENDS_TO_BLOCK && ends != before {
            // Not blamed any more until it is weighed with what is left.
            self.blamed.shift_remove(&subject);
            self.weigh_at = Some(now);
        }
        is_news
    }

    fn acquit(&mut self, subject: CrashSubject) {
        self.blamed.shift_remove(&subject);
        let Some(suspect) = self.suspects.shift_remove(&subject) else { return };
        if suspect.is_blocked || suspect.count() >= ENDS_TO_STOP_RETRIES {
            self.record_change(subject);
        }
    }
}
