//! Calls to upstreams that serve no caller: orders, state and load.

use std::sync::Arc;

use hgw_node::Event;
use hgw_placement::OrderResult;
use hgw_types::{Time, UpstreamId};
use hgw_wire::upstream::{ORDER_TOKEN_HEADER, OrderAnswer, OrderOutcome};
use http::{HeaderValue, StatusCode};
use serde::de::DeserializeOwned;

use super::body::Gate;
use super::{CallError, GivenOrder, Upstreams, client};

/// Largest answer to a state call: thousands of models and adapters.
const MAX_STATE: usize = 4 << 20;

/// Sends an order and reports what became of it.
pub(super) async fn order(cx: Arc<Upstreams>, given: Box<GivenOrder>) {
    let gate = Gate::new(cx.start + given.send_by.since(Time::ZERO));
    let result = match send_order(&cx, &given, gate.clone()).await {
        Ok(result) => result,
        Err(CallError::NotSent(_)) => OrderResult::NotSent,
        Err(_) if gate.has_held_back() => OrderResult::NotSent,
        Err(_) => OrderResult::Lost,
    };
    let GivenOrder { upstream, order, .. } = *given;
    cx.inbox.deliver(Event::OrderAnswer { upstream, order: order.id, result }).await;
}

async fn send_order(cx: &Upstreams, given: &GivenOrder, gate: Gate) -> client::Result<OrderResult> {
    let GivenOrder { addr, order, token, timeout, .. } = given;
    let req = client::post_json(addr, "/orders", order)?;
    let mut req = req.map(|body| body.behind(gate));
    if *token {
        let value = HeaderValue::from_bytes(cx.order_token.as_bytes())
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        req.headers_mut().insert(ORDER_TOKEN_HEADER, value);
    }
    let (status, body) = cx.pooled.call(req, *timeout, MAX_STATE).await?;
    if matches!(status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) {
        let reason = "the engine does not accept the order token".into();
        return Ok(OrderResult::Answered(OrderOutcome::Refused { reason }));
    }
    if !status.is_success() {
        return Err(CallError::Unreadable(format!("status {status}")));
    }
    let answer: OrderAnswer = client::read_json(&body)?;
    if answer.id != order.id {
        // The answer to another order says nothing about this one.
        return Err(CallError::Unreadable(format!("answer to order {}", answer.id)));
    }
    Ok(OrderResult::Answered(answer.outcome))
}

/// Asks an engine what it holds.
pub(super) async fn state(cx: Arc<Upstreams>, upstream: UpstreamId, addr: String, asked: Time) {
    let state = ask(&cx, &addr, "/state").await;
    cx.inbox.deliver(Event::State { upstream, asked, state }).await;
}

/// Asks an upstream for its load.
pub(super) async fn load(cx: Arc<Upstreams>, upstream: UpstreamId, addr: String) {
    let report = ask(&cx, &addr, "/load").await;
    cx.inbox.deliver(Event::Load { upstream, report }).await;
}

async fn ask<T: DeserializeOwned>(cx: &Upstreams, addr: &str, path: &str) -> Option<T> {
    let req = client::get(addr, path).ok()?;
    let (status, body) = cx.pooled.call(req, cx.limits.call, MAX_STATE).await.ok()?;
    if !status.is_success() {
        return None;
    }
    client::read_json(&body).ok()
}
