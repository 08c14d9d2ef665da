//! A caller's request while it is served, and the choice of an engine for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{
    Ask, Choice, Deadline, EngineId, LEAST_TO_SEND, NoEngine, Policy, Prompt, Refusal, Route,
    ServiceId, Wanted, choose,
};
use http::request::Parts;
use rand::random;
use tokio::time::{Instant, sleep, timeout_at};

use crate::answer::Answer;
use crate::clock::boot_time;
use crate::dialect::Call;
use crate::meter;
use crate::peers::{self, Placement};
use crate::quotas::{self, Charge, NoAllowance};
use crate::shared::Node;
use crate::stop::Active;
use crate::turn::Turn;

use super::identify::Identity;

/// Rejections by engines that a request may meet before it is given up.
const MORE_REJECTED: u32 = 2;

/// Unreachable engines that are skipped for one request.
const MOST_UNREACHED: u32 = 6;

/// Share of the remaining time that a request waits for its model or adapter to be loaded. The rest
/// lets the caller retry once.
const WAIT_SHARE: f64 = 0.5;

/// Limit of that wait, the larger of the two: callers abandon a stream that has not begun after two
/// seconds or four objectives.
const PATIENT_LEAST: Duration = Duration::from_millis(900);
const PATIENT_OBJECTIVES: u32 = 2;

/// Retry delay after engines rejected a request and no other engine is left.
pub(super) const REJECTED: Duration = Duration::from_millis(200);

/// Retry delay while a service has no engine.
const NO_ENGINE: Duration = Duration::from_millis(300);

/// Share of the route's objective that a request waits for an allowance; the rest is for the
/// engine.
const ALLOWANCE_SHARE: f64 = 0.5;

/// Longest random delay before a waiting request is sent after an engine has prefilled a prompt.
const TURN_SPREAD: Duration = Duration::from_millis(6);

/// Interval between checks whether a model has been loaded.
const PLACED_CHECK: Duration = Duration::from_millis(100);

pub(super) struct Relayed {
    pub(super) node: Node,
    _active: Active,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) call: Call,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) identity: Identity,
    /// When the request head had been read.
    pub(super) arrived: Instant,
    /// The same by the boot clock, which also runs while the machine is suspended.
    arrived_by_boot: Duration,
    deadline: Deadline,
    /// When the deadline passes, unless the machine is suspended.
    pub(super) end: Instant,
    pub(super) tried: Vec<EngineId>,
    /// Attempts that an engine may have executed.
    pub(super) runs: u32,
    /// Attempts that an engine rejected.
    pub(super) rejected: u32,
    /// Attempts that did not reach an engine.
    pub(super) unreached: u32,
    /// An engine that does not have the model that it was listed with.
    pub(super) refuted: Option<EngineId>,
    /// Whether engines admit it before other requests of its service.
    goes_first: bool,
    /// Time spent waiting for engines to prefill other prompts.
    pub(super) waited: Duration,
    /// The charge to the customer's limit.
    spent: Option<Charge>,
    /// Whether the outcome has been logged.
    pub(super) told: Cell<bool>,
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if !self.told.get() {
            self.caller_left();
        }
    }
}

impl Relayed {
    #[expect(clippy::too_many_arguments, reason = "each is a part of the request, met once")]
    pub(super) fn new(
        node: &Node,
        active: Active,
        head: Parts,
        body: Bytes,
        call: Call,
        route: Route,
        service: ServiceId,
        identity: Identity,
        arrived: Instant,
    ) -> Relayed {
        let longest = call.deadline.map_or(route.timeout, |d| d.min(route.timeout));
        let mut request = Relayed {
            node: Rc::clone(node),
            _active: active,
            head,
            body,
            call,
            route,
            service,
            identity,
            arrived,
            arrived_by_boot: boot_time().saturating_sub(arrived.elapsed()),
            deadline: Deadline { longest },
            end: arrived + longest,
            tried: Vec::new(),
            runs: 0,
            rejected: 0,
            unreached: 0,
            refuted: None,
            goes_first: false,
            waited: Duration::ZERO,
            spent: None,
            told: Cell::new(false),
        };
        let catalog = node.state.borrow().catalog.clone();
        request.goes_first =
            catalog.is_some_and(|c| c.has_less_urgent(&request.service, request.route.priority));
        request.count();
        request
    }

