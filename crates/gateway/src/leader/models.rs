//! Places models on engines by demand.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::placement::{
    AllowedActions, ModelLoad, WeightSource, count_evicting, model_fits, next_model_load,
};
use hgw_direct::{Engine, EngineId, ModelPool, ModelRef, Rates, ServiceId, StartTime};
use hgw_events::{Event, emit};
use tokio::time::{Instant, sleep, timeout_at};

use crate::protocol::OrderKind;
use crate::shared::Node;

use super::order::{OrderResult, count_accepted, may_send_orders, send_order};
use super::{
    announce_placement_change, load_rate_limits, model_pool, model_pools, order_lock, record_load,
};

/// Interval at which an order in progress is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum wait for a load, as a multiple of its usual time, which concurrent loads exceed.
const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// Maximum wait for an unload, which ends only after the requests for the model.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between the announcement of an unload and the order, in which requests under way to the
/// engine arrive.
const UNLOAD_NOTICE: Duration = Duration::from_millis(120);

/// Maximum number of engines that evict models for a load at a time, because the evicted copies are
/// missing until the load ends.
const MAX_EVICTING_ENGINES: usize = 4;

/// Time for which demand must be known before a spare copy is evicted.
const MIN_DEMAND_TIME: Duration = Duration::from_millis(2_500);

/// Time in which nodes report their earlier demand to a new leader.
const DEMAND_REPORT_TIME: Duration = Duration::from_millis(800);

/// Interval at which a pending load checks the rate limit of the weight store.
const RATE_LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the most useful loads that the rate limit of the weight store allows.
pub(super) fn start_loads(node: &Node, service: &ServiceId, pool: &ModelPool) {
    // A step removes evicted models from the engine's state before the order. Without permission
    // to send the order the model would stay loaded and get no requests.
    while may_send_orders(node) {
        let now = node.now();
        let mut leader = node.leader_state.borrow_mut();
        if count_evicting(&leader.pending_loads, &leader.loading) >= MAX_EVICTING_ENGINES {
            return;
        }
        let demand_age = leader.demand.since().map_or(0, |since| now.saturating_sub(since));
        let nodes_reported =
            now.saturating_sub(leader.started_at) >= DEMAND_REPORT_TIME.as_millis() as u64;
        let allowed = AllowedActions {
            load_from_store: leader.load_limiter.allows(now, &load_rate_limits(node, pool)),
            evict: nodes_reported && demand_age >= MIN_DEMAND_TIME.as_millis() as u64,
        };
        let state = node.state.borrow();
        // Copies on unreachable engines do not count, although their entries have not expired yet.
        let engines = state.engines.of_service(service).filter(|e| e.accepts_requests());
        let engines: Vec<&Engine> =
            engines.filter(|e| !e.health.is_reported_unreachable(now)).collect();
        let rates = leader.demand.rates(now);
        let mut busy = leader.pending_loads.clone();
        for engine in engines.iter().filter(|e| !leader.surveyed.contains_key(&e.info.id)) {
            // Its loaded models count, but it may have an unknown order in progress.
            busy.entry(engine.info.id.clone()).or_default();
        }
        let step = next_model_load(&engines, pool, &rates, &busy, allowed, now);
        let Some(step) = step else { return };
        log_plan(node, &step, &engines, &rates);
        drop(state);
        step.apply_evictions(&mut node.state.borrow_mut().engines);
        leader.pending_loads.insert(step.engine.clone(), step.model.clone());
        drop(leader);
        let (node, pool) = (Rc::clone(node), pool.clone());
        tokio::task::spawn_local(async move {
            let engine = step.engine.clone();
            execute(&node, &pool, step).await;
            let mut leader = node.leader_state.borrow_mut();
            leader.pending_loads.shift_remove(&engine);
            leader.loading.shift_remove(&engine);
        });
    }
}

fn log_plan(node: &Node, step: &ModelLoad, engines: &[&Engine], rates: &Rates) {
    let copies = |model: &str| engines.iter().filter(|e| e.has_model(model)).count().to_string();
    let rate = |model: &str| format!("{:.1}", rates.of_model(model));
    let for_evicted = |of: &dyn Fn(&str) -> String| {
        step.evict.iter().map(|model| of(model)).collect::<Vec<_>>().join(",")
    };
    emit(
        Event::PlacementPlanned,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", &step.engine),
            ("load", &step.model),
            ("load_rate", &rate(&step.model)),
            ("load_copies", &copies(&step.model)),
            ("source", &step.source),
            ("drop", &step.evict.join(",")),
            ("drop_rate", &for_evicted(&rate)),
            ("drop_copies", &for_evicted(&copies)),
        ],
    );
}

