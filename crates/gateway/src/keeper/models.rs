//! Models where demand is.

use std::rc::Rc;
use std::time::Duration;

use hgw_direct::place::{ModelStep, next_model_step};
use hgw_direct::{Engine, EngineId, Pool, ServiceId, Wanted};
use tokio::time::{Instant, sleep};

use crate::dialect::OrderKind;
use crate::shared::Node;

use super::give::{Given, count, give};
use super::{ceiling_limits, changed, desk, pools};

/// Time between two questions whether an order has been carried out.
const DONE_CHECK: Duration = Duration::from_millis(200);

/// Longest wait for an order beyond its usual time, as a multiple of it: many loads at once take longer.
const SLOWEST: u32 = 4;

/// Longest time that an engine takes to drop a model whose requests still run.
const UNLOAD: Duration = Duration::from_secs(20);

/// Time between the word that a model goes and the order: requests on their way arrive before it.
const WORD_AHEAD: Duration = Duration::from_millis(120);

/// Gives the order for a model that helps most, where one does.
pub(super) fn step(node: &Node, service: &ServiceId, pool: &Pool) {
    loop {
        let now = node.now();
        let mut keeper = node.keeper.borrow_mut();
        let may_load = keeper.ceiling.allows(now, &ceiling_limits(node, pool));
        let state = node.state.borrow();
        let engines: Vec<&Engine> = state.engines.of(service).filter(|e| e.takes_work()).collect();
        let rates = keeper.demand.rates(now);
        let mut taken = keeper.pending.clone();
        for engine in engines.iter().filter(|e| !keeper.surveyed.contains(&e.listed.id)) {
            // What it holds counts, but what else is under way there is not known yet.
            taken.entry(engine.listed.id.clone()).or_default();
        }
        let step = next_model_step(&engines, pool, &rates, &taken, may_load, now);
        drop(state);
        let Some(step) = step else { return };
        let (engine, model, kind) = match step {
            ModelStep::Load { engine, model } => {
                keeper.ceiling.begin(now);
                (engine, model, OrderKind::Load)
            }
            ModelStep::Unload { engine, model } => (engine, model, OrderKind::Unload),
        };
        keeper.pending.insert(engine.clone(), model.clone());
        if kind == OrderKind::Load {
            keeper.loading.insert(model.clone(), now);
        }
        let usual = pool.models.get(&model).map_or(Duration::from_secs(5), |m| m.load);
        drop(keeper);
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            let wanted = Wanted { model, adapter: None };
            carry_out(&node, &engine, kind, &wanted, usual).await;
            let mut keeper = node.keeper.borrow_mut();
            keeper.pending.shift_remove(&engine);
            keeper.loading.shift_remove(&wanted.model);
        });
    }
}

/// Milliseconds until a model that is nowhere is probably there.
pub(super) fn coming_in(node: &Node, model: &str) -> u64 {
    let usual = pools(node).iter().find_map(|(_, p)| p.models.get(model).map(|m| m.load));
    let usual = usual.unwrap_or(Duration::from_secs(5)).as_millis() as u64;
    let keeper = node.keeper.borrow();
    match keeper.loading.get(model) {
        Some(since) => (since + usual).saturating_sub(node.now()) + DONE_CHECK.as_millis() as u64,
        None => usual + usual / 2,
    }
}

async fn carry_out(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    wanted: &Wanted,
    usual: Duration,
) {
    let turn = desk(node, engine);
    if kind == OrderKind::Unload {
        // Nobody sends to it any more.
        if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
            engine.drop_held(wanted);
        }
        changed(node, engine);
        sleep(WORD_AHEAD).await;
    }
    let patience = if kind == OrderKind::Load { usual * SLOWEST } else { UNLOAD };
    let until = Instant::now() + patience;
    let mut accepted = false;
    while Instant::now() < until {
        let given = {
            let _turn = turn.lock().await;
            give(node, engine, kind, wanted).await
        };
        match given {
            Given::Holds => return done(node, engine, kind, wanted),
            Given::Accepted => {
                if !accepted {
                    count(node, engine);
                }
                accepted = true;
                sleep(if kind == OrderKind::Load { usual } else { DONE_CHECK }).await;
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
}

fn done(node: &Node, engine: &EngineId, kind: OrderKind, wanted: &Wanted) {
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        match kind {
            OrderKind::Load => engine.add_held(wanted),
            OrderKind::Unload => engine.drop_held(wanted),
        }
    }
    changed(node, engine);
}
