//! Places adapters on engines by demand.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::placement::{
    AdapterAction, any_could_hold, needed_evictions, next_missing_adapter, place_adapter,
};
use hgw_direct::{Engine, EngineId, ModelPool, ModelRef, ServiceId, VersionKey};
use hgw_events::{Event, emit};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::peers::Placement;
use crate::protocol::OrderKind;
use crate::shared::Node;

use super::order::{OrderResult, count_accepted, may_send_orders, send_order};
use super::{announce_placement_change, model_pool, model_pools, models, order_lock};

/// Pause before the first check of a load; a load takes about this long.
const MIN_CHECK_PAUSE: Duration = Duration::from_millis(6);

/// Maximum pause between checks, each of which is an order.
const MAX_CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Maximum wait for a load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait for an unload, which the engine completes only after the last request with the
/// adapter. It executes no other order meanwhile.
const UNLOAD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// No adapter is placed ahead of requests while this many placements are in progress.
const MAX_PLACEMENTS: usize = 4;

/// Places a model or an adapter that a request is waiting for.
pub(crate) async fn request_placement(
    node: &Node,
    model_ref: &ModelRef,
    domain: &str,
    stale_engine: Option<&EngineId>,
    version: Option<VersionKey>,
) -> Placement {
    if let Some(engine) = stale_engine {
        remove_stale_model(node, model_ref, engine);
    }
    if is_loaded(node, model_ref, version) {
        return Placement::Placed;
    }
    // The demand report of its node arrives later, and the adapter must not be evicted until then.
    let now = node.now();
    node.leader_state.borrow_mut().demand.mark_requested(now, model_ref);
    let model = ModelRef { model: model_ref.model.clone(), adapter: None };
    let is_model_loaded = is_loaded(node, &model, version);
    if model_ref.adapter.is_none() || !is_model_loaded || !any_engine_could_hold(node, model_ref) {
        return Placement::Loading(models::expected_load_ms(node, &model_ref.model));
    }
    // Runs as a separate task, because the caller may disconnect while an order is pending.
    let done = start_placement(node, model_ref, domain, version);
    // A timeout is ignored: the check below shows whether the adapter was loaded.
    let _ = timeout(LOAD_TIMEOUT, done.notified()).await;
    if is_loaded(node, model_ref, version) { Placement::Placed } else { Placement::Unknown }
}

/// Corrects the state of an engine that responded that `model_ref` is not loaded.
fn remove_stale_model(node: &Node, model_ref: &ModelRef, engine: &EngineId) {
    let mut state = node.state.borrow_mut();
    let Some(known) = state.engines.get_mut(engine).filter(|e| e.has_loaded(model_ref)) else {
        return;
    };
    known.remove_loaded(model_ref);
    drop(state);
    node.leader_state.borrow_mut().surveyed.shift_remove(engine);
    announce_placement_change(node, engine);
}

/// Starts to place an adapter unless that is in progress. The returned `Notify` is notified at the
/// end.
fn start_placement(
    node: &Node,
    model_ref: &ModelRef,
    domain: &str,
    version: Option<VersionKey>,
) -> Rc<Notify> {
    let mut leader = node.leader_state.borrow_mut();
    if let Some(in_progress) = leader.placements_in_progress.get(model_ref) {
        return Rc::clone(in_progress);
    }
    let done = Rc::new(Notify::new());
    leader.placements_in_progress.insert(model_ref.clone(), Rc::clone(&done));
    let (node, model_ref, domain) = (Rc::clone(node), model_ref.clone(), domain.to_owned());
    tokio::task::spawn_local(async move {
        place_adapter_now(&node, &model_ref, &domain, version).await;
        let done = node.leader_state.borrow_mut().placements_in_progress.shift_remove(&model_ref);
        if let Some(done) = done {
            done.notify_waiters();
        }
    });
    done
}

/// Places an adapter in demand that no engine has loaded, ahead of the next request for it.
pub(super) fn place_missing_adapter(node: &Node, service: &ServiceId, pool: &ModelPool) {
    let model_ref = {
        let leader = node.leader_state.borrow();
        if leader.placements_in_progress.len() >= MAX_PLACEMENTS {
            return;
        }
        let state = node.state.borrow();
        let engines: Vec<&Engine> =
            state.engines.of_service(service).filter(|e| e.accepts_requests()).collect();
        next_missing_adapter(&engines, pool, &leader.demand, node.now())
    };
    let Some(model_ref) = model_ref else { return };
    start_placement(node, &model_ref, "", None);
}

/// Whether an engine with the adapter's model could hold it beside its models.
fn any_engine_could_hold(node: &Node, model_ref: &ModelRef) -> bool {
    let pools = model_pools(node);
    let state = node.state.borrow();
    pools.iter().any(|(service, pool)| {
        let engines: Vec<&Engine> = state.engines.of_service(service).collect();
        any_could_hold(&engines, pool, model_ref)
    })
}

fn is_loaded(node: &Node, model_ref: &ModelRef, version: Option<VersionKey>) -> bool {
    let now = node.now();
    let is_reachable = |e: &Engine| e.accepts_requests() && !e.health.is_reported_unreachable(now);
    let state = node.state.borrow();
    let mut engines = state.engines.iter().filter(|e| is_reachable(e) && is_of(e, version));
    engines.any(|e| e.has_loaded(model_ref))
}

/// Whether an engine runs a software version, if one is given.
fn is_of(engine: &Engine, version: Option<VersionKey>) -> bool {
    version.is_none_or(|version| engine.version_key() == version)
}

