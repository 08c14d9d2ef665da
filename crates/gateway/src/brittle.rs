//! Spares brittle engines: those that say how many requests a second they may have to reject before they
//! fail, over all nodes.
//!
//! What they say is believed, and told to other nodes, by the rules of [`hgw_direct::EngineLimits`]. Each
//! rejection is told as well, so that all nodes pass over the engine until it has room.

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{EngineLimits, LimitChange, LimitState, Millis};
use hgw_events::{Event, emit};

use crate::attempt_guard::AttemptGuard;
use crate::engine_limits;
use crate::meter;
use crate::peers::{self, Datagram};
use crate::protocol::ResponseInfo;
use crate::shared::Node;

/// Learns from the head of an engine's response to a request that was sent at `sent_at`.
pub(crate) fn observe(node: &Node, guard: &AttemptGuard, info: &ResponseInfo, sent_at: Millis) {
    let named = engine_limits::named(node, guard, info, &info.max_rejections);
    let Some(named) = named else { return };
    let (key, now) = (guard.engine_key(), node.now());
    if update(node, key, |brittle| brittle.observe(key, named, sent_at, now))
        && let Some(state) = node.brittle_engines.borrow().state(key, now)
    {
        peers::send_engine_news(node, &Datagram::EngineBrittle(state));
    }
    if info.is_rejected && is_brittle(node, key) {
        record_rejection(node, key);
        peers::send_engine_news(node, &Datagram::EngineRejected(key));
    }
}

/// Applies what another node tells. Returns whether that is to be passed on.
pub(crate) fn apply_state(node: &Node, state: &LimitState) -> bool {
    let now = node.now();
    update(node, state.engine, |brittle| brittle.apply(state, now))
}

/// Records that a brittle engine rejected a request of any node. Returns whether the engine is known.
pub(crate) fn record_rejection(node: &Node, key: EngineKey) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let engine = state.engines.by_key(key);
    engine.map(|engine| engine.brittleness.record_rejection(now)).is_some()
}

/// Forgets engines that have ended, and records what is known in engines that are listed again.
pub(crate) fn maintain(node: &Node) {
    let mut state = node.state.borrow_mut();
    let mut brittle = node.brittle_engines.borrow_mut();
    brittle.forget_ended(|key| state.engines.contains_key(key), node.now());
    for (key, rate) in brittle.limited() {
        if let Some(engine) = state.engines.by_key(key) {
            engine.brittleness.max_rejections = Some(rate);
        }
    }
}

fn is_brittle(node: &Node, key: EngineKey) -> bool {
    node.brittle_engines.borrow().limit(key).is_some()
}

/// Changes what is believed. Returns whether there is a change.
fn update(
    node: &Node,
    key: EngineKey,
    change: impl FnOnce(&mut EngineLimits) -> Option<LimitChange>,
) -> bool {
    let Some(change) = change(&mut node.brittle_engines.borrow_mut()) else { return false };
    if let Some(engine) = node.state.borrow_mut().engines.by_key(key) {
        engine.brittleness.max_rejections = change.limit;
    }
    meter::brittle_engines(node.brittle_engines.borrow().limited().count());
    if change.is_logged {
        let mut state = node.state.borrow_mut();
        let upstream = state.engines.by_key(key).map(|engine| engine.info.id.to_string());
        let rate = change.limit.map_or("none".to_owned(), |rate| rate.to_string());
        emit(
            Event::EngineBrittle,
            &[
                ("node", &node.settings.borrow().node),
                ("upstream", &upstream.unwrap_or_default()),
                ("rejections", &rate),
            ],
        );
    }
    true
}
