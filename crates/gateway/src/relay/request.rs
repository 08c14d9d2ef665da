use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hgw_direct::{
    Choice, ChoiceParams, CostWeights, Deadline, EngineId, MIN_TIME_TO_SEND, ModelRef, NoEngine,
    Prompt, Refusal, Route, ServiceId, choose_engine,
};
use http::request::Parts;
use rand::random;
use tokio::time::{Instant, sleep, timeout_at};

use crate::answer::Answer;
use crate::clock::boot_time;
use crate::dialect::Call;
use crate::meter;
use crate::peers::{self, Placement};
use crate::quotas::{self, NoAllowance, Spent};
use crate::shared::Node;
use crate::stop::Active;
use crate::turn::Turn;

use super::identify::Identity;

/// Sends that engines reject, beyond the engines that a route may run a request on.
const MORE_REJECTED: u32 = 2;

/// Engines that cannot be reached and are passed over for one request.
const MOST_UNREACHED: u32 = 6;

/// Part of the time left for which a request waits for its model or adapter. Its caller comes back once
/// in what remains.
const WAIT_SHARE: f64 = 0.5;

/// Bounds of that wait: a caller leaves a stream that has not begun after two seconds or four objectives.
const PATIENT_LEAST: Duration = Duration::from_millis(900);
const PATIENT_OBJECTIVES: u32 = 2;

/// When a caller comes back whose request engines rejected and no other can be asked.
pub(super) const REJECTED: Duration = Duration::from_millis(200);

/// When a caller comes back whose service has no engine.
const NO_ENGINE: Duration = Duration::from_millis(300);

/// Part of the objective for which a request waits for an allowance: the rest is the engine's.
const ALLOWANCE_SHARE: f64 = 0.5;

/// Time over which nodes spread what they send when an engine has read a prompt.
const TURN_SPREAD: Duration = Duration::from_millis(6);

/// Time between two looks whether a model has come.
const PLACED_CHECK: Duration = Duration::from_millis(100);

