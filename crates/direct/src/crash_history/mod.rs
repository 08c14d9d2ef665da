//! Requests, and parts of prompts, under which engines have ended, so that those which crash engines
//! are sent to no more.
//!
//! An engine's end takes along all requests that run there, so one end proves nothing. Each node
//! reports the ends that it sees to the node that it polls, up to the leader, and is told of subjects
//! under which several engines have ended. Reports and states are merged, so that their order and
//! repetitions do not matter. A request is acquitted for good by a complete response; a part only of
//! the ends until then, as a part may begin to crash engines.

mod blame;
mod suspect;

use std::collections::VecDeque;
use std::hash::Hash;
use std::mem::{replace, take};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::in_flight::EngineKey;
use crate::{
    ChangeLog, ChangePosition, CrashSubject, Engines, Millis, RankedSubject, RequestDigest,
};

use blame::{Candidate, choose_blamed};
use suspect::{Moment, Suspect};

/// Engines that have ended under a subject before it is sent to no more.
pub const ENDS_TO_BLOCK: usize = 3;

/// Engines that have ended under a subject before a node makes no further attempt by itself: each
/// attempt may end one more engine, with all that runs there.
pub const ENDS_TO_STOP_RETRIES: usize = 2;

/// Times as long for which a part that engines have outlived before is not weighed: a rack that ends has ended
/// under all common parts.
const DOUBT_OF_OUTLIVED: Millis = 3;

/// Maximum number of subjects with fewer ends that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of blocked subjects that are remembered.
const MAX_BLOCKED: usize = 1_000;

/// Time from the last end under a blamed part until one request with it may be sent to an engine, to find
/// out whether it is the culprit, for each such trial. A culprit ends that engine.
const TRIAL_AFTER: [Millis; 3] = [1_000, 5_000, 60_000];

/// Maximum number of subjects that are weighed against each other.
const MAX_CANDIDATES: usize = 256;

/// Size at which a generation of completed requests, or of outlived parts, replaces the one before.
const COMPLETED_GENERATION: usize = 4_096;

/// Maximum number of reports that are kept for a node that this one has not polled yet.
const MAX_REPORTS: usize = 2_000;

/// Maximum number of reports or states in one message, about 30 KB.
const MAX_PER_MESSAGE: usize = 256;

/// Who sends a request, as far as known: a caller's many requests do not replace those of others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// What a node has seen of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashReport {
    /// An engine has ended under it.
    Ended {
        #[serde(rename = "digest")]
        subject: CrashSubject,
        origin: Origin,
        engine: EngineKey,
        /// How particular it is; see [`RankedSubject`].
        #[serde(default)]
        depth: u16,
        /// How long ago, in milliseconds.
        #[serde(default)]
        age: Millis,
    },
    /// Another engine has outlived it.
    Completed {
        #[serde(rename = "digest")]
        subject: CrashSubject,
        /// How long ago, in milliseconds.
        #[serde(default)]
        age: Millis,
    },
}

impl CrashReport {
    pub fn is_of_part(&self) -> bool {
        let (CrashReport::Ended { subject, .. } | CrashReport::Completed { subject, .. }) = self;
        subject.is_part()
    }

    /// The report as it is sent so much later.
    fn after(mut self, time: Millis) -> CrashReport {
        let (CrashReport::Ended { age, .. } | CrashReport::Completed { age, .. }) = &mut self;
        *age += time;
        self
    }
}

/// What is known of a subject under which several engines have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashState {
    #[serde(rename = "digest")]
    pub subject: CrashSubject,
    pub origin: Origin,
    pub verdict: Verdict,
    /// Engines that have ended under it, as far as that is not refuted.
    pub engines: Vec<EngineKey>,
    /// How long ago each of them ended, in milliseconds.
    #[serde(default)]
    pub ages: Vec<Millis>,
    /// How long ago an engine is known to have outlived it, in milliseconds.
    #[serde(default)]
    pub outlived: Option<Millis>,
    #[serde(default)]
    pub depth: u16,
    /// Trials that have been given.
    #[serde(default)]
    pub trials: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Suspected,
    /// It is sent to no engine any more.
    Blocked,
    /// An engine has answered it.
    Acquitted,
}

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

