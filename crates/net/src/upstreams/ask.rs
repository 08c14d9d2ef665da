//! Calls to upstreams that serve no caller: orders, state and load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hgw_node::Event;
use hgw_placement::OrderResult;
use hgw_types::{Time, UpstreamId};
use hgw_wire::upstream::{ORDER_TOKEN_HEADER, Order, OrderAnswer, OrderOutcome};
use http::{HeaderValue, StatusCode};
use serde::de::DeserializeOwned;

use super::{CallError, Upstreams, client};

/// Largest answer to a state call: thousands of models and adapters.
const MAX_STATE: usize = 4 << 20;

/// How an order may be sent.
#[derive(Debug)]
pub(super) struct OrderLimits {
    /// Whether the order token goes with it.
    pub(super) token: bool,
    /// Never to be sent after this.
    pub(super) send_by: Instant,
    /// Longest wait for the answer.
    pub(super) timeout: Duration,
}

/// Sends an order and reports what became of it.
pub(super) async fn order(
    cx: Arc<Upstreams>,
    upstream: UpstreamId,
    addr: String,
    order: Order,
    limits: OrderLimits,
) {
    let result = match send_order(&cx, &addr, &order, &limits).await {
        Ok(result) => result,
        Err(CallError::NotSent(_)) => OrderResult::NotSent,
        Err(_) => OrderResult::Lost,
    };
    cx.inbox.deliver(Event::OrderAnswer { upstream, order: order.id, result }).await;
}

async fn send_order(
    cx: &Upstreams,
    addr: &str,
    order: &Order,
    limits: &OrderLimits,
) -> client::Result<OrderResult> {
    let mut req = client::post_json(addr, "/orders", order)?;
    if limits.token {
        let value = HeaderValue::from_bytes(&cx.order_token)
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        req.headers_mut().insert(ORDER_TOKEN_HEADER, value);
    }
    // A process that stood still with the order in hand may have been superseded meanwhile: its
    // successor counts on no order being sent this late.
    if Instant::now() > limits.send_by {
        return Err(CallError::NotSent("the order is too old to be sent".into()));
    }
    let (status, body) = cx.pooled.call(req, limits.timeout, MAX_STATE).await?;
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
