//! Orders at a stand-in engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hgw_types::{Generation, MemSize, RecordId, VersionId};
use hgw_wire::upstream::{ORDER_TOKEN_HEADER, Order, OrderAnswer, OrderKind, OrderOutcome};
use http::{Request, Response, StatusCode};
use indexmap::IndexMap;
use tokio::sync::watch;

use super::memory::Item;
use super::record::SeenOrder;
use super::{Engine, Inner};
use crate::client;
use crate::server::{Body, failure, json, read_json};

/// Pause before the weight store is asked again after it refused.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// What became of each order, by its id; kept over restarts, as an id is carried out at most once.
#[derive(Debug, Default)]
pub(super) struct Orders {
    outcomes: IndexMap<RecordId, watch::Receiver<Option<OrderOutcome>>>,
}

/// What is to be done for an order that came.
enum Begun {
    /// Its id came before: wait for that outcome.
    Repeated(watch::Receiver<Option<OrderOutcome>>),
    /// Nothing but to tell.
    Ended(OrderOutcome),
    /// Memory is reserved; the weights are to be fetched.
    Loading(Item, Generation, watch::Sender<Option<OrderOutcome>>),
}

impl Engine {
    /// Carries an order out unless it came before, and answers it.
    pub(super) async fn order(self: &Arc<Self>, req: &Request<Bytes>) -> Response<Body> {
        if let Some(token) = &self.settings.order_token {
            let given = req.headers().get(ORDER_TOKEN_HEADER);
            if given.is_none_or(|given| given.as_bytes() != token.as_bytes()) {
                self.lock().record.unauthorized += 1;
                return failure(StatusCode::FORBIDDEN, "no valid order token");
            }
        }
        let order: Order = match read_json(req.body()) {
            Ok(order) => order,
            Err(answer) => return *answer,
        };
        let outcome = match self.begin(&order) {
            Begun::Repeated(rx) => ended(rx).await,
            Begun::Ended(outcome) => outcome,
            Begun::Loading(item, generation, tx) => {
                self.load_weights(&order, generation).await;
                let outcome = self.lock().end_load(&item, generation);
                // Nobody may be waiting for a repeat.
                let _ = tx.send(Some(outcome.clone()));
                outcome
            }
        };
        self.lock().note_outcome(order.id, &outcome);
        json(&OrderAnswer { id: order.id, outcome })
    }

    fn begin(&self, order: &Order) -> Begun {
        let mut inner = self.lock();
        let known = inner.orders.outcomes.get(&order.id).cloned();
        inner.record.orders.push(SeenOrder {
            id: order.id,
            fence: order.fence,
            kind: order.kind.clone(),
            repeated: known.is_some(),
            outcome: None,
        });
        if let Some(rx) = known {
            return Begun::Repeated(rx);
        }
        let (tx, rx) = watch::channel(None);
        inner.orders.outcomes.insert(order.id, rx);
        match inner.carry_out(order, self.settings.refuses_old_orders) {
            Ok(Some(item)) => Begun::Loading(item, inner.generation, tx),
            Ok(None) => {
                tx.send_replace(Some(OrderOutcome::Done));
                Begun::Ended(OrderOutcome::Done)
            }
            Err(outcome) => {
                tx.send_replace(Some(outcome.clone()));
                Begun::Ended(outcome)
            }
        }
    }

    /// Takes as long as the weights do to come; ends early when the engine restarts.
    async fn load_weights(&self, order: &Order, generation: Generation) {
        let Some((model, version, size)) = order.kind.loads() else { return };
        let Some(store) = self.settings.weights else {
            let time = self.switches.slowed(self.settings.load_time);
            return tokio::time::sleep(time).await;
        };
        let uri = format!("http://{store}/weights/{model}/{version}?size={size}");
        while self.lock().generation == generation {
            if client::get_ok(&uri).await {
                return;
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }
}

impl Inner {
    /// Does at once what an order asks for; a load leaves the item whose weights are to come.
    fn carry_out(
        &mut self,
        order: &Order,
        refuses_old: bool,
    ) -> Result<Option<Item>, OrderOutcome> {
        if refuses_old && order.fence < self.fence {
            return Err(OrderOutcome::OldFence { current: self.fence });
        }
        self.fence = self.fence.max(order.fence);
        let refused = |reason| OrderOutcome::Refused { reason };
        let Some(item) = order.kind.item() else { return Ok(None) };
        if let Some((_, _, size)) = order.kind.loads() {
            self.memory.reserve(order.id, &item, size).map_err(refused)?;
            return Ok(Some(item));
        }
        self.memory.evict(&item).map_err(refused)?;
        self.drop_requests(&item);
        Ok(None)
    }

    /// Ends requests whose model or adapter has been evicted under them.
    fn drop_requests(&mut self, item: &Item) {
        let cut = self.batch.remove(|req| match item {
            Item::Model((model, version)) => req.model == *model && req.version == *version,
            Item::Adapter((model, adapter, _)) => {
                req.model == *model && req.adapter.as_ref() == Some(adapter)
            }
        });
        for job in &cut {
            job.fail("evicted");
        }
        self.record.evicted_in_use += cut.len() as u64;
    }

    fn end_load(&mut self, item: &Item, generation: Generation) -> OrderOutcome {
        if self.generation != generation {
            return OrderOutcome::Refused { reason: "restarted while loading".into() };
        }
        match self.memory.loaded(item) {
            Ok(()) => OrderOutcome::Done,
            Err(reason) => OrderOutcome::Refused { reason },
        }
    }

    fn note_outcome(&mut self, id: RecordId, outcome: &OrderOutcome) {
        let seen = self.record.orders.iter_mut().rev();
        for seen in seen.filter(|seen| seen.id == id && seen.outcome.is_none()) {
            seen.outcome = Some(outcome.clone());
        }
    }
}

async fn ended(mut rx: watch::Receiver<Option<OrderOutcome>>) -> OrderOutcome {
    match rx.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone().unwrap_or(OrderOutcome::Done),
        Err(_) => OrderOutcome::Refused { reason: "the engine stops".into() },
    }
}

/// What an order is about.
trait About {
    fn item(&self) -> Option<Item>;
    fn loads(&self) -> Option<(&str, &VersionId, MemSize)>;
}

impl About for OrderKind {
    fn item(&self) -> Option<Item> {
        match self.clone() {
            OrderKind::Load { model, version, .. } | OrderKind::Evict { model, version } => {
                Some(Item::Model((model, version)))
            }
            OrderKind::LoadAdapter { model, adapter, version, .. }
            | OrderKind::EvictAdapter { model, adapter, version } => {
                Some(Item::Adapter((model, adapter, version)))
            }
            OrderKind::Fence | OrderKind::Role { .. } => None,
        }
    }

    fn loads(&self) -> Option<(&str, &VersionId, MemSize)> {
        match self {
            OrderKind::Load { model, version, size } => Some((model.as_str(), version, *size)),
            OrderKind::LoadAdapter { adapter, version, size, .. } => {
                Some((adapter.as_str(), version, *size))
            }
            _ => None,
        }
    }
}
