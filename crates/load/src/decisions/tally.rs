//! What is counted during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hgw_types::Time;
use hgw_wire::peer::Demand;

use super::Outcome;
use super::deployment::Deployment;
use super::engine::{Emit, Engine};
use super::requests::Request;

#[derive(Debug)]
pub(super) struct Tally {
    pub(super) outcome: Outcome,
    demand: Vec<BTreeMap<usize, Count>>,
    last_deferrable: Time,
}

#[derive(Debug, Default)]
struct Count {
    urgent: u32,
    deferrable: u32,
    unmet: u32,
    busy: Duration,
}

impl Tally {
    pub(super) fn new(domains: usize) -> Tally {
        Tally {
            outcome: Outcome::default(),
            demand: (0..domains).map(|_| BTreeMap::new()).collect(),
            last_deferrable: Time::ZERO,
        }
    }

    /// A request came to a dispatcher of the domain.
    pub(super) fn arrived(&mut self, request: &Request, domain: usize) {
        let Some(model) = request.model else { return };
        let count = self.demand[domain].entry(model).or_default();
        if request.urgent {
            count.urgent += 1;
        } else {
            count.deferrable += 1;
        }
    }

    /// A request found no room anywhere; its entry node tells its own domain.
    pub(super) fn unmet(&mut self, request: &Request) {
        if let Some(model) = request.model.filter(|_| request.urgent) {
            self.demand[request.domain].entry(model).or_default().unmet += 1;
        }
    }

    /// An urgent request held a slot of the domain for so long.
    pub(super) fn busy(&mut self, request: &Request, domain: usize, time: Duration) {
        if let Some(model) = request.model {
            self.demand[domain].entry(model).or_default().busy += time;
        }
    }

    /// The demand since the last call, as the keeper is told.
    pub(super) fn take_demand(&mut self, domain: usize, deployment: &Deployment) -> Vec<Demand> {
        let counts = std::mem::take(&mut self.demand[domain]);
        let demand = |(model, count): (usize, Count)| Demand {
            model: deployment.model(model),
            urgent: count.urgent,
            deferrable: count.deferrable,
            unmet: count.unmet,
            busy_ms: count.busy.as_millis() as u64,
            adapters: Vec::new(),
        };
        counts.into_iter().map(demand).collect()
    }

    /// What the slots of an engine did in a step. Work that ended in it counts as urgent.
    pub(super) fn slots(&mut self, engine: &Engine, emitted: &[Emit]) {
        let ended = emitted.iter().filter(|e| matches!(e, Emit::Whole(..))).count();
        let busy = engine.batch.len() + ended;
        let prompts = engine.batch.iter().filter(|r| r.emitted == 0).count();
        let deferrable = engine.batch.iter().filter(|r| r.emitted > 0 && !r.urgent).count();
        let counts =
            [engine.slots.saturating_sub(busy), prompts, busy - prompts - deferrable, deferrable];
        for (sum, count) in self.outcome.slot_steps.iter_mut().zip(counts) {
            *sum += count as u64;
        }
    }

    pub(super) fn deferrable_whole(&mut self, now: Time) {
        self.outcome.deferrable.1 += 1;
        let gap = now.since(self.last_deferrable);
        self.outcome.worst_deferrable = self.outcome.worst_deferrable.max(gap);
        self.last_deferrable = now;
    }

    /// An upstream went on with work for a caller that had its last word before.
    pub(super) fn held(&mut self, since: Time, now: Time) {
        self.outcome.worst_held = self.outcome.worst_held.max(now.since(since));
    }
}
