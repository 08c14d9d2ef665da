//! Duties of the leader: placing models and adapters on engines by demand.

mod adapters;
mod give;
mod models;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::place::{Ceiling, CeilingLimits, Pending};
use hgw_direct::{Demand, EngineId, ListPlace, Millis, Pool, Start, Wanted};
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Mutex, Notify, Semaphore};
use tokio::time::sleep;

use crate::peers::{Asked, CountedBefore, Told};
use crate::shared::{ListSource, Node};

pub(crate) use adapters::want;

/// Interval between two placement plans.
const TICK: Duration = Duration::from_millis(100);

/// Least pause after a plan, as a multiple of the time that it took. A plan for thousands of
/// engines keeps a small machine busy, and the nodes need responses meanwhile.
const REST: u32 = 10;

/// Maximum number of engines asked at a time: connecting to thousands at once would keep a small
/// machine from responding to other nodes.
const MOST_ASKING: usize = 64;

/// Largest age of the state in an engine's report.
const REPORT_AGE: Duration = Duration::from_millis(600);

/// Leases after the claim until the previous leader has surely noticed that it lost the lease.
const LEASES_ALONE: Millis = 2;

/// Pause before an engine is asked again that executes an order of an earlier leader.
const BUSY_CHECK: Duration = Duration::from_millis(400);

/// Loads that the previous leader may have started without reporting them.
const UNHEARD_LOADS: usize = 2;

/// Loads from the weight store allowed at first when the start times of the previous leader's loads
/// are unknown.
const FIRST_LOADS: usize = 1;

/// State of the leader.
#[derive(Debug, Default)]
pub(crate) struct KeeperState {
    /// Fencing token of the claim that this state belongs to.
    fence: u64,
    /// Time of the claim.
    begun: Millis,
    demand: Demand,
    ceiling: Ceiling,
    pending: Pending,
    /// Engines that are loading a model, and the expected end of the load.
    loading: IndexMap<EngineId, Millis>,
    /// Engines that reported their state to this leader, and their start at that time.
    surveyed: IndexMap<EngineId, Start>,
    /// Engines seen by this leader, and their start at that time.
    met: IndexMap<EngineId, Start>,
    /// Engines with a survey in progress.
    surveying: IndexSet<EngineId>,
    asking: Rc<Asking>,
    /// Engines that wait for requests to end before they unload an adapter.
    emptying: IndexSet<EngineId>,
    /// Serialize the orders to each engine.
    desks: IndexMap<EngineId, Rc<Mutex<()>>>,
    /// Notified when the placement of an adapter has ended.
    placing: IndexMap<Wanted, Rc<Notify>>,
    /// Nodes that have reported their earlier demand to this leader.
    introduced: IndexSet<SocketAddr>,
    /// Position of the last change in the engine list that nodes were notified of.
    list_told: ListPlace,
}

/// Bounds the number of engines asked at a time.
#[derive(Debug)]
struct Asking(Semaphore);

impl Default for Asking {
    fn default() -> Self {
        Asking(Semaphore::new(MOST_ASKING))
    }
}

/// Starts the leader's work under a new claim.
pub(crate) fn begin(node: &Node, fence: u64, predecessor: Option<u64>) {
    let now = node.now();
    let load_starts = begun_under(node, predecessor);
    let mut leader = KeeperState { fence, begun: now, ..KeeperState::default() };
    {
        let mut state = node.state.borrow_mut();
        // The demand below includes these counts.
        state.unreported_demand.clear();
        leader.demand.go_on_from(now, state.demand.since(), &state.demand.past(now));
    }
    for (_, pool) in pools(node) {
        match &load_starts {
            Some(load_starts) => leader.ceiling.go_on_from(now, load_starts, UNHEARD_LOADS),
            None => leader.ceiling.assume_full(now, &ceiling_limits(node, &pool), FIRST_LOADS),
        }
    }
    *node.keeper.borrow_mut() = leader;
    tokio::task::spawn_local(run(Rc::clone(node), fence));
}

