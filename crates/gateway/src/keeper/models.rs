//! Models where demand is.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::placement::{
    AllowedActions, ModelLoad, WeightSource, count_evicting, next_model_load,
};
use hgw_direct::{Engine, EngineId, ModelPool, ModelRef, Rates, ServiceId, StartTime};
use hgw_events::{Event, emit};
use tokio::time::{Instant, sleep, timeout_at};

use crate::dialect::OrderKind;
use crate::shared::Node;

use super::give::{Given, count, give, may_give};
use super::{begin_load, ceiling_limits, changed, desk, pools};

/// Time between two questions whether an order has been carried out.
const DONE_CHECK: Duration = Duration::from_millis(200);

/// Longest wait for an order beyond its usual time, as a multiple of it: many loads at once take longer.
const SLOWEST: u32 = 4;

/// Longest time that an engine takes to drop a model whose requests still run.
const UNLOAD: Duration = Duration::from_secs(20);

/// Time between the word that a model goes and the order: requests on their way arrive before it.
const WORD_AHEAD: Duration = Duration::from_millis(120);

/// Engines that make room at a time: what is dropped before its successor may be loaded is missed.
const MOST_MAKING_ROOM: usize = 4;

/// Time for which demand is seen before a copy is dropped for want of it.
const SEEN_FOR: Duration = Duration::from_millis(2_500);

/// Time after a takeover within which the nodes tell what they have counted before.
const NODES_TELL: Duration = Duration::from_millis(800);

/// Time between two looks whether the weight store takes another load.
const CEILING_CHECK: Duration = Duration::from_millis(50);

/// Begins what helps most, as far as the weight store takes loads.
pub(super) fn step(node: &Node, service: &ServiceId, pool: &ModelPool) {
    // What makes way leaves the books before the order. Where none may be given, as the claim could not be renewed,
    // nothing would be dropped, and nobody would be sent to a copy that is there.
    while may_give(node) {
        let now = node.now();
        let mut keeper = node.keeper.borrow_mut();
        if count_evicting(&keeper.pending, &keeper.loading) >= MOST_MAKING_ROOM {
            return;
        }
        let seen_for = keeper.demand.since().map_or(0, |since| now.saturating_sub(since));
        let told = now.saturating_sub(keeper.begun) >= NODES_TELL.as_millis() as u64;
        let allowed = AllowedActions {
            load_from_store: keeper.ceiling.allows(now, &ceiling_limits(node, pool)),
            evict: told && seen_for >= SEEN_FOR.as_millis() as u64,
        };
        let state = node.state.borrow();
        // What engines hold that cannot be reached is nowhere, long before their entries lapse.
        let engines = state.engines.of_service(service).filter(|e| e.accepts_requests());
        let engines: Vec<&Engine> =
            engines.filter(|e| !e.health.is_reported_unreachable(now)).collect();
        let rates = keeper.demand.rates(now);
        let mut taken = keeper.pending.clone();
        for engine in engines.iter().filter(|e| !keeper.surveyed.contains_key(&e.info.id)) {
            // What it holds counts, but what else is under way there is not known yet.
            taken.entry(engine.info.id.clone()).or_default();
        }
        let step = next_model_load(&engines, pool, &rates, &taken, allowed, now);
        let Some(step) = step else { return };
        tell(node, &step, &engines, &rates);
        drop(state);
        step.apply_evictions(&mut node.state.borrow_mut().engines);
        keeper.pending.insert(step.engine.clone(), step.model.clone());
        drop(keeper);
        let (node, pool) = (Rc::clone(node), pool.clone());
        tokio::task::spawn_local(async move {
            let engine = step.engine.clone();
            put(&node, &pool, step).await;
            let mut keeper = node.keeper.borrow_mut();
            keeper.pending.shift_remove(&engine);
            keeper.loading.shift_remove(&engine);
        });
    }
}

/// Logs what is to be done, with what decided it.
fn tell(node: &Node, step: &ModelLoad, engines: &[&Engine], rates: &Rates) {
    let copies = |model: &str| engines.iter().filter(|e| e.has_model(model)).count().to_string();
    let rate = |model: &str| format!("{:.1}", rates.of_model(model));
    let of_dropped = |of: &dyn Fn(&str) -> String| {
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
            ("drop_rate", &of_dropped(&rate)),
            ("drop_copies", &of_dropped(&copies)),
        ],
    );
}

