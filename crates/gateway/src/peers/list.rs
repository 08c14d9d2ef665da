//! Applies the engine list and the loaded models that other nodes send.

use hgw_direct::{ListUpdate, ListUpdateKind};

use crate::shared::{ListSource, Node};
use crate::state::State;

use super::message::EnginePlacement;

/// Updates the engine list.
pub(super) fn apply_list_update(node: &Node, update: ListUpdate) {
    if update.kind == ListUpdateKind::Unknown {
        return;
    }
    let has_changed = !update.is_empty();
    let version = {
        let mut state = node.state.borrow_mut();
        let State { engines, list_receiver, list_seen, list_version, .. } = &mut *state;
        *list_seen = update.seen;
        // A part of a long update does not raise the version, but this node knows of the departures in it from now on, and
        // so do those that poll it.
        list_receiver.apply(update, engines).or(*list_version)
    };
    node.handle_restarts();
    if let Some(version) = version {
        node.record_list_version(version, ListSource::Peer);
    }
    if has_changed {
        node.update_available.notify_waiters();
    }
}

/// Takes in the loaded models that another node reports. A leader takes none: it knows them from its own surveys and
/// orders, and a response that was late may say what an earlier leader knew.
pub(super) fn apply_placements(node: &Node, placements: Vec<EnginePlacement>) {
    if placements.is_empty() || node.leadership.borrow().is_leader() {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let mut changes = node.placement_changes.borrow_mut();
    for placement in placements {
        let EnginePlacement { engine: id, started_at, fence, accepted_orders, loaded } = placement;
        let Some(engine) = state.engines.observe_start(&id, started_at) else { continue };
        let before = (engine.surveyed_under, engine.accepted_orders);
        let is_known = engine.placement_reported_at.is_some() && engine.info.loaded == loaded;
        let is_taken = engine.apply_reported_models(fence, accepted_orders, loaded, now);
        let is_same_version = before == (engine.surveyed_under, engine.accepted_orders);
        if is_taken && !(is_known && is_same_version) {
            changes.record(&id);
        }
    }
    changes.retain(|id| state.engines.get(id).is_some());
    drop((state, changes));
    node.handle_restarts();
    node.placement_changed.notify_waiters();
    node.update_available.notify_waiters();
}
