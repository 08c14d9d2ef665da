//! The duty of the one node that gives orders: models and adapters where they are asked for.

mod adapters;
mod give;
mod models;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hgw_direct::placement::{LoadRateLimiter, LoadRateLimits, PendingLoads};
use hgw_direct::{Demand, EngineId, ListVersion, Millis, ModelPool, ModelRef, StartTime};
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Mutex, Notify, Semaphore};
use tokio::time::sleep;

use crate::peers::{Asked, CountedBefore, Told};
use crate::shared::{ListedBy, Node};

pub(crate) use adapters::want;

/// Time between two looks at what should be ordered.
const TICK: Duration = Duration::from_millis(100);

/// Rest after a look, as a multiple of the time that it took: with thousands of engines a plan takes tens of
/// milliseconds of a small machine, and the nodes must be answered meanwhile.
const REST: u32 = 10;

/// Engines that are asked what they hold at a time: thousands of connections at once would take a small machine
/// seconds, in which it answers nobody.
const MOST_ASKING: usize = 64;

/// How old what an engine reports may be.
const REPORT_AGE: Duration = Duration::from_millis(600);

/// Leases after its claim from which a holder is alone: one before it has found out by then.
const LEASES_ALONE: Millis = 2;

/// Time between two questions to an engine that carries an earlier holder's order out.
const BUSY_CHECK: Duration = Duration::from_millis(400);

/// Loads that its predecessor may have begun and not told of.
const UNHEARD_LOADS: usize = 2;

/// Loads from the weight store that a new holder gives while what its predecessor began still counts.
const FIRST_LOADS: usize = 1;

/// The keeper's books.
#[derive(Debug, Default)]
pub(crate) struct KeeperState {
    /// The claim that they are kept under.
    fence: u64,
    /// When the duty was taken up.
    begun: Millis,
    demand: Demand,
    ceiling: LoadRateLimiter,
    pending: PendingLoads,
    /// Engines that load a model, and when that is probably done.
    loading: IndexMap<EngineId, Millis>,
    /// Engines whose state was asked for under this claim, and the start that this holds for.
    surveyed: IndexMap<EngineId, StartTime>,
    /// Engines that were met under this claim, and the start in which they were.
    met: IndexMap<EngineId, StartTime>,
    /// Engines that are being asked, or soon will.
    surveying: IndexSet<EngineId>,
    asking: Rc<Asking>,
    /// Engines that wait for requests to end before they drop an adapter.
    emptying: IndexSet<EngineId>,
    /// One order at a time for each engine.
    desks: IndexMap<EngineId, Rc<Mutex<()>>>,
    /// Adapters that are being placed.
    placing: IndexMap<ModelRef, Rc<Notify>>,
    /// Nodes that have told what they had been asked for before they knew of these books.
    introduced: IndexSet<SocketAddr>,
    /// As far as the list was told.
    list_told: ListVersion,
}

/// Bounds how many engines are asked at a time.
#[derive(Debug)]
struct Asking(Semaphore);

impl Default for Asking {
    fn default() -> Self {
        Asking(Semaphore::new(MOST_ASKING))
    }
}

/// Takes the duty up under a new claim.
pub(crate) fn begin(node: &Node, fence: u64, predecessor: Option<u64>) {
    let now = node.now();
    let begun = begun_under(node, predecessor);
    let mut keeper = KeeperState { fence, begun: now, ..KeeperState::default() };
    {
        let mut state = node.state.borrow_mut();
        // What this node was asked for and has told nobody yet is in its own count.
        state.asked.clear();
        keeper.demand.merge(now, state.demand.since(), &state.demand.snapshot(now));
    }
    for (_, pool) in pools(node) {
        match &begun {
            Some(begun) => keeper.ceiling.restore(now, begun, UNHEARD_LOADS),
            None => keeper.ceiling.assume_full(now, &ceiling_limits(node, &pool), FIRST_LOADS),
        }
    }
    *node.keeper.borrow_mut() = keeper;
    tokio::task::spawn_local(run(Rc::clone(node), fence));
}

/// Goes on under another claim of this node: nobody else gave orders between the two.
pub(crate) fn go_on(node: &Node, fence: u64) {
    node.keeper.borrow_mut().fence = fence;
    tokio::task::spawn_local(run(Rc::clone(node), fence));
    // Those that ask this node give its old number, and are turned away until they hear of the new one.
    node.news.notify_waiters();
}

/// When loads from the weight store began under a claim, where its holder told this node, or was this node.
fn begun_under(node: &Node, claim: Option<u64>) -> Option<Vec<Millis>> {
    let claim = claim?;
    let keeper = node.keeper.borrow();
    if keeper.fence == claim && keeper.begun > 0 {
        let now = node.now();
        return Some(keeper.ceiling.load_ages(now).iter().map(|age| now - age).collect());
    }
    let told = node.state.borrow().begun.clone();
    told.filter(|(fence, _)| *fence == claim).map(|(_, begun)| begun)
}

