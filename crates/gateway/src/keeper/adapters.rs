//! Adapters where they are asked for.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::placement::{AdapterAction, next_missing_adapter, place_adapter};
use hgw_direct::{Engine, EngineId, ModelRef, ServiceId};
use hgw_events::{Event, emit};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::dialect::OrderKind;
use crate::peers::Placement;
use crate::shared::Node;

use super::give::{Given, count, give, may_give};
use super::{changed, desk, models, pools};

/// Usual time of an adapter's way to an engine.
const FIRST_CHECK: Duration = Duration::from_millis(6);

/// Longest such time: each question is an order.
const LAST_CHECK: Duration = Duration::from_millis(100);

/// Longest wait for it.
const LONGEST: Duration = Duration::from_millis(500);

/// Longest wait until requests that use an adapter have ended; meanwhile the engine takes no other order.
const LONGEST_UNLOAD: Duration = Duration::from_millis(3_000);

/// Adapters that are placed ahead of requests at a time.
const MOST_AHEAD: usize = 4;

/// Places a model or an adapter that a request waits for.
pub(crate) async fn want(
    node: &Node,
    wanted: &ModelRef,
    domain: &str,
    refuted: Option<&EngineId>,
) -> Placement {
    if let Some(engine) = refuted {
        disbelieve(node, wanted, engine);
    }
    if is_placed(node, wanted) {
        return Placement::Placed;
    }
    // Its node tells of the request only with the next exchange; until then it must not look unwanted.
    let now = node.now();
    node.keeper.borrow_mut().demand.mark_requested(now, wanted);
    let model = ModelRef { model: wanted.model.clone(), adapter: None };
    if wanted.adapter.is_none() || !is_placed(node, &model) {
        return Placement::Coming(models::coming_in(node, &wanted.model));
    }
    // Apart from this call: its caller may leave while an order is under way.
    let done = begin_placing(node, wanted, domain);
    // Whether it came is seen below.
    let _ = timeout(LONGEST, done.notified()).await;
    if is_placed(node, wanted) { Placement::Placed } else { Placement::Unknown }
}

/// An engine has answered that it does not hold what the books say.
fn disbelieve(node: &Node, wanted: &ModelRef, engine: &EngineId) {
    let mut state = node.state.borrow_mut();
    let Some(known) = state.engines.get_mut(engine).filter(|e| e.has_loaded(wanted)) else {
        return;
    };
    known.remove_loaded(wanted);
    drop(state);
    node.keeper.borrow_mut().surveyed.shift_remove(engine);
    changed(node, engine);
}

