//! What the keeper tells of engines: the list, and what they hold.

use hgw_direct::{
    CachedWeights, EngineInfo, EngineRecord, EngineState, Engines, ListUpdate, ListUpdateKind,
};

use crate::shared::{ListedBy, Node};

use super::message::Told;

/// Takes the list of engines in that another node tells.
pub(super) fn take_in_list(node: &Node, news: ListUpdate) {
    let mut state = node.state.borrow_mut();
    if news.kind == ListUpdateKind::Unknown {
        return;
    }
    if news.kind == ListUpdateKind::RereadStore {
        state.list_at = None;
        node.reads_list.set(true);
        return;
    }
    let changes =
        news.kind == ListUpdateKind::Full || !news.engines.is_empty() || !news.removed.is_empty();
    let engines = &mut state.engines;
    engines.set_backup_end(news.backup_end);
    let entries: Vec<EngineInfo> =
        news.engines.into_iter().map(|passed| listed_as(engines, passed)).collect();
    if news.kind == ListUpdateKind::Full {
        engines.apply_snapshot(entries, news.version.position(), false);
    } else {
        for entry in entries {
            engines.upsert(entry);
        }
        for (gone, at) in &news.removed {
            engines.remove(gone, *at);
        }
    }
    drop(state);
    node.look_for_starts();
    node.listed_to(news.version, ListedBy::Peer);
    if changes {
        node.news.notify_waiters();
    }
}

fn listed_as(engines: &Engines, passed: EngineRecord) -> EngineInfo {
    let known =
        engines.get(&passed.engine).filter(|k| !k.info.started_at.is_before(passed.started_at));
    let standing = match (passed.leaving, passed.unreadable) {
        (_, true) => EngineState::Unreadable,
        (true, false) => EngineState::Leaving { terminates_at: None },
        (false, false) => EngineState::Ready,
    };
    EngineInfo {
        id: passed.engine,
        position: passed.position,
        started_at: passed.started_at,
        service: passed.service.into(),
        addr: passed.addr,
        domain: passed.domain,
        slots: passed.slots,
        state: standing,
        loaded: known
            .filter(|k| k.placement_reported_at.is_some())
            .map_or(passed.loaded, |k| k.info.loaded.clone()),
        cached: CachedWeights::default(),
        warmup_ms_left: u64::from(passed.warming_up),
    }
}

pub(super) fn take_in(node: &Node, engines: Vec<Told>) {
    if engines.is_empty() {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let mut placements = node.placements.borrow_mut();
    for told in engines {
        let Some(engine) = state.engines.observe_start(&told.engine, told.start) else { continue };
        if told.orders >= engine.accepted_orders {
            let known = engine.placement_reported_at.is_some() && engine.info.loaded == told.held;
            if !known || engine.accepted_orders != told.orders {
                placements.changed(&told.engine);
            }
            engine.accepted_orders = told.orders;
            engine.info.loaded = told.held;
            engine.placement_reported_at = Some(now);
        }
    }
    placements.retain(|id| state.engines.get(id).is_some());
    drop((state, placements));
    node.look_for_starts();
    node.placed.notify_waiters();
    node.news.notify_waiters();
}
