//! Places adapters on engines by demand.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::place::{AdapterStep, place_adapter, spread_adapters};
use hgw_direct::{Engine, EngineId, ServiceId, Wanted};
use hgw_events::{Event, emit};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::dialect::OrderKind;
use crate::peers::Placement;
use crate::shared::Node;

use super::give::{Given, count, give, may_give};
use super::{changed, desk, models, pools};

/// Pause before the first check of a load, about the time that one takes.
const FIRST_CHECK: Duration = Duration::from_millis(6);

/// Maximum pause between checks, each of which is an order.
const LAST_CHECK: Duration = Duration::from_millis(100);

/// Maximum wait for a load.
const LONGEST: Duration = Duration::from_millis(500);

/// Maximum wait for an unload, which the engine completes only after the last request with the
/// adapter. It executes no other order meanwhile.
const LONGEST_UNLOAD: Duration = Duration::from_millis(3_000);

/// No adapter is placed ahead of requests while this many placements are in progress.
const MOST_AHEAD: usize = 4;

/// Places a model or an adapter that a request is waiting for.
pub(crate) async fn want(
    node: &Node,
    wanted: &Wanted,
    domain: &str,
    stale_engine: Option<&EngineId>,
) -> Placement {
    if let Some(engine) = stale_engine {
        disbelieve(node, wanted, engine);
    }
    if is_placed(node, wanted) {
        return Placement::Placed;
    }
    // The demand report of its node arrives later, and the adapter must not be evicted until then.
    let now = node.now();
    node.keeper.borrow_mut().demand.touch(now, wanted);
    let model = Wanted { model: wanted.model.clone(), adapter: None };
    if wanted.adapter.is_none() || !is_placed(node, &model) {
        return Placement::Coming(models::coming_in(node, &wanted.model));
    }
    // Runs as a task of its own, because the caller may leave while an order is pending.
    let done = begin_placing(node, wanted, domain);
    // The check below shows whether the adapter was loaded.
    let _ = timeout(LONGEST, done.notified()).await;
    if is_placed(node, wanted) { Placement::Placed } else { Placement::Unknown }
}

/// Corrects the state of an engine that responded that `wanted` is not loaded.
fn disbelieve(node: &Node, wanted: &Wanted, engine: &EngineId) {
    let mut state = node.state.borrow_mut();
    let Some(known) = state.engines.get_mut(engine).filter(|e| e.holds(wanted)) else { return };
    known.drop_held(wanted);
    drop(state);
    node.keeper.borrow_mut().surveyed.shift_remove(engine);
    changed(node, engine);
}

/// Starts to place an adapter unless that is in progress. The result is notified at the end.
fn begin_placing(node: &Node, wanted: &Wanted, domain: &str) -> Rc<Notify> {
    let mut leader = node.keeper.borrow_mut();
    if let Some(in_progress) = leader.placing.get(wanted) {
        return Rc::clone(in_progress);
    }
    let done = Rc::new(Notify::new());
    leader.placing.insert(wanted.clone(), Rc::clone(&done));
    let (node, wanted, domain) = (Rc::clone(node), wanted.clone(), domain.to_owned());
    tokio::task::spawn_local(async move {
        place(&node, &wanted, &domain).await;
        let done = node.keeper.borrow_mut().placing.shift_remove(&wanted);
        if let Some(done) = done {
            done.notify_waiters();
        }
    });
    done
}

/// Places an adapter in demand that no engine has loaded, ahead of the next request for it.
pub(super) fn step(node: &Node, service: &ServiceId) {
    let wanted = {
        let leader = node.keeper.borrow();
        if leader.placing.len() >= MOST_AHEAD {
            return;
        }
        let state = node.state.borrow();
        let engines: Vec<&Engine> = state.engines.of(service).filter(|e| e.takes_work()).collect();
        spread_adapters(&engines, &leader.demand, node.now())
    };
    let Some(wanted) = wanted else { return };
    begin_placing(node, &wanted, "");
}

fn is_placed(node: &Node, wanted: &Wanted) -> bool {
    let now = node.now();
    let is_reachable = |e: &Engine| e.takes_work() && !e.judge.is_dark(now);
    node.state.borrow().engines.iter().any(|e| is_reachable(e) && e.holds(wanted))
}

async fn place(node: &Node, wanted: &Wanted, domain: &str) {
    // An evicted adapter leaves the engine's state before the order is sent.
    if !may_give(node) {
        return;
    }
    if let Some((engine, instead_of)) = choose(node, wanted, domain) {
        let lock = desk(node, &engine);
        let _guard = lock.lock().await;
        // Another order may have taken the slot meanwhile.
        if choose_again(node, wanted, &engine, instead_of.as_ref()) {
            carry_out(node, &engine, wanted, instead_of).await;
        }
    }
}

