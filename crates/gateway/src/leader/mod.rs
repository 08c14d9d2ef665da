//! Duties of the leader: placing models and adapters on engines by demand.

mod adapters;
mod models;
mod order;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::placement::{LoadRateLimiter, LoadRateLimits, PendingLoads, ReportedLoads};
use hgw_direct::{Demand, EngineId, ListVersion, Millis, ModelPool, ModelRef, StartTime};
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Mutex, Notify, Semaphore};
use tokio::time::sleep;

use crate::overload;
use crate::peers::{DemandCount, EarlierDemand, EnginePlacement};
use crate::shared::{ListSource, Node};

pub(crate) use adapters::request_placement;

/// Interval between two placement plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum pause after a plan, as a multiple of the time that it took. A plan for thousands of
/// engines keeps a small machine busy, and the nodes need responses meanwhile.
const PLAN_REST_FACTOR: u32 = 10;

/// Maximum number of engines surveyed at a time: connecting to thousands at once would keep a small
/// machine from responding to other nodes.
const MAX_CONCURRENT_SURVEYS: usize = 64;

/// Maximum age of the state in an engine's report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Number of lease durations after a claim, by which time the previous leader has noticed that its
/// lease expired.
const SOLE_LEADER_AFTER_LEASES: Millis = 2;

/// Pause before an engine that still executes an order of an earlier leader is surveyed again.
const BUSY_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Loads that the previous leader may have started without reporting them.
const UNREPORTED_LOADS: usize = 2;

/// Loads from the weight store allowed at first when the start times of the previous leader's loads
/// are unknown.
const INITIAL_LOADS: usize = 1;

/// State of the leader.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    /// Fencing token of the claim that this state belongs to.
    fence: u64,
    /// Time of the claim.
    started_at: Millis,
    demand: Demand,
    load_limiter: LoadRateLimiter,
    pending_loads: PendingLoads,
    /// Engines that are loading a model, and the expected end of the load.
    loading: IndexMap<EngineId, Millis>,
    /// Engines that reported their state to this leader, and their start at that time.
    surveyed: IndexMap<EngineId, StartTime>,
    /// Engines known to this leader, and their start when it last checked.
    known_starts: IndexMap<EngineId, StartTime>,
    /// Engines with a survey in progress.
    surveying: IndexSet<EngineId>,
    survey_permits: Rc<SurveyPermits>,
    /// Engines that wait for requests to end before they unload an adapter.
    draining: IndexSet<EngineId>,
    /// Serialize the orders to each engine.
    order_locks: IndexMap<EngineId, Rc<Mutex<()>>>,
    /// Notified when the placement of an adapter has ended.
    placements_in_progress: IndexMap<ModelRef, Rc<Notify>>,
    /// Nodes that have reported their earlier demand to this leader.
    demand_reporters: IndexSet<SocketAddr>,
    /// Position of the last change in the engine list that nodes were notified of.
    notified_list_version: ListVersion,
}

/// Bounds the number of engines surveyed at a time.
#[derive(Debug)]
struct SurveyPermits(Semaphore);

impl Default for SurveyPermits {
    fn default() -> Self {
        SurveyPermits(Semaphore::new(MAX_CONCURRENT_SURVEYS))
    }
}

/// Starts the leader's work under a new claim.
pub(crate) fn start(node: &Node, fence: u64, predecessor: Option<u64>) {
    let now = node.now();
    let load_starts = loads_started_under(node, predecessor);
    let mut leader = LeaderState { fence, started_at: now, ..LeaderState::default() };
    {
        let mut state = node.state.borrow_mut();
        // The demand below includes these counts.
        state.unreported_demand.clear();
        leader.demand.merge(now, state.demand.since(), &state.demand.snapshot(now));
    }
    for (_, pool) in model_pools(node) {
        match &load_starts {
            Some(load_starts) => leader.load_limiter.restore(now, load_starts, UNREPORTED_LOADS),
            None => {
                leader.load_limiter.assume_full(now, &load_rate_limits(node, &pool), INITIAL_LOADS)
            }
        }
    }
    *node.leader_state.borrow_mut() = leader;
    spawn_duties(node, fence);
}

/// Continues under a new claim of the same leader, with no other leader in between.
pub(crate) fn continue_under(node: &Node, fence: u64) {
    node.leader_state.borrow_mut().fence = fence;
    spawn_duties(node, fence);
    // Nodes send the old token, and are refused, until they receive the new one.
    node.update_available.notify_waiters();
}