/// Evicts models from an engine as planned and has another loaded there.
async fn execute(node: &Node, pool: &ModelPool, step: ModelLoad) {
    let ModelLoad { engine, evict: drop, model: load, source } = step;
    for model in drop {
        let evicted = ModelRef { model, adapter: None };
        if !order_until_done(node, &engine, OrderKind::Unload, &evicted, Duration::ZERO).await {
            return;
        }
    }
    if source == WeightSource::Store {
        while !node
            .leader_state
            .borrow_mut()
            .load_limiter
            .allows(node.now(), &load_rate_limits(node, pool))
        {
            sleep(RATE_LIMIT_CHECK_INTERVAL).await;
        }
    }
    // A survey or a configuration may have shown meanwhile that there is less room than planned.
    if !still_fits(node, &engine, &load) {
        return;
    }
    if source == WeightSource::Store {
        record_load(node);
    }
    let usual_time = pool.models.get(&load).map_or(Duration::from_secs(5), |m| source.load_time(m));
    node.leader_state
        .borrow_mut()
        .loading
        .insert(engine.clone(), node.now() + usual_time.as_millis() as u64);
    let model_ref = ModelRef { model: load, adapter: None };
    order_until_done(node, &engine, OrderKind::Load, &model_ref, usual_time).await;
}

/// Whether a model fits at an engine by the figures of the engine's own service.
fn still_fits(node: &Node, engine: &EngineId, model: &str) -> bool {
    let Some(service) = node.engine(engine, |e| e.info.service.clone()) else { return false };
    let Some(pool) = model_pool(node, &service) else { return false };
    node.engine(engine, |e| model_fits(e, &pool, model)).unwrap_or(false)
}

/// Estimated time in milliseconds until an engine has loaded the model.
pub(super) fn expected_load_ms(node: &Node, model: &str) -> u64 {
    let usual_time =
        model_pools(node).iter().find_map(|(_, p)| p.models.get(model).map(|m| m.store_load_time));
    let usual_time = usual_time.unwrap_or(Duration::from_secs(5)).as_millis() as u64;
    let leader = node.leader_state.borrow();
    let loading = leader.pending_loads.iter().filter(|(_, m)| *m == model);
    let done_at = loading.filter_map(|(engine, _)| leader.loading.get(engine)).min();
    match done_at {
        Some(done_at) => done_at.saturating_sub(node.now()) + CHECK_INTERVAL.as_millis() as u64,
        None => usual_time + usual_time / 2,
    }
}

/// Repeats an order until the engine has executed it. Returns whether it has.
async fn order_until_done(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    model_ref: &ModelRef,
    usual_time: Duration,
) -> bool {
    let lock = order_lock(node, engine);
    let Some(start) = node.engine(engine, |e| e.info.started_at) else { return false };
    if kind == OrderKind::Unload {
        // Requests are sent elsewhere from now on.
        if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
            engine.remove_loaded(model_ref);
        }
        announce_placement_change(node, engine);
        sleep(UNLOAD_NOTICE).await;
    }
    let max_wait =
        if kind == OrderKind::Load { usual_time * LOAD_TIMEOUT_FACTOR } else { UNLOAD_TIMEOUT };
    let deadline = Instant::now() + max_wait;
    let mut accepted = false;
    while Instant::now() < deadline && has_not_restarted(node, engine, start) {
        let result = {
            let _guard = lock.lock().await;
            send_order(node, engine, kind, model_ref).await
        };
        match result {
            OrderResult::Done => {
                record_done(node, engine, kind, model_ref);
                return true;
            }
            OrderResult::Accepted => {
                if !accepted {
                    count_accepted(node, engine);
                }
                accepted = true;
                let pause = if kind == OrderKind::Load { usual_time } else { CHECK_INTERVAL };
                sleep_unless_restarted(node, engine, start, pause).await;
            }
            OrderResult::Conflict if accepted => sleep(CHECK_INTERVAL).await,
            // An unknown order is in progress. A load before its outcome is known could exceed
            // the engine's memory.
            OrderResult::Conflict => break,
            OrderResult::NotSent | OrderResult::NoResponse => sleep(CHECK_INTERVAL).await,
            OrderResult::Superseded | OrderResult::Refused => break,
        }
        if kind == OrderKind::Unload {
            announce_placement_change(node, engine);
        }
    }
    // The outcome is unknown, so the engine has to be surveyed again.
    node.leader_state.borrow_mut().surveyed.shift_remove(engine);
    false
}

/// Whether an engine has not restarted since `start`. A restart voids earlier orders.
fn has_not_restarted(node: &Node, engine: &EngineId, start: StartTime) -> bool {
    node.engine(engine, |e| !start.is_before(e.info.started_at)).unwrap_or(false)
}

/// Sleeps for `pause`, or until the engine restarts.
async fn sleep_unless_restarted(node: &Node, engine: &EngineId, start: StartTime, pause: Duration) {
    let deadline = Instant::now() + pause;
    while Instant::now() < deadline {
        let restarted = node.engine_restarted.notified();
        if !has_not_restarted(node, engine, start) || timeout_at(deadline, restarted).await.is_err()
        {
            return;
        }
    }
}

fn record_done(node: &Node, engine: &EngineId, kind: OrderKind, model_ref: &ModelRef) {
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        match kind {
            OrderKind::Load => engine.add_loaded(model_ref),
            OrderKind::Unload => engine.remove_loaded(model_ref),
        }
    }
    announce_placement_change(node, engine);
}
