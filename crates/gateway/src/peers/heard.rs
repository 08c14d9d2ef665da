//! Loads of engines that any node heard of.

use hgw_direct::{Engine, Load};

use crate::shared::Node;

use super::message::{Asked, HeardLoad};

/// Age up to which a load is passed on.
const HEARD_FOR: u64 = 1_500;

/// Loads that are told at a time: told of all engines to all nodes, they would grow with both.
const MOST_LOADS: usize = 64;

/// Loads that were heard of since a time, with their age: of engines that hold one of these models, or of any. Nothing
/// where nodes tell each other what they have at engines.
pub(crate) fn heard_since(node: &Node, since: u64, models: Option<&[Asked]>) -> Vec<HeardLoad> {
    if node.sums.borrow().is_fresh() {
        return Vec::new();
    }
    let now = node.now();
    let since = since.max(now.saturating_sub(HEARD_FOR));
    let state = node.state.borrow();
    let told = state.engines.iter().filter_map(|e| Some((e, e.reported_load?)));
    let newer = told.filter(|(_, (_, at, _))| *at > since);
    let meant = |e: &Engine| {
        models.is_none_or(|models| models.iter().any(|asked| e.has_model(&asked.model)))
    };
    let newer = newer.filter(|(e, _)| meant(e)).take(MOST_LOADS);
    let heard = newer.map(|(e, (load, at, _))| {
        let (id, start) = (e.info.id.clone(), e.info.started_at);
        HeardLoad(id, start, load.running, load.waiting, now.saturating_sub(at))
    });
    heard.collect()
}

/// Takes in what another node heard of.
pub(super) fn take_in_loads(node: &Node, loads: &[HeardLoad]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for HeardLoad(engine, start, running, waiting, age_ms) in loads {
        if let Some(engine) = state.engines.observe_start(engine, *start) {
            let load = Load { running: *running, waiting: *waiting, slots: engine.info.slots };
            engine.record_peer_load(load, now.saturating_sub(*age_ms));
        }
    }
    drop(state);
    node.look_for_starts();
}