/// A blocked subject, as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedSubject {
    pub origin: Origin,
    #[serde(default)]
    pub depth: u16,
    #[serde(default)]
    pub engines: Vec<EngineKey>,
    /// Trials that have been given.
    #[serde(default)]
    pub trials: usize,
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

/// What was seen last, in two generations.
#[derive(Debug)]
struct Generations<T>([IndexSet<T>; 2]);

impl<T> Default for Generations<T> {
    fn default() -> Self {
        Generations([IndexSet::new(), IndexSet::new()])
    }
}

impl<T: Eq + Hash> Generations<T> {
    fn contains(&self, value: &T) -> bool {
        self.0.iter().any(|generation| generation.contains(value))
    }

    fn insert(&mut self, value: T) {
        let [current, previous] = &mut self.0;
        current.insert(value);
        if current.len() >= COMPLETED_GENERATION {
            drop(replace(previous, take(current)));
        }
    }
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

    /// Whether any engine has ended under any subject.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
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

    /// Applies a report of a node that polls this one, which is passed on.
    pub fn apply_report(&mut self, report: CrashReport, now: Millis) {
        match report {
            CrashReport::Ended { subject, age, .. }
                if self.is_refuted(subject, Moment::ago(now, age)) =>
            {
                // The reporting node has to be told.
                self.record_change(subject);
            }
            CrashReport::Ended { subject, origin, engine, depth, age } => {
                let ranked = RankedSubject { subject, depth };
                if self.add_end(ranked, origin, engine, Moment::ago(now, age), now) {
                    self.add_report(report, now);
                }
            }
            CrashReport::Completed { subject: subject @ CrashSubject::Request(_), .. } => {
                self.record_completion(subject, now);
            }
            CrashReport::Completed { subject, age } => {
                if self.outlive(subject, Moment::ago(now, age), now) {
                    self.add_report(report, now);
                }
            }
        }
    }

    /// Applies a report that its sender also sends to the node that it polls.
    pub fn apply_broadcast(&mut self, report: CrashReport, now: Millis) {
        match report {
            CrashReport::Ended { subject, origin, engine, depth, age } => {
                let ranked = RankedSubject { subject, depth };
                self.add_end(ranked, origin, engine, Moment::ago(now, age), now);
            }
            CrashReport::Completed { subject, age } if subject.is_part() => {
                self.outlive(subject, Moment::ago(now, age), now);
            }
            CrashReport::Completed { .. } => {}
        }
    }

    /// Applies a state that the polled node sent.
    pub fn apply_state(&mut self, state: &CrashState, now: Millis) {
        match state.subject {
            CrashSubject::Request(digest) => self.apply_request_state(state, digest, now),
            CrashSubject::Part(_) => self.apply_part_state(state, now),
        }
    }

    fn apply_request_state(&mut self, state: &CrashState, digest: RequestDigest, now: Millis) {
        let CrashState { subject, origin, depth, .. } = *state;
        match state.verdict {
            Verdict::Acquitted => {
                self.completed.insert(digest);
                self.acquit(subject);
            }
            _ if self.completed.contains(&digest) => {
                self.add_report(CrashReport::Completed { subject, age: 0 }, now);
            }
            Verdict::Blocked => {
                let engines = state.engines.clone();
                let blocked = BlockedSubject { origin, depth, engines, trials: 0 };
                self.block(subject, blocked, now);
            }
            Verdict::Suspected => self.add_ends(state, now),
        }
    }

