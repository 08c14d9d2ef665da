//! Chooses the engine for a request, with what this node knows now.

use std::time::Duration;

use hgw_direct::engine_speed::SpeedNeeds;
use hgw_direct::subset::{NodeSeed, SubsetParams};
use hgw_direct::{
    Choice, ChoiceParams, CostWeights, EngineId, MemoryParams, NoEngine, Refusal, RefusalDuration,
    Service, broadcasts_sends, choose_engine, is_silent,
};
use rand::random;
use tokio::time::{Instant, timeout_at};

use crate::engine_speed;
use crate::meter;
use crate::overload;
use crate::peers::{self, Placement};
use crate::response::CallerResponse;

use super::request::RelayedRequest;

/// Share of the remaining time that a request waits for its model or adapter to be loaded. The rest
/// lets the caller retry once.
const PLACEMENT_WAIT_SHARE: f64 = 0.5;

/// Limit of that wait, the larger of the two: callers abandon a stream that has not begun after two
/// seconds or four objectives.
const PLACEMENT_WAIT_FLOOR: Duration = Duration::from_millis(900);
const PLACEMENT_WAIT_OBJECTIVES: u32 = 2;

/// Interval between checks whether a model has been loaded.
const PLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl RelayedRequest {
    /// Chooses an engine; waits for a model or adapter that is being loaded.
    pub(super) async fn choose_engine(&mut self) -> Result<Choice, NoEngine> {
        let started = Instant::now();
        if self.wait_for_room().await {
            self.room_wait += started.elapsed();
            meter::room_wait(&self.route, self.room_wait);
        }
        let max_wait =
            (self.route.first_byte_objective * PLACEMENT_WAIT_OBJECTIVES).max(PLACEMENT_WAIT_FLOOR);
        let wait_until =
            Instant::now() + self.time_left().mul_f64(PLACEMENT_WAIT_SHARE).min(max_wait);
        loop {
            let result = self.choose_now();
            let (Err(NoEngine::NotLoaded(_)), Some(model_ref)) = (&result, self.model_ref()) else {
                return result;
            };
            let stale_engine = self.stale_engine.as_ref();
            let placement =
                peers::request_placement(&self.node, model_ref, stale_engine, self.version);
            match timeout_at(wait_until, placement).await {
                Ok(Placement::Placed) => {
                    if let Ok(choice) = self.choose_now() {
                        return Ok(choice);
                    }
                }
                Ok(Placement::Loading(ms)) => {
                    // It will not be loaded in time: the response says when to retry.
                    let retry_after = Duration::from_millis(ms);
                    if Instant::now() + retry_after > wait_until {
                        return Err(NoEngine::NotLoaded(retry_after));
                    }
                }
                // This node reaches neither the engines that have the model nor the leader;
                // another node may.
                Ok(Placement::Unknown) if self.is_unreachable() => return result,
                Ok(Placement::Unknown) => {}
                Err(_) => return result,
            }
            if let Some(choice) = self.wait_for_placement(wait_until).await {
                return Ok(choice);
            }
            if Instant::now() >= wait_until {
                return result;
            }
        }
    }

    /// Whether engines could run the request but this node reaches none of them.
    pub(super) fn is_unreachable(&self) -> bool {
        let (now, state) = (self.node.now(), self.node.state.borrow());
        let admitted = self.node.admitted_versions.borrow();
        let versions = self.version_rule(admitted.as_deref());
        let mut suitable = state.engines.of_service(&self.service).filter(|e| {
            e.accepts_requests()
                && versions.allows(e)
                && self.model_ref().is_none_or(|model| e.has_loaded(model))
        });
        suitable.next().is_some_and(|e| e.health.is_unreachable(now))
            && suitable.all(|e| e.health.is_unreachable(now))
    }

    /// Waits briefly for the leader's updates about engines. Querying it after each change would
    /// cost many more queries than there are requests.
    async fn wait_for_placement(&self, wait_until: Instant) -> Option<Choice> {
        let until = wait_until.min(Instant::now() + PLACEMENT_CHECK_INTERVAL);
        while timeout_at(until, self.node.placement_changed.notified()).await.is_ok() {
            if let Ok(choice) = self.choose_now() {
                return Some(choice);
            }
        }
        None
    }

    pub(super) fn choose_now(&self) -> Result<Choice, NoEngine> {
        self.choose_until(self.received_at)
    }

    /// Chooses an engine that could take the place of a silent one: another silent one would be no better.
    pub(super) fn choose_replacement(&self) -> Result<Choice, NoEngine> {
        self.choose_excluding(&self.tried_and_silent_engines(), self.received_at)
    }

    fn tried_and_silent_engines(&self) -> Vec<EngineId> {
        let (now, state) = (self.node.now(), self.node.state.borrow());
        let silent = state.engines.of_service(&self.service).filter(|e| is_silent(e, now));
        let silent = silent.map(|e| e.info.id.clone());
        self.tried_engines.iter().cloned().chain(silent).collect()
    }

    /// Chooses an engine. Before `wait_until`, fails with `NoEngine::PrefillBusy` if every engine has
    /// too much to prefill.
    pub(super) fn choose_until(&self, wait_until: Instant) -> Result<Choice, NoEngine> {
        if self.silent_attempts > 0 {
            return self.choose_excluding(&self.tried_and_silent_engines(), wait_until);
        }
        self.choose_excluding(&self.tried_engines, wait_until)
    }

    fn choose_excluding(
        &self,
        excluded: &[EngineId],
        wait_until: Instant,
    ) -> Result<Choice, NoEngine> {
        let state = self.node.state.borrow();
        let settings = self.node.settings.borrow();
        let service = state.catalog.as_ref().and_then(|c| c.services.get(&self.service));
        let max_conns = service.map_or(u32::MAX, |service| service.max_conns);
        let engine_tokens = service.and_then(|service| service.pool.as_ref()?.memory_tokens);
        let memory = engine_tokens.filter(|_| settings.features.engine_memory).map(|tokens| {
            MemoryParams { engine_tokens: tokens, request: self.memory(), nodes: state.nodes }
        });
        let admitted = self.node.admitted_versions.borrow();
        let idle = self.node.reusable_connections(self.tolerates_loss());
        let subset = SubsetParams {
            node: NodeSeed::of(&settings.node),
            domain: &settings.domain,
            idle: &idle,
        };
        let params = ChoiceParams {
            service: &self.service,
            versions: self.version_rule(admitted.as_deref()),
            prompt: self.prompt(),
            domain: &settings.domain,
            excluded,
            nodes: state.nodes,
            max_conns,
            has_precedence: self.has_precedence,
            max_event_gap: self.route.max_event_gap,
            speed_needs: self.speed_needs(service),
            can_wait: Instant::now() < wait_until,
            memory,
            random: random(),
            subset: settings.features.engine_subsets.then_some(subset),
            weights: self.cost_weights(state.nodes),
        };
        choose_engine(&state.engines, &params, self.node.now())
    }

    fn speed_needs(&self, service: Option<&Service>) -> Option<SpeedNeeds> {
        engine_speed::needs(&self.node, &self.route, service, self.prompt(), self.time_left())
    }

    /// Many nodes do not know the loads of a service's few engines in time.
    fn cost_weights(&self, nodes: u32) -> CostWeights {
        let is_outdated = self.prompt().is_none()
            && !broadcasts_sends(nodes)
            && self.node.settings.borrow().features.overload_control;
        if is_outdated { CostWeights::for_outdated_loads() } else { CostWeights::default() }
    }

    /// Rejects a request that no engine has executed because none could be chosen.
    pub(super) fn refuse_no_engine(&self, reason: NoEngine) -> CallerResponse {
        match reason {
            NoEngine::TooLarge => *self.refuse_for_good(Refusal::RequestTooLarge),
            _ if !self.may_use_engines() || self.is_unreachable() => {
                self.refuse_while(Refusal::EnginesUnreachable, RefusalDuration::Lasting)
            }
            NoEngine::VersionGone => *self.refuse_for_good(Refusal::StreamVersionGone),
            NoEngine::NoneAvailable | NoEngine::PrefillBusy => {
                self.refuse_while(Refusal::NoEngine, RefusalDuration::Passing)
            }
            NoEngine::Full(_) => {
                overload::record_pressure(&self.node, &self.service);
                self.refuse_while(Refusal::EnginesFull, RefusalDuration::Passing)
            }
            NoEngine::NotLoaded(wait) => self.refuse(Refusal::ModelNotLoaded, wait),
            NoEngine::AtLimit(wait) => self.refuse(Refusal::EnginesAtLimit, wait),
            NoEngine::Resting(wait) => self.refuse(Refusal::EnginesResting, wait),
        }
    }
}
