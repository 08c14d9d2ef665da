//! Raises fencing tokens, reads engine states and detects unreachable engines.

use hgw_types::{Term, Time, UpstreamId};
use hgw_wire::upstream::{EngineState, OrderKind, OrderOutcome};

use super::Leader;
use super::engine::Phase;
use crate::{LeaderAction, OrderResult};

impl Leader {
    pub(super) fn poll(&mut self, now: Time, out: &mut Vec<LeaderAction>) {
        let mut fences = Vec::new();
        for (id, engine) in self.engines.iter_mut().filter(|(_, e)| e.configured) {
            match engine.phase {
                Phase::Fence(due) if now >= due => fences.push(id.clone()),
                Phase::Fence(_) => {}
                Phase::Read(_) | Phase::Known => {
                    let pending = engine
                        .pending_read
                        .is_some_and(|asked| now.since(asked) < self.settings.read_timeout);
                    if !pending && now >= engine.next_read {
                        engine.pending_read = Some(now);
                        out.push(LeaderAction::ReadState(id.clone()));
                    }
                }
            }
        }
        for id in fences {
            self.send_fence(now, &id, out);
        }
    }

    fn send_fence(&mut self, now: Time, engine: &UpstreamId, out: &mut Vec<LeaderAction>) {
        if let Some(e) = self.engines.get_mut(engine) {
            e.phase = Phase::Fence(Time::MAX);
        }
        let _ = self.issue_order(now, engine, OrderKind::Fence, out);
    }

    pub(super) fn handle_fence_result(
        &mut self,
        now: Time,
        engine: &UpstreamId,
        result: &OrderResult,
    ) {
        let settings = &self.settings;
        let Some(e) = self.engines.get_mut(engine) else { return };
        if !matches!(e.phase, Phase::Fence(_)) {
            return;
        }
        match result {
            OrderResult::Answered(OrderOutcome::Done) => {
                e.consecutive_failures = 0;
                e.phase = Phase::Read(now);
                e.pending_read = None;
                e.next_read = now + std::time::Duration::from_micros(1);
            }
            // Another leader has taken over; the log will show its claim.
            OrderResult::Answered(_) => e.phase = Phase::Fence(now + settings.poll_idle),
            OrderResult::NotSent | OrderResult::Lost => {
                e.record_failure(settings.unreachable_after);
                let wait = if e.unreachable { settings.poll_idle } else { settings.retry };
                e.phase = Phase::Fence(now + wait);
            }
        }
    }

    pub(super) fn handle_state(
        &mut self,
        now: Time,
        engine: &UpstreamId,
        asked: Time,
        state: Option<&EngineState>,
    ) {
        let fence: Option<Term> = self.term.filter(|_| self.domain.rejects_old_fences(engine));
        let settings = &self.settings;
        let Some(e) = self.engines.get_mut(engine) else { return };
        if e.pending_read == Some(asked) {
            e.pending_read = None;
        }
        match state {
            Some(state) => e.read(now, asked, state, fence),
            None => e.record_failure(settings.unreachable_after),
        }
        let busy = e.is_busy() || (e.consecutive_failures > 0 && !e.unreachable);
        e.next_read = now + if busy { settings.poll_busy } else { settings.poll_idle };
    }

    /// Schedules a read of the engine at the next poll.
    pub(super) fn read_soon(&mut self, now: Time, engine: &UpstreamId) {
        if let Some(e) = self.engines.get_mut(engine) {
            e.next_read = e.next_read.min(now);
        }
    }
}