    /// Charges the request to its customer's limit.
    pub(super) async fn spend(&mut self) -> Result<(), NoAllowance> {
        let Some(customer) = self.identity.customer.clone() else { return Ok(()) };
        let longest = self.route.objective.mul_f64(ALLOWANCE_SHARE);
        self.spent = quotas::charge(&self.node, &customer, self.call.tokens, longest).await?;
        Ok(())
    }

    /// Records whether an engine may execute the request from now on. The charge stays once any
    /// engine may have executed it.
    pub(super) fn may_run(&self, may: bool) {
        if let Some(spent) = &self.spent {
            spent.set_may_have_run(may || self.runs > 0);
        }
    }

    /// Counts the request for the retry budget and the demand for its model.
    fn count(&self) {
        let (now, limits) = (self.node.now(), self.node.budget_limits());
        let mut state = self.node.state.borrow_mut();
        state.budgets.entry(self.service.clone()).or_default().first(now, &limits);
        let Some(wanted) = self.wanted() else { return };
        state.asked_for(now, wanted, 1.0);
    }

    pub(super) fn prompt(&self) -> Option<&Prompt> {
        self.call.prompt.as_ref()
    }

    pub(super) fn wanted(&self) -> Option<&Wanted> {
        self.prompt().and_then(|p| p.wanted.as_ref())
    }

    pub(super) fn left(&self) -> Duration {
        let by_boot = boot_time().saturating_sub(self.arrived_by_boot);
        self.deadline.left(self.arrived.elapsed(), by_boot)
    }

    /// Whether enough time is left for an engine to begin.
    pub(super) fn can_be_sent(&self) -> bool {
        self.left() >= LEAST_TO_SEND
    }

    /// Whether another attempt is allowed after an engine rejected the request or may have executed
    /// it. Takes one retry from the budget that all nodes share.
    pub(super) fn may_go_on(&self) -> bool {
        if self.runs >= self.route.attempts || self.rejected > MORE_REJECTED {
            return false;
        }
        if !self.can_be_sent() {
            return false;
        }
        let (now, limits) = (self.node.now(), self.node.budget_limits());
        let mut state = self.node.state.borrow_mut();
        let budget = state.budgets.entry(self.service.clone()).or_default();
        budget.take(now, &limits, self.route.priority <= 1)
    }

    /// Whether another engine may be tried after one could not be reached.
    pub(super) fn may_reach_on(&mut self) -> bool {
        self.unreached += 1;
        self.unreached <= MOST_UNREACHED && self.can_be_sent()
    }

    /// Chooses an engine; waits for a model or adapter that is being loaded.
    pub(super) async fn choose(&mut self) -> Result<Choice, NoEngine> {
        let began = Instant::now();
        if self.until_read().await {
            self.waited += began.elapsed();
            meter::prefill_wait(&self.route, self.waited);
        }
        let longest = (self.route.objective * PATIENT_OBJECTIVES).max(PATIENT_LEAST);
        let give_up = Instant::now() + self.left().mul_f64(WAIT_SHARE).min(longest);
        loop {
            let found = self.choose_now();
            let (Err(NoEngine::NotPlaced(_)), Some(wanted)) = (&found, self.wanted()) else {
                return found;
            };
            let want = peers::want(&self.node, wanted, self.refuted.as_ref());
            match timeout_at(give_up, want).await {
                Ok(Placement::Placed) => {
                    if let Ok(choice) = self.choose_now() {
                        return Ok(choice);
                    }
                }
                Ok(Placement::Coming(ms)) => {
                    // It will not be loaded in time: the response says when to retry.
                    let wait = Duration::from_millis(ms);
                    if Instant::now() + wait > give_up {
                        return Err(NoEngine::NotPlaced(wait));
                    }
                }
                // This node reaches neither the engines that have the model nor the leader;
                // another node may.
                Ok(Placement::Unknown) if self.is_out_of_reach() => return found,
                Ok(Placement::Unknown) => {}
                Err(_) => return found,
            }
            if let Some(choice) = self.until_placed(give_up).await {
                return Ok(choice);
            }
            if Instant::now() >= give_up {
                return found;
            }
        }
    }

