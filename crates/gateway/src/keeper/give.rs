//! One order to one engine.

use std::time::Duration;

use hgw_direct::{EngineId, ModelRef, is_large_list};
use hgw_events::{Event, emit};
use hgw_http1::{Body, Request};
use tokio::time::timeout;

use crate::dialect::{Order, OrderKind, Report};
use crate::meter;
use crate::shared::Node;

use super::changed;

/// Longest wait for an engine's answer to an order or a question.
const PATIENCE: Duration = Duration::from_millis(400);

/// Bytes of such an answer.
const MOST: usize = 1 << 20;

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Given {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another one is under way, or the engine has accepted one that was not known of.
    Conflict,
    /// This node gives no orders any more.
    Superseded,
    /// The engine is another one, or refused the order for good.
    Refused,
    /// It could not be sent.
    NotSent,
    /// No answer: it may be carried out, also late.
    Lost,
}

/// Whether this node may give orders now.
pub(super) fn may_give(node: &Node) -> bool {
    fence(node).is_some()
}

fn fence(node: &Node) -> Option<u64> {
    let settings = node.settings.borrow();
    node.holding.borrow().fence(settings.lease, settings.engines_fence)
}

/// Gives an order, whose precondition is the number of orders that the engine is known to have accepted.
pub(super) async fn give(
    node: &Node,
    engine: &EngineId,
    kind: OrderKind,
    wanted: &ModelRef,
) -> Given {
    let holder = node.settings.borrow().node.clone();
    let Some(fence) = fence(node) else { return Given::Superseded };
    let known = node.engine(engine, |e| (e.info.addr, e.accepted_orders, e.info.started_at));
    let Some((addr, seq, start)) = known else { return Given::Refused };
    let order = Order { addr, engine, kind, wanted, seq, holder: &holder, fence };
    let req = node.dialects.upstreams.order(&order);
    let given = match exchange(node, engine, &req).await {
        Exchanged::Answered(status, body) => {
            let still =
                node.engine(engine, |e| !start.is_before(e.info.started_at)).unwrap_or(false);
            // An answer of an earlier start says nothing of this one.
            let given = if still { said(status) } else { Given::Conflict };
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
                if given == Given::Accepted || given == Given::Holds {
                    Event::OrderSent
                } else {
                    Event::OrderNotDone
                },
                fields,
            );
            given
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
    let outcome = match given {
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
    if given == Given::Superseded {
        emit(Event::KeeperLost, &[("node", &holder), ("term", &fence)]);
        node.holding.borrow_mut().superseded();
    }
    given
}

/// An engine has accepted an order. What asks whether one that is under way has been carried out is
/// accepted too, and does not count.
pub(super) fn count(node: &Node, engine: &EngineId) {
    if let Some(engine) = node.state.borrow_mut().engines.get_mut(engine) {
        engine.accepted_orders += 1;
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

/// Whether an engine that has answered carries no order out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Free(pub(super) bool);

/// Asks an engine what it holds, where it answers.
pub(super) async fn ask(node: &Node, engine: &EngineId) -> Option<Free> {
    let addr = node.engine(engine, |e| e.info.addr)?;
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

/// Takes a report in, unless it is older than what is known; tells whether it was.
fn take_in(node: &Node, engine: &EngineId, report: Report) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let Some(known) = state.engines.observe_start(engine, report.start) else { return false };
    // Its values are some hundred milliseconds old.
    if report.seq < known.accepted_orders {
        return false;
    }
    known.accepted_orders = report.seq;
    let changes = known.info.loaded != report.held;
    known.info.loaded = report.held;
    known.info.cached = report.at_hand;
    known.loading_adapters = report.coming;
    known.reported_load = Some((report.load, now, known.own_requests));
    known.placement_reported_at = Some(now);
    // A node may have missed its predecessor's last word, so that what is found out is told even where it is no
    // news here. Of thousands of engines nodes know by the list.
    let tells = changes || !is_large_list(&state.engines);
    drop(state);
    node.look_for_starts();
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
    let Some(addr) = node.engine(engine, |e| e.info.addr) else { return Exchanged::NotSent };
    let connected = timeout(PATIENCE, node.pool.get(addr, node.connect_limits())).await;
    let Ok(Ok(mut conn)) = connected else { return Exchanged::NotSent };
    let answered = async {
        let head = conn.send(req).await.ok()?;
        let body = conn.collect(Body::new(head.framing), MOST).await.ok()?;
        Some((head.status, body))
    };
    match timeout(PATIENCE, answered).await {
        Ok(Some((status, body))) => {
            node.heard(engine);
            node.pool.put(addr, conn);
            Exchanged::Answered(status, body)
        }
        Ok(None) | Err(_) => Exchanged::Lost,
    }
}
