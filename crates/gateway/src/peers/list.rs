//! Takes in the engine list and the loaded models that other nodes send.

use hgw_direct::{AtHand, Engines, ListNews, ListPart, Listed, Passed, Standing};

use crate::shared::{ListSource, Node};

use super::message::EnginePlacement;

/// Updates the engine list.
pub(super) fn apply_list_update(node: &Node, update: ListNews) {
    let mut state = node.state.borrow_mut();
    if update.part == ListPart::Unknown {
        return;
    }
    if update.part == ListPart::ReadAnew {
        state.list_version = None;
        node.must_read_list.set(true);
        return;
    }
    let has_changed =
        update.part == ListPart::Whole || !update.engines.is_empty() || !update.gone.is_empty();
    let engines = &mut state.engines;
    engines.copy_ends(update.copy_end);
    let entries: Vec<Listed> =
        update.engines.into_iter().map(|record| to_engine_info(engines, record)).collect();
    if update.part == ListPart::Whole {
        engines.replace(entries, update.place.cursor(), false);
    } else {
        for entry in entries {
            engines.list(entry);
        }
        for (gone, at) in &update.gone {
            engines.unlist(gone, *at);
        }
    }
    drop(state);
    node.handle_restarts();
    node.record_list_version(update.place, ListSource::Peer);
    if has_changed {
        node.update_available.notify_waiters();
    }
}

fn to_engine_info(engines: &Engines, record: Passed) -> Listed {
    let known = engines.get(&record.engine).filter(|e| !e.listed.start.is_before(record.start));
    let engine_state = match (record.leaving, record.unreadable) {
        (_, true) => Standing::Unreadable,
        (true, false) => Standing::Leaving { gone_at: None },
        (false, false) => Standing::Ready,
    };
    Listed {
        id: record.engine,
        at: record.at,
        start: record.start,
        service: record.service.into(),
        addr: record.addr,
        domain: record.domain,
        slots: record.slots,
        standing: engine_state,
        held: known.filter(|e| e.told_at.is_some()).map_or(record.held, |e| e.listed.held.clone()),
        at_hand: AtHand::default(),
        cold_ms: u64::from(record.cold),
    }
}

pub(super) fn apply_placements(node: &Node, placements: Vec<EnginePlacement>) {
    if placements.is_empty() {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let mut changes = node.placement_changes.borrow_mut();
    for placement in placements {
        let Some(engine) = state.engines.meet(&placement.engine, placement.started_at) else {
            continue;
        };
        if placement.accepted_orders >= engine.orders {
            let is_known = engine.told_at.is_some() && engine.listed.held == placement.loaded;
            if !is_known || engine.orders != placement.accepted_orders {
                changes.record(&placement.engine);
            }
            engine.orders = placement.accepted_orders;
            engine.listed.held = placement.loaded;
            engine.told_at = Some(now);
        }
    }
    changes.retain(|id| state.engines.get(id).is_some());
    drop((state, changes));
    node.handle_restarts();
    node.placed.notify_waiters();
    node.update_available.notify_waiters();
}
