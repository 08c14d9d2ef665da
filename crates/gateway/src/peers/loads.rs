//! Exchanges the loads that engines report in their responses.

use hgw_direct::{Engine, Load};

use crate::shared::Node;

use super::message::{DemandCount, EngineLoad};

/// Maximum age of a load that is passed on, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 1_500;

/// Maximum number of loads per message, whose total size would otherwise grow with engines and
/// nodes.
const MAX_LOADS: usize = 64;

/// Loads received since `since`, optionally only of engines that have one of the models loaded.
/// Empty while nodes exchange in-flight sums.
pub(crate) fn loads_since(
    node: &Node,
    since: u64,
    models: Option<&[DemandCount]>,
) -> Vec<EngineLoad> {
    if node.aggregator.borrow().is_fresh() {
        return Vec::new();
    }
    let now = node.now();
    let since = since.max(now.saturating_sub(MAX_LOAD_AGE_MS));
    let state = node.state.borrow();
    let with_load = state.engines.iter().filter_map(|e| Some((e, e.reported_load?)));
    let recent = with_load.filter(|(_, (_, at, _))| *at > since);
    let has_model = |e: &Engine| {
        models.is_none_or(|models| models.iter().any(|demand| e.has_model(&demand.model)))
    };
    let recent = recent.filter(|(e, _)| has_model(e)).take(MAX_LOADS);
    let recent = recent.map(|(e, (load, at, _))| {
        let (id, start) = (e.info.id.clone(), e.info.started_at);
        EngineLoad(id, start, load.running, load.waiting, now.saturating_sub(at))
    });
    recent.collect()
}

pub(super) fn apply_loads(node: &Node, loads: &[EngineLoad]) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    for EngineLoad(engine, start, running, waiting, age_ms) in loads {
        if let Some(engine) = state.engines.observe_start(engine, *start) {
            let load = Load {
                running: *running,
                waiting: *waiting,
                slots: engine.info.slots,
                ..Load::default()
            };
            engine.record_peer_load(load, now.saturating_sub(*age_ms));
        }
    }
    drop(state);
    if !loads.is_empty() {
        node.room_queue.notify_room();
    }
    node.handle_restarts();
}
