use hgw_config::{Fold, Verdict};
use hgw_types::{RecordId, Time};
use indexmap::IndexMap;

use super::answer;
use crate::context::Context;
use crate::{ApplyOutcome, CallId};

/// Operators' calls that wait for their change to be read back.
#[derive(Debug, Default)]
pub(super) struct Pending {
    by_change: IndexMap<RecordId, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    calls: Vec<CallId>,
    until: Time,
}

impl Pending {
    /// Adds a call to those that wait for a change; whether the change is under way already.
    pub(super) fn join(&mut self, cx: &Context<'_>, id: RecordId, call: CallId) -> bool {
        let under_way = self.by_change.contains_key(&id);
        let until = cx.now + cx.settings.apply_wait;
        let waiting = self.by_change.entry(id).or_insert(Waiting { calls: Vec::new(), until });
        waiting.calls.push(call);
        under_way
    }

    /// Answers the calls whose change has been read back.
    pub(super) fn settle(&mut self, cx: &mut Context<'_>, fold: &Fold) {
        let read: Vec<_> =
            self.by_change.keys().filter_map(|id| Some((*id, outcome(fold, *id)?))).collect();
        for (id, outcome) in read {
            self.answer(cx, id, &outcome);
        }
    }

    pub(super) fn answer(&mut self, cx: &mut Context<'_>, id: RecordId, outcome: &ApplyOutcome) {
        let Some(waiting) = self.by_change.swap_remove(&id) else { return };
        for call in waiting.calls {
            answer(cx, call, id, outcome.clone());
        }
    }

    /// Tells the operators whose change was not read back in time that its outcome is not known yet.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        let late = self.by_change.iter().filter(|(_, w)| w.until <= cx.now);
        let late: Vec<RecordId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.answer(cx, id, &ApplyOutcome::Unknown);
        }
    }
}

/// What became of a change, if it has been read.
pub(super) fn outcome(fold: &Fold, id: RecordId) -> Option<ApplyOutcome> {
    let (offset, verdict) = fold.outcome(id)?;
    match verdict {
        Verdict::Accepted => Some(ApplyOutcome::Accepted(offset)),
        Verdict::Superseded { current } => Some(ApplyOutcome::Superseded { current: *current }),
        Verdict::Invalid { faults } => {
            Some(ApplyOutcome::Invalid(faults.iter().map(ToString::to_string).collect()))
        }
        Verdict::Duplicate | Verdict::Unreadable | Verdict::Refreshed | Verdict::Undecided => None,
    }
}