/// A load from the weight store begins; the nodes are told at once, as one of them may be the successor.
fn begin_load(node: &Node) {
    node.keeper.borrow_mut().ceiling.record_load(node.now());
    node.news.notify_waiters();
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

/// Asks engines that are new under this claim what they hold.
fn survey(node: &Node) {
    let services: Vec<_> = pools(node).into_iter().map(|(service, _)| service).collect();
    let state = node.state.borrow();
    let engines = state.engines.iter().filter(|e| services.contains(&e.info.service));
    let ids: Vec<EngineId> = engines.map(|e| e.info.id.clone()).collect();
    let mut keeper = node.keeper.borrow_mut();
    keeper.surveyed.retain(|id, start| {
        let engine = state.engines.get(id).filter(|_| ids.contains(id));
        engine.is_some_and(|e| !start.is_before(e.info.started_at))
    });
    drop(state);
    node.placements.borrow_mut().retain(|id| ids.contains(id));
    keeper.desks.retain(|id, _| ids.contains(id));
    keeper.pending.retain(|id, _| ids.contains(id));
    keeper.loading.retain(|id, _| ids.contains(id));
    for id in ids {
        if !keeper.surveyed.contains_key(&id) && keeper.surveying.insert(id.clone()) {
            let node = Rc::clone(node);
            tokio::task::spawn_local(async move {
                survey_one(&node, &id).await;
            });
        }
    }
}

/// Asks an engine until no order that an earlier holder gave can be under way unseen.
async fn survey_one(node: &Node, id: &EngineId) {
    let fence = node.keeper.borrow().fence;
    if !is_new(node, id) {
        sleep(REPORT_AGE).await;
    }
    let asking = Rc::clone(&node.keeper.borrow().asking);
    while node.keeper.borrow().fence == fence
        && let Some(start) = node.engine(id, |e| e.info.started_at)
    {
        let state = {
            let _asks = asking.0.acquire().await;
            let desk = desk(node, id);
            let _turn = desk.lock().await;
            give::ask(node, id).await
        };
        if state == Some(give::Free(true)) {
            let mut keeper = node.keeper.borrow_mut();
            keeper.surveyed.insert(id.clone(), start);
            break;
        }
        sleep(BUSY_CHECK).await;
    }
    node.keeper.borrow_mut().surveying.shift_remove(id);
}

/// Whether an engine has started so long after this node's claim that nobody before it can have given it an order: an
/// engine that comes back empty takes its first order so much sooner.
fn is_new(node: &Node, id: &EngineId) -> bool {
    let lease = node.settings.borrow().lease.as_millis() as Millis;
    let Some(start) = node.engine(id, |e| e.info.started_at) else { return false };
    let mut keeper = node.keeper.borrow_mut();
    let held_for = node.now().saturating_sub(keeper.begun);
    let known = keeper.met.insert(id.clone(), start);
    held_for > LEASES_ALONE * lease && known != Some(start)
}

/// Services whose engines hold models.
fn pools(node: &Node) -> Vec<(hgw_direct::ServiceId, ModelPool)> {
    let state = node.state.borrow();
    let Some(catalog) = &state.catalog else { return Vec::new() };
    let pools = catalog.services.iter();
    pools.filter_map(|(id, s)| Some((id.clone(), s.pool.clone()?))).collect()
}

fn ceiling_limits(node: &Node, pool: &ModelPool) -> LoadRateLimits {
    let window = node.settings.borrow().load_window.as_millis() as Millis;
    LoadRateLimits { loads_per_s: pool.loads_per_s, window }
}

fn desk(node: &Node, engine: &EngineId) -> Rc<Mutex<()>> {
    let mut keeper = node.keeper.borrow_mut();
    Rc::clone(keeper.desks.entry(engine.clone()).or_default())
}

/// A configuration has come into force here.
pub(crate) fn catalog_changed(node: &Node) {
    node.news.notify_waiters();
}

/// Takes in what a node was asked for.
pub(crate) fn asked(node: &Node, asked: &[Asked]) {
    let now = node.now();
    let mut keeper = node.keeper.borrow_mut();
    for one in asked {
        let (wanted, count) = one.clone().parts();
        keeper.demand.record(now, &wanted, count);
    }
}

/// Goes on from what a node was asked for before it knew of this keeper.
pub(crate) fn counted_before(node: &Node, from: SocketAddr, past: &CountedBefore) {
    let now = node.now();
    if !node.keeper.borrow_mut().introduced.insert(from) {
        return;
    }
    let since = past.for_ms.map(|for_ms| now.saturating_sub(for_ms));
    node.keeper.borrow_mut().demand.merge(now, since, &past.models);
}

/// Tells those who wait where the list of engines has changed.
pub(crate) fn look_at_list(node: &Node) {
    let Some(place) = node.state.borrow().list_at else { return };
    node.listed_to(place, ListedBy::Known);
    let changed_at = node.state.borrow().listing.changed_at();
    let mut keeper = node.keeper.borrow_mut();
    if keeper.list_told < changed_at {
        keeper.list_told = changed_at;
        node.news.notify_waiters();
    }
}

/// How long ago loads from the weight store began that this node gave.
pub(crate) fn begun_ages(node: &Node) -> Vec<u64> {
    node.keeper.borrow().ceiling.load_ages(node.now())
}

/// What the engines that hold something hold.
pub(crate) fn told_of(node: &Node, wanted: &ModelRef) -> Vec<Told> {
    let state = node.state.borrow();
    let holders = state.engines.iter().filter(|e| e.has_loaded(wanted));
    let ids: Vec<EngineId> = holders.map(|e| e.info.id.clone()).collect();
    drop(state);
    ids.iter().filter_map(|id| told(node, id)).collect()
}

/// What an engine holds.
pub(crate) fn told(node: &Node, id: &EngineId) -> Option<Told> {
    node.engine(id, |e| Told {
        engine: id.clone(),
        start: e.info.started_at,
        orders: e.accepted_orders,
        held: e.info.loaded.clone(),
    })
}

/// What an engine holds has changed.
fn changed(node: &Node, engine: &EngineId) {
    let now = node.now();
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        engine.placement_reported_at = Some(now);
    }
    node.placements.borrow_mut().changed(engine);
    node.news.notify_waiters();
    node.placed.notify_waiters();
}