fn choose(node: &Node, wanted: &Wanted, domain: &str) -> Option<(EngineId, Option<Wanted>)> {
    let now = node.now();
    for (service, pool) in pools(node) {
        let state = node.state.borrow();
        let leader = node.keeper.borrow();
        let engines: Vec<&Engine> = state
            .engines
            .of(&service)
            .filter(|e| e.takes_work() && leader.surveyed.contains_key(&e.listed.id))
            // Engines execute one order at a time.
            .filter(|e| !leader.pending.contains_key(&e.listed.id))
            .filter(|e| !leader.emptying.contains(&e.listed.id))
            .collect();
        let action = place_adapter(&engines, &pool, &leader.demand, wanted, domain, now);
        if let AdapterStep::Load { engine, instead_of } = action {
            return Some((engine, instead_of));
        }
    }
    None
}

/// Whether the decision still holds: there is a free slot or the evicted adapter is still there.
fn choose_again(
    node: &Node,
    wanted: &Wanted,
    engine: &EngineId,
    instead_of: Option<&Wanted>,
) -> bool {
    let max_slots = pools(node).iter().map(|(_, p)| p.adapter_slots).max().unwrap_or(0) as usize;
    let fits = node.engine(engine, |e| {
        let freed = usize::from(instead_of.is_some_and(|w| e.holds(w)));
        e.holds_model(&wanted.model) && !e.holds(wanted) && e.places_taken() - freed < max_slots
    });
    let leader = node.keeper.borrow();
    let is_surveyed = leader.surveyed.contains_key(engine) && !leader.pending.contains_key(engine);
    is_surveyed && fits.unwrap_or(false)
}

fn tell(node: &Node, engine: &EngineId, wanted: &Wanted, instead_of: Option<&Wanted>) {
    let rate = format!("{:.1}", node.keeper.borrow().demand.rate(node.now(), wanted));
    let evict = instead_of.map(Wanted::to_string).unwrap_or_default();
    emit(
        Event::AdapterPlanned,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", engine),
            ("load", wanted),
            ("load_rate", &rate),
            ("drop", &evict),
        ],
    );
}

async fn carry_out(node: &Node, engine: &EngineId, wanted: &Wanted, instead_of: Option<Wanted>) {
    tell(node, engine, wanted, instead_of.as_ref());
    if let Some(evicted) = instead_of {
        if let Some(e) = node.state.borrow_mut().engines.get_mut(engine) {
            e.drop_held(&evicted);
        }
        changed(node, engine);
        node.keeper.borrow_mut().emptying.insert(engine.clone());
        let unloaded = done(node, engine, OrderKind::Unload, &evicted).await;
        node.keeper.borrow_mut().emptying.shift_remove(engine);
        if !unloaded {
            return;
        }
    }
    done(node, engine, OrderKind::Load, wanted).await;
}

/// Repeats an order until the engine has executed it. Returns whether it has.
async fn done(node: &Node, engine: &EngineId, kind: OrderKind, wanted: &Wanted) -> bool {
    // An adapter in use is unloaded after its last request.
    let max_wait = if kind == OrderKind::Unload { LONGEST_UNLOAD } else { LONGEST };
    let deadline = Instant::now() + max_wait;
    let mut pause = FIRST_CHECK;
    if kind == OrderKind::Load
        && let Some(e) = node.state.borrow_mut().engines.get_mut(engine)
    {
        e.expect(wanted);
    }
    let mut accepted = false;
    while Instant::now() < deadline {
        match give(node, engine, kind, wanted).await {
            Given::Holds => {
                if kind == OrderKind::Unload && !accepted {
                    // An unload that completes at once counts as an accepted order, too.
                    count(node, engine);
                }
                if let Some(e) = node.state.borrow_mut().engines.get_mut(engine) {
                    match kind {
                        OrderKind::Load => e.add_held(wanted),
                        OrderKind::Unload => e.drop_held(wanted),
                    }
                }
                changed(node, engine);
                return true;
            }
            Given::Accepted => {
                if !accepted {
                    count(node, engine);
                    accepted = true;
                }
                sleep(pause).await;
                pause = (pause * 2).min(LAST_CHECK);
            }
            // An unknown order is in progress, whose outcome a new survey has to find.
            Given::Conflict => break,
            Given::Lost | Given::NotSent => sleep(LAST_CHECK).await,
            Given::Superseded | Given::Refused => break,
        }
    }
    node.keeper.borrow_mut().surveyed.shift_remove(engine);
    false
}