    fn apply_part_state(&mut self, state: &CrashState, now: Millis) {
        let CrashState { subject, origin, depth, trials, .. } = *state;
        if let Some(age) = state.outlived {
            self.outlive(subject, Moment::ago(now, age), now);
        }
        self.add_ends(state, now);
        let suspect = self.suspects.get(&subject);
        let outlived_at = suspect.and_then(Suspect::outlived_at);
        let is_refuted = |(_, age)| self.is_refuted(subject, Moment::ago(now, age));
        if let Some(outlived_at) = outlived_at.filter(|_| ends_of(state).any(is_refuted)) {
            // The node that sent it has to be told.
            let report = CrashReport::Completed { subject, age: outlived_at.age(now) };
            self.add_report(report, now);
        }
        if state.verdict == Verdict::Blocked && self.ends(subject) >= ENDS_TO_BLOCK {
            let engines = Vec::new();
            self.block(subject, BlockedSubject { origin, depth, engines, trials }, now);
        }
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.trials = suspect.trials.max(trials);
        }
    }

    fn add_ends(&mut self, state: &CrashState, now: Millis) {
        let CrashState { subject, origin, depth, .. } = *state;
        for (engine, age) in ends_of(state) {
            let ranked = RankedSubject { subject, depth };
            self.add_end(ranked, origin, engine, Moment::ago(now, age), now);
        }
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

    /// Releases blocked subjects all of whose ends others explain by now.
    fn release_explained(&mut self) {
        for subject in take(&mut self.explained) {
            let Some(suspect) = self.suspects.get_mut(&subject) else { continue };
            if replace(&mut suspect.is_blocked, false) {
                self.record_change(subject);
            }
        }
    }

    fn weigh_if_due(&mut self, now: Millis) {
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
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.ends.len()));
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

    /// Number of changes of what other nodes are told.
    pub fn changes(&self) -> u64 {
        self.changed.changes()
    }

    /// Whether there is nothing to tell a node that has seen the changes up to `position`.
    pub fn is_up_to_date(&self, position: ChangePosition) -> bool {
        self.changed.is_up_to_date(position)
    }

    /// States that changed after `position`, the earliest first, and the new position. Later polls
    /// return what does not fit.
    pub fn states_since(
        &self,
        position: ChangePosition,
        now: Millis,
    ) -> (ChangePosition, Vec<CrashState>) {
        let (position, changed) = self.changed.since(position, MAX_PER_MESSAGE);
        (position, changed.into_iter().map(|subject| self.state(subject, now)).collect())
    }

    /// Reports from this number on that still matter, and the number of the next one.
    pub fn reports_since(&self, number: u64, now: Millis) -> (Vec<CrashReport>, u64) {
        let from = number.max(self.dropped_reports);
        let skipped = usize::try_from(from - self.dropped_reports).unwrap_or(usize::MAX);
        let reports = self.reports.iter().skip(skipped).take(MAX_PER_MESSAGE);
        let next = from + reports.len() as u64;
        let aged = reports.map(|(at, report)| report.clone().after(now.saturating_sub(*at)));
        let matters = |report: &CrashReport| match report {
            CrashReport::Ended { subject, age, .. } => {
                self.ends(*subject) > 0 && !self.is_refuted(*subject, Moment::ago(now, *age))
            }
            CrashReport::Completed { .. } => true,
        };
        (aged.filter(matters).collect(), next)
    }

    fn state(&self, subject: CrashSubject, now: Millis) -> CrashState {
        let Some(suspect) = self.suspects.get(&subject) else {
            return CrashState {
                subject,
                origin: Origin::default(),
                verdict: Verdict::Acquitted,
                engines: Vec::new(),
                ages: Vec::new(),
                outlived: None,
                depth: 0,
                trials: 0,
            };
        };
        let (engines, ages) = suspect.ages(now).into_iter().unzip();
        CrashState {
            subject,
            origin: suspect.origin,
            verdict: if suspect.is_blocked { Verdict::Blocked } else { Verdict::Suspected },
            engines,
            ages,
            outlived: suspect.outlived_at().map(|at| at.age(now)),
            depth: suspect.depth,
            trials: suspect.trials,
        }
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

    fn record_change(&mut self, subject: CrashSubject) {
        self.changed.record(&subject);
        self.changed.truncate(MAX_SUSPECTS + MAX_BLOCKED);
    }

    fn add_report(&mut self, report: CrashReport, now: Millis) {
        self.reports.push_back((now, report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
            self.dropped_reports += 1;
        }
    }
}

/// The engines of a state, and how long ago each ended.
fn ends_of(state: &CrashState) -> impl Iterator<Item = (EngineKey, Millis)> {
    let ages = state.ages.iter().copied().chain(std::iter::repeat(0));
    state.engines.iter().copied().zip(ages)
}