/// Continues under a new claim of the same leader, with no other leader in between.
pub(crate) fn go_on(node: &Node, fence: u64) {
    node.keeper.borrow_mut().fence = fence;
    tokio::task::spawn_local(run(Rc::clone(node), fence));
    // Nodes send the old token, and are refused, until they receive the new one.
    node.update_available.notify_waiters();
}

/// Start times of loads from the weight store under a claim, if this node led then or was told of
/// them.
fn begun_under(node: &Node, claim: Option<u64>) -> Option<Vec<Millis>> {
    let claim = claim?;
    let leader = node.keeper.borrow();
    if leader.fence == claim && leader.begun > 0 {
        let now = node.now();
        return Some(leader.ceiling.ages(now).iter().map(|age| now - age).collect());
    }
    let reported = node.state.borrow().leader_loads.clone();
    reported.filter(|(fence, _)| *fence == claim).map(|(_, load_starts)| load_starts)
}

/// Counts a load from the weight store. Nodes are notified at once, because one of them may be the
/// next leader.
fn begin_load(node: &Node) {
    node.keeper.borrow_mut().ceiling.begin(node.now());
    node.update_available.notify_waiters();
}

async fn run(node: Node, fence: u64) {
    while node.keeper.borrow().fence == fence && node.holding.borrow().is_mine() {
        let began = node.now();
        survey(&node);
        look_at_list(&node);
        for (service, pool) in pools(&node) {
            models::step(&node, &service, &pool);
            adapters::step(&node, &service);
        }
        let took = Duration::from_millis(node.now().saturating_sub(began));
        sleep(TICK.max(took * REST)).await;
    }
}

/// Surveys the engines whose state is not known under this claim.
fn survey(node: &Node) {
    let services: Vec<_> = pools(node).into_iter().map(|(service, _)| service).collect();
    let state = node.state.borrow();
    let engines = state.engines.iter().filter(|e| services.contains(&e.listed.service));
    let ids: Vec<EngineId> = engines.map(|e| e.listed.id.clone()).collect();
    let mut leader = node.keeper.borrow_mut();
    leader.surveyed.retain(|id, start| {
        let engine = state.engines.get(id).filter(|_| ids.contains(id));
        engine.is_some_and(|e| !start.is_before(e.listed.start))
    });
    drop(state);
    node.placement_changes.borrow_mut().retain(|id| ids.contains(id));
    leader.desks.retain(|id, _| ids.contains(id));
    leader.pending.retain(|id, _| ids.contains(id));
    leader.loading.retain(|id, _| ids.contains(id));
    for id in ids {
        if !leader.surveyed.contains_key(&id) && leader.surveying.insert(id.clone()) {
            let node = Rc::clone(node);
            tokio::task::spawn_local(async move {
                survey_one(&node, &id).await;
            });
        }
    }
}

/// Polls an engine until it has no order of an earlier leader in progress.
async fn survey_one(node: &Node, id: &EngineId) {
    let fence = node.keeper.borrow().fence;
    if !is_new(node, id) {
        sleep(REPORT_AGE).await;
    }
    let asking = Rc::clone(&node.keeper.borrow().asking);
    while node.keeper.borrow().fence == fence
        && let Some(start) = node.engine(id, |e| e.listed.start)
    {
        let report = {
            let _permit = asking.0.acquire().await;
            let lock = desk(node, id);
            let _guard = lock.lock().await;
            give::ask(node, id).await
        };
        if report == Some(give::Free(true)) {
            let mut leader = node.keeper.borrow_mut();
            leader.surveyed.insert(id.clone(), start);
            break;
        }
        sleep(BUSY_CHECK).await;
    }
    node.keeper.borrow_mut().surveying.shift_remove(id);
}