/// Start times of loads from the weight store under a claim, if this node was the leader then or
/// has received them.
fn loads_started_under(node: &Node, claim: Option<u64>) -> Option<Vec<Millis>> {
    let claim = claim?;
    let leader = node.leader_state.borrow();
    if leader.fence == claim && leader.started_at > 0 {
        let now = node.now();
        return Some(leader.load_limiter.load_ages(now).iter().map(|age| now - age).collect());
    }
    let state = node.state.borrow();
    let reported = state.leader_loads.as_ref().filter(|loads| loads.fence() == claim);
    reported.map(|loads| loads.started().to_vec())
}

/// Counts a load from the weight store. Nodes are notified at once, because one of them may be the
/// next leader.
fn record_load(node: &Node) {
    node.leader_state.borrow_mut().load_limiter.record_load(node.now());
    node.update_available.notify_waiters();
}

fn spawn_duties(node: &Node, fence: u64) {
    tokio::task::spawn_local(plan_until_replaced(Rc::clone(node), fence));
    let decide = overload::decide_until_replaced(Rc::clone(node), move |node| !leads(node, fence));
    tokio::task::spawn_local(decide);
}

/// Whether this node leads under this claim.
fn leads(node: &Node, fence: u64) -> bool {
    node.leader_state.borrow().fence == fence && node.leadership.borrow().is_leader()
}

async fn plan_until_replaced(node: Node, fence: u64) {
    while leads(&node, fence) {
        let started = node.now();
        survey(&node);
        notify_list_change(&node);
        for (service, pool) in model_pools(&node) {
            models::start_loads(&node, &service, &pool);
            adapters::place_missing_adapter(&node, &service, &pool);
        }
        let took = Duration::from_millis(node.now().saturating_sub(started));
        sleep(PLAN_INTERVAL.max(took * PLAN_REST_FACTOR)).await;
    }
}

/// Surveys the engines whose state is not known under this claim.
fn survey(node: &Node) {
    let services: Vec<_> = model_pools(node).into_iter().map(|(service, _)| service).collect();
    let state = node.state.borrow();
    let engines = state.engines.iter().filter(|e| services.contains(&e.info.service));
    let ids: IndexSet<EngineId> = engines.map(|e| e.info.id.clone()).collect();
    let mut leader = node.leader_state.borrow_mut();
    leader.surveyed.retain(|id, start| {
        let engine = state.engines.get(id).filter(|_| ids.contains(id));
        engine.is_some_and(|e| !start.is_before(e.info.started_at))
    });
    drop(state);
    node.placement_changes.borrow_mut().retain(|id| ids.contains(id));
    leader.order_locks.retain(|id, _| ids.contains(id));
    leader.pending_loads.retain(|id, _| ids.contains(id));
    leader.loading.retain(|id, _| ids.contains(id));
    for id in ids {
        if !leader.surveyed.contains_key(&id) && leader.surveying.insert(id.clone()) {
            let node = Rc::clone(node);
            tokio::task::spawn_local(async move {
                survey_engine(&node, &id).await;
            });
        }
    }
}

/// Polls an engine until it has no order of an earlier leader in progress.
async fn survey_engine(node: &Node, id: &EngineId) {
    let fence = node.leader_state.borrow().fence;
    if !started_after_claim(node, id) {
        sleep(MAX_REPORT_AGE).await;
    }
    let permits = Rc::clone(&node.leader_state.borrow().survey_permits);
    while node.leader_state.borrow().fence == fence
        && let Some(start) = node.engine(id, |e| e.info.started_at)
    {
        let report = {
            let _permit = permits.0.acquire().await;
            let lock = order_lock(node, id);
            let _guard = lock.lock().await;
            order::fetch_report(node, id).await
        };
        if report == Some(order::Idle(true)) {
            let mut leader = node.leader_state.borrow_mut();
            leader.surveyed.insert(id.clone(), start);
            break;
        }
        sleep(BUSY_RETRY_PAUSE).await;
    }
    node.leader_state.borrow_mut().surveying.shift_remove(id);
}

/// Whether an engine started so long after the claim that no earlier leader can have sent it an
/// order. Such an engine is surveyed at once.
fn started_after_claim(node: &Node, id: &EngineId) -> bool {
    let lease = node.settings.borrow().lease.as_millis() as Millis;
    let Some(start) = node.engine(id, |e| e.info.started_at) else { return false };
    let mut leader = node.leader_state.borrow_mut();
    let time_as_leader = node.now().saturating_sub(leader.started_at);
    let seen_before = leader.known_starts.insert(id.clone(), start);
    time_as_leader > SOLE_LEADER_AFTER_LEASES * lease && seen_before != Some(start)
}