/// Begins to place an adapter, unless that is under way; tells by what its end is known.
fn begin_placing(node: &Node, wanted: &ModelRef, domain: &str) -> Rc<Notify> {
    let mut keeper = node.keeper.borrow_mut();
    if let Some(under_way) = keeper.placing.get(wanted) {
        return Rc::clone(under_way);
    }
    let done = Rc::new(Notify::new());
    keeper.placing.insert(wanted.clone(), Rc::clone(&done));
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

/// Places what is asked for and was dropped or never held, ahead of the next request for it.
pub(super) fn step(node: &Node, service: &ServiceId) {
    let wanted = {
        let keeper = node.keeper.borrow();
        if keeper.placing.len() >= MOST_AHEAD {
            return;
        }
        let state = node.state.borrow();
        let engines: Vec<&Engine> =
            state.engines.of_service(service).filter(|e| e.accepts_requests()).collect();
        next_missing_adapter(&engines, &keeper.demand, node.now())
    };
    let Some(wanted) = wanted else { return };
    begin_placing(node, &wanted, "");
}

fn is_placed(node: &Node, wanted: &ModelRef) -> bool {
    let now = node.now();
    let reached = |e: &Engine| e.accepts_requests() && !e.health.is_reported_unreachable(now);
    node.state.borrow().engines.iter().any(|e| reached(e) && e.has_loaded(wanted))
}

async fn place(node: &Node, wanted: &ModelRef, domain: &str) {
    // As with models: what makes way leaves the books before the order.
    if !may_give(node) {
        return;
    }
    if let Some((engine, instead_of)) = choose(node, wanted, domain) {
        let turn = desk(node, &engine);
        let _turn = turn.lock().await;
        // While it waited for its turn another order may have taken the place.
        if choose_again(node, wanted, &engine, instead_of.as_ref()) {
            carry_out(node, &engine, wanted, instead_of).await;
        }
    }
}

fn choose(node: &Node, wanted: &ModelRef, domain: &str) -> Option<(EngineId, Option<ModelRef>)> {
    let now = node.now();
    for (service, pool) in pools(node) {
        let state = node.state.borrow();
        let keeper = node.keeper.borrow();
        let engines: Vec<&Engine> = state
            .engines
            .of_service(&service)
            .filter(|e| e.accepts_requests() && keeper.surveyed.contains_key(&e.info.id))
            // One that carries out an order for a model takes no other.
            .filter(|e| !keeper.pending.contains_key(&e.info.id))
            .filter(|e| !keeper.emptying.contains(&e.info.id))
            .collect();
        let step = place_adapter(&engines, &pool, &keeper.demand, wanted, domain, now);
        if let AdapterAction::Load { engine, evict: instead_of } = step {
            return Some((engine, instead_of));
        }
    }
    None
}

/// Whether what was chosen is still right: there is a place, or what makes way is still there.
fn choose_again(
    node: &Node,
    wanted: &ModelRef,
    engine: &EngineId,
    instead_of: Option<&ModelRef>,
) -> bool {
    let slots = pools(node).iter().map(|(_, p)| p.adapter_slots).max().unwrap_or(0) as usize;
    let fits = node.engine(engine, |e| {
        let freed = usize::from(instead_of.is_some_and(|w| e.has_loaded(w)));
        e.has_model(&wanted.model)
            && !e.has_loaded(wanted)
            && e.adapter_slots_used() - freed < slots
    });
    let keeper = node.keeper.borrow();
    let known = keeper.surveyed.contains_key(engine) && !keeper.pending.contains_key(engine);
    known && fits.unwrap_or(false)
}

/// Logs what is to be done, with what decided it.
fn tell(node: &Node, engine: &EngineId, wanted: &ModelRef, instead_of: Option<&ModelRef>) {
    let rate = format!("{:.1}", node.keeper.borrow().demand.rate(node.now(), wanted));
    let drop = instead_of.map(ModelRef::to_string).unwrap_or_default();
    emit(
        Event::AdapterPlanned,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", engine),
            ("load", wanted),
            ("load_rate", &rate),
            ("drop", &drop),
        ],
    );
}

async fn carry_out(
    node: &Node,
    engine: &EngineId,
    wanted: &ModelRef,
    instead_of: Option<ModelRef>,
) {
    tell(node, engine, wanted, instead_of.as_ref());
    if let Some(victim) = instead_of {
        if let Some(e) = node.state.borrow_mut().engines.get_mut(engine) {
            e.remove_loaded(&victim);
        }
        changed(node, engine);
        node.keeper.borrow_mut().emptying.insert(engine.clone());
        let dropped = done(node, engine, OrderKind::Unload, &victim).await;
        node.keeper.borrow_mut().emptying.shift_remove(engine);
        if !dropped {
            return;
        }
    }
    done(node, engine, OrderKind::Load, wanted).await;
}

/// Gives an order until it holds; tells whether it does.
async fn done(node: &Node, engine: &EngineId, kind: OrderKind, wanted: &ModelRef) -> bool {
    // An adapter that requests still use is dropped with the last of them.
    let longest = if kind == OrderKind::Unload { LONGEST_UNLOAD } else { LONGEST };
    let until = Instant::now() + longest;
    let mut pause = FIRST_CHECK;
    if kind == OrderKind::Load
        && let Some(e) = node.state.borrow_mut().engines.get_mut(engine)
    {
        e.expect_adapter(wanted);
    }
    let mut accepted = false;
    while Instant::now() < until {
        match give(node, engine, kind, wanted).await {
            Given::Holds => {
                if kind == OrderKind::Unload && !accepted {
                    // Dropped at once, and counted.
                    count(node, engine);
                }
                if let Some(e) = node.state.borrow_mut().engines.get_mut(engine) {
                    match kind {
                        OrderKind::Load => e.add_loaded(wanted),
                        OrderKind::Unload => e.remove_loaded(wanted),
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
            // As with models: what is under way there must have ended first.
            Given::Conflict => break,
            Given::Lost | Given::NotSent => sleep(LAST_CHECK).await,
            Given::Superseded | Given::Refused => break,
        }
    }
    node.keeper.borrow_mut().surveyed.shift_remove(engine);
    false
}
