//! Observes how fast engines are, and exchanges that with other nodes.
//!
//! See [`hgw_direct::engine_speed`] for what is learned from it.

use std::time::Duration;

use hgw_direct::engine_speed::{SpeedNeeds, SpeedRow, SpeedSums, expected_events};
use hgw_direct::in_flight::EngineKey;
use hgw_direct::{ChangePosition, Prompt, Route, Service};
use tokio::time::Instant;

use crate::meter;
use crate::shared::Node;

/// Time that a caller may take for an event. Beyond it, the connection's buffers may hide how fast the engine is,
/// and the rest of the stream does not count.
const MAX_CALLER_TIME: Duration = Duration::from_millis(50);

/// What this node observes of one stream at one engine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamObserver {
    sums: SpeedSums,
    last_event_at: Option<Instant>,
    is_slowed_by_caller: bool,
}

impl StreamObserver {
    /// Records events that arrived together after this node began to wait for them at `waited_since`.
    pub(crate) fn record_events(
        &mut self,
        count: u64,
        waited_since: Instant,
        max_gap: Option<Duration>,
    ) {
        let now = Instant::now();
        let Some(last) = self.last_event_at.replace(now) else { return };
        if waited_since.saturating_duration_since(last) > MAX_CALLER_TIME {
            self.is_slowed_by_caller = true;
        }
        if self.is_slowed_by_caller {
            return;
        }
        let gap = now - last;
        self.sums.events += count as f64;
        self.sums.event_ms += gap.as_secs_f64() * 1_000.0;
        self.sums.pauses += f64::from(u8::from(max_gap.is_some_and(|max| gap > max)));
    }

    pub(crate) fn sums(&self) -> SpeedSums {
        self.sums
    }
}

/// Records what this node has observed of an incarnation of an engine.
pub(crate) fn record(node: &Node, key: EngineKey, sums: SpeedSums) {
    if sums.is_empty() || !node.settings.borrow().features.engine_speed {
        return;
    }
    meter::speed_observed();
    let now = node.now();
    if let Some(engine) = node.state.borrow_mut().engines.by_key(key) {
        engine.speed.add(sums, now);
    }
    node.engine_speeds.borrow_mut().record(key, sums, now);
}

/// Records the time of a call that was answered while nothing waited at the engine.
pub(crate) fn record_call(node: &Node, key: EngineKey, took: Duration) {
    let now = node.now();
    let factor = node.state.borrow_mut().engines.by_key(key).map(|e| e.speed.work_time_factor(now));
    let call_ms = took.as_secs_f64() * 1_000.0 / factor.unwrap_or(1.0);
    record(node, key, SpeedSums { calls: 1.0, call_ms, ..SpeedSums::default() });
}

/// What a request needs of an engine's speed; none if this part is switched off.
pub(crate) fn needs(
    node: &Node,
    route: &Route,
    service: Option<&Service>,
    prompt: Option<&Prompt>,
    time_left: Duration,
) -> Option<SpeedNeeds> {
    if !node.settings.borrow().features.engine_speed {
        return None;
    }
    let pool = service.and_then(|service| service.pool.as_ref());
    let tokens_per_event = pool.and_then(|pool| pool.tokens_per_event);
    let events = match prompt.filter(|_| route.kind.is_stream()) {
        Some(prompt) => Some(expected_events(prompt, tokens_per_event)),
        // Nothing tells how long the stream will be.
        None if route.kind.is_stream() => return None,
        None => None,
    };
    Some(SpeedNeeds { events, time_left, objective: route.first_byte_objective })
}

/// Takes the observations for the node that this one polls.
pub(crate) fn take_report(node: &Node) -> Vec<SpeedRow> {
    node.engine_speeds.borrow_mut().take_report(node.now())
}

/// Keeps a report that did not arrive.
pub(crate) fn restore_report(node: &Node, report: &[SpeedRow]) {
    node.engine_speeds.borrow_mut().restore_report(report, node.now());
}

/// Applies the observations of a node that polls this one.
pub(crate) fn apply_report(node: &Node, report: &[SpeedRow]) {
    for row in report {
        record(node, row.0, row.sums());
    }
}

/// What the leader has published after `seen`, and the position; none if there is nothing.
pub(crate) fn published_since(
    node: &Node,
    seen: ChangePosition,
) -> Option<(ChangePosition, Vec<SpeedRow>)> {
    let now = node.now();
    let mut speeds = node.engine_speeds.borrow_mut();
    if node.leadership.borrow().is_leader() {
        let engines = &mut node.state.borrow_mut().engines;
        speeds.discard_unreported();
        speeds.publish(engines, now);
    }
    let (position, rows) = speeds.rows_since(seen, now);
    (!rows.is_empty()).then_some((position, rows))
}

/// Applies what the node that this one polls has published. Engines that are new in the list get what is known.
pub(crate) fn apply_published(node: &Node, rows: &[SpeedRow]) {
    if !node.settings.borrow().features.engine_speed {
        return;
    }
    let (now, engines) = (node.now(), &mut node.state.borrow_mut().engines);
    let mut speeds = node.engine_speeds.borrow_mut();
    speeds.apply(rows, engines, now);
    speeds.maintain(engines, now);
}