/// A caller's request while it is served.
pub(super) struct Relayed {
    pub(super) node: Node,
    _active: Active,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) call: Call,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    /// Who sends it.
    pub(super) identity: Identity,
    /// When its head had come.
    pub(super) arrived: Instant,
    /// The same by the clock that counts what the machine was suspended for.
    arrived_by_boot: Duration,
    /// The time that it has.
    deadline: Deadline,
    /// When that is over, unless the machine is suspended.
    pub(super) end: Instant,
    /// Engines that it was sent to.
    pub(super) tried: Vec<EngineId>,
    /// Engines that may have run it.
    pub(super) runs: u32,
    /// Engines that rejected it.
    pub(super) rejected: u32,
    /// Engines that could not be reached.
    pub(super) unreached: u32,
    /// An engine that does not hold what it was said to hold.
    pub(super) refuted: Option<EngineId>,
    /// Whether engines admit it before others of its service.
    goes_first: bool,
    /// How long it waited until engines had read other prompts.
    pub(super) waited: Duration,
    /// What it took of its customer's limit.
    spent: Option<Spent>,
    /// Whether it was told what became of it.
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
            deadline: Deadline { timeout: longest },
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

    /// Takes what it needs of its customer's limit.
    pub(super) async fn spend(&mut self) -> Result<(), NoAllowance> {
        let Some(customer) = self.identity.customer.clone() else { return Ok(()) };
        let longest = self.route.first_byte_objective.mul_f64(ALLOWANCE_SHARE);
        self.spent = quotas::spend(&self.node, &customer, self.call.tokens, longest).await?;
        Ok(())
    }

    /// An engine may run it from now on, or says that it has not; what another ran stays used.
    pub(super) fn may_run(&self, may: bool) {
        if let Some(spent) = &self.spent {
            spent.is_used(may || self.runs > 0);
        }
    }

    /// Counts the request for the budget of second tries and for placement.
    fn count(&self) {
        let (now, limits) = (self.node.now(), self.node.budget_limits());
        let mut state = self.node.state.borrow_mut();
        state.budgets.entry(self.service.clone()).or_default().record_request(now, &limits);
        let Some(wanted) = self.wanted() else { return };
        state.asked_for(now, wanted, 1.0);
    }

    pub(super) fn prompt(&self) -> Option<&Prompt> {
        self.call.prompt.as_ref()
    }

    pub(super) fn wanted(&self) -> Option<&ModelRef> {
        self.prompt().and_then(|p| p.model_ref.as_ref())
    }

    pub(super) fn left(&self) -> Duration {
        let by_boot = boot_time().saturating_sub(self.arrived_by_boot);
        self.deadline.remaining(self.arrived.elapsed(), by_boot)
    }

    /// Whether there is time enough for an engine to begin.
    pub(super) fn can_be_sent(&self) -> bool {
        self.left() >= MIN_TIME_TO_SEND
    }

    /// Whether it may be sent once more, after an engine has rejected it or may have run it. Takes from
    /// the budget that all nodes share.
    pub(super) fn may_go_on(&self) -> bool {
        if self.runs >= self.route.max_attempts || self.rejected > MORE_REJECTED {
            return false;
        }
        if !self.can_be_sent() {
            return false;
        }
        let (now, limits) = (self.node.now(), self.node.budget_limits());
        let mut state = self.node.state.borrow_mut();
        let budget = state.budgets.entry(self.service.clone()).or_default();
        budget.try_take(now, &limits, self.route.priority <= 1)
    }

    /// Whether another engine may be looked for after one could not be reached.
    pub(super) fn may_reach_on(&mut self) -> bool {
        self.unreached += 1;
        self.unreached <= MOST_UNREACHED && self.can_be_sent()
    }

    /// The engine to send to; waits for a model or an adapter that is being placed.
    pub(super) async fn choose(&mut self) -> Result<Choice, NoEngine> {
        let began = Instant::now();
        if self.until_read().await {
            self.waited += began.elapsed();
            meter::waited(&self.route, self.waited);
        }
        let longest = (self.route.first_byte_objective * PATIENT_OBJECTIVES).max(PATIENT_LEAST);
        let give_up = Instant::now() + self.left().mul_f64(WAIT_SHARE).min(longest);
        loop {
            let found = self.choose_now();
            let (Err(NoEngine::NotLoaded(_)), Some(wanted)) = (&found, self.wanted()) else {
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
                    // Not in time: its caller is told when.
                    let wait = Duration::from_millis(ms);
                    if Instant::now() + wait > give_up {
                        return Err(NoEngine::NotLoaded(wait));
                    }
                }
                // Cut off from the engines that hold it and from the keeper: another node may not be.
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

    /// Waits until an engine has read so much that one more prompt makes no stream there pause for too long, while the
    /// request's own first event can still be on time; tells whether it waited. What was sent before does not wait.
    async fn until_read(&self) -> bool {
        let Some(gap) = self.route.max_event_gap.filter(|_| self.tried.is_empty()) else {
            return false;
        };
        let left = gap.mul_f64(CostWeights::default().gap_share);
        let until = self.arrived + self.route.first_byte_objective.saturating_sub(left);
        let reads = |choice: Result<Choice, NoEngine>| choice == Err(NoEngine::PrefillBusy);
        if Instant::now() >= until || !reads(self.choose_at(until)) {
            return false;
        }
        let Some(wanted) = self.wanted() else { return false };
        let turn = Turn::wait(&self.node, &wanted.model, self.route.priority);
        loop {
            let read = self.node.turns.next.notified();
            if turn.is_first() && !reads(self.choose_at(until)) {
                return true;
            }
            if timeout_at(until, read).await.is_err() {
                return true;
            }
            // Nodes that hear of the same moment do not all send: the first tells the others within a millisecond or two.
            sleep(TURN_SPREAD.mul_f64(random::<f64>())).await;
        }
    }

    /// Whether engines hold what it needs, and none of them can be reached.
    fn is_out_of_reach(&self) -> bool {
        let (now, state) = (self.node.now(), self.node.state.borrow());
        let Some(wanted) = self.wanted() else { return false };
        let mut holders =
            state.engines.iter().filter(|e| e.accepts_requests() && e.has_loaded(wanted));
        holders.next().is_some_and(|e| e.health.is_reported_unreachable(now))
            && holders.all(|e| e.health.is_reported_unreachable(now))
    }

    /// Waits a while for what the keeper tells of engines. Asked at each change, it would get many more
    /// questions than there are requests.
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

    /// The engine to send to; none while a request that can wait until then finds none that has little to read.
    fn choose_at(&self, waits_until: Instant) -> Result<Choice, NoEngine> {
        let state = self.node.state.borrow();
        let settings = self.node.settings.borrow();
        let most = state.catalog.as_ref().and_then(|c| c.services.get(&self.service));
        let conns = most.map_or(u32::MAX, |s| (s.max_conns / state.nodes.max(1)).max(1));
        let ask = ChoiceParams {
            service: &self.service,
            prompt: self.prompt(),
            domain: &settings.domain,
            tried: &self.tried,
            nodes: state.nodes,
            max_conns: conns,
            has_precedence: self.goes_first,
            max_event_gap: self.route.max_event_gap,
            can_wait: Instant::now() < waits_until,
            random: random(),
            weights: CostWeights::default(),
        };
        choose_engine(&state.engines, &ask, self.node.now())
    }

    /// The answer to a request that has not run and finds no engine.
    pub(super) fn refuse_for(&self, why: NoEngine) -> Answer {
        match why {
            NoEngine::NoneAvailable | NoEngine::PrefillBusy => {
                self.refuse(Refusal::NoEngine, NO_ENGINE)
            }
            NoEngine::NotLoaded(wait) => self.refuse(Refusal::ModelNotLoaded, wait),
            NoEngine::Full(wait) => self.refuse(Refusal::EnginesFull, wait),
        }
    }
}
