//! Names of the metrics, one function for each thing that is counted.

use std::time::Duration;

use hgw_direct::{Refusal, Route};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::dialect::StoreError;
use crate::proof;
use crate::shared::Shared;

/// Upper bounds of latencies, in seconds: round figures about the usual objectives and deadlines.
const LATENCIES: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 20.0];

/// Installs the recorder of the process; nothing where the program has installed its own.
pub(crate) fn recorder() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCIES).ok()?;
    builder.install_recorder().ok()
}

/// An engine's whole answer was given.
pub(crate) fn served(route: &Route, status: u16, took: Duration) {
    let (route, status) = (route.name.clone(), status.to_string());
    counter!("hgw_requests_total", "route" => route.clone(), "outcome" => "served", "reason" => status)
        .increment(1);
    histogram!("hgw_request_duration_seconds", "route" => route).record(took.as_secs_f64());
}

/// The first piece of a stream came.
pub(crate) fn first_piece(route: &Route, took: Duration) {
    histogram!("hgw_first_piece_seconds", "route" => route.name.clone()).record(took.as_secs_f64());
}

/// A request waited until engines had read other prompts.
pub(crate) fn waited(route: &Route, time: Duration) {
    histogram!("hgw_waited_seconds", "route" => route.name.clone()).record(time.as_secs_f64());
}

/// A request was refused.
pub(crate) fn refused(route: &Route, why: Refusal) {
    let (route, why) = (route.name.clone(), why.to_string());
    counter!("hgw_requests_total", "route" => route, "outcome" => "refused", "reason" => why)
        .increment(1);
}

/// A request got nothing of its customer's limit. Customers are those that are configured, so that there are not more
/// names than that.
pub(crate) fn limited(customer: &str, why: Refusal) {
    let (customer, why) = (customer.to_owned(), why.to_string());
    counter!("hgw_limited_total", "customer" => customer, "reason" => why).increment(1);
}

/// A request got no whole answer.
pub(crate) fn failed(route: &Route, why: &str) {
    let (route, why) = (route.name.clone(), why.to_owned());
    counter!("hgw_requests_total", "route" => route, "outcome" => "failed", "reason" => why)
        .increment(1);
}

/// A caller left before its answer was whole.
pub(crate) fn left(route: &Route) {
    let route = route.name.clone();
    counter!("hgw_requests_total", "route" => route, "outcome" => "left", "reason" => "the caller left")
        .increment(1);
}

/// A try brought no answer.
pub(crate) fn try_failed(why: &'static str) {
    counter!("hgw_tries_failed_total", "reason" => why).increment(1);
}

/// A word to another node was not sent.
pub(crate) fn word_lost() {
    counter!("hgw_words_lost_total").increment(1);
}

/// An order was given.
pub(crate) fn order(kind: &'static str, outcome: &'static str) {
    counter!("hgw_orders_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// A call to the store ended.
pub(crate) fn store_call(what: &'static str, result: Result<(), &StoreError>) {
    let result = match result {
        Ok(()) => "ok",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Condition) => "condition",
        Err(StoreError::Fenced) => "fenced",
        Err(StoreError::Lost { .. }) => "lost",
        Err(StoreError::Malformed(_)) => "malformed",
        Err(StoreError::Outdated { .. }) => "outdated",
        Err(StoreError::NewEra { .. }) => "new_era",
    };
    counter!("hgw_store_calls_total", "what" => what, "result" => result).increment(1);
}

/// What the node believes now.
pub(crate) fn beliefs(node: &Shared) {
    let now = node.now();
    let limits = node.budget_limits();
    for (service, budget) in &mut node.state.borrow_mut().budgets {
        let left = budget.remaining(now, &limits).max(0.0);
        gauge!("hgw_second_tries_left", "service" => service.to_string()).set(left);
    }
    let state = node.state.borrow();
    let (mut ready, mut leaving, mut silent) = (0.0, 0.0, 0.0);
    for engine in state.engines.iter() {
        match (engine.accepts_requests(), engine.health.is_ejected(now)) {
            (false, _) => leaving += 1.0,
            (true, true) => silent += 1.0,
            (true, false) => ready += 1.0,
        }
    }
    gauge!("hgw_engines", "state" => "ready").set(ready);
    gauge!("hgw_engines", "state" => "leaving").set(leaving);
    gauge!("hgw_engines", "state" => "silent").set(silent);
    gauge!("hgw_config_version").set(state.catalog.as_ref().map_or(0.0, |c| c.version as f64));
    gauge!("hgw_nodes").set(f64::from(state.nodes));
    gauge!("hgw_list_age_seconds").set(node.word_age() as f64 / 1000.0);
    if let Some(age) = proof::age(node) {
        gauge!("hgw_proof_age_seconds").set(age.as_secs_f64());
    }
    gauge!("hgw_store_era").set(node.era.get().era().number());
    gauge!("hgw_keeper").set(f64::from(u8::from(node.holding.borrow().is_mine())));
    gauge!("hgw_ready").set(f64::from(u8::from(node.is_ready())));
    gauge!("hgw_requests_open").set(f64::from(node.stop.active.get()));
    gauge!("hgw_connections_open").set(node.stop.connections.get() as f64);
}
