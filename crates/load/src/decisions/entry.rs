//! The entry node's side: choice of the upstream, retries, answers to callers.

use std::time::Duration;

use hgw_config::Urgency;
use hgw_dispatch::{Ask, Candidate, End, Refusal};
use hgw_types::{AttemptId, Time};

use super::policy::{Placing, Queueing, Routing};
use super::requests::SHARED_BLOCKS;
use super::world::{Attempt, Event, Reply, World};

/// Time to come back where no queue has named one.
pub(super) const USUAL_RETRY: Duration = Duration::from_secs(1);
/// Longest wait of a deferrable request under direct dispatch.
const DEFERRABLE_WAIT: Duration = Duration::from_secs(120);

impl World<'_> {
    pub(super) fn arrive(&mut self, r: usize) {
        let request = &self.requests[r];
        self.budgets[request.domain].first(self.now);
        if self.policy.placing == Placing::Lru {
            self.place_by_recency(r);
        }
        if self.policy.queueing != Queueing::Queue || self.policy.urgent_limit.is_some() {
            let request = &self.requests[r];
            let until =
                if request.urgent { request.deadline } else { request.at + DEFERRABLE_WAIT };
            self.put(until, Event::Timeout(r));
        }
        self.send(r, true);
    }

    /// Sends the request to the best upstream not tried yet, if there is one.
    fn send(&mut self, r: usize, may_bounce: bool) {
        let holders = self.holders(r);
        if holders.is_empty() && self.states[r].tried.is_empty() {
            self.tally.outcome.unreachable += 1;
        }
        let Some(u) = self.choose(r, &holders) else {
            self.unmet(r);
            return self.refuse(r, Some(USUAL_RETRY));
        };
        let a = self.attempts.len();
        let (domain, state) = (self.requests[r].domain, &mut self.states[r]);
        self.attempts.push(Attempt {
            request: r,
            upstream: u,
            may_bounce: may_bounce && holders.len() > 1,
            base: state.got,
            started: None,
            given_up: None,
        });
        state.attempt = Some(a);
        state.tried.push(u);
        self.upstreams[u].sent[domain] += 1;
        self.tally.outcome.tries += 1;
        self.after(self.way(domain, u), Event::Submit(a));
    }

    /// Upstreams not tried yet that the entry node knows to hold what the request needs.
    pub(super) fn holders(&self, r: usize) -> Vec<usize> {
        let request = &self.requests[r];
        let fits = |u: &usize| {
            let upstream = &self.upstreams[*u];
            let holds = match request.model {
                Some(m) => upstream.engine.models.get(&m) == Some(&true),
                None => upstream.memory.0 == 0,
            };
            holds && upstream.listed && self.reaches(request.domain, *u)
        };
        let tried = &self.states[r].tried;
        (0..self.upstreams.len()).filter(|u| fits(u) && !tried.contains(u)).collect()
    }

    fn choose(&mut self, r: usize, holders: &[usize]) -> Option<usize> {
        let domain = self.requests[r].domain;
        match self.policy.routing {
            Routing::Chooser => self.choose_by_delay(r, holders),
            Routing::Random if holders.is_empty() => None,
            Routing::Random => Some(holders[self.draw() as usize % holders.len()]),
            Routing::LeastLoad => {
                let start = self.draw() as usize % holders.len().max(1);
                let turned = holders[start..].iter().chain(&holders[..start]);
                turned.copied().min_by_key(|u| self.reported_load(*u, domain))
            }
        }
    }

    pub(super) fn reported_load(&self, u: usize, domain: usize) -> u32 {
        self.upstreams[u].reported + self.upstreams[u].sent[domain]
    }

    fn choose_by_delay(&mut self, r: usize, holders: &[usize]) -> Option<usize> {
        let request = &self.requests[r];
        let adapter = (request.adapter > 0).then_some(request.adapter);
        let needed = request.model.zip(adapter);
        let candidate = |u: &usize| Candidate {
            upstream: self.upstreams[*u].id.clone(),
            distance: u8::from(self.upstreams[*u].domain != request.domain),
            has_adapter: needed.is_none_or(|n| self.upstreams[*u].engine.holds_adapter(n)),
        };
        let candidates: Vec<Candidate> = holders.iter().map(candidate).collect();
        let blocks = if request.model.is_some() { SHARED_BLOCKS } else { 0 };
        let ask = Ask {
            model: request.model.map(|m| self.deployment.model(m)),
            adapter: adapter.map(|a| format!("adapter-{a}").parse().expect("a short name")),
            urgency: if request.urgent { Urgency::Urgent } else { Urgency::Deferrable },
            prefix: vec![request.prefix(); blocks as usize],
        };
        let chooser = &mut self.choosers[request.domain];
        let best = chooser.choose(self.now, &ask, &candidates).into_iter().next()?;
        chooser.sent(self.now, &best, &ask);
        holders.iter().copied().find(|u| self.upstreams[*u].id == best)
    }

    /// A number that looks random, the same in each run.
    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.draws >> 33
    }

    /// The dispatcher's word reaches the entry node.
    pub(super) fn reply(&mut self, a: usize, reply: Reply, delay: Duration) {
        let r = self.attempts[a].request;
        if self.states[r].done.is_some() || self.states[r].attempt != Some(a) {
            return;
        }
        let upstream = self.upstreams[self.attempts[a].upstream].id.clone();
        let chooser = &mut self.choosers[self.requests[r].domain];
        if reply == Reply::Ended(End::Failed) {
            chooser.failed(self.now, &upstream);
        } else {
            chooser.observe(self.now, &upstream, delay);
        }
        match reply {
            Reply::NotStarted(Refusal::Bounced | Refusal::Leaving) | Reply::NotHere => {
                self.again(r, delay, true);
            }
            Reply::NotStarted(
                Refusal::TooLate { retry_after }
                | Refusal::Full { retry_after }
                | Refusal::Expired { retry_after },
            ) => {
                self.unmet(r);
                self.refuse(r, Some(retry_after));
            }
            Reply::Ended(End::Whole) => self.finish(r),
            Reply::Ended(End::Failed) => self.again(r, delay, false),
            Reply::Ended(End::Cancelled) | Reply::Abandoned => {
                self.refuse(r, Some(delay.max(USUAL_RETRY)))
            }
            Reply::Preempted => {
                self.states[r].tried.clear();
                self.tally.outcome.resumed += 1;
                self.tally.outcome.tries -= 1;
                self.send(r, false);
            }
        }
    }

    /// Tries another upstream, if the retry budget and the deadline allow it.
    fn again(&mut self, r: usize, delay: Duration, for_want_of_room: bool) {
        let request = &self.requests[r];
        let in_time =
            !request.urgent || self.now < request.deadline || self.states[r].first.is_some();
        let other = !self.holders(r).is_empty();
        if in_time && other && self.budgets[request.domain].allow(self.now) {
            return self.send(r, false);
        }
        if for_want_of_room {
            self.unmet(r);
        }
        self.refuse(r, Some(delay.max(USUAL_RETRY)));
    }

    fn unmet(&mut self, r: usize) {
        let request = &self.requests[r];
        self.tally.unmet(request);
    }

    fn finish(&mut self, r: usize) {
        let (request, state) = (&self.requests[r], &mut self.states[r]);
        state.done = Some(self.now);
        if !request.urgent {
            return self.tally.deferrable_whole(self.now);
        }
        let due = if request.model.is_some() { state.first.unwrap_or(Time::MAX) } else { self.now };
        if due <= request.deadline {
            self.tally.outcome.in_time += 1;
            self.tally.outcome.long.1 += u32::from(request.is_long());
        }
    }

    /// The caller is told that there will be no answer, or no more of it.
    fn refuse(&mut self, r: usize, retry_after: Option<Duration>) {
        let (request, state) = (&self.requests[r], &mut self.states[r]);
        state.done = Some(self.now);
        let outcome = &mut self.tally.outcome;
        outcome.refused.0 += 1;
        outcome.refused.1 += u32::from(retry_after.is_none_or(|d| d.is_zero()));
        if state.first.is_none() {
            outcome.worst_wait = outcome.worst_wait.max(self.now.since(request.deadline));
        }
    }

    /// A caller of direct dispatch has waited long enough.
    pub(super) fn timeout(&mut self, r: usize) {
        let state = &self.states[r];
        let Some(a) = state.attempt.filter(|_| state.done.is_none() && state.first.is_none())
        else {
            return;
        };
        self.unmet(r);
        self.stop(a, Reply::Abandoned);
        let queue = &mut self.upstreams[self.attempts[a].upstream].queue;
        queue.cancel(self.now, AttemptId { boot: 0, seq: a as u64 });
        self.refuse(r, Some(USUAL_RETRY));
    }
}
