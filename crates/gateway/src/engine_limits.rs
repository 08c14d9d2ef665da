//! Keeps the requests that engines get within the rates that they take from all nodes together.
//!
//! See [`hgw_direct::EngineLimits`] for what is believed, and [`quotas`] for how nodes share a rate.

use std::fmt::Display;
use std::time::Duration;

use hgw_direct::in_flight::EngineKey;
use hgw_direct::{EngineLimits, LimitChange, LimitState, Millis, RequestRate};
use hgw_events::{Event, emit};

use crate::attempt_guard::AttemptGuard;
use crate::meter;
use crate::peers::{self, Datagram};
use crate::protocol::{LimitHeader, ResponseInfo};
use crate::quotas;
use crate::shared::Node;

/// Bounds of the time for which an engine at its limit is not chosen.
const MIN_AT_LIMIT: Duration = Duration::from_millis(50);
const MAX_AT_LIMIT: Duration = Duration::from_secs(4);

/// Source of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum LimitSource {
    /// A response to a request of this node.
    #[display("answer")]
    Response,
    /// Another node.
    #[display("peer")]
    Peer,
}

/// Records that a request is sent. Returns the time, by which its response is placed in order.
pub(crate) fn record_send(node: &Node, guard: &AttemptGuard) -> Millis {
    guard.record_sent();
    let (now, key) = (node.now(), guard.engine_key());
    if node.engine_limits.borrow().limit(key).is_some() {
        meter::sent_to_limited_engine();
    }
    if let Some(engine) = node.state.borrow_mut().engines.by_key(key) {
        engine.record_send(now);
    }
    now
}

/// Learns the engine's limit from the head of its response to a request that was sent at `sent_at`.
pub(crate) fn observe(node: &Node, guard: &AttemptGuard, info: &ResponseInfo, sent_at: Millis) {
    let Some(named) = named(node, guard, info, &info.limit) else { return };
    let (key, now) = (guard.engine_key(), node.now());
    let age = now.saturating_sub(sent_at);
    let has_changed = update(node, key, LimitSource::Response, age, |limits| {
        limits.observe(key, named, sent_at, now)
    });
    if has_changed && let Some(state) = node.engine_limits.borrow().state(key, now) {
        peers::send_engine_news(node, &Datagram::EngineLimit(state));
    }
}

/// What a header of the response says of the engine that was meant: a rate, or that there is none. `None` if
/// it says nothing.
pub(crate) fn named(
    node: &Node,
    guard: &AttemptGuard,
    info: &ResponseInfo,
    header: &LimitHeader,
) -> Option<Option<RequestRate>> {
    if !info.may_come_from(guard.engine()) {
        return None;
    }
    match header {
        // Without an id the response may belong to an earlier request.
        LimitHeader::Absent => info.id.as_ref().map(|_| None),
        LimitHeader::Limit(rate) => Some(Some(*rate)),
        LimitHeader::Invalid(reason) => {
            log_invalid(node, guard, reason);
            None
        }
    }
}

/// Applies what another node tells. Returns whether there is a change.
pub(crate) fn apply_states(node: &Node, states: &[LimitState]) -> bool {
    let now = node.now();
    let mut has_changed = false;
    for state in states {
        has_changed |= update(node, state.engine, LimitSource::Peer, state.age_ms, |limits| {
            limits.apply(state, now)
        });
    }
    has_changed
}

/// Applies the issuer's word that these engines have no limit.
pub(crate) fn apply_lifted(node: &Node, states: &[LimitState], asked_at: Millis) {
    let now = node.now();
    for state in states.iter().filter(|state| state.limit.is_none()) {
        update(node, state.engine, LimitSource::Peer, state.age_ms, |limits| {
            limits.lift(state.engine, asked_at, now)
        });
    }
}

/// Changes what is believed, and everything that depends on it. Returns whether there is a change.
fn update(
    node: &Node,
    key: EngineKey,
    by: LimitSource,
    age: Millis,
    change: impl FnOnce(&mut EngineLimits) -> Option<LimitChange>,
) -> bool {
    let Some(change) = change(&mut node.engine_limits.borrow_mut()) else { return false };
    let now = node.now();
    let mut recent_sends = 0;
    if let Some(engine) = node.state.borrow_mut().engines.by_key(key) {
        engine.rate_limit = change.limit;
        recent_sends = engine.recent_sends(now);
    }
    if change.previous.is_none() {
        // What was sent before the limit was known uses it up.
        quotas::add_earlier_sends(node, key, recent_sends);
    }
    log_change(node, key, change, by, age);
    node.update_available.notify_waiters();
    true
}

/// Records that there is no allowance for an engine for so long.
pub(crate) fn record_at_limit(node: &Node, key: EngineKey, wait: Duration) {
    let wait = wait.clamp(MIN_AT_LIMIT, MAX_AT_LIMIT).as_millis() as Millis;
    let now = node.now();
    if let Some(engine) = node.state.borrow_mut().engines.by_key(key) {
        engine.at_limit_until = now + wait;
    }
}

/// Forgets engines that have ended, and records limits in engines that are listed again.
pub(crate) fn maintain(node: &Node) {
    let mut state = node.state.borrow_mut();
    let mut limits = node.engine_limits.borrow_mut();
    limits.forget_ended(|key| state.engines.contains_key(key), node.now());
    for (key, rate) in limits.limited() {
        if let Some(engine) = state.engines.by_key(key) {
            engine.rate_limit = Some(rate);
        }
    }
}

fn log_invalid(node: &Node, guard: &AttemptGuard, reason: &dyn Display) {
    meter::invalid_engine_limit();
    if node.engine_limits.borrow_mut().record_invalid(guard.engine_key()) {
        let name = &node.settings.borrow().node;
        emit(
            Event::EngineLimitInvalid,
            &[("node", name), ("upstream", guard.engine()), ("reason", reason)],
        );
    }
}

fn log_change(node: &Node, key: EngineKey, change: LimitChange, by: LimitSource, age: Millis) {
    if !change.is_logged {
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let Some(engine) = state.engines.by_key(key) else { return };
    let limit = change.limit.map_or("none".to_owned(), |rate| rate.to_string());
    let own_rate = engine.recent_sends(now);
    emit(
        Event::EngineLimited,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", &engine.info.id),
            ("limit", &limit),
            ("by", &by),
            ("ms", &age),
            ("own_rate", &own_rate),
        ],
    );
}