/// Makes room at an engine and has a model loaded there.
async fn put(node: &Node, pool: &ModelPool, step: ModelLoad) {
    let ModelLoad { engine, evict: drop, model: load, source } = step;
    for model in drop {
        let victim = ModelRef { model, adapter: None };
        if !carry_out(node, &engine, OrderKind::Unload, &victim, Duration::ZERO).await {
            return;
        }
    }
    if source == WeightSource::Store {
        while !node.keeper.borrow_mut().ceiling.allows(node.now(), &ceiling_limits(node, pool)) {
            sleep(CEILING_CHECK).await;
        }
        begin_load(node);
    }
    let usual = pool.models.get(&load).map_or(Duration::from_secs(5), |m| source.load_time(m));
    node.keeper.borrow_mut().loading.insert(engine.clone(), node.now() + usual.as_millis() as u64);
    let wanted = ModelRef { model: load, adapter: None };
    carry_out(node, &engine, OrderKind::Load, &wanted, usual).await;
}

/// Milliseconds until a model that is nowhere is probably there.
pub(super) fn coming_in(node: &Node, model: &str) -> u64 {
    let usual =
        pools(node).iter().find_map(|(_, p)| p.models.get(model).map(|m| m.store_load_time));
    let usual = usual.unwrap_or(Duration::from_secs(5)).as_millis() as u64;
    let keeper = node.keeper.borrow();
    let on_its_way = keeper.pending.iter().filter(|(_, m)| *m == model);
    let done = on_its_way.filter_map(|(engine, _)| keeper.loading.get(engine)).min();
    match done {
        Some(done) => done.saturating_sub(node.now()) + DONE_CHECK.as_millis() as u64,
        None => usual + usual / 2,
    }
}

/// Gives an order until it holds; tells whether it does.
async fn carry_out(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    wanted: &ModelRef,
    usual: Duration,
) -> bool {
    let turn = desk(node, engine);
    let Some(start) = node.engine(engine, |e| e.info.started_at) else { return false };
    if kind == OrderKind::Unload {
        // Nobody sends to it any more.
        if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
            engine.remove_loaded(wanted);
        }
        changed(node, engine);
        sleep(WORD_AHEAD).await;
    }
    let patience = if kind == OrderKind::Load { usual * SLOWEST } else { UNLOAD };
    let until = Instant::now() + patience;
    let mut accepted = false;
    while Instant::now() < until && is_still(node, engine, start) {
        let given = {
            let _turn = turn.lock().await;
            give(node, engine, kind, wanted).await
        };
        match given {
            Given::Holds => {
                done(node, engine, kind, wanted);
                return true;
            }
            Given::Accepted => {
                if !accepted {
                    count(node, engine);
                }
                accepted = true;
                let pause = if kind == OrderKind::Load { usual } else { DONE_CHECK };
                sleep_while(node, engine, start, pause).await;
            }
            Given::Conflict if accepted => sleep(DONE_CHECK).await,
            // An earlier holder's order is under way or was not known of. What it will hold is not known
            // until that has ended: an order on top could be more than it has room for.
            Given::Conflict => break,
            Given::NotSent | Given::Lost => sleep(DONE_CHECK).await,
            Given::Superseded | Given::Refused => break,
        }
        if kind == OrderKind::Unload {
            changed(node, engine);
        }
    }
    // What became of it is not known.
    node.keeper.borrow_mut().surveyed.shift_remove(engine);
    false
}

/// Whether an engine has not started anew: an order given before tells nothing of what it holds now.
fn is_still(node: &Node, engine: &EngineId, start: StartTime) -> bool {
    node.engine(engine, |e| !start.is_before(e.info.started_at)).unwrap_or(false)
}

/// Sleeps, but not for an engine that starts anew meanwhile.
async fn sleep_while(node: &Node, engine: &EngineId, start: StartTime, pause: Duration) {
    let until = Instant::now() + pause;
    while Instant::now() < until {
        let started_anew = node.started_anew.notified();
        if !is_still(node, engine, start) || timeout_at(until, started_anew).await.is_err() {
            return;
        }
    }
}

fn done(node: &Node, engine: &EngineId, kind: OrderKind, wanted: &ModelRef) {
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        match kind {
            OrderKind::Load => engine.add_loaded(wanted),
            OrderKind::Unload => engine.remove_loaded(wanted),
        }
    }
    changed(node, engine);
}
