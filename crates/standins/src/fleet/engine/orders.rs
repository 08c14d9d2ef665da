//! Orders to load and unload models and adapters, and the report of what is loaded.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::{Inner, Shared};
use crate::server::{Body, failure, json, read_json, with_status};

#[derive(Debug, Deserialize)]
struct Order {
    op: String,
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    precondition: Option<u64>,
    holder: String,
    fence: u64,
}

impl Shared {
    /// What it holds, and how many orders it has accepted.
    pub(super) fn report(&self) -> Response<Body> {
        let models = self.models();
        let inner = self.lock();
        json(&json!({
            "stage": "mixed", "models": models, "busy": inner.busy, "seq": inner.seq,
            "waiting": 0, "running": inner.running, "coming": [], "born": inner.born,
        }))
    }

    /// Checks an order and carries it out.
    pub(super) fn order(self: &Arc<Self>, req: &Request<Bytes>) -> Response<Body> {
        let order: Order = match read_json(req.body()) {
            Ok(order) => order,
            Err(answer) => return *answer,
        };
        let mut inner = self.lock();
        if order.fence < inner.fence {
            inner.record.old_fences += 1;
            if self.settings.fences {
                return failure(StatusCode::PRECONDITION_FAILED, "an old fencing number");
            }
        }
        inner.fence = inner.fence.max(order.fence);
        let held = inner.holds.get(&order.model);
        let holds = match &order.adapter {
            None => held.is_some(),
            Some(adapter) => held.is_some_and(|a| a.contains(adapter)),
        };
        if order.precondition.is_some_and(|seq| seq != inner.seq) || inner.busy {
            return failure(StatusCode::CONFLICT, "another order");
        }
        if holds == (order.op == "load") {
            return json(&json!({}));
        }
        inner.seq += 1;
        let name = order.adapter.as_ref().map_or(String::new(), |a| format!("/{a}"));
        let Order { holder, fence, op, model, .. } = &order;
        inner.record.orders.push(format!("{holder} {fence} {op} {model}{name}"));
        if order.op == "load" && !self.has_room(&inner, &order) {
            inner.record.too_much += 1;
        }
        if order.op == "load" && order.adapter.is_none() {
            inner.busy = true;
            drop(inner);
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(shared.settings.load).await;
                let mut inner = shared.lock();
                inner.busy = false;
                inner.holds.insert(order.model, Vec::new());
            });
            return with_status(StatusCode::ACCEPTED, &json!({}));
        }
        inner.carry_out(&order);
        let done = if order.op == "load" { StatusCode::ACCEPTED } else { StatusCode::OK };
        with_status(done, &json!({}))
    }

    fn has_room(&self, inner: &Inner, order: &Order) -> bool {
        let (is_model, is_adapter) = match order.adapter {
            None => (1, 0),
            Some(_) => (0, 1),
        };
        let models = inner.holds.len() + is_model;
        let adapters = inner.holds.values().map(Vec::len).sum::<usize>() + is_adapter;
        let fits = self.settings.memory.is_none_or(|memory| {
            let taken_mb = models as f64 * memory.model_mb + adapters as f64 * memory.adapter_mb;
            taken_mb <= memory.total_mb
        });
        fits && models <= self.settings.models && adapters <= self.settings.adapters
    }
}

impl Inner {
    fn carry_out(&mut self, order: &Order) {
        match (&order.adapter, order.op.as_str()) {
            (None, "load") => drop(self.holds.insert(order.model.clone(), Vec::new())),
            (None, _) => drop(self.holds.shift_remove(&order.model)),
            (Some(adapter), op) => {
                let Some(adapters) = self.holds.get_mut(&order.model) else { return };
                adapters.retain(|a| a != adapter);
                if op == "load" {
                    adapters.push(adapter.clone());
                }
            }
        }
    }
}