async fn place_adapter_now(
    node: &Node,
    model_ref: &ModelRef,
    domain: &str,
    version: Option<VersionKey>,
) {
    // Checked first: an evicted adapter is removed from the engine's state before the order is
    // sent.
    if !may_send_orders(node) {
        return;
    }
    if let Some((engine, evict)) = choose_engine(node, model_ref, domain, version) {
        let lock = order_lock(node, &engine);
        let _guard = lock.lock().await;
        // Another order may have taken the room meanwhile, or made it.
        if let Some(evict) = evictions_now(node, model_ref, &engine, evict) {
            execute(node, &engine, model_ref, evict).await;
        }
    }
}

fn choose_engine(
    node: &Node,
    model_ref: &ModelRef,
    domain: &str,
    version: Option<VersionKey>,
) -> Option<(EngineId, Vec<ModelRef>)> {
    let now = node.now();
    for (service, pool) in model_pools(node) {
        let state = node.state.borrow();
        let leader = node.leader_state.borrow();
        let engines: Vec<&Engine> = state
            .engines
            .of_service(&service)
            .filter(|e| e.accepts_requests() && leader.surveyed.contains_key(&e.info.id))
            // Engines execute one order at a time.
            .filter(|e| !leader.pending_loads.contains_key(&e.info.id))
            .filter(|e| !leader.draining.contains(&e.info.id))
            .filter(|e| is_of(e, version))
            .collect();
        let action = place_adapter(&engines, &pool, &leader.demand, model_ref, domain, now);
        if let AdapterAction::Load { engine, evict } = action {
            return Some((engine, evict));
        }
    }
    None
}

/// What has to be evicted of what was planned so that an adapter can be loaded now, by the figures of the engine's own
/// service; none if the decision does not hold any more.
fn evictions_now(
    node: &Node,
    model_ref: &ModelRef,
    engine: &EngineId,
    planned: Vec<ModelRef>,
) -> Option<Vec<ModelRef>> {
    {
        let leader = node.leader_state.borrow();
        if !leader.surveyed.contains_key(engine) || leader.pending_loads.contains_key(engine) {
            return None;
        }
    }
    let service = node.engine(engine, |e| e.info.service.clone())?;
    let pool = model_pool(node, &service)?;
    node.engine(engine, |e| {
        let is_wanted = e.has_model(&model_ref.model) && !e.has_loaded(model_ref);
        is_wanted.then(|| needed_evictions(e, &pool, model_ref, planned))?
    })?
}

fn log_plan(node: &Node, engine: &EngineId, model_ref: &ModelRef, evict: &[ModelRef]) {
    let rate = format!("{:.1}", node.leader_state.borrow().demand.rate(node.now(), model_ref));
    let evict = evict.iter().map(ModelRef::to_string).collect::<Vec<_>>().join(",");
    emit(
        Event::AdapterPlanned,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", engine),
            ("load", model_ref),
            ("load_rate", &rate),
            ("drop", &evict),
        ],
    );
}

async fn execute(node: &Node, engine: &EngineId, model_ref: &ModelRef, evict: Vec<ModelRef>) {
    log_plan(node, engine, model_ref, &evict);
    if !evict.is_empty() && !evict_adapters(node, engine, &evict).await {
        return;
    }
    repeat_order(node, engine, OrderKind::Load, model_ref).await;
}

/// Evicts adapters, which get no more requests from the start. Returns whether the engine has unloaded all of them.
async fn evict_adapters(node: &Node, engine: &EngineId, evict: &[ModelRef]) -> bool {
    if let Some(e) = node.state.borrow_mut().engines.get_mut(engine) {
        evict.iter().for_each(|evicted| e.remove_loaded(evicted));
    }
    announce_placement_change(node, engine);
    node.leader_state.borrow_mut().draining.insert(engine.clone());
    let mut all_unloaded = true;
    for evicted in evict {
        all_unloaded = all_unloaded && repeat_order(node, engine, OrderKind::Unload, evicted).await;
    }
    node.leader_state.borrow_mut().draining.shift_remove(engine);
    all_unloaded
}

/// Repeats an order until the engine has executed it. Returns whether it has.
async fn repeat_order(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    model_ref: &ModelRef,
) -> bool {
    // An adapter in use is unloaded after its last request.
    let max_wait = if kind == OrderKind::Unload { UNLOAD_TIMEOUT } else { LOAD_TIMEOUT };
    let deadline = Instant::now() + max_wait;
    let mut pause = MIN_CHECK_PAUSE;
    if kind == OrderKind::Load
        && let Some(e) = node.state.borrow_mut().engines.get_mut(engine)
    {
        e.expect_adapter(model_ref);
    }
    let mut accepted = false;
    while Instant::now() < deadline {
        match send_order(node, engine, kind, model_ref).await {
            OrderResult::Done => {
                if kind == OrderKind::Unload && !accepted {
                    // An unload that completes at once counts as an accepted order, too.
                    count_accepted(node, engine);
                }
                if let Some(e) = node.state.borrow_mut().engines.get_mut(engine) {
                    match kind {
                        OrderKind::Load => e.add_loaded(model_ref),
                        OrderKind::Unload => e.remove_loaded(model_ref),
                    }
                }
                announce_placement_change(node, engine);
                return true;
            }
            OrderResult::Accepted => {
                if !accepted {
                    count_accepted(node, engine);
                    accepted = true;
                }
                sleep(pause).await;
                pause = (pause * 2).min(MAX_CHECK_PAUSE);
            }
            // The engine executes or has accepted another order; a new survey determines its state.
            OrderResult::Conflict => break,
            OrderResult::NoResponse | OrderResult::NotSent => sleep(MAX_CHECK_PAUSE).await,
            OrderResult::Superseded | OrderResult::Refused => break,
        }
    }
    node.leader_state.borrow_mut().surveyed.shift_remove(engine);
    false
}