    /// Waits until one more prompt would not make the streams of an engine pause for too long,
    /// while the request's own first event can still be on time. Returns whether it waited. Retries
    /// do not wait.
    async fn until_read(&self) -> bool {
        let Some(gap) = self.route.gap.filter(|_| self.tried.is_empty()) else { return false };
        let left = gap.mul_f64(Policy::default().gap_share);
        let until = self.arrived + self.route.objective.saturating_sub(left);
        let reads = |choice: Result<Choice, NoEngine>| choice == Err(NoEngine::Reading);
        if Instant::now() >= until || !reads(self.choose_at(until)) {
            return false;
        }
        let Some(wanted) = self.wanted() else { return false };
        let turn = Turn::enqueue(&self.node, &wanted.model, self.route.priority);
        loop {
            let read = self.node.turns.next.notified();
            if turn.is_first() && !reads(self.choose_at(until)) {
                return true;
            }
            if timeout_at(until, read).await.is_err() {
                return true;
            }
            // Several nodes are notified at the same moment; the delay lets the first one report
            // its send to the others.
            sleep(TURN_SPREAD.mul_f64(random::<f64>())).await;
        }
    }

    /// Whether engines have the model but none of them is reachable.
    fn is_out_of_reach(&self) -> bool {
        let (now, state) = (self.node.now(), self.node.state.borrow());
        let Some(wanted) = self.wanted() else { return false };
        let mut holders = state.engines.iter().filter(|e| e.takes_work() && e.holds(wanted));
        holders.next().is_some_and(|e| e.judge.is_dark(now))
            && holders.all(|e| e.judge.is_dark(now))
    }

    /// Waits briefly for the leader's updates about engines. Querying it after each change would
    /// cost many more queries than there are requests.
    async fn until_placed(&self, give_up: Instant) -> Option<Choice> {
        let until = give_up.min(Instant::now() + PLACED_CHECK);
        while timeout_at(until, self.node.placed.notified()).await.is_ok() {
            if let Ok(choice) = self.choose_now() {
                return Some(choice);
            }
        }
        None
    }

    pub(super) fn choose_now(&self) -> Result<Choice, NoEngine> {
        self.choose_at(self.arrived)
    }

    /// Chooses an engine. Before `waits_until`, fails with `NoEngine::Reading` if every engine has
    /// too much to prefill.
    fn choose_at(&self, waits_until: Instant) -> Result<Choice, NoEngine> {
        let state = self.node.state.borrow();
        let settings = self.node.settings.borrow();
        let most = state.catalog.as_ref().and_then(|c| c.services.get(&self.service));
        let conns = most.map_or(u32::MAX, |s| (s.max_conns / state.nodes.max(1)).max(1));
        let ask = Ask {
            service: &self.service,
            prompt: self.prompt(),
            domain: &settings.domain,
            tried: &self.tried,
            nodes: state.nodes,
            conns,
            goes_first: self.goes_first,
            gap: self.route.gap,
            waits: Instant::now() < waits_until,
            draw: random(),
            policy: Policy::default(),
        };
        choose(&state.engines, &ask, self.node.now())
    }

    /// Rejects a request that no engine has executed because none could be chosen.
    pub(super) fn refuse_for(&self, why: NoEngine) -> Answer {
        match why {
            NoEngine::None | NoEngine::Reading => self.refuse(Refusal::NoEngine, NO_ENGINE),
            NoEngine::NotPlaced(wait) => self.refuse(Refusal::NotPlaced, wait),
            NoEngine::Full(wait) => self.refuse(Refusal::Full, wait),
        }
    }
}
