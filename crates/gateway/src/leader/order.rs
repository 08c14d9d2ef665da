//! Sends single orders to engines.

use std::time::Duration;

use hgw_direct::{EngineId, ModelRef, is_large_list};
use hgw_events::{Event, emit};
use hgw_http1::{BodyDecoder, Request};
use tokio::time::timeout;

use crate::engine_notices;
use crate::meter;
use crate::protocol::{Order, OrderKind, Report};
use crate::shared::Node;

use super::announce_placement_change;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The engine is executing the order.
    Accepted,
    /// The engine is in the wanted state.
    Done,
    /// Another order is in progress, or the engine has accepted one that this node does not know.
    Conflict,
    /// A newer leader has taken over.
    Superseded,
    /// The address belongs to another engine, or the engine rejected the order for good.
    Refused,
    NotSent,
    /// No response: the engine may still execute the order.
    NoResponse,
}

pub(super) fn may_send_orders(node: &Node) -> bool {
    fence(node).is_some()
}

fn fence(node: &Node) -> Option<u64> {
    let settings = node.settings.borrow();
    node.leadership.borrow().fencing_token(settings.lease, settings.engines_check_fence)
}

/// Sends an order. Its precondition is the number of orders that the engine has accepted.
pub(super) async fn send_order(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    model_ref: &ModelRef,
) -> OrderResult {
    let own_name = node.settings.borrow().node.clone();
    let Some(fence) = fence(node) else { return OrderResult::Superseded };
    let known = node.engine(engine, |e| (e.info.addr, e.accepted_orders, e.info.started_at));
    let Some((addr, seq, start)) = known else { return OrderResult::Refused };
    let order = Order { addr, engine, kind, model_ref, seq, holder: &own_name, fence };
    let req = node.protocols.upstreams.order_request(&order);
    let result = match call(node, engine, &req).await {
        CallResult::Responded(status, body) => {
            let is_same_start =
                node.engine(engine, |e| !start.is_before(e.info.started_at)).unwrap_or(false);
            // The engine restarted meanwhile, so the response says nothing about its state.
            let result = if is_same_start { from_status(status) } else { OrderResult::Conflict };
            let fields: &[(&str, &dyn std::fmt::Display)] = &[
                ("node", &own_name),
                ("upstream", engine),
                ("what", model_ref),
                ("kind", &kind),
                ("seq", &seq),
                ("term", &fence),
                ("status", &status),
                ("answer", &String::from_utf8_lossy(&body)),
            ];
            emit(
                if result == OrderResult::Accepted || result == OrderResult::Done {
                    Event::OrderSent
                } else {
                    Event::OrderNotDone
                },
                fields,
            );
            result
        }
        CallResult::NotSent => OrderResult::NotSent,
        CallResult::NoResponse => {
            emit(
                Event::OrderNotDone,
                &[
                    ("node", &own_name),
                    ("upstream", engine),
                    ("what", model_ref),
                    ("kind", &kind),
                    ("seq", &seq),
                    ("status", &"none"),
                ],
            );
            OrderResult::NoResponse
        }
    };
    let outcome = match result {
        OrderResult::Accepted => "accepted",
        OrderResult::Done => "holds",
        OrderResult::Conflict => "conflict",
        OrderResult::Superseded => "superseded",
        OrderResult::Refused => "refused",
        OrderResult::NotSent => "not sent",
        OrderResult::NoResponse => "lost",
    };
    let kind_name = if kind == OrderKind::Load { "load" } else { "unload" };
    meter::order(kind_name, outcome);
    if result == OrderResult::Superseded {
        emit(Event::KeeperLost, &[("node", &own_name), ("term", &fence)]);
        node.leadership.borrow_mut().step_down();
    }
    result
}

/// Counts an order that the engine accepted. The engine does not count repetitions of an order in
/// progress.
pub(super) fn count_accepted(node: &Node, engine: &EngineId) {
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        engine.accepted_orders = engine.accepted_orders.saturating_add(1);
    }
}

