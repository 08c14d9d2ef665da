//! Sends single orders to engines.

use std::time::Duration;

use hgw_direct::{EngineId, Wanted, is_long};
use hgw_events::{Event, emit};
use hgw_http1::{Body, Request};
use tokio::time::timeout;

use crate::dialect::{Order, OrderKind, Report};
use crate::meter;
use crate::shared::Node;

use super::changed;

const PATIENCE: Duration = Duration::from_millis(400);

const MOST: usize = 1 << 20;

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Given {
    /// The engine is executing the order.
    Accepted,
    /// The engine is in the wanted state.
    Holds,
    /// Another order is in progress, or the engine has accepted one that this node does not know.
    Conflict,
    /// A newer leader has taken over.
    Superseded,
    /// The address belongs to another engine, or the engine rejected the order for good.
    Refused,
    NotSent,
    /// No response: the engine may still execute the order.
    Lost,
}

pub(super) fn may_give(node: &Node) -> bool {
    fence(node).is_some()
}

fn fence(node: &Node) -> Option<u64> {
    let settings = node.settings.borrow();
    node.holding.borrow().fence(settings.lease, settings.engines_fence)
}

/// Sends an order. Its precondition is the number of orders that the engine has accepted.
pub(super) async fn give(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    wanted: &Wanted,
) -> Given {
    let holder = node.settings.borrow().node.clone();
    let Some(fence) = fence(node) else { return Given::Superseded };
    let known = node.engine(engine, |e| (e.listed.addr, e.orders, e.listed.start));
    let Some((addr, seq, start)) = known else { return Given::Refused };
    let order = Order { addr, engine, kind, wanted, seq, holder: &holder, fence };
    let req = node.dialects.upstreams.order(&order);
    let result = match exchange(node, engine, &req).await {
        Exchanged::Answered(status, body) => {
            let is_same_start =
                node.engine(engine, |e| !start.is_before(e.listed.start)).unwrap_or(false);
            // The engine restarted meanwhile, so the response says nothing about its state.
            let result = if is_same_start { said(status) } else { Given::Conflict };
            let fields: &[(&str, &dyn std::fmt::Display)] = &[
                ("node", &holder),
                ("upstream", engine),
                ("what", wanted),
                ("kind", &kind),
                ("seq", &seq),
                ("term", &fence),
                ("status", &status),
                ("answer", &String::from_utf8_lossy(&body)),
            ];
            emit(
                if result == Given::Accepted || result == Given::Holds {
                    Event::OrderSent
                } else {
                    Event::OrderNotDone
                },
                fields,
            );
            result
        }
        Exchanged::NotSent => Given::NotSent,
        Exchanged::Lost => {
            emit(
                Event::OrderNotDone,
                &[
                    ("node", &holder),
                    ("upstream", engine),
                    ("what", wanted),
                    ("kind", &kind),
                    ("seq", &seq),
                    ("status", &"none"),
                ],
            );
            Given::Lost
        }
    };
    let outcome = match result {
        Given::Accepted => "accepted",
        Given::Holds => "holds",
        Given::Conflict => "conflict",
        Given::Superseded => "superseded",
        Given::Refused => "refused",
        Given::NotSent => "not sent",
        Given::Lost => "lost",
    };
    let kind_name = if kind == OrderKind::Load { "load" } else { "unload" };
    meter::order(kind_name, outcome);
    if result == Given::Superseded {
        emit(Event::KeeperLost, &[("node", &holder), ("term", &fence)]);
        node.holding.borrow_mut().step_down();
    }
    result
}

/// Counts an order that the engine accepted. The engine does not count repetitions of an order in
/// progress.
pub(super) fn count(node: &Node, engine: &EngineId) {
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        engine.orders += 1;
    }
}

fn said(status: u16) -> Given {
    match status {
        200 => Given::Holds,
        202 => Given::Accepted,
        409 => Given::Conflict,
        412 => Given::Superseded,
        _ => Given::Refused,
    }
}

/// Whether an engine has no order in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Free(pub(super) bool);

/// Asks an engine for its state; none if it does not respond.
pub(super) async fn ask(node: &Node, engine: &EngineId) -> Option<Free> {
    let addr = node.engine(engine, |e| e.listed.addr)?;
    let req = node.dialects.upstreams.ask_report(addr, engine);
    let Exchanged::Answered(200, body) = exchange(node, engine, &req).await else { return None };
    match node.dialects.upstreams.report(&body) {
        Ok(report) => {
            let free = Free(!report.busy && report.coming.is_empty());
            take_in(node, engine, report).then_some(free)
        }
        Err(e) => {
            emit(Event::OrderNotDone, &[("upstream", engine), ("why", &e)]);
            None
        }
    }
}

/// Takes in an engine's report unless it is outdated. Returns whether it was taken in.
fn take_in(node: &Node, engine: &EngineId, report: Report) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let Some(known) = state.engines.meet(engine, report.start) else { return false };
    // A order may have been accepted while the report was under way.
    if report.seq < known.orders {
        return false;
    }
    known.orders = report.seq;
    let changes = known.listed.held != report.held;
    known.listed.held = report.held;
    known.listed.at_hand = report.at_hand;
    known.coming = report.coming;
    known.told = Some((report.load, now, known.own));
    known.told_at = Some(now);
    // Nodes may have missed the last change that the previous leader sent, so even unchanged state
    // is sent to them; for a large list the engine list itself is enough.
    let tells = changes || !is_long(&state.engines);
    drop(state);
    node.handle_restarts();
    if tells {
        changed(node, engine);
    }
    true
}

enum Exchanged {
    Answered(u16, bytes::Bytes),
    NotSent,
    Lost,
}

async fn exchange(node: &Node, engine: &EngineId, req: &Request) -> Exchanged {
    let Some(addr) = node.engine(engine, |e| e.listed.addr) else { return Exchanged::NotSent };
    let connected = timeout(PATIENCE, node.pool.get(addr, node.connect_limits())).await;
    let Ok(Ok(mut conn)) = connected else { return Exchanged::NotSent };
    let response = async {
        let head = conn.send(req).await.ok()?;
        let body = conn.collect(Body::new(head.framing), MOST).await.ok()?;
        Some((head.status, body))
    };
    match timeout(PATIENCE, response).await {
        Ok(Some((status, body))) => {
            node.heard(engine);
            node.pool.put(addr, conn);
            Exchanged::Answered(status, body)
        }
        Ok(None) | Err(_) => Exchanged::Lost,
    }
}
