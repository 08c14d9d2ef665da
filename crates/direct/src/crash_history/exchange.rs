//! What is told to other nodes, and what they tell.

use crate::{ChangePosition, CrashSubject, Millis, RankedSubject, RequestDigest};

use super::report::{BlockedSubject, CrashReport, CrashState, Origin, Verdict, ends_of};
use super::suspect::{Moment, Suspect};
use super::{CrashHistory, ENDS_TO_BLOCK, MAX_BLOCKED, MAX_SUSPECTS};

/// Maximum number of reports that are kept for a node that this one has not polled yet.
const MAX_REPORTS: usize = 2_000;

/// Maximum number of reports or states in one message, about 30 KB.
const MAX_PER_MESSAGE: usize = 256;

impl CrashHistory {
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

    pub(super) fn record_change(&mut self, subject: CrashSubject) {
        self.changed.record(&subject);
        self.changed.truncate(MAX_SUSPECTS + MAX_BLOCKED);
    }

    pub(super) fn add_report(&mut self, report: CrashReport, now: Millis) {
        self.reports.push_back((now, report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
            self.dropped_reports += 1;
        }
    }
}