/// Services whose engines load models on demand.
fn model_pools(node: &Node) -> Vec<(hgw_direct::ServiceId, ModelPool)> {
    let state = node.state.borrow();
    let Some(catalog) = &state.catalog else { return Vec::new() };
    let pools = catalog.services.iter();
    pools.filter_map(|(id, s)| Some((id.clone(), s.pool.clone()?))).collect()
}

/// Models of a service, and the figures of its engines.
fn model_pool(node: &Node, service: &hgw_direct::ServiceId) -> Option<ModelPool> {
    let state = node.state.borrow();
    state.catalog.as_ref()?.services.get(service)?.pool.clone()
}

fn load_rate_limits(node: &Node, pool: &ModelPool) -> LoadRateLimits {
    let window = node.settings.borrow().load_window.as_millis() as Millis;
    LoadRateLimits { loads_per_s: pool.loads_per_s, window }
}

fn order_lock(node: &Node, engine: &EngineId) -> Rc<Mutex<()>> {
    let mut leader = node.leader_state.borrow_mut();
    Rc::clone(leader.order_locks.entry(engine.clone()).or_default())
}

/// Notifies nodes that poll this one of a new configuration.
pub(crate) fn catalog_changed(node: &Node) {
    node.update_available.notify_waiters();
}

/// Adds the demand that a node reported.
pub(crate) fn add_demand(node: &Node, counts: &[DemandCount]) {
    let now = node.now();
    let mut leader = node.leader_state.borrow_mut();
    for entry in counts {
        let (model_ref, count) = entry.clone().into_parts();
        leader.demand.record(now, &model_ref, count);
    }
}

/// Adds the demand that a node recorded before it knew this leader.
pub(crate) fn add_earlier_demand(node: &Node, from: SocketAddr, earlier: &EarlierDemand) {
    let now = node.now();
    if !node.leader_state.borrow_mut().demand_reporters.insert(from) {
        return;
    }
    let since = earlier.counted_for_ms.map(|for_ms| now.saturating_sub(for_ms));
    node.leader_state.borrow_mut().demand.merge(now, since, &earlier.models);
}

/// Notifies waiting nodes if the engine list has changed.
pub(crate) fn notify_list_change(node: &Node) {
    let Some(list_version) = node.state.borrow().list_version else { return };
    node.record_list_version(list_version, ListSource::Known);
    let changed_at = node.state.borrow().list_changes.changed_at();
    let mut leader = node.leader_state.borrow_mut();
    if leader.notified_list_version < changed_at {
        leader.notified_list_version = changed_at;
        node.update_available.notify_waiters();
    }
}

/// Loads from the weight store that this leader started.
pub(crate) fn started_loads(node: &Node) -> ReportedLoads {
    let (now, leader) = (node.now(), node.leader_state.borrow());
    let ages = leader.load_limiter.load_ages(now);
    ReportedLoads::new(leader.fence, ages.iter().map(|age| now - age).collect())
}

/// Engines that have `model_ref` loaded, with all their loaded models.
pub(crate) fn placements_of(node: &Node, model_ref: &ModelRef) -> Vec<EnginePlacement> {
    let state = node.state.borrow();
    let engines = state.engines.iter().filter(|e| e.has_loaded(model_ref));
    let ids: Vec<EngineId> = engines.map(|e| e.info.id.clone()).collect();
    drop(state);
    ids.iter().filter_map(|id| placement_of(node, id)).collect()
}

pub(crate) fn placement_of(node: &Node, id: &EngineId) -> Option<EnginePlacement> {
    node.engine(id, |e| EnginePlacement {
        engine: id.clone(),
        started_at: e.info.started_at,
        fence: Some(e.surveyed_under).filter(|fence| *fence > 0),
        accepted_orders: e.accepted_orders,
        loaded: e.info.loaded.clone(),
    })
}

/// Announces that the loaded models of an engine changed.
fn announce_placement_change(node: &Node, engine: &EngineId) {
    let now = node.now();
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        engine.placement_reported_at = Some(now);
    }
    node.placement_changes.borrow_mut().record(engine);
    node.update_available.notify_waiters();
    node.placement_changed.notify_waiters();
}