/// Whether an engine started so long after the claim that no earlier leader can have sent it a
/// order. Such an engine is surveyed at once.
fn is_new(node: &Node, id: &EngineId) -> bool {
    let lease = node.settings.borrow().lease.as_millis() as Millis;
    let Some(start) = node.engine(id, |e| e.listed.start) else { return false };
    let mut leader = node.keeper.borrow_mut();
    let leads_for = node.now().saturating_sub(leader.begun);
    let seen_before = leader.met.insert(id.clone(), start);
    leads_for > LEASES_ALONE * lease && seen_before != Some(start)
}

/// Services whose engines load models on demand.
fn pools(node: &Node) -> Vec<(hgw_direct::ServiceId, Pool)> {
    let state = node.state.borrow();
    let Some(catalog) = &state.catalog else { return Vec::new() };
    let pools = catalog.services.iter();
    pools.filter_map(|(id, s)| Some((id.clone(), s.pool.clone()?))).collect()
}

fn ceiling_limits(node: &Node, pool: &Pool) -> CeilingLimits {
    let window = node.settings.borrow().load_window.as_millis() as Millis;
    CeilingLimits { loads_per_s: pool.loads_per_s, window }
}

fn desk(node: &Node, engine: &EngineId) -> Rc<Mutex<()>> {
    let mut leader = node.keeper.borrow_mut();
    Rc::clone(leader.desks.entry(engine.clone()).or_default())
}

/// Notifies nodes that poll this one of a new configuration.
pub(crate) fn catalog_changed(node: &Node) {
    node.update_available.notify_waiters();
}

/// Adds the demand that a node reported.
pub(crate) fn asked(node: &Node, asked: &[Asked]) {
    let now = node.now();
    let mut leader = node.keeper.borrow_mut();
    for entry in asked {
        let (wanted, count) = entry.clone().parts();
        leader.demand.saw(now, &wanted, count);
    }
}

/// Adds the demand that a node saw before it knew this leader.
pub(crate) fn counted_before(node: &Node, from: SocketAddr, past: &CountedBefore) {
    let now = node.now();
    if !node.keeper.borrow_mut().introduced.insert(from) {
        return;
    }
    let since = past.for_ms.map(|for_ms| now.saturating_sub(for_ms));
    node.keeper.borrow_mut().demand.go_on_from(now, since, &past.models);
}

/// Notifies waiting nodes if the engine list has changed.
pub(crate) fn look_at_list(node: &Node) {
    let Some(place) = node.state.borrow().list_version else { return };
    node.record_list_version(place, ListSource::Known);
    let changed_at = node.state.borrow().list_changes.changed_at();
    let mut leader = node.keeper.borrow_mut();
    if leader.list_told < changed_at {
        leader.list_told = changed_at;
        node.update_available.notify_waiters();
    }
}

/// Ages in milliseconds of the loads from the weight store that this leader started.
pub(crate) fn begun_ages(node: &Node) -> Vec<u64> {
    node.keeper.borrow().ceiling.ages(node.now())
}

/// Contents of the engines that have `wanted` loaded.
pub(crate) fn told_of(node: &Node, wanted: &Wanted) -> Vec<Told> {
    let state = node.state.borrow();
    let holders = state.engines.iter().filter(|e| e.holds(wanted));
    let ids: Vec<EngineId> = holders.map(|e| e.listed.id.clone()).collect();
    drop(state);
    ids.iter().filter_map(|id| told(node, id)).collect()
}

pub(crate) fn told(node: &Node, id: &EngineId) -> Option<Told> {
    node.engine(id, |e| Told {
        engine: id.clone(),
        start: e.listed.start,
        orders: e.orders,
        held: e.listed.held.clone(),
    })
}

/// Announces that the loaded models of an engine changed.
fn changed(node: &Node, engine: &EngineId) {
    let now = node.now();
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        engine.told_at = Some(now);
    }
    node.placement_changes.borrow_mut().changed(engine);
    node.update_available.notify_waiters();
    node.placed.notify_waiters();
}