fn from_status(status: u16) -> OrderResult {
    match status {
        200 => OrderResult::Done,
        202 => OrderResult::Accepted,
        409 => OrderResult::Conflict,
        412 => OrderResult::Superseded,
        _ => OrderResult::Refused,
    }
}

/// Whether an engine has no order in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Idle(pub(super) bool);

/// Asks an engine for its state; none if it does not respond.
pub(super) async fn fetch_report(node: &Node, engine: &EngineId) -> Option<Idle> {
    let addr = node.engine(engine, |e| e.info.addr)?;
    let req = node.protocols.upstreams.report_request(addr, engine);
    let CallResult::Responded(200, body) = call(node, engine, &req).await else { return None };
    match node.protocols.upstreams.parse_report(&body) {
        Ok(report) => {
            let idle = Idle(!report.busy && report.loading_adapters.is_empty());
            apply_report(node, engine, report).then_some(idle)
        }
        Err(e) => {
            emit(Event::OrderNotDone, &[("upstream", engine), ("why", &e)]);
            None
        }
    }
}

/// Takes in an engine's report unless it is outdated. Returns whether it was taken in.
fn apply_report(node: &Node, engine: &EngineId, report: Report) -> bool {
    let now = node.now();
    let own_fence = node.leadership.borrow().own_fence();
    let mut state = node.state.borrow_mut();
    let Some(known) = state.engines.observe_start(engine, report.started_at) else { return false };
    // An order may have been accepted while the report was under way.
    let is_current = report.seq >= known.accepted_orders;
    log_report(node, engine, &report, known.accepted_orders, is_current);
    if !is_current {
        return false;
    }
    known.accepted_orders = report.seq;
    known.surveyed_under = own_fence.unwrap_or(known.surveyed_under);
    let has_changed = known.info.loaded != report.loaded;
    known.info.loaded = report.loaded;
    known.info.cached = report.cached;
    known.loading_adapters = report.loading_adapters;
    known.reported_load = Some((report.load, now, known.own_requests));
    known.placement_reported_at = Some(now);
    // Nodes may have missed the last change that the previous leader sent, so even unchanged state
    // is sent to them; for a large list the engine list itself is enough.
    let should_notify = has_changed || !is_large_list(&state.engines);
    drop(state);
    node.handle_restarts();
    if should_notify {
        announce_placement_change(node, engine);
    }
    true
}

fn log_report(node: &Node, engine: &EngineId, report: &Report, known_seq: u64, is_current: bool) {
    let loaded = report.loaded.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
    let loading = report.loading_adapters.iter().map(ModelRef::to_string).collect::<Vec<_>>();
    emit(
        Event::EngineSurveyed,
        &[
            ("node", &node.settings.borrow().node),
            ("upstream", engine),
            ("seq", &report.seq),
            ("known_seq", &known_seq),
            ("busy", &report.busy),
            ("loaded", &loaded),
            ("loading", &loading.join(" ")),
            ("taken", &is_current),
        ],
    );
}

enum CallResult {
    Responded(u16, bytes::Bytes),
    NotSent,
    NoResponse,
}

async fn call(node: &Node, engine: &EngineId, req: &Request) -> CallResult {
    let known = node.engine(engine, |e| (e.info.addr, e.key()));
    let Some((addr, key)) = known else { return CallResult::NotSent };
    let connected = timeout(RESPONSE_TIMEOUT, node.call_pool.get(addr, node.conn_timeouts())).await;
    let Ok(Ok(mut conn)) = connected else { return CallResult::NotSent };
    let response = async {
        let head = conn.round_trip(req).await.ok()?;
        engine_notices::observe_call(node, engine, key, &head, &req.target);
        let body = conn.read_body(BodyDecoder::new(head.framing), MAX_RESPONSE_BYTES).await.ok()?;
        Some((head.status.as_u16(), body))
    };
    match timeout(RESPONSE_TIMEOUT, response).await {
        Ok(Some((status, body))) => {
            node.record_response_byte(engine);
            node.call_pool.put(addr, conn);
            CallResult::Responded(status, body)
        }
        Ok(None) | Err(_) => CallResult::NoResponse,
    }
}
